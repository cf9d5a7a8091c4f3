package intake

import (
	"sync"
	"time"
)

const (
	// grace is how long a request is never the one that gives way, and the least time that
	// the rest of one that gives way would take: an ordinary request is complete by then.
	grace = 250 * time.Millisecond
	// waitTimeout limits the wait for bytes that others hold.
	waitTimeout = time.Second
	// retryInterval limits the time between two attempts of a request that waits.
	retryInterval = 50 * time.Millisecond
	// searchInterval is the time after a search without a result in which there is none.
	searchInterval = 20 * time.Millisecond
	// smallBytes is what a small request holds at most, and smallPart the part of the
	// budget, an eighth, that only small requests may use: ordinary ones get through while
	// large ones wait.
	smallBytes = 16 * kilobyte
	smallPart  = 8
)

// Reason says why a request or a connection was refused.
type Reason string

// Reasons of refusals.
const (
	ReasonGaveWay Reason = "gave_way"
	ReasonFull    Reason = "intake_full"
	ReasonStalled Reason = "body_stalled"
)

// Refusal is the error of a request that was refused. It has not run.
type Refusal struct{ Reason Reason }

func (r *Refusal) Error() string { return string(r.Reason) }

// Usage is what a budget and its requests hold, for metrics.
type Usage struct{ Held, Limit int64 }

// Budget bounds the bytes of all requests together. When it is full, the slowest request
// gives way.
type Budget struct {
	limit int64
	now   func() time.Time

	mu   sync.Mutex
	used int64
	// leaving counts the bytes of requests that give way and have not released them.
	leaving int64
	// searchAfter is when a request that gives way is searched next, after a search that
	// found none: each search looks at all requests.
	searchAfter time.Time
	entries     map[*Entry]struct{}
	// changed is closed when bytes are released or a request gives way.
	changed chan struct{}
}

// Entry is one request's part of a budget.
type Entry struct {
	budget    *Budget
	progress  Progress
	held      int64
	interrupt func()
	// arriving is set until the whole request has come; only then may it give way.
	arriving, waiting, gaveWay, ended bool
}

// NewBudget returns an empty budget of limit bytes.
func NewBudget(limit int64, now func() time.Time) *Budget {
	return &Budget{limit: limit, now: now, entries: make(map[*Entry]struct{}), changed: make(chan struct{})}
}

// Usage returns how many bytes are held.
func (b *Budget) Usage() Usage {
	b.mu.Lock()
	defer b.mu.Unlock()
	return Usage{b.used, b.limit}
}

// Begin adds a request of an expected size. Interrupt ends its reading or writing; it is
// called once, with the budget locked, if the request has to give way.
func (b *Budget) Begin(size int64, interrupt func()) *Entry {
	e := &Entry{budget: b, progress: NewProgress(size, b.now()), interrupt: interrupt, arriving: true}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.entries[e] = struct{}{}
	return e
}

// Add notes that n bytes have come. It fails if the request has to give way.
func (e *Entry) Add(n int) error {
	e.budget.mu.Lock()
	defer e.budget.mu.Unlock()
	e.progress.Add(int64(n), e.budget.now())
	return e.err()
}

// Do calls f unless the request has to give way. Interrupt is not called meanwhile.
func (e *Entry) Do(f func()) error {
	e.budget.mu.Lock()
	defer e.budget.mu.Unlock()
	if e.gaveWay {
		return e.err()
	}
	f()
	return nil
}

func (e *Entry) err() error {
	if e.gaveWay {
		return &Refusal{ReasonGaveWay}
	}
	return nil
}

// Arrived notes that the whole request has come. From then on it does not give way.
func (e *Entry) Arrived() error {
	e.budget.mu.Lock()
	defer e.budget.mu.Unlock()
	if e.gaveWay {
		return e.err()
	}
	e.arriving = false
	return nil
}

// Try takes n bytes without waiting. Requests that are slower give way.
func (e *Entry) Try(n int64) bool {
	e.budget.mu.Lock()
	defer e.budget.mu.Unlock()
	return !e.gaveWay && e.budget.take(e, n, true)
}

// TryQueue takes n bytes that are added to those to be sent, without waiting.
func (e *Entry) TryQueue(n int64) bool {
	e.budget.mu.Lock()
	defer e.budget.mu.Unlock()
	if e.ended || e.gaveWay {
		return false
	}
	if e.held == 0 {
		e.progress = NewProgress(0, e.budget.now())
	}
	if !e.budget.take(e, n, true) {
		return false
	}
	e.progress.Size += n
	return true
}

// Take takes n bytes. It waits while slower requests give way, or while none does and all
// are fast.
func (e *Entry) Take(n int64) error {
	b := e.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	began := b.now()
	e.waiting = true
	defer func() {
		e.waiting = false
		e.progress.Resume(b.now().Sub(began))
	}()
	for {
		switch {
		case e.gaveWay:
			return e.err()
		case b.take(e, n, false):
			return nil
		case e.gaveWay:
			return e.err()
		case b.now().Sub(began) >= waitTimeout:
			return &Refusal{ReasonFull}
		}
		b.await()
	}
}

// await waits for a change with b.mu unlocked.
func (b *Budget) await() {
	changed := b.changed
	b.mu.Unlock()
	defer b.mu.Lock()
	timer := time.NewTimer(retryInterval)
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
	}
}

// take gives n bytes to e if they are free. If not, it makes as many requests give way as
// are needed. With early set, bytes of requests that are giving way count as free.
func (b *Budget) take(e *Entry, n int64, early bool) bool {
	limit := b.limit
	if e.held+n > smallBytes {
		limit -= limit / smallPart
	}
	// Nobody gives way to what can never fit.
	if e.held+n > limit {
		return false
	}
	for {
		free := limit - b.used
		if n <= free {
			b.used += n
			e.held += n
			return true
		}
		freeSoon := free + b.leaving
		if n <= freeSoon {
			if early {
				b.used += n
				e.held += n
			}
			return early
		}
		now := b.now()
		if now.Before(b.searchAfter) {
			return false
		}
		victim := b.slowest(now)
		if victim == nil {
			b.searchAfter = now.Add(searchInterval)
			return false
		}
		victim.gaveWay = true
		b.leaving += victim.held
		victim.interrupt()
		b.signal()
		if victim == e {
			return false
		}
	}
}

// slowest returns the request that gives way next, or nil if all are fast: the one whose
// rest takes the longest at its present rate. If all that arrive wait for this budget, it
// is the one that holds the most, so that the others can go on.
func (b *Budget) slowest(now time.Time) (slowest *Entry) {
	longest, blocked := grace, true
	var largest *Entry
	for e := range b.entries {
		if !e.arriving || e.gaveWay || e.held == 0 {
			continue
		}
		if e.waiting {
			if largest == nil || e.held > largest.held {
				largest = e
			}
			continue
		}
		blocked = false
		if left := e.progress.Left(now); e.progress.Age(now) >= grace && left >= longest {
			slowest, longest = e, left
		}
	}
	if blocked && largest != nil && largest.held > smallBytes {
		return largest
	}
	return slowest
}

// Release gives n bytes back.
func (e *Entry) Release(n int64) {
	e.budget.mu.Lock()
	defer e.budget.mu.Unlock()
	e.release(n)
}

func (e *Entry) release(n int64) {
	n = min(n, e.held)
	e.held -= n
	e.budget.used -= n
	if e.gaveWay {
		e.budget.leaving -= n
	}
	e.budget.signal()
}

// End gives all bytes back and removes the request.
func (e *Entry) End() {
	e.budget.mu.Lock()
	defer e.budget.mu.Unlock()
	delete(e.budget.entries, e)
	e.ended = true
	e.release(e.held)
}

func (b *Budget) signal() {
	close(b.changed)
	b.changed = make(chan struct{})
}
