package fairqueue

import (
	"container/heap"
	"time"
)

// tree serves one class by start-time fair queueing on two levels. What an
// account used beyond its estimate is charged when the request is done, so
// the order follows what was really used.
type tree[V any] struct {
	root    account[V]
	queued  int
	backlog time.Duration
	callers int
	// idle lists accounts without work that may still owe service.
	idle    []*account[V]
	cursor  int
	maxIdle int
	free    []*account[V]
}

// sweepsPerPush bounds the idle accounts looked at by one push.
const sweepsPerPush = 2

func (t *tree[V]) init(maxIdle int) {
	t.root = account[V]{index: -1, children: make(map[string]*account[V])}
	t.maxIdle = maxIdle
}

// caller returns the account of a caller, which it makes where there is none.
func (t *tree[V]) caller(teamName string, weight int, name string) *account[V] {
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
	a.name, a.parent, a.weight, a.finish = name, parent, 1, parent.virtual
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

// activate puts an account that now has waiting work into its parent's heap.
// Time spent without waiting work earns no claim.
func (t *tree[V]) activate(a *account[V]) {
	if a.active() {
		return
	}
	a.finish = max(a.finish, a.parent.virtual)
	heap.Push(&a.parent.waiting, a)
}

// pop takes the first request of the least served caller of the least served
// team and charges its estimate. The class must have waiting work.
func (t *tree[V]) pop() *entry[V] {
	team := t.root.waiting[0]
	t.root.virtual = team.finish
	caller := team.waiting[0]
	team.virtual = caller.finish
	e := caller.head
	t.unlink(e)
	caller.running++
	t.charge(caller, e.request.Cost)
	return e
}

// unlink takes e out of its caller's requests.
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

// charge adds used slot time, negative to give back, to a caller and its team.
func (t *tree[V]) charge(a *account[V], used time.Duration) {
	for ; a != &t.root; a = a.parent {
		a.finish += used.Seconds() / a.weight
		if a.active() {
			heap.Fix(&a.parent.waiting, a.index)
		}
	}
}

// load says how a caller's waiting work compares with that of others.
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
