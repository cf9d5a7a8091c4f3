package owner

import (
	"cmp"
	"slices"
	"time"

	"github.com/currantwinch/currantwinch/cluster"
	"github.com/currantwinch/currantwinch/internal/roles"
	"github.com/currantwinch/currantwinch/ownership"
)

func compareShares(a, b cluster.Share) int {
	return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Name, b.Name))
}

// Lease implements roles.Owners.
func (w *Owner) Lease(share cluster.Share) (roles.Lease, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.giveLocked(share, w.now())
}

// LeaseUntil implements roles.Owners.
func (w *Owner) LeaseUntil(share cluster.Share, limit time.Time) (roles.Lease, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	right, ok := w.giveLocked(share, w.now())
	if !ok {
		return roles.Lease{}, false
	}
	if limit.Before(right.Until) {
		right.Until = limit
	}
	w.parts[share] = w.protocol.RecordDeferredUse(w.parts[share], w.instant(right.Until))
	return right, true
}

// giveLocked returns the right that this daemon has now and notes it as given.
func (w *Owner) giveLocked(share cluster.Share, now ownership.Instant) (roles.Lease, bool) {
	part, ok := w.parts[share]
	if !ok {
		return roles.Lease{}, false
	}
	if !part.Effective && len(part.Prior) == 0 {
		part = w.protocol.Advance(part, noneEnded, now)
	}
	until, ok := w.protocol.Lease(part, now)
	ok = ok && !w.left
	if ok {
		part = w.protocol.RecordUse(part, until)
	}
	w.parts[share] = part
	if !ok {
		return roles.Lease{}, false
	}
	return roles.Lease{
		Share: share, Epoch: part.FirstEpoch, ClaimEpoch: part.Tenure.Epoch, EffectiveSince: w.time(part.EffectiveSince), Until: w.time(until),
	}, true
}

func noneEnded(string) bool { return false }

// Leases implements roles.Owners.
func (w *Owner) Leases() []roles.Lease {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.now()
	var rights []roles.Lease
	for share := range w.parts {
		if r, ok := w.giveLocked(share, now); ok {
			rights = append(rights, r)
		}
	}
	slices.SortFunc(rights, func(a, b roles.Lease) int { return compareShares(a.Share, b.Share) })
	return rights
}

// Owner implements roles.Owners. There is none for a share that was released,
// or whose holder's process has ended.
func (w *Owner) Owner(share cluster.Share) (cluster.Daemon, bool) {
	view := w.o.State.View()
	e, ok := view.Share(share)
	if !ok || e.Released {
		return cluster.Daemon{}, false
	}
	for _, d := range view.Daemons() {
		if d.Incarnation == e.Incarnation {
			return d, true
		}
	}
	return cluster.Daemon{}, false
}
