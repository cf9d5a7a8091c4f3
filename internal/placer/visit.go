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

// visit is one round of calls to a worker: commands, starts, then a renewal
// of all leases, which returns the worker's inventory. A worker has one visit
// at a time.
type visit struct {
	p       *Placer
	rack    *rack
	vm      cluster.VM
	boot    string
	reading lease.Reading

	commands []CommandRequest
	starts   []*startOutcome
	renew    []TaskRef
	forget   []TaskRef

	// began is when the visit's last call began.
	began     time.Time
	inventory Inventory
	answer    lease.Reading
	err       error
	// failing is set where the last visit failed. The worker is then read
	// first, so that leases are not extended without anybody knowing.
	failing bool
	// renewed is set once a renewal may have taken effect.
	renewed bool
	// rightLost is set when the right to act ended before the visit did.
	rightLost bool
}

// startOutcome is what became of one start.
type startOutcome struct {
	request StartRequest
	sent    bool
	// until is when the start can take effect no more.
	until time.Time
	err   error
}

// run makes the calls. The right to act is asked for right before each.
func (v *visit) run(ctx context.Context) {
	if v.boot == "" || v.failing {
		v.readInventory(ctx)
		if v.err != nil || v.boot != v.inventory.BootID {
			return
		}
		v.reading = v.answer
	}
	for _, c := range v.commands {
		if _, ok := v.right(); !ok {
			return
		}
		_ = v.call(ctx, func(ctx context.Context) error { return v.p.o.Workers.Command(ctx, v.vm, c) })
	}
	for _, s := range v.starts {
		if !v.start(ctx, s) {
			return
		}
	}
	v.renewLeases(ctx)
}

func (v *visit) right() (roles.Right, bool) {
	return v.checked(v.p.o.Owners.Right(v.rack.share))
}

// checked refuses a right of another term than the visit's.
func (v *visit) checked(right roles.Right, ok bool) (roles.Right, bool) {
	if !ok || right.Epoch != v.rack.term.Epoch || v.rack.over.Load() {
		v.rightLost = true
		return right, false
	}
	return right, true
}

func (v *visit) call(ctx context.Context, f func(context.Context) error) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	v.p.metrics.workerCalls.Inc()
	err := f(ctx)
	if err != nil {
		v.p.metrics.workerErrors.Inc()
	}
	return err
}

// start sends one start that expires with the right it was made under. It
// reports false if there is no right.
func (v *visit) start(ctx context.Context, s *startOutcome) bool {
	now := v.p.o.Now()
	right, ok := v.checked(v.p.o.Owners.RightUntil(v.rack.share, now.Add(startWindow)))
	if !ok {
		return false
	}
	s.until = right.Until
	s.request.BootID = v.boot
	s.request.NotAfter = WorkerTime(v.reading.NotAfter(s.until))
	s.request.LeaseUntil = WorkerTime(v.reading.LeaseEnd(now, LeaseDuration))
	s.sent = true
	v.p.metrics.starts.Inc()
	s.err = v.call(ctx, func(ctx context.Context) error { return v.p.o.Workers.Start(ctx, v.vm, s.request) })
	return true
}

func (v *visit) renewLeases(ctx context.Context) {
	if _, ok := v.right(); !ok {
		return
	}
	v.began = v.p.o.Now()
	r := RenewRequest{
		BootID: v.boot, LeaseUntil: WorkerTime(v.reading.LeaseEnd(v.began, LeaseDuration)),
		Tasks: v.renew, Acknowledged: v.forget,
	}
	v.err = v.call(ctx, func(ctx context.Context) (err error) {
		v.inventory, err = v.p.o.Workers.Renew(ctx, v.vm, r)
		return err
	})
	v.renewed = verdict.Of(v.err) != verdict.NotRun
	if !v.renewed {
		// Another boot, or nobody there: the inventory tells which.
		v.readInventory(ctx)
		return
	}
	v.noteReading()
}

func (v *visit) readInventory(ctx context.Context) {
	v.began = v.p.o.Now()
	v.err = v.call(ctx, func(ctx context.Context) (err error) {
		v.inventory, err = v.p.o.Workers.Inventory(ctx, v.vm)
		return err
	})
	v.noteReading()
}

func (v *visit) noteReading() {
	v.answer = lease.Reading{Clock: lease.Clock(v.inventory.Clock), SentAt: v.began, ReceivedAt: v.p.o.Now()}
}

// visitDue starts the visits that are due and returns how long until the next
// one is, at most idleTurn. The end of a visit is a step of its own.
func (r *rack) visitDue(now time.Time) time.Duration {
	r.stopAfterCheckpoint(now)
	wait := idleTurn
	for _, w := range r.workers {
		switch {
		case w.visiting:
		case now.Before(w.next):
			wait = min(wait, w.next.Sub(now))
		default:
			r.beginVisit(w, now)
		}
	}
	return wait
}

// stopAfterCheckpoint sends the stops whose checkpoint is there or overdue.
func (r *rack) stopAfterCheckpoint(now time.Time) {
	for id, a := range r.saving {
		if a.stopAsked || a.state.dead() {
			delete(r.saving, id)
			continue
		}
		if !now.Before(a.stopAt) || a.report.Checkpoint != a.request.Checkpoint {
			r.sendStop(a, now)
		}
	}
}

func (r *rack) beginVisit(w *worker, now time.Time) {
	v := &visit{
		p: r.rs.p, rack: r, vm: w.vm, boot: w.boot, reading: w.reading,
		failing: w.failing,
	}
	w.visiting, w.hurried = true, false
	for _, a := range sortedAttempts(w.attempts) {
		if a.held || a.state.dead() {
			continue
		}
		if a.toSend && (a.sentUntil.IsZero() || now.Before(a.sentUntil)) {
			v.starts = append(v.starts, &startOutcome{request: a.request})
		}
		v.commands = append(v.commands, a.commands()...)
		v.renew = append(v.renew, a.ref)
	}
	for ref := range w.forget {
		v.forget = append(v.forget, ref)
	}
	r.rs.p.async(maxVisit(len(v.commands)+len(v.starts)), func(ctx context.Context) {
		v.run(ctx)
		r.rs.loop.post(func() { r.endVisit(w, v) })
	})
}

// maxVisit bounds a visit of n calls beside the renewal.
func maxVisit(n int) time.Duration { return time.Duration(n+2) * callTimeout }

func sortedAttempts(m map[book.ID]*attempt) []*attempt {
	out := make([]*attempt, 0, len(m))
	for _, a := range m {
		out = append(out, a)
	}
	sort.Slice(out, func(i, j int) bool { return refLess(out[i].ref, out[j].ref) })
	return out
}

// endVisit takes a visit's outcome into the book, unless the share has
// changed hands meanwhile.
func (r *rack) endVisit(w *worker, v *visit) {
	now := r.rs.p.o.Now()
	w.visiting = false
	if r.rs.shares[r.share] != r || r.workers[v.vm.Name] != w {
		return
	}
	for _, s := range v.starts {
		r.noteStart(w, s, now)
	}
	if v.err == nil && !v.began.IsZero() && !v.rightLost {
		r.noteContact(w, v)
		r.takeInventory(w, v, now)
		r.police(w, now)
	}
	if v.err != nil {
		r.noteFailure(w, now)
	}
	r.noteLeases(w, v, now)
	r.takeRoom(now)
	w.next = now.Add(r.interval(w, now))
}

// noteStart takes in what became of a start.
func (r *rack) noteStart(w *worker, s *startOutcome, now time.Time) {
	a, ok := w.attempts[idOf(s.request.Task)]
	if !ok || !s.sent {
		return
	}
	if s.until.After(a.sentUntil) {
		a.sentUntil = s.until
	}
	switch verdict.Of(s.err) {
	case verdict.Ran:
		a.toSend, a.answered = false, true
	case verdict.NotRun:
		r.startRefused(a, s.err)
	default:
		a.uncertain = true
	}
}

// startRefused ends an attempt that its worker certainly did not start. One
// whose earlier start may have taken effect is left to the inventory.
func (r *rack) startRefused(a *attempt, err error) {
	a.toSend = false
	if a.uncertain {
		return
	}
	a.reason = string(verdict.ReasonOf(err))
	r.setState(a, attemptNotStarted)
}

func (r *rack) noteContact(w *worker, v *visit) {
	if w.boot != "" && w.boot != v.inventory.BootID {
		r.rebooted(w)
	}
	w.boot, w.reading = v.inventory.BootID, v.answer
	w.read, w.failing = true, false
	r.setClosed(w, v.answer.ReceivedAt)
}

// rebooted ends what ran before a worker's boot.
func (r *rack) rebooted(w *worker) {
	for _, a := range w.attempts {
		a.atWorker = false
		if !a.held && !a.state.dead() && !(a.toSend && a.sentUntil.IsZero()) {
			r.lost(a, "rebooted")
		}
	}
	w.forget = make(map[TaskRef]bool)
}

// noteFailure closes a worker that did not answer; what it holds may still
// run.
func (r *rack) noteFailure(w *worker, now time.Time) {
	w.failing = true
	r.setClosed(w, now)
	for _, a := range w.attempts {
		if !a.held && !a.state.dead() && !(a.toSend && a.sentUntil.IsZero()) {
			r.setState(a, attemptUnknown)
		}
	}
}

// noteLeases notes how long the leases that a visit may have granted hold.
func (r *rack) noteLeases(w *worker, v *visit, now time.Time) {
	ends := now.Add(lease.MaxDuration(LeaseDuration))
	note := func(ref TaskRef) {
		if a, ok := w.attempts[idOf(ref)]; ok {
			a.leaseEnds = ends
		}
	}
	for _, s := range v.starts {
		if s.sent && verdict.Of(s.err) != verdict.NotRun {
			note(s.request.Task)
		}
	}
	if !v.renewed {
		return
	}
	for _, ref := range v.renew {
		note(ref)
	}
}

// endsIn is how long to wait before looking whether an attempt has ended. One
// that is overdue is looked for less and less often.
func (a *attempt) endsIn(now time.Time) time.Duration {
	if a.held || a.state != attemptRunning || a.expectedEnd.IsZero() {
		return renewEvery
	}
	return max(a.endsBy(now).Sub(now), hungryEvery)
}

// interval is how long to wait before the next visit.
func (r *rack) interval(w *worker, now time.Time) time.Duration {
	if w.failing {
		return retryEvery
	}
	if w.hurried || !w.read {
		return hurryGap
	}
	every := renewEvery
	if now.Before(r.rs.hungryTill) {
		every = hungryEvery
	}
	for _, a := range w.attempts {
		if a.state == attemptStarting || a.state == attemptStopping || a.stopAsked || !a.stopAt.IsZero() {
			if !a.state.dead() && !a.held {
				every = min(every, settleEvery)
			}
			if a.preempted && !a.state.dead() {
				every = urgentEvery
			}
		}
		every = min(every, a.endsIn(now))
	}
	if len(w.forget) > 0 {
		every = min(every, hungryEvery)
	}
	return every
}
