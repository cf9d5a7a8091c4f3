package fairqueue

import (
	"container/heap"
	"time"

	"github.com/currantwinch/currantwinch/estimate"
)

// EffectiveClass returns the class with which a request must be pushed and
// admitted. That is the given class, except for short requests of a caller or
// team whose short requests alone have exceeded its fair share by
// Options.OveruseBurst while long requests of others waited: these are queued as
// long requests.
func (q *Queue[V]) EffectiveClass(class estimate.Class, team, caller string) estimate.Class {
	if class == estimate.Short && q.classes[estimate.Long].exceedsShare(team, caller, q.options.OveruseBurst.Seconds()) {
		return estimate.Long
	}
	return class
}

// exceedsShare reports whether the short requests of the team or of the caller
// have exceeded their share by more than burst seconds of slot time.
func (t *tree[V]) exceedsShare(teamName, name string, burst float64) bool {
	team, ok := t.root.children[teamName]
	if !ok || t.queued == 0 {
		return false
	}
	if team.contended() && team.overuse() > burst {
		return true
	}
	caller, ok := team.children[name]
	return ok && caller.contended() && caller.overuse() > burst
}

// contended reports whether long requests of a sibling account wait.
func (a *account[V]) contended() bool {
	others := len(a.parent.waiting)
	if a.active() {
		others--
	}
	return others > 0
}

func (a *account[V]) overuse() float64 { return a.shortFinish - a.parent.virtualTime }

// chargeShort charges slot time that a short request used to the accounts of the
// long class. It charges nothing while no long request waits.
func (t *tree[V]) chargeShort(r Request, used time.Duration) {
	if t.queued == 0 || r.Class != estimate.Short {
		return
	}
	caller := t.callerAccount(r.Team, r.Weight, r.Caller)
	for a := caller; a != &t.root; a = a.parent {
		if !a.contended() {
			continue
		}
		a.shortFinish = max(a.shortFinish, a.parent.virtualTime) + used.Seconds()/a.weight
		a.finish = max(a.finish, a.parent.virtualTime) + used.Seconds()/a.weight
		if a.active() {
			heap.Fix(&a.parent.waiting, a.index)
		}
	}
	t.markIdle(caller)
}
