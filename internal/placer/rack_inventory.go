package placer

import (
	"time"

	"github.com/currantwinch/currantwinch/cluster"
	"github.com/currantwinch/currantwinch/internal/events"
	"github.com/currantwinch/currantwinch/placement/book"
)

// applyInventory updates attempts from a worker's inventory.
func (r *rack) applyInventory(w *worker, pl *poll, now time.Time) {
	listed := make(map[book.ID]bool, len(pl.inventory.Tasks))
	for _, report := range pl.inventory.Tasks {
		listed[idOf(report.Task)] = true
		r.applyReport(w, report, now)
	}
	for _, a := range w.attempts {
		if !listed[a.id] {
			r.handleMissing(a, pl.callStart)
		}
	}
	for ref := range w.acknowledged {
		if !listed[idOf(ref)] {
			delete(w.acknowledged, ref)
		}
	}
}

func (r *rack) applyReport(w *worker, report TaskReport, now time.Time) {
	if w.acknowledged[report.Task] && report.State == TaskExited {
		return
	}
	a, ok := w.attempts[idOf(report.Task)]
	if !ok {
		a = r.adopt(w, report, now)
		if a == nil {
			return
		}
	}
	a.inInventory, a.startPending, a.startAcknowledged = true, false, true
	a.recordPeak(report.Usage)
	newCheckpoint := report.Checkpoint != a.report.Checkpoint
	a.report = report
	if newCheckpoint {
		a.checkpointedAt = now
		r.markChanged(a)
	}
	if a.state.terminated() {
		r.handleTerminatedReport(a, report, now)
		return
	}
	r.updateState(w, a, report, now)
}

// updateState moves a live attempt to the state reported by its worker.
func (r *rack) updateState(w *worker, a *attempt, report TaskReport, now time.Time) {
	switch report.State {
	case TaskStarting:
		r.setState(a, attemptStarting)
	case TaskRunning:
		r.setState(a, attemptRunning)
		r.recordLongRun(w, a, now)
	case TaskStopping:
		r.setState(a, attemptStopping)
	case TaskExited:
		a.reason = report.ExitReason
		r.setState(a, attemptExited)
		r.recordExit(w, a, now)
	}
}

// handleTerminatedReport handles a report of an attempt that was recorded as
// terminated. An exit confirms it. If the attempt is alive, clocks differed by
// more than the lease margin; it is counted again and stopped.
func (r *rack) handleTerminatedReport(a *attempt, report TaskReport, now time.Time) {
	if report.State == TaskExited || a.stopRequested {
		return
	}
	r.alloc.p.o.Events.Log(events.ExpiredAttemptRunning, "worker", a.worker, "job", a.ref.JobID, "index", a.ref.Index, "attempt", a.ref.Attempt)
	_ = r.book.Adopt(r.adoptedEntry(a.worker, report))
	a.state = attemptStopping
	r.requestStop(a, now)
}

// adopt records an attempt that this owner has not started itself.
func (r *rack) adopt(w *worker, report TaskReport, now time.Time) *attempt {
	a := &attempt{
		id: idOf(report.Task), ref: report.Task, worker: w.vm.Name, home: cluster.KeyShare(report.Task.JobID),
		state: stateOf(report.State), reason: report.ExitReason, leaseEnd: r.priorLeasesEnd,
		request: StartRequest{Task: report.Task, Resources: report.Resources, Labels: report.Labels, Checkpoint: report.Checkpoint},
	}
	if !a.state.terminated() {
		if r.book.Adopt(r.adoptedEntry(w.vm.Name, report)) != nil {
			return nil
		}
	}
	if other, ok := r.attempts[a.id]; ok {
		r.remove(other)
	}
	r.add(a)
	return a
}

func (r *rack) adoptedEntry(worker string, report TaskReport) book.Entry {
	l := report.Labels
	return book.Entry{
		ID: idOf(report.Task), Worker: worker, Resources: report.Resources,
		Team: l.Team, Service: l.Service, Class: classOf(l), Priority: priorityOf(l), State: book.Running,
	}
}

func stateOf(s TaskState) attemptState {
	switch s {
	case TaskStarting:
		return attemptStarting
	case TaskStopping:
		return attemptStopping
	case TaskExited:
		return attemptExited
	default:
		return attemptRunning
	}
}

// handleMissing handles an attempt that is missing from an inventory requested
// at requestedAt.
func (r *rack) handleMissing(a *attempt, requestedAt time.Time) {
	a.inInventory = false
	switch {
	case a.reserved || a.state.terminated():
	case a.startAcknowledged:
		r.markLost(a, "not_in_inventory")
	case a.startPending && a.startValidUntil.IsZero():
	case requestedAt.After(a.startValidUntil):
		// No start request can take effect any more, and none has.
		a.reason = "start_expired"
		r.setState(a, attemptNotStarted)
	}
}

func (a *attempt) recordPeak(u cluster.Resources) {
	a.peakUsage.CPU = max(a.peakUsage.CPU, u.CPU)
	a.peakUsage.Memory = max(a.peakUsage.Memory, u.Memory)
	a.peakUsage.Accelerators = max(a.peakUsage.Accelerators, u.Accelerators)
}
