package fairqueue

// markIdle adds an account without waiting or running requests to the idle list.
// A sweep removes the account once it is no longer ahead of its share. If the
// list is too long, the next account is removed regardless.
func (t *tree[V]) markIdle(a *account[V]) {
	if a.active() || a.running > 0 || a.idle {
		return
	}
	a.idle = true
	t.idle = append(t.idle, a)
	if len(t.idle) > t.maxIdle {
		t.sweepNext(true)
	}
}

// sweep checks up to n idle accounts, round robin.
func (t *tree[V]) sweep(n int) {
	for range min(n, len(t.idle)) {
		t.sweepNext(false)
	}
}

// sweepNext removes the next idle account, unless it is ahead of its share and
// the removal is not forced. An account that is in use again is taken off the
// idle list and kept.
func (t *tree[V]) sweepNext(forced bool) {
	t.cursor = (t.cursor + 1) % len(t.idle)
	a := t.idle[t.cursor]
	used := a.active() || a.running > 0 || len(a.children) > 0
	if !used && !forced && max(a.finish, a.shortFinish) > a.parent.virtualTime {
		return
	}
	last := len(t.idle) - 1
	t.idle[t.cursor] = t.idle[last]
	t.idle[last] = nil
	t.idle = t.idle[:last]
	a.idle = false
	if !used {
		t.removeAccount(a)
	}
}

func (t *tree[V]) removeAccount(a *account[V]) {
	parent := a.parent
	delete(parent.children, a.name)
	*a = account[V]{index: -1, waiting: a.waiting[:0], children: a.children}
	t.free = append(t.free, a)
	if parent != &t.root {
		t.markIdle(parent)
	}
}

func (t *tree[V]) newAccount() *account[V] {
	if last := len(t.free) - 1; last >= 0 {
		a := t.free[last]
		t.free = t.free[:last]
		return a
	}
	return &account[V]{index: -1, children: make(map[string]*account[V])}
}
