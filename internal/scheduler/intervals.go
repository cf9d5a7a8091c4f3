package scheduler

import (
	"slices"

	"github.com/currantwinch/currantwinch/workload"
)

// intervals is a set of integers, kept as disjoint ranges in ascending order. Its size is
// that of the gaps, so that a prefix of any length is one range.
type intervals []workload.OccurrenceRange

// find returns the index of the first range that ends after n.
func (s intervals) find(n int) int {
	i, _ := slices.BinarySearchFunc(s, n, func(r workload.OccurrenceRange, n int) int {
		if r.To <= n {
			return -1
		}
		return 1
	})
	return i
}

func (s intervals) contains(n int) bool {
	i := s.find(n)
	return i < len(s) && s[i].From <= n
}

// next returns the first integer from n on that is not in the set.
func (s intervals) next(n int) int {
	if i := s.find(n); i < len(s) && s[i].From <= n {
		return s[i].To
	}
	return n
}

// count returns the number of integers in the set.
func (s intervals) count() int {
	n := 0
	for _, r := range s {
		n += r.To - r.From
	}
	return n
}

// add returns the set with a range added.
func (s intervals) add(from, to int) intervals {
	if from >= to {
		return s
	}
	// Ranges that overlap or touch the new one are merged with it.
	first := s.find(from - 1)
	last := first
	for last < len(s) && s[last].From <= to {
		from, to = min(from, s[last].From), max(to, s[last].To)
		last++
	}
	return slices.Replace(s, first, last, workload.OccurrenceRange{From: from, To: to})
}
