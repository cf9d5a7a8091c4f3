package fairqueue

// account is a team, or a caller of a team. Its finish is the virtual finish
// time of start-time fair queueing: the slot time that it was charged, in
// seconds, divided by its weight.
type account[V any] struct {
	name   string
	parent *account[V]
	weight float64
	finish float64
	// shortFinish is like finish, but counts only short requests that ran while
	// long requests waited.
	shortFinish float64
	// index is the position in the parent's heap, or -1 if no request of the
	// account waits.
	index int
	// waiting holds the children with waiting requests, the least served first.
	// virtualTime is the finish of the child that was served last.
	waiting     accountHeap[V]
	virtualTime float64
	// children holds all child accounts by name.
	children map[string]*account[V]
	// head and tail link a caller's waiting requests in order of arrival.
	head, tail *entry[V]
	queued     int
	running    int
	// backlog is the expected slot time of the waiting requests, in seconds.
	backlog float64
	// idle is set while the account is in the tree's list of idle accounts.
	idle bool
}

// active reports whether the account has waiting requests.
func (a *account[V]) active() bool { return a.index >= 0 }

// accountHeap orders accounts by finish. It implements heap.Interface.
type accountHeap[V any] []*account[V]

func (h accountHeap[V]) Len() int { return len(h) }

func (h accountHeap[V]) Less(i, j int) bool { return h[i].finish < h[j].finish }

func (h accountHeap[V]) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

func (h *accountHeap[V]) Push(x any) {
	a := x.(*account[V])
	a.index = len(*h)
	*h = append(*h, a)
}

func (h *accountHeap[V]) Pop() any {
	last := len(*h) - 1
	a := (*h)[last]
	a.index = -1
	(*h)[last] = nil
	*h = (*h)[:last]
	return a
}
