package speed

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// yieldFactor is how many times as long as the shortest objective of the service's queues
	// that of a queue is whose work leaves the fast servers to more urgent work.
	yieldFactor = 2
	// objectiveWindow is how long a queue without work is remembered, checkInterval the time
	// between two searches for the shortest objective, and objectiveWeight the weight of the
	// newest in a queue's moving average.
	objectiveWindow = 30 * time.Second
	checkInterval   = time.Second
	objectiveWeight = 0.05
	// sufficeMargin is how much of its time a task may be expected to take on a server
	// that suffices: stragglers and declared times that are off take the rest.
	sufficeMargin = 0.85
	// maxSlowWait is the longest wait for another server while only slow ones are free. A
	// submission with nothing running for 3 s beside free capacity counts as lost.
	maxSlowWait = time.Second
)

// Objectives finds the most urgent work of a service by the lengths of the objectives of
// its queues' work. Those of single submissions depend on declared times, which may be far
// off. The zero value knows none.
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

// Observe adds the objective of a piece of work of a queue: the time from its arrival to its
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

// Yields reports whether the work of a queue leaves the fast servers to other work.
func (o *Objectives) Yields(queue string) bool {
	q := o.queues[queue]
	return q != nil && q.mean > yieldFactor*o.shortest
}

// Choice is the order in which a piece of work prefers the classes of free servers.
type Choice struct {
	// Yields is set for work that leaves the fast servers to more urgent work.
	Yields bool
	// Least is the lowest class that suffices for work that yields.
	Least int
}

// NewChoice returns the choice of a task that takes the given time on the usual server and
// has the given time left.
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
// free: not longer than it saves.
func SlowWait(work time.Duration) time.Duration {
	return min(time.Duration(float64(work)*(1/OfClass(slowClass)-1)), maxSlowWait)
}

// Room is the number of members of a gang that fit on the servers of a class.
type Room struct{ Class, Slots int }

// Range returns the lowest and the highest class of the servers that a gang of need members
// should use. A gang runs at the speed of its slowest member, so that members on faster
// servers gain nothing. It reports false if the members do not fit.
func (c Choice) Range(rooms []Room, need int) (low, high int, ok bool) {
	rooms = slices.SortedFunc(slices.Values(rooms), func(x, y Room) int { return cmp.Compare(x.Class, y.Class) })
	for i, r := range rooms {
		slots, to := 0, 0
		for _, further := range rooms[i:] {
			slots, to = slots+further.Slots, further.Class
			if slots >= need {
				break
			}
		}
		if slots < need {
			break
		}
		if !ok || c.prefersRange(r.Class, to, low, high) {
			low, high, ok = r.Class, to, true
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
