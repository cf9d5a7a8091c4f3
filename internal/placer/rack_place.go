package placer

import (
	"time"

	"github.com/currantwinch/currantwinch/cluster"
	"github.com/currantwinch/currantwinch/placement/book"
	"github.com/pkg/errors"
)

// place applies one item to the book.
func (r *rack) place(item placeItem, now time.Time) placeResult {
	id := idOf(item.Task)
	switch item.Mode {
	case modeLock:
		return r.answer(item, r.book.Lock(id, now, now.Add(holdLength)))
	case modeCommit:
		return r.commit(item, now)
	case modeRelease:
		return r.release(item)
	default:
		return r.reserve(item, now)
	}
}

// reserve holds room for an attempt and, unless it is for a gang, starts it.
func (r *rack) reserve(item placeItem, now time.Time) placeResult {
	id := idOf(item.Task)
	if a, ok := r.attempts[id]; ok && a.state.dead() {
		return r.answer(item, &book.RefusedError{Reason: refusedDead})
	}
	if _, ok := r.waiting[id]; ok {
		return r.answer(item, nil)
	}
	if w, ok := r.workers[item.Worker]; ok && !w.read {
		return placeResult{Refused: refusedUnread, Unsure: true}
	}
	if a, ok := r.attempts[id]; ok {
		// An earlier request for it may have been put elsewhere.
		item.Worker = a.worker
	}
	jumps := r.jumps(item)
	displaced, err := r.book.Reserve(r.entry(item, now))
	if err != nil && item.Anywhere && isNoRoom(err) {
		if other, ok := r.otherWorker(item); ok {
			item.Worker = other
			displaced, err = r.book.Reserve(r.entry(item, now))
		}
	}
	if err != nil && item.Preempt != nil && isNoRoom(err) {
		return r.makeRoom(item, now)
	}
	if err != nil {
		return r.answer(item, err)
	}
	for _, e := range displaced {
		r.dropHold(e.ID)
	}
	if _, ok := r.attempts[id]; !ok {
		a := r.newAttempt(item)
		a.jumped = jumps
		r.add(a)
	}
	if item.Mode == modeStart {
		return r.commit(item, now)
	}
	return r.answer(item, nil)
}

// otherWorker finds the worker of the rack with the least room that suffices.
func (r *rack) otherWorker(item placeItem) (string, bool) {
	best, least := "", cluster.Resources{}
	for _, w := range r.book.Workers(0) {
		free := w.Free()
		suits := item.Resources.Accelerators == 0 || item.AcceleratorKind == "" || item.AcceleratorKind == w.AcceleratorKind
		if w.Closed != "" || !suits || !item.Resources.Fits(free) {
			continue
		}
		if best == "" || free.CPU < least.CPU {
			best, least = w.Name, free
		}
	}
	return best, best != ""
}

func isNoRoom(err error) bool {
	var refused *book.RefusedError
	return errors.As(err, &refused) && refused.Reason == book.InsufficientCapacity
}

func (r *rack) entry(item placeItem, now time.Time) book.Entry {
	l := item.Labels
	var ends time.Time
	if item.Expected > 0 {
		ends = now.Add(item.Expected)
	}
	return book.Entry{
		Ends: ends,
		ID:   idOf(item.Task), Worker: item.Worker, Resources: item.Resources, AcceleratorKind: item.AcceleratorKind,
		Team: l.Team, Service: l.Service, Class: classOf(l), Priority: priorityOf(l),
		Rank: item.Rank, Expires: now.Add(holdLength),
	}
}

func (r *rack) newAttempt(item placeItem) *attempt {
	labels := item.Labels
	labels.Epoch = r.term.Epoch
	return &attempt{
		id: idOf(item.Task), ref: item.Task, worker: item.Worker, home: item.Home, held: true, state: attemptStarting, item: item,
		request: StartRequest{
			Task: item.Task, Resources: item.Resources, Command: item.Command, Checkpoint: item.Checkpoint, Labels: labels,
		},
	}
}

// commit turns a hold into a start.
func (r *rack) commit(item placeItem, now time.Time) placeResult {
	id := idOf(item.Task)
	if err := r.book.Commit(id, now); err != nil {
		return r.answer(item, err)
	}
	if a := r.attempts[id]; a != nil && a.held {
		a.held, a.toSend = false, true
		if item.Expected > 0 {
			a.expectedEnd = now.Add(item.Expected)
		}
		r.hurry(a, now)
		r.changed(a)
	}
	return r.answer(item, nil)
}

// release gives up a hold. What was committed stays.
func (r *rack) release(item placeItem) placeResult {
	if a, ok := r.attempts[idOf(item.Task)]; ok && a.held {
		r.drop(a)
	}
	return r.answer(item, nil)
}

func (r *rack) answer(item placeItem, err error) placeResult {
	if err == nil {
		r.rs.p.metrics.accepted.Inc()
		return placeResult{Accepted: true, Worker: item.Worker}
	}
	r.rs.p.metrics.refused.Inc()
	var refused *book.RefusedError
	if errors.As(err, &refused) {
		return placeResult{Refused: refused.Reason, Detail: refused.Detail}
	}
	return placeResult{Refused: refusedAmount}
}

// settle stops or forgets an attempt for its home. It reports whether that is
// taken care of; otherwise the home has to ask again.
func (r *rack) settle(item settleItem, now time.Time) bool {
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

// forget drops a dead attempt and lets its worker drop it too, once no start
// of it can be under way.
func (r *rack) forget(a *attempt, now time.Time) bool {
	if !a.state.dead() || now.Before(a.sentUntil) {
		return false
	}
	if w, ok := r.workers[a.worker]; ok && a.atWorker {
		w.forget[a.ref] = true
	}
	r.drop(a)
	return true
}

// checkpointGrace is how long a task may take over a checkpoint before it is
// stopped without.
const checkpointGrace = time.Second

// stop ends a live attempt, after a checkpoint if asked and able.
func (r *rack) stop(a *attempt, checkpoint bool, now time.Time) {
	switch {
	case a.waitsRoom:
		r.refuseRoom(a, "stopped_before_start")
	case a.held:
		r.drop(a)
	case a.state.dead() || a.stopAsked:
	case a.toSend && a.sentUntil.IsZero():
		a.toSend = false
		a.reason = "stopped_before_start"
		r.setState(a, attemptNotStarted)
	case checkpoint && a.request.Labels.Checkpoints:
		r.checkpointThenStop(a, now)
	default:
		r.sendStop(a, now)
	}
}

func (r *rack) checkpointThenStop(a *attempt, now time.Time) {
	if !a.stopAt.IsZero() {
		return
	}
	a.stopAt = now.Add(checkpointGrace)
	r.saving[a.id] = a
	r.hurry(a, now)
}

func (r *rack) sendStop(a *attempt, now time.Time) {
	a.stopAsked = true
	r.hurry(a, now)
	r.changed(a)
}

// hurry has an attempt's worker visited at once.
func (r *rack) hurry(a *attempt, now time.Time) {
	w := r.workers[a.worker]
	w.hurried = true
	w.next = now
}

// commands returns what an attempt's worker has to be told, again until the
// worker's report shows it.
func (a *attempt) commands() []CommandRequest {
	var out []CommandRequest
	if a.stopAsked {
		if a.state != attemptStopping {
			out = append(out, CommandRequest{Task: a.ref, Action: ActionStop})
		}
		return out
	}
	if c, ok := a.throttleCommand(); ok {
		out = append(out, c)
	}
	if !a.stopAt.IsZero() {
		out = append(out, CommandRequest{Task: a.ref, Action: ActionCheckpoint})
	}
	return out
}
