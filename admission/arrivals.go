package admission

import "time"

// Arrivals remembers when requests that were refused came for the first time, so that one
// that returns is not placed behind others that come for the first time. It holds a bounded
// number of requests, the newest, each for a bounded time. It is not safe for concurrent use.
type Arrivals struct {
	max  int
	kept time.Duration
	at   map[string]time.Time
	// order holds the IDs in the order of their first refusal, from head on.
	order []string
	head  int
}

// NewArrivals returns Arrivals of at most max requests, each kept for the given time after it
// came first.
func NewArrivals(max int, kept time.Duration) *Arrivals {
	return &Arrivals{max: max, kept: kept, at: make(map[string]time.Time)}
}

// Refused records that a request was refused which came at the given time. A request that is
// known keeps its first time.
func (a *Arrivals) Refused(id string, now time.Time) {
	a.expire(now)
	if _, known := a.at[id]; known || a.max <= 0 {
		return
	}
	if len(a.order)-a.head >= a.max {
		a.dropOldest()
	}
	a.at[id] = now
	a.order = append(a.order, id)
}

// First returns when a request came for the first time: now, unless it was refused before.
func (a *Arrivals) First(id string, now time.Time) time.Time {
	if at, known := a.at[id]; known && now.Sub(at) <= a.kept {
		return at
	}
	return now
}

// Len returns how many requests are remembered.
func (a *Arrivals) Len() int { return len(a.at) }

func (a *Arrivals) expire(now time.Time) {
	for a.head < len(a.order) && now.Sub(a.at[a.order[a.head]]) > a.kept {
		a.dropOldest()
	}
}

func (a *Arrivals) dropOldest() {
	delete(a.at, a.order[a.head])
	a.order[a.head] = ""
	a.head++
	if a.head > len(a.order)/2 {
		a.order = append(a.order[:0], a.order[a.head:]...)
		a.head = 0
	}
}
