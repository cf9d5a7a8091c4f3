package admission

import "time"

// Arrivals records when refused requests first arrived, so that a retry is not ordered
// behind requests that arrived after the first attempt. It holds at most a given number of
// requests, the most recently refused ones, each for a limited time. It is not safe for
// concurrent use.
type Arrivals struct {
	max int
	// retention is how long a request is kept after its first arrival.
	retention time.Duration
	// at holds the first arrival of each request by its ID.
	at map[string]time.Time
	// order holds the IDs in the order of their first refusal, from head on.
	order []string
	head  int
}

// NewArrivals returns Arrivals of at most max requests, each kept for the retention time
// after its first arrival. With a max of 0 or less it records nothing.
func NewArrivals(max int, retention time.Duration) *Arrivals {
	return &Arrivals{max: max, retention: retention, at: make(map[string]time.Time)}
}

// Refused records the request id, which arrived and was refused at now. A request that is
// already recorded keeps its first arrival.
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

// First returns the first arrival of the request id: now, unless an earlier refusal of it is
// recorded.
func (a *Arrivals) First(id string, now time.Time) time.Time {
	if at, known := a.at[id]; known && now.Sub(at) <= a.retention {
		return at
	}
	return now
}

// Len returns the number of recorded requests.
func (a *Arrivals) Len() int { return len(a.at) }

func (a *Arrivals) expire(now time.Time) {
	for a.head < len(a.order) && now.Sub(a.at[a.order[a.head]]) > a.retention {
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
