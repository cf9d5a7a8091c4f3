package intake

import (
	"errors"
	"sync"
	"time"
)

const (
	// evictionGrace is the age below which a request does not give way, and the least time
	// that the rest of one that does is expected to take. An ordinary request is complete
	// within that.
	evictionGrace = 250 * time.Millisecond
	// waitTimeout limits the wait of a request for bytes that other requests hold.
	waitTimeout = time.Second
	// retryInterval limits the time between two attempts of a request that waits.
	retryInterval = 50 * time.Millisecond
	// searchInterval is the least time from a search that found no request to evict to the
	// next one: a search looks at all requests.
	searchInterval = 20 * time.Millisecond
	// A request that holds at most smallBytes is small. Only small requests may use the last
	// 1/smallPart of the budget, so that they are read while large ones wait.
	smallBytes = 16 * kilobyte
	smallPart  = 8
)

// Reason says why a request or a connection was refused.
type Reason string

// Reasons of refusals. Their values are part of metrics and events.
const (
	// ReasonGaveWay: the request was the slowest when the budget was full.
	ReasonGaveWay Reason = "gave_way"
	// ReasonFull: the request waited for the budget for a second.
	ReasonFull Reason = "intake_full"
	// ReasonStalled: the body made no progress, or took too long.
	ReasonStalled Reason = "body_stalled"
	// ReasonBusy: the processor has more large bodies to work on than it can in time.
	ReasonBusy Reason = "processor_busy"
	// ReasonStopping: the daemon stops before the whole body has come.
	ReasonStopping Reason = "daemon_stopping"
)

// Refusal is the error of a request that was refused. It has not run.
type Refusal struct {
	Reason Reason
	// RetryAfter is the time after which the request would be served at the present rate; 0
	// if that is not known.
	RetryAfter time.Duration
}

func (r *Refusal) Error() string { return string(r.Reason) }

// ErrOverBudget is the error of a request that takes more memory than all requests together
// may take.
var ErrOverBudget = errors.New("takes more memory than the budget of all requests")

// Usage is what the requests of a budget hold, and the budget's limit, in bytes.
type Usage struct{ Held, Limit int64 }

// Budget bounds the bytes of all requests together. When it is full, the slowest request
// gives way.
type Budget struct {
	limit int64
	now   func() time.Time

	mu   sync.Mutex
	used int64
	// evictedBytes counts the bytes that evicted requests have not released yet.
	evictedBytes int64
	// searchAfter is the earliest time of the next search for a request to evict.
	searchAfter time.Time
	entries     map[*Entry]struct{}
	// sequence numbers the requests in the order in which they began.
	sequence uint64
	// stopped is the reason for which all new requests are refused; empty if they are not.
	stopped Reason
	// changed is closed, and replaced, when bytes are released or a request is evicted.
	changed chan struct{}
}

// Client is who sent a request.
type Client struct {
	// Group is the group of clients for which the request counts, such as a tenant; empty if
	// it is not known.
	Group string
	// Address is the host address of the other end of its connection.
	Address string
}

// Entry is one request's part of a budget.
type Entry struct {
	budget    *Budget
	client    Client
	sequence  uint64
	progress  Progress
	held      int64
	interrupt func()
	// work is the request's place in a WorkQueue, nil if it has none.
	work *Work
	// arriving is set until the whole request has come. Only an arriving request is evicted.
	// waiting is set while Take waits for bytes.
	arriving, waiting, evicted, ended bool
	// reason is why the request was evicted.
	reason Reason
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

// Begin adds a request of a client with an expected size in bytes. Interrupt ends its reading
// or writing; it is called once, with the budget locked, if the request has to give way.
func (b *Budget) Begin(client Client, size int64, interrupt func()) *Entry {
	e := &Entry{budget: b, client: client, progress: NewProgress(size, b.now()), interrupt: interrupt, arriving: true}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.sequence++
	e.sequence = b.sequence
	e.evicted, e.reason = b.stopped != "", b.stopped
	b.entries[e] = struct{}{}
	return e
}

// Add records that n bytes have come. It returns a *Refusal if the request has to give way.
func (e *Entry) Add(n int) error {
	e.budget.mu.Lock()
	defer e.budget.mu.Unlock()
	e.progress.Add(int64(n), e.budget.now())
	return e.err()
}

// setWork notes the request's place in a WorkQueue. While it waits there it is not slow, and
// while it waits for memory it leaves the processor to others.
func (e *Entry) setWork(w *Work) {
	e.budget.mu.Lock()
	defer e.budget.mu.Unlock()
	e.work = w
}

// pause excludes a time in which the daemon did not read from the request's progress.
func (e *Entry) pause(d time.Duration) {
	e.budget.mu.Lock()
	defer e.budget.mu.Unlock()
	e.progress.Resume(d)
}

// Do calls f with the budget locked, so that interrupt is not called meanwhile. If the request
// has to give way, it returns a *Refusal instead.
func (e *Entry) Do(f func()) error {
	e.budget.mu.Lock()
	defer e.budget.mu.Unlock()
	if e.evicted {
		return e.err()
	}
	f()
	return nil
}

func (e *Entry) err() error {
	if e.evicted {
		return &Refusal{Reason: e.reason}
	}
	return nil
}

// Stop refuses all requests that have not come whole, and each that begins later.
func (b *Budget) Stop(reason Reason) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.stopped = reason
	for e := range b.entries {
		if e.arriving && !e.evicted {
			b.evict(e, reason)
		}
	}
}

// Arrived records that the whole request has come. From then on it does not give way. It
// returns a *Refusal if it already has to.
func (e *Entry) Arrived() error {
	e.budget.mu.Lock()
	defer e.budget.mu.Unlock()
	if e.evicted {
		return e.err()
	}
	e.arriving = false
	return nil
}

// Try takes n bytes without waiting, and reports whether it could. Slower requests give way;
// their bytes count as free before they are released.
func (e *Entry) Try(n int64) bool {
	e.budget.mu.Lock()
	defer e.budget.mu.Unlock()
	return !e.evicted && e.budget.take(e, n, true)
}

// TryQueue takes n bytes for a message that is queued to be sent, without waiting, and
// reports whether it could.
func (e *Entry) TryQueue(n int64) bool {
	e.budget.mu.Lock()
	defer e.budget.mu.Unlock()
	if e.ended || e.evicted {
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

// Take takes n bytes. It waits until they are free, for at most a second; slower requests
// give way meanwhile. It returns a *Refusal if it fails, and ErrOverBudget at once if the
// bytes can never be free.
func (e *Entry) Take(n int64) error {
	err := e.takeOrWait(n)
	if e.work != nil && err == nil {
		e.work.Acquire()
		err = e.work.Refused()
	}
	return err
}

// takeOrWait is Take without the right to the processor, which a wait gives up.
func (e *Entry) takeOrWait(n int64) error {
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
		case e.evicted:
			return e.err()
		case e.held+n > b.limitFor(e, n):
			return ErrOverBudget
		case b.take(e, n, false):
			return nil
		case e.evicted:
			return e.err()
		case b.now().Sub(began) >= waitTimeout:
			return &Refusal{Reason: ReasonFull}
		}
		if e.work != nil {
			e.work.Yield()
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
	limit := b.limitFor(e, n)
	// No request is evicted for one that can never fit.
	if e.held+n > limit {
		return false
	}
	for {
		free := limit - b.used
		freeSoon := free + b.evictedBytes
		if n <= free || early && n <= freeSoon {
			b.used += n
			e.held += n
			return true
		}
		if n <= freeSoon || !b.evictFor(e) || e.evicted {
			return false
		}
	}
}

// limitFor returns how much of the budget may be in use with n more bytes of e. A part is
// kept for small requests.
func (b *Budget) limitFor(e *Entry, n int64) int64 {
	if e.held+n > smallBytes {
		return b.limit - b.limit/smallPart
	}
	return b.limit
}

// evictFor makes a request give way to e: the slowest, or one of a group that holds more than its
// share. It reports false if none has to.
func (b *Budget) evictFor(e *Entry) bool {
	now := b.now()
	if now.Before(b.searchAfter) {
		return false
	}
	victim := b.slowest(now)
	if victim == nil {
		victim = b.beyondShare(e, now)
	}
	if victim == nil {
		b.searchAfter = now.Add(searchInterval)
		return false
	}
	b.evict(victim, ReasonGaveWay)
	return true
}

// evict makes a request give its bytes back.
func (b *Budget) evict(e *Entry, reason Reason) {
	e.evicted, e.reason = true, reason
	b.evictedBytes += e.held
	e.interrupt()
	b.signal()
}

// beyondShare returns the slowest arriving request of the group that holds the most, if that is
// more than an equal share of the budget for each group, and the group of e holds less than one.
func (b *Budget) beyondShare(e *Entry, now time.Time) (victim *Entry) {
	held := map[string]int64{e.client.Group: 0}
	for other := range b.entries {
		held[other.client.Group] += other.held
	}
	share := b.limit / int64(len(held))
	largest := e.client.Group
	for group, bytes := range held {
		if bytes > held[largest] {
			largest = group
		}
	}
	if held[largest] <= share || held[e.client.Group] >= share {
		return nil
	}
	for other := range b.entries {
		if other.client.Group != largest || !other.arriving || other.evicted || other.held == 0 {
			continue
		}
		if victim == nil || other.progress.Left(now) > victim.progress.Left(now) {
			victim = other
		}
	}
	return victim
}

// slowest returns the request that gives way next, or nil if all are fast: the one whose
// rest takes the longest at its present rate. If all that arrive wait for this budget or for the
// processor, it is the large one that began last, so that the others can go on.
func (b *Budget) slowest(now time.Time) (slowest *Entry) {
	longest, blocked := evictionGrace, true
	var last *Entry
	for e := range b.entries {
		if !e.arriving || e.evicted || e.held == 0 {
			continue
		}
		// A body that waits for the processor may wait for a request that waits for memory.
		if e.waiting || e.work != nil && e.work.isWaiting() {
			if e.held > smallBytes && (last == nil || e.sequence > last.sequence) {
				last = e
			}
			continue
		}
		blocked = false
		if left := e.progress.Left(now); e.progress.Age(now) >= evictionGrace && left >= longest {
			slowest, longest = e, left
		}
	}
	if blocked && last != nil {
		return last
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
	if e.evicted {
		e.budget.evictedBytes -= n
	}
	e.budget.signal()
}

// End gives all bytes back and removes the request. A nil *Entry holds nothing.
func (e *Entry) End() {
	if e == nil {
		return
	}
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
