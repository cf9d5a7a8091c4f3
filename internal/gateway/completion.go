package gateway

import (
	"maps"
	"slices"
	"time"

	"github.com/currantwinch/currantwinch/cluster"
	"github.com/currantwinch/currantwinch/dispatch"
	"github.com/currantwinch/currantwinch/estimate"
	"github.com/currantwinch/currantwinch/internal/events"
	"github.com/currantwinch/currantwinch/verdict"
)

func shareOf(vm cluster.VM) cluster.Share { return cluster.BackendShare(vm) }

// statusMargin: a status that was asked for less than this long after an attempt
// ended without a response does not confirm that its request has ended. The
// request may still be on its way to the backend server.
const statusMargin = 500 * time.Millisecond

// slotUnused returns a slot on which nothing was sent.
type slotUnused struct{ slot *slot }

func (e slotUnused) apply(d *dispatcher) {
	s := e.slot
	s.pool.queue.Cancel(s.handle)
	s.pool.balancer.Finished(s.vm.Name, dispatch.Result{Outcome: dispatch.Cancelled}, d.o.Now())
	s.pool.running[s.class]--
	s.pool.holder.Release(s.credit)
}

// attemptFinished reports the end of a call's attempt on a slot.
type attemptFinished struct {
	slot     *slot
	key      estimate.Key
	id       string
	response Response
	err      error
	runTime  time.Duration
}

func (e attemptFinished) apply(d *dispatcher) {
	s, now := e.slot, d.o.Now()
	if verdict.ReasonOf(e.err) == ReasonBackendUnreachable {
		d.markUnreachable(s.vm.Name)
	}
	s.pool.queue.Done(s.handle, e.runTime)
	before, _ := s.pool.balancer.Status(s.vm.Name)
	s.pool.balancer.Finished(s.vm.Name, dispatch.Result{
		Outcome: e.outcome(), Caller: s.caller, RunTime: e.runTime, ExpectedRunTime: s.expectedRunTime,
	}, now)
	d.logHealthChange(s, before.Ejected, verdict.ReasonOf(e.err))
	if e.err == nil {
		d.estimator.Observe(e.key, e.runTime, now)
	}
	s.pool.running[s.class]--
	if verdict.Of(e.err) == verdict.MayHaveRun {
		// The backend server may still run the request, so the slot stays in use.
		s.requestID, s.unconfirmedSince = e.id, now
		d.markUnconfirmed(s)
		return
	}
	s.pool.holder.Release(s.credit)
}

// logHealthChange logs that a backend server was ejected or readmitted.
func (d *dispatcher) logHealthChange(s *slot, wasEjected bool, reason verdict.Reason) {
	after, _ := s.pool.balancer.Status(s.vm.Name)
	switch {
	case after.Ejected && !wasEjected:
		d.o.Events.Log(events.BackendEjected, "backend", s.vm.Name, "reason", reason)
	case wasEjected && !after.Ejected:
		d.o.Events.Log(events.BackendReadmitted, "backend", s.vm.Name)
	}
}

func (e attemptFinished) outcome() dispatch.Outcome {
	if e.err == nil {
		if e.response.Status >= 500 {
			return dispatch.Failure
		}
		return dispatch.Success
	}
	switch verdict.ReasonOf(e.err) {
	case ReasonLeaseExpired, ReasonDeadlineExceeded, ReasonBackendLeaving:
		return dispatch.Cancelled
	case ReasonNoResponse:
		return dispatch.Timeout
	default:
		return dispatch.Failure
	}
}

func (d *dispatcher) markUnconfirmed(s *slot) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.unconfirmed = append(d.unconfirmed, s)
}

// markUnreachable notes that a backend server refused a connection. It gets no
// work until it answers a status request, unless all of its pool are unreachable.
func (d *dispatcher) markUnreachable(backend string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.unreachable[backend] = true
}

// isUnreachable reports whether a backend server refused its last connection.
func (d *dispatcher) isUnreachable(backend string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.unreachable[backend]
}

// unconfirmedBackends returns the backend servers that may still run requests that
// no caller waits for, and those that are unreachable.
func (d *dispatcher) unconfirmedBackends() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	names := slices.Collect(maps.Keys(d.unreachable))
	for _, s := range d.unconfirmed {
		names = append(names, s.vm.Name)
	}
	slices.Sort(names)
	return slices.Compact(names)
}

// releaseRemoved releases the unconfirmed slots of backend servers that are no
// longer listed: their requests ended with their VMs.
func (d *dispatcher) releaseRemoved() {
	d.mu.Lock()
	defer d.mu.Unlock()
	removed := func(name string) bool {
		_, listed := d.registry.vm(name)
		return !listed
	}
	maps.DeleteFunc(d.unreachable, func(name string, _ bool) bool { return removed(name) })
	d.unconfirmed = slices.DeleteFunc(d.unconfirmed, func(s *slot) bool {
		if !removed(s.vm.Name) {
			return false
		}
		s.pool.holder.Release(s.credit)
		return true
	})
}

// observeStatus releases the unconfirmed slots whose requests have ended by the
// backend server's status, which was asked for at the given time.
func (d *dispatcher) observeStatus(backend string, status BackendStatus, probedAt time.Time) {
	confirmed := d.confirm(backend, status, probedAt)
	for _, s := range confirmed {
		d.send(slotReleased{s})
	}
}

// confirm removes and returns the unconfirmed slots whose requests have ended by
// the status: those whose request ID it does not list or, if it lists no IDs, as
// many as the unconfirmed slots exceed the running requests.
func (d *dispatcher) confirm(backend string, status BackendStatus, probedAt time.Time) []*slot {
	d.mu.Lock()
	defer d.mu.Unlock()
	eligible := func(s *slot) bool { return s.vm.Name == backend && probedAt.Sub(s.unconfirmedSince) >= statusMargin }
	delete(d.unreachable, backend)
	named := len(status.RequestIDs) == status.Running
	excess := -status.Running
	for _, s := range d.unconfirmed {
		if s.vm.Name == backend {
			excess++
		}
	}
	var confirmed []*slot
	d.unconfirmed = slices.DeleteFunc(d.unconfirmed, func(s *slot) bool {
		ended := eligible(s) && (excess > len(confirmed) || named && !slices.Contains(status.RequestIDs, s.requestID))
		if ended {
			confirmed = append(confirmed, s)
		}
		return ended
	})
	return confirmed
}

// slotReleased returns a slot that was unconfirmed.
type slotReleased struct{ slot *slot }

func (e slotReleased) apply(*dispatcher) { e.slot.pool.holder.Release(e.slot.credit) }
