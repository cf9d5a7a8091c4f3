package workload

import "slices"

// OccurrenceSet is a set of the numbers of occurrences, kept as disjoint ranges in ascending
// order. Its size is that of the gaps, so that the first occurrences, however many, are one range.
// The zero value is the empty set.
type OccurrenceSet []OccurrenceRange

// find returns the index of the first range that ends after n.
func (s OccurrenceSet) find(n int) int {
	i, _ := slices.BinarySearchFunc(s, n, func(r OccurrenceRange, n int) int {
		if r.To <= n {
			return -1
		}
		return 1
	})
	return i
}

// Contains reports whether occurrence n is in the set.
func (s OccurrenceSet) Contains(n int) bool {
	i := s.find(n)
	return i < len(s) && s[i].From <= n
}

// Next returns the number of the first occurrence from n on that is not in the set.
func (s OccurrenceSet) Next(n int) int {
	if i := s.find(n); i < len(s) && s[i].From <= n {
		return s[i].To
	}
	return n
}

// Count returns the number of occurrences in the set.
func (s OccurrenceSet) Count() int {
	n := 0
	for _, r := range s {
		n += r.To - r.From
	}
	return n
}

// Add returns the set with the occurrences from from to the one before to.
func (s OccurrenceSet) Add(from, to int) OccurrenceSet {
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
	return slices.Replace(s, first, last, OccurrenceRange{From: from, To: to})
}
