package placer

import (
	"time"

	"github.com/currantwinch/currantwinch/cluster"
	"github.com/currantwinch/currantwinch/placement/book"
	"github.com/pkg/errors"
)

// place applies one item to the rack.
func (r *rack) place(item placeItem, now time.Time) placeResult {
	id := idOf(item.Task)
	switch item.Mode {
	case modeLock:
		return r.result(item, r.book.Lock(id, now, now.Add(reservationDuration)))
	case modeCommit:
		return r.commit(item, now)
	case modeRelease:
		return r.release(item)
	default:
		return r.reserve(item, now)
	}
}

// reserve reserves capacity for an attempt and, in mode start, starts it.
func (r *rack) reserve(item placeItem, now time.Time) placeResult {
	id := idOf(item.Task)
	if a, ok := r.attempts[id]; ok && a.state.terminated() {
		return r.result(item, &book.RefusedError{Reason: refusedTerminated})
	}
	if _, ok := r.awaitingPreemption[id]; ok {
		return r.result(item, nil)
	}
	if w, ok := r.workers[item.Worker]; ok && !w.inventoried {
		return placeResult{Refused: refusedUnread, Indeterminate: true}
	}
	if a, ok := r.attempts[id]; ok {
		// An earlier request may have been placed on another worker.
		item.Worker = a.worker
	}
	backfill := r.needsNominatedCapacity(item)
	displaced, err := r.book.Reserve(r.entry(item, now))
	if err != nil && item.AnyWorker && lacksCapacity(err) {
		if other, ok := r.bestFitWorker(item); ok {
			item.Worker = other
			displaced, err = r.book.Reserve(r.entry(item, now))
		}
	}
	if err != nil && item.Preempt != nil && lacksCapacity(err) {
		return r.preempt(item, now)
	}
	if err != nil {
		return r.result(item, err)
	}
	for _, e := range displaced {
		r.removeReservation(e.ID)
	}
	if _, ok := r.attempts[id]; !ok {
		a := r.newAttempt(item)
		a.backfilled = backfill
		r.add(a)
	}
	if item.Mode == modeStart {
		return r.commit(item, now)
	}
	return r.result(item, nil)
}

// bestFitWorker returns the open worker of the rack with the least free CPU on
// which the item fits.
func (r *rack) bestFitWorker(item placeItem) (string, bool) {
	best, least := "", cluster.Resources{}
	for _, w := range r.book.Workers(0) {
		free := w.Free()
		matches := item.Resources.Accelerators == 0 || item.AcceleratorKind == "" || item.AcceleratorKind == w.AcceleratorKind
		if w.Closed != "" || !matches || !item.Resources.Fits(free) {
			continue
		}
		if best == "" || free.CPU < least.CPU {
			best, least = w.Name, free
		}
	}
	return best, best != ""
}

func lacksCapacity(err error) bool {
	var refused *book.RefusedError
	return errors.As(err, &refused) && refused.Reason == book.InsufficientCapacity
}

func (r *rack) entry(item placeItem, now time.Time) book.Entry {
	l := item.Labels
	var ends time.Time
	if item.ExpectedRunTime > 0 {
		ends = now.Add(item.ExpectedRunTime)
	}
	return book.Entry{
		Ends: ends,
		ID:   idOf(item.Task), Worker: item.Worker, Resources: item.Resources, AcceleratorKind: item.AcceleratorKind,
		Team: l.Team, Service: l.Service, Class: classOf(l), Priority: priorityOf(l),
		Rank: item.Rank, Expires: now.Add(reservationDuration),
	}
}

func (r *rack) newAttempt(item placeItem) *attempt {
	labels := item.Labels
	labels.Epoch = r.term.Epoch
	return &attempt{
		id: idOf(item.Task), ref: item.Task, worker: item.Worker, home: item.Home, reserved: true, state: attemptStarting, item: item,
		request: StartRequest{
			Task: item.Task, Resources: item.Resources, Command: item.Command, Checkpoint: item.Checkpoint, Labels: labels,
		},
	}
}

// commit turns a reservation into an attempt to be started.
func (r *rack) commit(item placeItem, now time.Time) placeResult {
	id := idOf(item.Task)
	if err := r.book.Commit(id, now); err != nil {
		return r.result(item, err)
	}
	if a := r.attempts[id]; a != nil && a.reserved {
		a.reserved, a.startPending = false, true
		if item.ExpectedRunTime > 0 {
			a.expectedEnd = now.Add(item.ExpectedRunTime)
		}
		r.pollSoon(a, now)
		r.markChanged(a)
	}
	return r.result(item, nil)
}

// release drops a reservation. Committed attempts are kept.
func (r *rack) release(item placeItem) placeResult {
	if a, ok := r.attempts[idOf(item.Task)]; ok && a.reserved {
		r.remove(a)
	}
	return r.result(item, nil)
}

func (r *rack) result(item placeItem, err error) placeResult {
	if err == nil {
		r.alloc.p.metrics.accepted.Inc()
		return placeResult{Accepted: true, Worker: item.Worker}
	}
	r.alloc.p.metrics.refused.Inc()
	var refused *book.RefusedError
	if errors.As(err, &refused) {
		return placeResult{Refused: refused.Reason, Detail: refused.Detail}
	}
	return placeResult{Refused: refusedAmount}
}

// terminate stops or forgets an attempt on behalf of its home. It returns false
// if the home has to ask again.
func (r *rack) terminate(item terminationItem, now time.Time) bool {
	a, ok := r.attempts[idOf(item.Task)]
	if !ok {
		return r.complete
	}
	if item.Forget {
		return r.forget(a, now)
	}
	r.stop(a, item.Checkpoint, now)
	return true
}

// forget deletes a terminated attempt and lets its worker forget it. It returns
// false while a start of the attempt may be in flight.
func (r *rack) forget(a *attempt, now time.Time) bool {
	if !a.state.terminated() || now.Before(a.startValidUntil) {
		return false
	}
	if w, ok := r.workers[a.worker]; ok && a.inInventory {
		w.acknowledged[a.ref] = true
	}
	r.remove(a)
	return true
}

// checkpointGrace is how long a task may take for a checkpoint before it is
// stopped without one.
const checkpointGrace = time.Second

// stop ends a live attempt. If checkpoint is set and the task supports it, a
// checkpoint is taken first.
func (r *rack) stop(a *attempt, checkpoint bool, now time.Time) {
	switch {
	case a.awaitsPreemption:
		r.failPreemption(a, "stopped_before_start")
	case a.reserved:
		r.remove(a)
	case a.state.terminated() || a.stopRequested:
	case a.startPending && a.startValidUntil.IsZero():
		a.startPending = false
		a.reason = "stopped_before_start"
		r.setState(a, attemptNotStarted)
	case checkpoint && a.request.Labels.Checkpoints:
		r.checkpointThenStop(a, now)
	default:
		r.requestStop(a, now)
	}
}

func (r *rack) checkpointThenStop(a *attempt, now time.Time) {
	if !a.checkpointDeadline.IsZero() {
		return
	}
	a.checkpointDeadline = now.Add(checkpointGrace)
	r.checkpointing[a.id] = a
	r.pollSoon(a, now)
}

func (r *rack) requestStop(a *attempt, now time.Time) {
	a.stopRequested = true
	r.pollSoon(a, now)
	r.markChanged(a)
}

// pollSoon schedules a poll of the attempt's worker for now.
func (r *rack) pollSoon(a *attempt, now time.Time) {
	w := r.workers[a.worker]
	w.pollAgain = true
	w.nextPoll = now
}

// pendingCommands returns the commands for an attempt's worker. They are
// repeated until the worker's report confirms them.
func (a *attempt) pendingCommands() []CommandRequest {
	var out []CommandRequest
	if a.stopRequested {
		if a.state != attemptStopping {
			out = append(out, CommandRequest{Task: a.ref, Action: ActionStop})
		}
		return out
	}
	if c, ok := a.throttleCommand(); ok {
		out = append(out, c)
	}
	if !a.checkpointDeadline.IsZero() {
		out = append(out, CommandRequest{Task: a.ref, Action: ActionCheckpoint})
	}
	return out
}
