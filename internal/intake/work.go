package intake

import (
	"container/heap"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// workWaitTimeout limits how long a body waits for the processor in all.
	workWaitTimeout = 3 * time.Second
	// workRateInterval is the time after which the measured rate of work is renewed.
	workRateInterval = 500 * time.Millisecond
)

// WorkQueue bounds how many large bodies are parsed and decoded at a time, so that small
// requests find the processor free of a crowd of large ones. Groups of clients, such as
// tenants, take turns by the bytes that were worked on; within a group the body that began first
// comes first, so that bodies are completed one after the other.
//
// A body that waits for its client is not in the queue and does not count.
type WorkQueue struct {
	limit int
	now   func() time.Time

	mu      sync.Mutex
	running int
	// waiting is the number of bodies that wait.
	waiting int
	groups  map[string]*workGroup
	// sequence numbers the bodies in the order in which they began.
	sequence uint64
	rate     workRate
}

// workGroup holds the bodies of one group of clients.
type workGroup struct {
	// bodies counts those that have begun and not ended.
	bodies  int
	waiting workHeap
	// waitingBytes is what the waiting bodies need to their ends.
	waitingBytes int64
	// starved holds the bodies that wait for memory. Those that began later wait for them,
	// or they would take what becomes free.
	starved map[*Work]struct{}
	// served is the work in bytes that the group has had, at least as much as the group
	// that had the least when this one began.
	served int64
}

// Work is one body's place in a WorkQueue.
type Work struct {
	queue     *WorkQueue
	group     *workGroup
	groupName string
	sequence  uint64
	// left is the number of bytes to the body's end, and deadline the end of its caller's time;
	// zero if there is none.
	left     int64
	deadline time.Time
	// waited is how long the body has waited for the processor, and untaken the part of it that
	// takeWaited has not returned.
	waited, untaken time.Duration
	refused         error
	// running is set while the body has the processor, and index is its place among the
	// waiting ones, -1 if it does not wait.
	running bool
	index   int
	// active is set while the body has the processor, or waits for it or for memory.
	active atomic.Bool
	// ready is closed when a waiting body gets the processor or is cancelled.
	ready     chan struct{}
	cancelled bool
}

// NewWorkQueue returns a queue in which limit bodies are worked on at a time.
func NewWorkQueue(limit int, now func() time.Time) *WorkQueue {
	return &WorkQueue{limit: limit, now: now, groups: make(map[string]*workGroup)}
}

// Begin adds a body of size bytes of the named group, whose caller waits until deadline. Its End
// must be called.
func (q *WorkQueue) Begin(group string, size int64, deadline time.Time) *Work {
	q.mu.Lock()
	defer q.mu.Unlock()
	g, ok := q.groups[group]
	if !ok {
		g = &workGroup{served: q.leastServed(), starved: make(map[*Work]struct{})}
		q.groups[group] = g
	}
	g.bodies++
	q.sequence++
	return &Work{queue: q, group: g, groupName: group, sequence: q.sequence, left: size, deadline: deadline, index: -1}
}

// leastServed returns the work of the group that has had the least.
func (q *WorkQueue) leastServed() int64 {
	least := int64(-1)
	for _, g := range q.groups {
		if least < 0 || g.served < least {
			least = g.served
		}
	}
	return max(0, least)
}

// Add records that n bytes of the body were worked on.
func (w *Work) Add(n int64) {
	q := w.queue
	q.mu.Lock()
	defer q.mu.Unlock()
	w.left = max(0, w.left-n)
	w.group.served += n
	q.rate.add(n, q.now(), q.waiting > 0)
}

// Acquire waits until the body may be worked on. If that takes too long, or the work ahead shows
// at once that it will, Refused has the refusal.
func (w *Work) Acquire() {
	q := w.queue
	q.mu.Lock()
	defer q.mu.Unlock()
	if w.running || w.cancelled || w.refused != nil {
		return
	}
	delete(w.group.starved, w)
	if q.running < q.limit && q.waiting == 0 && w.group.mayStart(w) {
		w.start()
		return
	}
	limit := w.waitLimit()
	if expected := q.expectedWait(w); expected > limit {
		w.refused = &Refusal{Reason: ReasonBusy, RetryAfter: expected}
		q.grant()
		return
	}
	began := q.now()
	w.await(limit)
	passed := q.now().Sub(began)
	w.waited += passed
	w.untaken += passed
	if w.index >= 0 {
		q.remove(w)
		w.refused = &Refusal{Reason: ReasonBusy, RetryAfter: q.expectedWait(w)}
	}
}

// await waits for the processor for at most limit. The queue is unlocked meanwhile.
func (w *Work) await(limit time.Duration) {
	q := w.queue
	w.ready = make(chan struct{})
	heap.Push(&w.group.waiting, w)
	w.active.Store(true)
	w.group.waitingBytes += w.left
	q.waiting++
	q.grant()
	q.mu.Unlock()
	defer q.mu.Lock()
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case <-w.ready:
	case <-timer.C:
	}
}

// Refused returns the *Refusal of a body that cannot be worked on in time, or nil.
func (w *Work) Refused() error {
	w.queue.mu.Lock()
	defer w.queue.mu.Unlock()
	return w.refused
}

// isWaiting reports whether the body waits for the processor.
func (w *Work) isWaiting() bool {
	w.queue.mu.Lock()
	defer w.queue.mu.Unlock()
	return w.index >= 0
}

// takeWaited returns how long the body has waited since the last call.
func (w *Work) takeWaited() time.Duration {
	w.queue.mu.Lock()
	defer w.queue.mu.Unlock()
	d := w.untaken
	w.untaken = 0
	return d
}

// waitLimit returns how much longer the body may wait.
func (w *Work) waitLimit() time.Duration {
	limit := workWaitTimeout - w.waited
	if !w.deadline.IsZero() {
		limit = min(limit, w.deadline.Sub(w.queue.now()))
	}
	return max(0, limit)
}

// expectedWait returns how long the body would wait at the present rate of work: for the bodies
// of its group that come before it, and for as much work of each other group.
func (q *WorkQueue) expectedWait(w *Work) time.Duration {
	own := int64(0)
	for _, other := range w.group.waiting {
		if other.sequence < w.sequence {
			own += other.left
		}
	}
	ahead := own
	for _, g := range q.groups {
		if g != w.group {
			ahead += min(g.waitingBytes, own+w.left)
		}
	}
	return q.rate.timeFor(ahead)
}

// Release lets the next body be worked on. It has no effect if this one has not acquired the
// processor.
func (w *Work) Release() {
	q := w.queue
	q.mu.Lock()
	defer q.mu.Unlock()
	q.release(w)
}

// Yield lets the next body be worked on while this one waits for memory.
func (w *Work) Yield() {
	q := w.queue
	q.mu.Lock()
	defer q.mu.Unlock()
	w.group.starved[w] = struct{}{}
	q.release(w)
	w.active.Store(true)
}

// Cancel ends a wait of the body, and each later one at once.
func (w *Work) Cancel() {
	q := w.queue
	q.mu.Lock()
	defer q.mu.Unlock()
	w.cancelled = true
	if w.index >= 0 {
		q.remove(w)
		close(w.ready)
	}
	if w.group != nil {
		delete(w.group.starved, w)
		q.grant()
	}
}

// End removes the body. Repeated calls have no effect.
func (w *Work) End() {
	q := w.queue
	q.mu.Lock()
	defer q.mu.Unlock()
	w.cancelled = true
	if w.group == nil {
		return
	}
	delete(w.group.starved, w)
	q.release(w)
	w.group.bodies--
	if w.group.bodies == 0 {
		delete(q.groups, w.groupName)
	}
	w.group = nil
}

func (w *Work) start() {
	w.running = true
	w.queue.running++
	w.active.Store(true)
}

func (q *WorkQueue) remove(w *Work) {
	heap.Remove(&w.group.waiting, w.index)
	w.active.Store(false)
	w.group.waitingBytes -= w.left
	q.waiting--
}

func (q *WorkQueue) release(w *Work) {
	if w.running {
		w.running = false
		w.active.Store(false)
		q.running--
	}
	q.grant()
}

// grant lets waiting bodies be worked on as far as the limit allows.
func (q *WorkQueue) grant() {
	for q.running < q.limit {
		next := q.next()
		if next == nil {
			return
		}
		q.remove(next)
		next.start()
		close(next.ready)
	}
}

// next returns the waiting body that comes first, or nil if none may start.
func (q *WorkQueue) next() *Work {
	var first *workGroup
	for _, g := range q.groups {
		if len(g.waiting) > 0 && g.mayStart(g.waiting[0]) && (first == nil || g.before(first)) {
			first = g
		}
	}
	if first == nil {
		return nil
	}
	return first.waiting[0]
}

// mayStart reports whether no body of the group that began before w waits for memory.
func (g *workGroup) mayStart(w *Work) bool {
	for starved := range g.starved {
		if starved.sequence < w.sequence {
			return false
		}
	}
	return true
}

// before reports whether g comes before another group, both with waiting bodies.
func (g *workGroup) before(other *workGroup) bool {
	if g.served != other.served {
		return g.served < other.served
	}
	return g.waiting[0].sequence < other.waiting[0].sequence
}

// workHeap implements heap.Interface.
type workHeap []*Work

func (h workHeap) Len() int           { return len(h) }
func (h workHeap) Less(i, k int) bool { return h[i].sequence < h[k].sequence }
func (h workHeap) Swap(i, k int) {
	h[i], h[k] = h[k], h[i]
	h[i].index, h[k].index = i, k
}

func (h *workHeap) Push(x any) {
	w := x.(*Work)
	w.index = len(*h)
	*h = append(*h, w)
}

func (h *workHeap) Pop() any {
	last := len(*h) - 1
	w := (*h)[last]
	w.index = -1
	(*h)[last] = nil
	*h = (*h)[:last]
	return w
}

// workRate measures the work while bodies wait, when the processor is fully used.
type workRate struct {
	// perSecond is the rate in bytes a second, 0 while it is not known.
	perSecond float64
	began     time.Time
	bytes     int64
	busy      bool
}

// add records n bytes of work. The rate is measured over times in which bodies waited.
func (r *workRate) add(n int64, now time.Time, busy bool) {
	if !busy || !r.busy {
		r.began, r.bytes, r.busy = now, 0, busy
		return
	}
	r.bytes += n
	if passed := now.Sub(r.began); passed >= workRateInterval {
		r.perSecond = float64(r.bytes) / passed.Seconds()
		r.began, r.bytes = now, 0
	}
}

// timeFor returns how long n bytes of work take, 0 if the rate is not known.
func (r *workRate) timeFor(n int64) time.Duration {
	if r.perSecond <= 0 {
		return 0
	}
	return time.Duration(float64(n) / r.perSecond * float64(time.Second))
}
