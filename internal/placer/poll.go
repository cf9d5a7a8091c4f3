package placer

import (
	"context"
	"sort"
	"time"

	"github.com/currantwinch/currantwinch/cluster"
	"github.com/currantwinch/currantwinch/internal/roles"
	"github.com/currantwinch/currantwinch/placement/book"
	"github.com/currantwinch/currantwinch/placement/lease"
	"github.com/currantwinch/currantwinch/verdict"
)

// poll is one round of calls to a worker: commands, starts, then a renewal of
// all leases, which returns the worker's inventory. A worker has at most one
// poll in flight.
type poll struct {
	p            *Placer
	rack         *rack
	vm           cluster.VM
	bootID       string
	clockReading lease.Reading

	commands     []CommandRequest
	starts       []*startOutcome
	renew        []TaskRef
	acknowledged []TaskRef

	// callStart is when the last inventory or renewal call began.
	callStart  time.Time
	inventory  Inventory
	newReading lease.Reading
	err        error
	// inventoryFirst is set if the last poll failed. The worker's inventory is
	// then read before anything else, so that leases are not extended without
	// knowing what the worker runs.
	inventoryFirst bool
	// renewed is set once a renewal may have taken effect.
	renewed bool
	// leaseLost is set if the ownership lease ended during the poll.
	leaseLost bool
}

// startOutcome is the outcome of one start request.
type startOutcome struct {
	request StartRequest
	sent    bool
	// validUntil is when the start can no longer take effect.
	validUntil time.Time
	err        error
}

// run makes the calls. The ownership lease is checked right before each.
func (pl *poll) run(ctx context.Context) {
	if pl.bootID == "" || pl.inventoryFirst {
		pl.readInventory(ctx)
		if pl.err != nil || pl.bootID != pl.inventory.BootID {
			return
		}
		pl.clockReading = pl.newReading
	}
	for _, c := range pl.commands {
		if _, ok := pl.ownerLease(); !ok {
			return
		}
		_ = pl.call(ctx, func(ctx context.Context) error { return pl.p.o.Workers.Command(ctx, pl.vm, c) })
	}
	for _, s := range pl.starts {
		if !pl.start(ctx, s) {
			return
		}
	}
	pl.renewLeases(ctx)
}

func (pl *poll) ownerLease() (roles.Lease, bool) {
	return pl.checkTerm(pl.p.o.Owners.Lease(pl.rack.share))
}

// checkTerm refuses an ownership lease of another term than the rack's.
func (pl *poll) checkTerm(ownerLease roles.Lease, ok bool) (roles.Lease, bool) {
	if !ok || ownerLease.Epoch != pl.rack.term.Epoch || pl.rack.fenced.Load() {
		pl.leaseLost = true
		return ownerLease, false
	}
	return ownerLease, true
}

func (pl *poll) call(ctx context.Context, f func(context.Context) error) error {
	ctx, cancel := context.WithTimeout(ctx, workerCallTimeout)
	defer cancel()
	pl.p.metrics.workerCalls.Inc()
	err := f(ctx)
	if err != nil {
		pl.p.metrics.workerErrors.Inc()
	}
	return err
}

// start sends one start request, which expires with the ownership lease under
// which it is sent. It returns false without a lease.
func (pl *poll) start(ctx context.Context, s *startOutcome) bool {
	now := pl.p.o.Now()
	ownerLease, ok := pl.checkTerm(pl.p.o.Owners.LeaseUntil(pl.rack.share, now.Add(startValidity)))
	if !ok {
		return false
	}
	s.validUntil = ownerLease.Until
	s.request.BootID = pl.bootID
	s.request.NotAfter = WorkerTime(pl.clockReading.NotAfter(s.validUntil))
	s.request.LeaseUntil = WorkerTime(pl.clockReading.LeaseEnd(now, LeaseDuration))
	s.sent = true
	pl.p.metrics.starts.Inc()
	s.err = pl.call(ctx, func(ctx context.Context) error { return pl.p.o.Workers.Start(ctx, pl.vm, s.request) })
	return true
}

func (pl *poll) renewLeases(ctx context.Context) {
	if _, ok := pl.ownerLease(); !ok {
		return
	}
	pl.callStart = pl.p.o.Now()
	r := RenewRequest{
		BootID: pl.bootID, LeaseUntil: WorkerTime(pl.clockReading.LeaseEnd(pl.callStart, LeaseDuration)),
		Tasks: pl.renew, Acknowledged: pl.acknowledged,
	}
	pl.err = pl.call(ctx, func(ctx context.Context) (err error) {
		pl.inventory, err = pl.p.o.Workers.Renew(ctx, pl.vm, r)
		return err
	})
	pl.renewed = verdict.Of(pl.err) != verdict.NotRun
	if !pl.renewed {
		// The worker has rebooted or is unreachable; the inventory tells which.
		pl.readInventory(ctx)
		return
	}
	pl.recordReading()
}

func (pl *poll) readInventory(ctx context.Context) {
	pl.callStart = pl.p.o.Now()
	pl.err = pl.call(ctx, func(ctx context.Context) (err error) {
		pl.inventory, err = pl.p.o.Workers.Inventory(ctx, pl.vm)
		return err
	})
	pl.recordReading()
}

func (pl *poll) recordReading() {
	pl.newReading = lease.Reading{Clock: lease.Clock(pl.inventory.Clock), SentAt: pl.callStart, ReceivedAt: pl.p.o.Now()}
}

// startDuePolls starts the polls that are due and returns the time until the
// next one, at most maxTurnInterval. A poll's result is applied in a step of
// its own.
func (r *rack) startDuePolls(now time.Time) time.Duration {
	r.stopAfterCheckpoint(now)
	wait := maxTurnInterval
	for _, w := range r.workers {
		switch {
		case w.polling:
		case now.Before(w.nextPoll):
			wait = min(wait, w.nextPoll.Sub(now))
		default:
			r.startPoll(w, now)
		}
	}
	return wait
}

// stopAfterCheckpoint requests the stop of attempts whose checkpoint is
// complete or overdue.
func (r *rack) stopAfterCheckpoint(now time.Time) {
	for id, a := range r.checkpointing {
		if a.stopRequested || a.state.terminated() {
			delete(r.checkpointing, id)
			continue
		}
		if !now.Before(a.checkpointDeadline) || a.report.Checkpoint != a.request.Checkpoint {
			r.requestStop(a, now)
		}
	}
}

func (r *rack) startPoll(w *worker, now time.Time) {
	pl := &poll{
		p: r.alloc.p, rack: r, vm: w.vm, bootID: w.bootID, clockReading: w.clockReading,
		inventoryFirst: w.failing,
	}
	w.polling, w.pollAgain = true, false
	for _, a := range sortedAttempts(w.attempts) {
		if a.reserved || a.state.terminated() {
			continue
		}
		if a.startPending && (a.startValidUntil.IsZero() || now.Before(a.startValidUntil)) {
			pl.starts = append(pl.starts, &startOutcome{request: a.request})
		}
		pl.commands = append(pl.commands, a.pendingCommands()...)
		pl.renew = append(pl.renew, a.ref)
	}
	for ref := range w.acknowledged {
		pl.acknowledged = append(pl.acknowledged, ref)
	}
	r.alloc.p.async(maxPollDuration(len(pl.commands)+len(pl.starts)), func(ctx context.Context) {
		pl.run(ctx)
		r.alloc.executor.post(func() { r.finishPoll(w, pl) })
	})
}

// maxPollDuration bounds the duration of a poll with n commands and starts.
func maxPollDuration(n int) time.Duration { return time.Duration(n+2) * workerCallTimeout }

func sortedAttempts(m map[book.ID]*attempt) []*attempt {
	out := make([]*attempt, 0, len(m))
	for _, a := range m {
		out = append(out, a)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].ref.Less(out[j].ref) })
	return out
}

// finishPoll applies a poll's results, unless the rack or the worker has been
// dropped in the meantime.
func (r *rack) finishPoll(w *worker, pl *poll) {
	now := r.alloc.p.o.Now()
	w.polling = false
	if r.alloc.racks[r.share] != r || r.workers[pl.vm.Name] != w {
		return
	}
	for _, s := range pl.starts {
		r.recordStart(w, s, now)
	}
	if pl.err == nil && !pl.callStart.IsZero() && !pl.leaseLost {
		r.recordContact(w, pl)
		r.applyInventory(w, pl, now)
		r.enforceUsage(w, now)
	}
	if pl.err != nil {
		r.recordFailure(w, now)
	}
	r.recordLeases(w, pl, now)
	r.startPreemptors(now)
	w.nextPoll = now.Add(r.pollInterval(w, now))
}

// recordStart applies the outcome of a start request.
func (r *rack) recordStart(w *worker, s *startOutcome, now time.Time) {
	a, ok := w.attempts[idOf(s.request.Task)]
	if !ok || !s.sent {
		return
	}
	if s.validUntil.After(a.startValidUntil) {
		a.startValidUntil = s.validUntil
	}
	switch verdict.Of(s.err) {
	case verdict.Ran:
		a.startPending, a.startAcknowledged = false, true
	case verdict.NotRun:
		r.handleStartRefused(a, s.err)
	default:
		a.startUncertain = true
	}
}

// handleStartRefused ends an attempt that its worker certainly did not start.
// If an earlier start of it may have taken effect, the inventory decides.
func (r *rack) handleStartRefused(a *attempt, err error) {
	a.startPending = false
	if a.startUncertain {
		return
	}
	a.reason = string(verdict.ReasonOf(err))
	r.setState(a, attemptNotStarted)
}

func (r *rack) recordContact(w *worker, pl *poll) {
	if w.bootID != "" && w.bootID != pl.inventory.BootID {
		r.handleReboot(w)
	}
	w.bootID, w.clockReading = pl.inventory.BootID, pl.newReading
	w.inventoried, w.failing = true, false
	r.updateClosed(w, pl.newReading.ReceivedAt)
}

// handleReboot marks the attempts that were started before a worker's reboot as
// lost.
func (r *rack) handleReboot(w *worker) {
	for _, a := range w.attempts {
		a.inInventory = false
		if !a.reserved && !a.state.terminated() && !(a.startPending && a.startValidUntil.IsZero()) {
			r.markLost(a, lostReboot)
		}
	}
	w.acknowledged = make(map[TaskRef]bool)
}

// recordFailure closes a worker that did not answer. Its attempts may still
// run.
func (r *rack) recordFailure(w *worker, now time.Time) {
	w.failing = true
	r.updateClosed(w, now)
	for _, a := range w.attempts {
		if !a.reserved && !a.state.terminated() && !(a.startPending && a.startValidUntil.IsZero()) {
			r.setState(a, attemptUnknown)
		}
	}
}

// recordLeases records the latest end of the leases that a poll may have
// granted.
func (r *rack) recordLeases(w *worker, pl *poll, now time.Time) {
	ends := now.Add(lease.MaxDuration(LeaseDuration))
	setLeaseEnd := func(ref TaskRef) {
		if a, ok := w.attempts[idOf(ref)]; ok {
			a.leaseEnd = ends
		}
	}
	for _, s := range pl.starts {
		if s.sent && verdict.Of(s.err) != verdict.NotRun {
			setLeaseEnd(s.request.Task)
		}
	}
	if !pl.renewed {
		return
	}
	for _, ref := range pl.renew {
		setLeaseEnd(ref)
	}
}

// untilEndCheck returns the time until a poll should check whether an attempt
// has ended. The checks of an overdue attempt become less frequent.
func (a *attempt) untilEndCheck(now time.Time) time.Duration {
	if a.reserved || a.state != attemptRunning || a.expectedEnd.IsZero() {
		return leaseRenewInterval
	}
	return max(a.estimatedEnd(now).Sub(now), backlogPollInterval)
}

// pollInterval returns the time until the worker's next poll.
func (r *rack) pollInterval(w *worker, now time.Time) time.Duration {
	if w.failing {
		return failedPollInterval
	}
	if w.pollAgain || !w.inventoried {
		return minPollInterval
	}
	every := leaseRenewInterval
	if now.Before(r.alloc.backlogUntil) {
		every = backlogPollInterval
	}
	for _, a := range w.attempts {
		if a.state == attemptStarting || a.state == attemptStopping || a.stopRequested || !a.checkpointDeadline.IsZero() {
			if !a.state.terminated() && !a.reserved {
				every = min(every, transitionPollInterval)
			}
			if a.preempted && !a.state.terminated() {
				every = preemptionPollInterval
			}
		}
		every = min(every, a.untilEndCheck(now))
	}
	if len(w.acknowledged) > 0 {
		every = min(every, backlogPollInterval)
	}
	return every
}
