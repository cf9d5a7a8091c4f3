package fairqueue

import "time"

// entry is a request from Push until it ends. Entries are reused, with a new
// generation, so that handles of earlier requests become invalid.
type entry[V any] struct {
	request    Request
	value      V
	account    *account[V]
	pushed     time.Time
	generation uint64
	running    bool
	// expiryIndex is the position in the expiry heap.
	expiryIndex int
	previous    *entry[V]
	next        *entry[V]
}

func (q *Queue[V]) newEntry() *entry[V] {
	e := q.free
	if e == nil {
		return &entry[V]{generation: 1}
	}
	q.free = e.next
	e.next = nil
	return e
}

func (q *Queue[V]) freeEntry(e *entry[V]) {
	*e = entry[V]{generation: e.generation + 1, next: q.free}
	q.free = e
}

// expiryHeap orders waiting entries by their latest start. It implements
// heap.Interface.
type expiryHeap[V any] []*entry[V]

func (h expiryHeap[V]) Len() int { return len(h) }

func (h expiryHeap[V]) Less(i, j int) bool {
	return h[i].request.LatestStart.Before(h[j].request.LatestStart)
}

func (h expiryHeap[V]) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].expiryIndex, h[j].expiryIndex = i, j
}

func (h *expiryHeap[V]) Push(x any) {
	e := x.(*entry[V])
	e.expiryIndex = len(*h)
	*h = append(*h, e)
}

func (h *expiryHeap[V]) Pop() any {
	last := len(*h) - 1
	e := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	return e
}
