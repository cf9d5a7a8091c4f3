package fairqueue

import (
	"container/heap"
	"time"
)

// tree schedules one class by start-time fair queueing on two levels: teams, and
// the callers of a team. Popped requests are charged their estimated cost; the
// difference to the slot time that they used is charged when they are done.
type tree[V any] struct {
	root    account[V]
	queued  int
	backlog time.Duration
	callers int
	// idle lists accounts without requests that may have been served ahead of
	// their share.
	idle    []*account[V]
	cursor  int
	maxIdle int
	// free holds removed accounts for reuse.
	free []*account[V]
}

// sweepsPerPush bounds the idle accounts that one push checks.
const sweepsPerPush = 2

func (t *tree[V]) init(maxIdle int) {
	t.root = account[V]{index: -1, children: make(map[string]*account[V])}
	t.maxIdle = maxIdle
}

// callerAccount returns the account of a caller, and creates it if needed.
func (t *tree[V]) callerAccount(teamName string, weight int, name string) *account[V] {
	t.sweep(sweepsPerPush)
	team := t.child(&t.root, teamName)
	team.weight = float64(max(weight, 1))
	return t.child(team, name)
}

func (t *tree[V]) child(parent *account[V], name string) *account[V] {
	if a, ok := parent.children[name]; ok {
		return a
	}
	a := t.newAccount()
	a.name, a.parent, a.weight, a.finish = name, parent, 1, parent.virtualTime
	parent.children[name] = a
	return a
}

func (t *tree[V]) push(e *entry[V]) {
	a := e.account
	e.previous = a.tail
	if a.tail != nil {
		a.tail.next = e
	} else {
		a.head = e
		t.callers++
	}
	a.tail = e
	t.count(a, 1, e.request.Cost)
	t.activate(a)
	t.activate(a.parent)
}

// activate adds an account that now has waiting requests to its parent's heap.
// Its finish is moved up to the parent's virtual time, so that an account gains
// no credit while it has no waiting requests.
func (t *tree[V]) activate(a *account[V]) {
	if a.active() {
		return
	}
	a.finish = max(a.finish, a.parent.virtualTime)
	heap.Push(&a.parent.waiting, a)
}

// pop takes the first request of the least served caller of the least served
// team, and charges its estimated cost. The class must have waiting requests.
func (t *tree[V]) pop() *entry[V] {
	team := t.root.waiting[0]
	t.root.virtualTime = team.finish
	caller := team.waiting[0]
	team.virtualTime = caller.finish
	e := caller.head
	t.unlink(e)
	caller.running++
	t.charge(caller, e.request.Cost)
	return e
}

// unlink removes e from the waiting requests of its caller.
func (t *tree[V]) unlink(e *entry[V]) {
	a := e.account
	if e.previous != nil {
		e.previous.next = e.next
	} else {
		a.head = e.next
	}
	if e.next != nil {
		e.next.previous = e.previous
	} else {
		a.tail = e.previous
	}
	e.previous, e.next = nil, nil
	t.count(a, -1, -e.request.Cost)
	if a.head == nil {
		t.callers--
		heap.Remove(&a.parent.waiting, a.index)
	}
	if a.parent.queued == 0 {
		heap.Remove(&t.root.waiting, a.parent.index)
	}
}

func (t *tree[V]) count(a *account[V], n int, cost time.Duration) {
	t.queued += n
	t.backlog += cost
	for ; a != &t.root; a = a.parent {
		a.queued += n
		a.backlog += cost.Seconds()
	}
}

// charge adds used slot time to a caller and its team; a negative time is a
// refund.
func (t *tree[V]) charge(a *account[V], used time.Duration) {
	for ; a != &t.root; a = a.parent {
		a.finish += used.Seconds() / a.weight
		if a.active() {
			heap.Fix(&a.parent.waiting, a.index)
		}
	}
}

// load returns the load of a caller as if it had one more request.
func (t *tree[V]) load(teamName string, weight int, name string) Load {
	weights, callers := float64(max(weight, 1)), 1
	var load Load
	team, known := t.root.children[teamName]
	if known {
		callers = len(team.waiting)
		c, ok := team.children[name]
		if ok {
			load.Queued = c.queued
			load.Backlog = time.Duration(c.backlog * float64(time.Second))
		}
		if !ok || !c.active() {
			callers++
		}
	}
	own := weights
	for _, other := range t.root.waiting {
		if other.name != teamName {
			weights += other.weight
		}
	}
	load.Share = own / weights / float64(callers)
	return load
}
