package placer

import (
	"sort"
	"sync/atomic"
	"time"

	"github.com/currantwinch/currantwinch/cluster"
	"github.com/currantwinch/currantwinch/internal/events"
	"github.com/currantwinch/currantwinch/internal/roles"
	"github.com/currantwinch/currantwinch/placement/book"
	"github.com/currantwinch/currantwinch/placement/health"
	"github.com/currantwinch/currantwinch/placement/lease"
	"github.com/currantwinch/currantwinch/placement/pipeline"
)

// Reasons for which a worker accepts no new attempts.
const (
	closedUnread      = "unread"
	closedUnreachable = "unreachable"
	closedLeaving     = "leaving"
	closedUnlisted    = "unlisted"
)

// rack is the allocation state of one rack under one term.
type rack struct {
	alloc *allocator
	share cluster.Share
	term  term
	// fenced is set once this daemon may no longer act under the rack's term.
	// Polls in flight read it.
	fenced atomic.Bool
	// priorLeasesEnd is when all leases granted before this term have ended.
	priorLeasesEnd time.Time
	book           *book.Book
	workers        map[string]*worker
	attempts       map[book.ID]*attempt
	// awaitingPreemption holds the attempts whose victims have not all ended.
	awaitingPreemption map[book.ID]*attempt
	// checkpointing holds the attempts that are stopped after a checkpoint.
	checkpointing map[book.ID]*attempt
	// version increases with every change of an attempt that its home must
	// learn.
	version  uint64
	complete bool
	digests  liveDigestCache
}

// worker is the state of one worker.
type worker struct {
	vm           cluster.VM
	listed       bool
	bootID       string
	clockReading lease.Reading
	inventoried  bool
	polling      bool
	failing      bool
	health       health.Worker
	// reportedSuspicion is the suspicion last reported to homes.
	reportedSuspicion int64
	nextPoll          time.Time
	attempts          map[book.ID]*attempt
	// pollAgain requests another poll right after the one in flight.
	pollAgain bool
	// acknowledged holds exited attempts that the worker may forget.
	acknowledged map[TaskRef]bool
}

// attempt is the state of one attempt. It is kept until its home asks to forget
// it.
type attempt struct {
	id      book.ID
	ref     TaskRef
	worker  string
	home    cluster.Share
	request StartRequest
	state   attemptState
	version uint64

	// reserved is set while the attempt is only a reservation.
	reserved bool
	// startPending is set until a worker has answered the start.
	startPending bool
	// startAcknowledged is set once the worker has accepted the start or listed
	// the attempt.
	startAcknowledged bool
	// startUncertain is set once a start may have taken effect without an
	// answer.
	startUncertain bool
	// startValidUntil is when no start of this attempt can take effect any
	// more.
	startValidUntil time.Time
	// leaseEnd is when the worker's lease on the attempt has certainly ended.
	leaseEnd      time.Time
	stopRequested bool
	// checkpointDeadline is when the attempt is stopped even without the
	// requested checkpoint.
	checkpointDeadline time.Time
	// inInventory is set while the worker's inventory lists the attempt.
	inInventory bool

	// awaitsPreemption is set while victims are being stopped for the attempt.
	awaitsPreemption   bool
	preemptionDeadline time.Time
	item               placeItem
	// pendingEvictions is how many homes of services have not granted the
	// eviction of a victim yet.
	pendingEvictions int
	// preempted is set on a victim; protectedUntil on one whose eviction was
	// refused.
	preempted      bool
	protectedUntil time.Time

	// backfilled is set on an attempt placed into capacity nominated for
	// others.
	backfilled  bool
	expectedEnd time.Time
	// checkpointedAt is when the newest checkpoint was first seen.
	checkpointedAt time.Time
	// overUsageSince is when the attempt was first seen over its size; oversize
	// is set once it is stopped for that; pendingThrottle is the throttle
	// action that the worker has not confirmed.
	overUsageSince  time.Time
	oversize        bool
	pendingThrottle Action
	// longRunRecorded is set once the attempt has counted as a success of its
	// worker.
	longRunRecorded bool
	report          TaskReport
	peakUsage       cluster.Resources
	reason          string
}

// newRack returns the empty state of a rack under a new term. Leases may have
// been renewed until now, also by this daemon under an earlier term. A worker
// that cannot be read therefore counts as empty only after a full lease from
// now.
func newRack(al *allocator, ownerLease roles.Lease, now time.Time) *rack {
	al.p.o.Events.Log(events.RackAcquired, "share", ownerLease.Share.String(), "epoch", ownerLease.Epoch)
	al.activations++
	return &rack{
		alloc: al, share: ownerLease.Share, term: term{ownerLease.Epoch, al.activations}, priorLeasesEnd: now.Add(lease.MaxDuration(LeaseDuration)),
		book: book.New(), workers: make(map[string]*worker), attempts: make(map[book.ID]*attempt),
		awaitingPreemption: make(map[book.ID]*attempt), checkpointing: make(map[book.ID]*attempt),
	}
}

func idOf(ref TaskRef) book.ID {
	return book.ID{Job: ref.JobID, Index: ref.Index, Attempt: ref.Attempt}
}

// putWorker adds a worker or updates it from the list of workers.
func (r *rack) putWorker(vm cluster.VM, now time.Time) {
	if r.book.PutWorker(vm.Name, vm.Location, vm.Capacity, vm.AcceleratorKind) != nil {
		return
	}
	w, ok := r.workers[vm.Name]
	if !ok {
		w = &worker{attempts: make(map[book.ID]*attempt), acknowledged: make(map[TaskRef]bool), nextPoll: now}
		r.workers[vm.Name] = w
	}
	w.vm, w.listed = vm, true
	r.updateClosed(w, now)
}

// openWorker returns a worker's account if the worker accepts new work and meets the
// demand's constraints. It does not compare the demand's resources.
func (r *rack) openWorker(w *worker, d pipeline.Demand) (book.Worker, bool) {
	account, ok := r.book.Worker(w.vm.Name)
	return account, ok && account.Closed == "" && d.Matches(account.Location.Region, account.AcceleratorKind)
}

func (r *rack) hasLiveAttempts(w *worker) bool {
	for _, a := range w.attempts {
		if !a.state.terminated() {
			return true
		}
	}
	return false
}

func (r *rack) updateClosed(w *worker, now time.Time) {
	switch {
	case !w.listed:
		r.book.Close(w.vm.Name, closedUnlisted)
	case !w.inventoried:
		r.book.Close(w.vm.Name, closedUnread)
	case w.failing:
		r.book.Close(w.vm.Name, closedUnreachable)
	case w.vm.Leaving:
		r.book.Close(w.vm.Name, closedLeaving)
	case w.health.Quarantined(now):
		r.book.Close(w.vm.Name, closedQuarantined)
	case w.health.OnProbation(now) && r.hasLiveAttempts(w):
		r.book.Close(w.vm.Name, closedProbation)
	default:
		r.book.Close(w.vm.Name, "")
	}
}

// removeUnlisted closes workers that are no longer listed, and removes them
// once they have no attempts.
func (r *rack) removeUnlisted(listed map[string]bool, now time.Time) {
	for name, w := range r.workers {
		if listed[name] {
			continue
		}
		w.listed = false
		r.updateClosed(w, now)
		if len(w.attempts) == 0 && !w.polling {
			r.book.RemoveWorker(name)
			delete(r.workers, name)
		}
	}
}

// expire ends reservations, nominations and leases that have expired.
func (r *rack) expire(now time.Time) {
	for _, e := range r.book.ExpireReservations(now) {
		r.removeReservation(e.ID)
	}
	r.book.ExpireNominations(now)
	r.startPreemptors(now)
	r.stopOverdueBackfills(now)
	for _, w := range r.workers {
		if w.reportedSuspicion > 0 {
			r.updateHealth(w, now)
		}
		if w.polling || (w.inventoried && !w.failing) {
			continue
		}
		for _, a := range w.attempts {
			if !a.state.terminated() && !a.reserved && now.After(a.leaseEnd) && now.After(a.startValidUntil) {
				r.markLost(a, "lease_lapsed")
			}
		}
	}
	r.checkComplete(now)
}

// checkComplete sets complete once no attempt from before this term can be
// missing.
func (r *rack) checkComplete(now time.Time) {
	if r.complete || len(r.workers) == 0 {
		return
	}
	for _, w := range r.workers {
		if !w.inventoried && now.Before(r.priorLeasesEnd) {
			return
		}
	}
	r.complete = true
	r.alloc.p.o.Events.Log(events.RackRecovered, "share", r.share.String(), "epoch", r.term.Epoch, "tasks", r.book.Len())
}

func (r *rack) removeReservation(id book.ID) {
	if a, ok := r.attempts[id]; ok {
		r.remove(a)
	}
}

// remove deletes an attempt and its allocation.
func (r *rack) remove(a *attempt) {
	r.book.Release(a.id)
	if a.awaitsPreemption {
		r.book.RemoveNomination(a.worker, a.id.Job, a.id.Index)
	}
	delete(r.awaitingPreemption, a.id)
	delete(r.checkpointing, a.id)
	delete(r.attempts, a.id)
	if w, ok := r.workers[a.worker]; ok {
		delete(w.attempts, a.id)
	}
}

func (r *rack) add(a *attempt) {
	r.attempts[a.id] = a
	r.workers[a.worker].attempts[a.id] = a
	r.markChanged(a)
}

// markChanged includes an attempt in the next delta for its home.
func (r *rack) markChanged(a *attempt) {
	r.version++
	a.version = r.version
}

// setState changes the state of an attempt and of its allocation.
func (r *rack) setState(a *attempt, s attemptState) {
	if a.state == s {
		return
	}
	a.state = s
	r.markChanged(a)
	switch s {
	case attemptStarting:
		r.book.SetState(a.id, book.Starting)
	case attemptRunning:
		r.book.SetState(a.id, book.Running)
	case attemptStopping:
		r.book.SetState(a.id, book.Stopping)
	case attemptUnknown:
		r.book.SetState(a.id, book.Unknown)
	default:
		r.book.Release(a.id)
	}
}

// markLost ends an attempt that cannot run any more, without a report from its
// worker.
func (r *rack) markLost(a *attempt, reason string) {
	a.reason = reason
	r.alloc.p.metrics.lost.Inc()
	r.setState(a, attemptLost)
}

func (r *rack) workerView(name string) *workerView {
	w, ok := r.book.Worker(name)
	if !ok {
		return nil
	}
	backfillable, backfillableFor := r.backfillCapacity(w, r.alloc.p.o.Now())
	return &workerView{
		Rack: r.share, Version: w.Version, Name: name, Location: w.Location, Capacity: w.Capacity,
		AcceleratorKind: w.AcceleratorKind, Free: w.Free(), Used: w.Used, Closed: w.Closed,
		Suspicion: r.workers[name].reportedSuspicion, Backfillable: backfillable, BackfillableFor: backfillableFor,
		Tasks: len(r.workers[name].attempts),
	}
}

func (r *rack) teamUsage(team string) *teamUsage {
	return &teamUsage{Rack: r.share, Version: r.book.Version(), Team: team, Used: r.book.TeamUsage(team).Add(r.book.TeamNominated(team))}
}

// delta returns what has changed since v. Attempts are reported only to homes
// whose announced term is current.
func (r *rack) delta(v rackVersion, current map[cluster.Share]bool) rackDelta {
	out := rackDelta{Share: r.share, Term: r.term, BookVersion: r.book.Version(), TasksVersion: r.version, Complete: r.complete}
	if v.Term != r.term {
		v.BookVersion, v.TasksVersion = 0, 0
	}
	for _, w := range r.book.Workers(v.BookVersion) {
		out.Workers = append(out.Workers, *r.workerView(w.Name))
	}
	for _, t := range r.book.TeamsSince(v.BookVersion) {
		out.Teams = append(out.Teams, *r.teamUsage(t))
	}
	full := make(map[cluster.Share]bool, len(v.FullHomes))
	for _, h := range v.FullHomes {
		full[h] = true
	}
	if v.TasksVersion == r.version && len(full) == 0 && len(v.Recheck) == 0 {
		return out
	}
	rechecked := make(map[book.ID]bool, len(v.Recheck))
	for _, ref := range v.Recheck {
		rechecked[idOf(ref)] = true
	}
	for _, a := range r.attempts {
		if current[a.home] && !a.reserved && (a.version > v.TasksVersion || full[a.home] || rechecked[a.id]) {
			out.Statuses = append(out.Statuses, a.status())
		}
	}
	sort.Slice(out.Statuses, func(i, j int) bool { return out.Statuses[i].Task.Less(out.Statuses[j].Task) })
	out.Missing = r.missingAttempts(v.Recheck, current)
	return out
}

func (a *attempt) status() taskStatus {
	return taskStatus{
		Task: a.ref, Worker: a.worker, State: a.state, ExitCode: a.report.ExitCode, Reason: a.reason,
		RunTime: a.report.RunTime, Checkpoint: a.report.Checkpoint, Peak: a.peakUsage, Stopped: a.stopRequested,
		Oversize: a.oversize, Revision: a.request.Labels.Revision,
	}
}
