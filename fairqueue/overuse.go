package fairqueue

import (
	"container/heap"
	"time"

	"github.com/currantwinch/currantwinch/estimate"
)

// EffectiveClass returns the class that a request is to be pushed and admitted with.
// That is the given one, except for short work of a caller or team that has
// used, by its short work alone, more than its whole fair part while long work
// of others had to wait: it waits among the long work, in its turn.
func (q *Queue[V]) EffectiveClass(class estimate.Class, team, caller string) estimate.Class {
	if class == estimate.Short && q.classes[estimate.Long].overused(team, caller, q.options.OveruseBurst.Seconds()) {
		return estimate.Long
	}
	return class
}

// overused reports whether short work is ahead of its part by more than burst
// seconds of slot time, on either level.
func (t *tree[V]) overused(teamName, name string, burst float64) bool {
	team, ok := t.root.children[teamName]
	if !ok || t.queued == 0 {
		return false
	}
	if team.contended() && team.ahead() > burst {
		return true
	}
	caller, ok := team.children[name]
	return ok && caller.contended() && caller.ahead() > burst
}

// contended reports whether long work of another account beside a waits.
func (a *account[V]) contended() bool {
	others := len(a.parent.waiting)
	if a.active() {
		others--
	}
	return others > 0
}

func (a *account[V]) ahead() float64 { return a.short - a.parent.virtual }

// chargeShort adds slot time used by short work to the accounts by which long
// work is served. It costs nothing while no long work waits.
func (t *tree[V]) chargeShort(r Request, used time.Duration) {
	if t.queued == 0 || r.Class != estimate.Short {
		return
	}
	caller := t.caller(r.Team, r.Weight, r.Caller)
	for a := caller; a != &t.root; a = a.parent {
		if !a.contended() {
			continue
		}
		a.short = max(a.short, a.parent.virtual) + used.Seconds()/a.weight
		a.finish = max(a.finish, a.parent.virtual) + used.Seconds()/a.weight
		if a.active() {
			heap.Fix(&a.parent.waiting, a.index)
		}
	}
	t.release(caller)
}
