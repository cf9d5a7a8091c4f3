package speed

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// yieldFactor: a queue whose mean objective is more than this many times the shortest of
	// the service's queues leaves the fast servers to more urgent work.
	yieldFactor = 2
	// objectiveWindow is how long a queue without new work is kept, checkInterval the time
	// between two searches for the shortest objective, and objectiveWeight the weight of the
	// newest objective in a queue's moving average.
	objectiveWindow = 30 * time.Second
	checkInterval   = time.Second
	objectiveWeight = 0.05
	// sufficeMargin: a server suffices for a task that is expected to take at most this
	// fraction of the time left. The rest is for stragglers and wrong declared times.
	sufficeMargin = 0.85
	// maxSlowWait is the longest wait for another server while only slow ones are free. A
	// submission with nothing running for 3 s beside free capacity counts as lost.
	maxSlowWait = time.Second
)

// Objectives finds the most urgent queues of a service by their mean objectives. An
// objective is the time from a submission's arrival to its target. Those of single
// submissions depend on declared times, which may be wrong by a large factor. The zero value
// has no queues.
type Objectives struct {
	queues map[string]*objective
	// shortest is the shortest mean objective of a queue, determined at checked.
	shortest time.Duration
	checked  time.Time
}

// objective is the moving average of the objectives of a queue's work.
type objective struct {
	mean time.Duration
	seen time.Time
}

// Observe adds the objective of a submission to a queue: the time from its arrival to its
// target.
func (o *Objectives) Observe(queue string, length time.Duration, now time.Time) {
	q := o.queues[queue]
	if q == nil {
		if o.queues == nil {
			o.queues = make(map[string]*objective)
		}
		q = &objective{mean: length}
		o.queues[queue] = q
		o.checked = time.Time{}
	}
	q.mean += time.Duration(objectiveWeight * float64(length-q.mean))
	q.seen = now
	if now.Sub(o.checked) < checkInterval {
		return
	}
	o.checked, o.shortest = now, 0
	for name, q := range o.queues {
		switch {
		case now.Sub(q.seen) > objectiveWindow:
			delete(o.queues, name)
		case o.shortest == 0 || q.mean < o.shortest:
			o.shortest = q.mean
		}
	}
}

// Yields reports whether a queue's work leaves the fast servers to more urgent work. It
// reports false for a queue without observations.
func (o *Objectives) Yields(queue string) bool {
	q := o.queues[queue]
	return q != nil && q.mean > yieldFactor*o.shortest
}

// Choice is the order in which a task prefers the speed classes of free servers.
type Choice struct {
	// Yields is set for work that leaves the fast servers to more urgent work.
	Yields bool
	// Least is the lowest class that suffices for work that yields.
	Least int
}

// NewChoice returns the choice of a task that takes the time work on the usual server and
// has the time left until its target.
func NewChoice(yields bool, work, left time.Duration) Choice {
	c := Choice{Yields: yields, Least: math.MaxInt32}
	if yields && work > 0 && left > 0 {
		needed := float64(work) / (sufficeMargin * float64(left))
		c.Least = max(int(math.Ceil(math.Log(needed)/classWidth)), slowClass+1)
	}
	return c
}

// Compare returns a negative number if servers of class a come before those of class b.
// The most urgent work prefers the fastest. Other work prefers the slowest that suffices,
// and the fastest if none does.
func (c Choice) Compare(a, b int) int {
	if c.Yields {
		if sa, sb := a >= c.Least, b >= c.Least; sa != sb {
			if sa {
				return -1
			}
			return 1
		} else if sa {
			return cmp.Compare(a, b)
		}
	}
	return cmp.Compare(b, a)
}

// SlowWait returns how long a task may wait for another server while only slow ones are
// free: at most the time that it saves, and at most 1 s. Work is its expected run time on
// the usual server.
func SlowWait(work time.Duration) time.Duration {
	return min(time.Duration(float64(work)*(1/OfClass(slowClass)-1)), maxSlowWait)
}

// ClassSlots is the number of members of a gang that fit on the servers of a class.
type ClassSlots struct{ Class, Slots int }

// Range returns the lowest and the highest class of the servers that a gang of need members
// should use. A gang runs at the speed of its slowest member, so that members on faster
// servers gain nothing. It reports false if fewer than need members fit on all servers.
func (c Choice) Range(available []ClassSlots, need int) (low, high int, ok bool) {
	available = slices.SortedFunc(slices.Values(available), func(x, y ClassSlots) int { return cmp.Compare(x.Class, y.Class) })
	for i, lowest := range available {
		slots, to := 0, 0
		for _, further := range available[i:] {
			slots, to = slots+further.Slots, further.Class
			if slots >= need {
				break
			}
		}
		if slots < need {
			break
		}
		if !ok || c.prefersRange(lowest.Class, to, low, high) {
			low, high, ok = lowest.Class, to, true
		}
	}
	return low, high, ok
}

// prefersRange reports whether the classes from low to high suit the gang better than those
// from otherLow to otherHigh.
func (c Choice) prefersRange(low, high, otherLow, otherHigh int) bool {
	if c.Yields && low >= c.Least && otherLow >= c.Least {
		return cmp.Or(cmp.Compare(high-low, otherHigh-otherLow), cmp.Compare(low, otherLow)) < 0
	}
	return c.Compare(low, otherLow) < 0
}
