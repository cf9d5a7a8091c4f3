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

// doubtMargin is how long after a request went astray a server's word about
// what it runs is not yet believed: the request may still be on its way.
const doubtMargin = 500 * time.Millisecond

// unused gives back a slot on which nothing was sent.
type unused struct{ slot *slot }

func (e unused) apply(d *dispatcher) {
	s := e.slot
	s.pool.queue.Cancel(s.handle)
	s.pool.balancer.Finished(s.vm.Name, dispatch.Result{Outcome: dispatch.Cancelled}, d.o.Now())
	s.pool.running[s.class]--
	s.pool.holder.Release(s.credit)
}

// finished is the end of a call's attempt on a slot.
type finished struct {
	slot   *slot
	key    estimate.Key
	id     string
	answer Response
	err    error
	used   time.Duration
}

func (e finished) apply(d *dispatcher) {
	s, now := e.slot, d.o.Now()
	if verdict.ReasonOf(e.err) == ReasonBackendUnreachable {
		d.lose(s.vm.Name)
	}
	s.pool.queue.Done(s.handle, e.used)
	before, _ := s.pool.balancer.Status(s.vm.Name)
	s.pool.balancer.Finished(s.vm.Name, dispatch.Result{
		Outcome: e.outcome(), Caller: s.caller, RunTime: e.used, ExpectedRunTime: s.expects,
	}, now)
	d.noteHealth(s, before.Ejected, verdict.ReasonOf(e.err))
	if e.err == nil {
		d.estimator.Observe(e.key, e.used, now)
	}
	s.pool.running[s.class]--
	if verdict.Of(e.err) == verdict.MayHaveRun {
		// The server may still run the request: the slot is not free.
		s.requestID, s.since = e.id, now
		d.doubt(s)
		return
	}
	s.pool.holder.Release(s.credit)
}

// noteHealth logs that a backend server was put aside or came back.
func (d *dispatcher) noteHealth(s *slot, before bool, reason verdict.Reason) {
	after, _ := s.pool.balancer.Status(s.vm.Name)
	switch {
	case after.Ejected && !before:
		d.o.Events.Log(events.BackendPutAside, "backend", s.vm.Name, "reason", reason)
	case before && !after.Ejected:
		d.o.Events.Log(events.BackendBack, "backend", s.vm.Name)
	}
}

func (e finished) outcome() dispatch.Outcome {
	if e.err == nil {
		if e.answer.Status >= 500 {
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

func (d *dispatcher) doubt(s *slot) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.doubts = append(d.doubts, s)
}

// lose notes that a backend server refuses connections. It gets no work until
// it has said how it is, unless no other can be had.
func (d *dispatcher) lose(backend string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.lost[backend] = true
}

// isLost reports whether a backend server refused its last connection.
func (d *dispatcher) isLost(backend string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.lost[backend]
}

// doubtful returns the backend servers whose state is in doubt: those that may
// still run requests that nobody waits for, and those that cannot be reached.
func (d *dispatcher) doubtful() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	names := slices.Collect(maps.Keys(d.lost))
	for _, s := range d.doubts {
		names = append(names, s.vm.Name)
	}
	slices.Sort(names)
	return slices.Compact(names)
}

// forgetGone ends the doubts about backend servers that are listed no more:
// what they ran has ended with their VMs.
func (d *dispatcher) forgetGone() {
	d.mu.Lock()
	defer d.mu.Unlock()
	gone := func(name string) bool {
		_, listed := d.watch.vm(name)
		return !listed
	}
	maps.DeleteFunc(d.lost, func(name string, _ bool) bool { return gone(name) })
	d.doubts = slices.DeleteFunc(d.doubts, func(s *slot) bool {
		if !gone(s.vm.Name) {
			return false
		}
		s.pool.holder.Release(s.credit)
		return true
	})
}

// observe takes in what a backend server runs, as it said when asked.
func (d *dispatcher) observe(backend string, status BackendStatus, asked time.Time) {
	settled := d.settle(backend, status, asked)
	for _, s := range settled {
		d.send(released{s})
	}
}

// settle takes the slots out of doubt that the status clears: those whose
// request it does not name or, without names, as many as there are more slots
// in doubt than requests running.
func (d *dispatcher) settle(backend string, status BackendStatus, asked time.Time) []*slot {
	d.mu.Lock()
	defer d.mu.Unlock()
	old := func(s *slot) bool { return s.vm.Name == backend && asked.Sub(s.since) >= doubtMargin }
	delete(d.lost, backend)
	named := len(status.RequestIDs) == status.Running
	excess := -status.Running
	for _, s := range d.doubts {
		if s.vm.Name == backend {
			excess++
		}
	}
	var settled []*slot
	d.doubts = slices.DeleteFunc(d.doubts, func(s *slot) bool {
		clear := old(s) && (excess > len(settled) || named && !slices.Contains(status.RequestIDs, s.requestID))
		if clear {
			settled = append(settled, s)
		}
		return clear
	})
	return settled
}

// released gives back a slot that was in doubt.
type released struct{ slot *slot }

func (e released) apply(*dispatcher) { e.slot.pool.holder.Release(e.slot.credit) }
