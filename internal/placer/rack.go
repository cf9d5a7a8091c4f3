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
)

// Reasons for which a worker takes nothing new.
const (
	closedUnread      = "unread"
	closedUnreachable = "unreachable"
	closedLeaving     = "leaving"
	closedUnlisted    = "unlisted"
)

// rack is the book of one share and what is known of its workers.
type rack struct {
	rs    *racks
	share cluster.Share
	term  term
	// over is set once this daemon may not act under this term any more.
	over atomic.Bool
	// lapsed is when no lease from before this term can hold any more.
	lapsed   time.Time
	book     *book.Book
	workers  map[string]*worker
	attempts map[book.ID]*attempt
	// waiting are the attempts whose victims have not ended yet.
	waiting map[book.ID]*attempt
	// saving are the attempts that are stopped once a checkpoint is there.
	saving map[book.ID]*attempt
	// version rises with every change of an attempt that its home must learn.
	version  uint64
	complete bool
	sums     liveSums
}

// worker is what this daemon knows of one worker.
type worker struct {
	vm       cluster.VM
	listed   bool
	boot     string
	reading  lease.Reading
	read     bool
	visiting bool
	failing  bool
	health   health.Worker
	// suspicion is what homes were last told.
	suspicion int64
	next      time.Time
	attempts  map[book.ID]*attempt
	// hurried asks for another visit right after the one under way.
	hurried bool
	// forget holds exits that the worker may drop.
	forget map[TaskRef]bool
}

// attempt is one attempt as the rack's owner knows it. It stays until its
// home has told to forget it.
type attempt struct {
	id      book.ID
	ref     TaskRef
	worker  string
	home    cluster.Share
	request StartRequest
	state   attemptState
	version uint64

	// held is set while there is only a hold.
	held bool
	// toSend is set until a worker has answered the start.
	toSend bool
	// answered is set once the worker took the start.
	answered bool
	// uncertain is set once a start may have taken effect unseen.
	uncertain bool
	// sentUntil is when no start of this attempt can take effect any more.
	sentUntil time.Time
	// leaseEnds is when the worker's lease on it has surely lapsed.
	leaseEnds time.Time
	stopAsked bool
	// stopAt is when a stop follows a checkpoint that was asked for.
	stopAt time.Time
	// atWorker is set while the worker's inventory lists the attempt.
	atWorker bool

	// waitsRoom is set while victims make room for the attempt.
	waitsRoom bool
	roomTill  time.Time
	item      placeItem
	// grants is how many services' homes have not given leave yet.
	grants int
	// preempted is set on a victim, protectedTill on one that was refused.
	preempted     bool
	protectedTill time.Time

	// jumped is set on work that was let into room promised to others.
	jumped      bool
	expectedEnd time.Time
	// savedAt is when a checkpoint was first seen.
	savedAt time.Time
	// overSince is when the attempt was first seen over its size, oversize
	// set once it is stopped for that, and throttle what its worker is told.
	overSince time.Time
	oversize  bool
	throttle  Action
	// ranLong is set once the attempt has proved its worker.
	ranLong bool
	report  TaskReport
	peak    cluster.Resources
	reason  string
}

// newRack starts a book for a share under a new term. Leases may have been
// renewed up to now, by this daemon too under its term before, so that an
// unread worker counts as free only a whole lease from now.
func newRack(rs *racks, right roles.Right, now time.Time) *rack {
	rs.p.o.Events.Log(events.RackTaken, "share", right.Share.String(), "epoch", right.Epoch)
	rs.sittings++
	return &rack{
		rs: rs, share: right.Share, term: term{right.Epoch, rs.sittings}, lapsed: now.Add(lease.MaxDuration(LeaseDuration)),
		book: book.New(), workers: make(map[string]*worker), attempts: make(map[book.ID]*attempt),
		waiting: make(map[book.ID]*attempt), saving: make(map[book.ID]*attempt),
	}
}

func idOf(ref TaskRef) book.ID {
	return book.ID{Job: ref.JobID, Index: ref.Index, Attempt: ref.Attempt}
}

// putWorker adds a listed worker or takes in what the list says of it.
func (r *rack) putWorker(vm cluster.VM, now time.Time) {
	if r.book.PutWorker(vm.Name, vm.Location, vm.Capacity, vm.AcceleratorKind) != nil {
		return
	}
	w, ok := r.workers[vm.Name]
	if !ok {
		w = &worker{attempts: make(map[book.ID]*attempt), forget: make(map[TaskRef]bool), next: now}
		r.workers[vm.Name] = w
	}
	w.vm, w.listed = vm, true
	r.setClosed(w, now)
}

func (r *rack) holdsLive(w *worker) bool {
	for _, a := range w.attempts {
		if !a.state.dead() {
			return true
		}
	}
	return false
}

func (r *rack) setClosed(w *worker, now time.Time) {
	switch {
	case !w.listed:
		r.book.Close(w.vm.Name, closedUnlisted)
	case !w.read:
		r.book.Close(w.vm.Name, closedUnread)
	case w.failing:
		r.book.Close(w.vm.Name, closedUnreachable)
	case w.vm.Leaving:
		r.book.Close(w.vm.Name, closedLeaving)
	case w.health.Quarantined(now):
		r.book.Close(w.vm.Name, closedAside)
	case w.health.OnProbation(now) && r.holdsLive(w):
		r.book.Close(w.vm.Name, closedTrial)
	default:
		r.book.Close(w.vm.Name, "")
	}
}

// dropUnlisted forgets workers that the platform lists no more, once nothing
// on them counts.
func (r *rack) dropUnlisted(listed map[string]bool, now time.Time) {
	for name, w := range r.workers {
		if listed[name] {
			continue
		}
		w.listed = false
		r.setClosed(w, now)
		if len(w.attempts) == 0 && !w.visiting {
			r.book.RemoveWorker(name)
			delete(r.workers, name)
		}
	}
}

// expire ends holds and leases whose time has passed.
func (r *rack) expire(now time.Time) {
	for _, e := range r.book.ExpireReservations(now) {
		r.dropHold(e.ID)
	}
	r.book.ExpireNominations(now)
	r.takeRoom(now)
	r.endOverdue(now)
	for _, w := range r.workers {
		if w.suspicion > 0 {
			r.judge(w, now)
		}
		if w.visiting || (w.read && !w.failing) {
			continue
		}
		for _, a := range w.attempts {
			if !a.state.dead() && !a.held && now.After(a.leaseEnds) && now.After(a.sentUntil) {
				r.lost(a, "lease_lapsed")
			}
		}
	}
	r.checkComplete(now)
}

// checkComplete notes when no attempt from before this term can be missing
// from the book.
func (r *rack) checkComplete(now time.Time) {
	if r.complete || len(r.workers) == 0 {
		return
	}
	for _, w := range r.workers {
		if !w.read && now.Before(r.lapsed) {
			return
		}
	}
	r.complete = true
	r.rs.p.o.Events.Log(events.RackRead, "share", r.share.String(), "epoch", r.term.Epoch, "tasks", r.book.Len())
}

func (r *rack) dropHold(id book.ID) {
	if a, ok := r.attempts[id]; ok {
		r.drop(a)
	}
}

// drop removes every trace of an attempt.
func (r *rack) drop(a *attempt) {
	r.book.Release(a.id)
	if a.waitsRoom {
		r.book.RemoveNomination(a.worker, a.id.Job, a.id.Index)
	}
	delete(r.waiting, a.id)
	delete(r.saving, a.id)
	delete(r.attempts, a.id)
	if w, ok := r.workers[a.worker]; ok {
		delete(w.attempts, a.id)
	}
}

func (r *rack) add(a *attempt) {
	r.attempts[a.id] = a
	r.workers[a.worker].attempts[a.id] = a
	r.changed(a)
}

// changed lets the home learn of an attempt.
func (r *rack) changed(a *attempt) {
	r.version++
	a.version = r.version
}

// setState moves an attempt and its entry in the book.
func (r *rack) setState(a *attempt, s attemptState) {
	if a.state == s {
		return
	}
	a.state = s
	r.changed(a)
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

// lost ends an attempt that is known dead without a word from its worker.
func (r *rack) lost(a *attempt, reason string) {
	a.reason = reason
	r.rs.p.metrics.lost.Inc()
	r.setState(a, attemptLost)
}

func (r *rack) workerView(name string) *workerView {
	w, ok := r.book.Worker(name)
	if !ok {
		return nil
	}
	spare, spareFor := r.spare(w, r.rs.p.o.Now())
	return &workerView{
		Rack: r.share, Version: w.Version, Name: name, Location: w.Location, Capacity: w.Capacity,
		AcceleratorKind: w.AcceleratorKind, Free: w.Free(), Used: w.Used, Closed: w.Closed,
		Suspicion: r.workers[name].suspicion, Spare: spare, SpareFor: spareFor,
		Tasks: len(r.workers[name].attempts),
	}
}

func (r *rack) teamUse(team string) *teamUse {
	return &teamUse{Rack: r.share, Version: r.book.Version(), Team: team, Used: r.book.TeamUsage(team).Add(r.book.TeamNominated(team))}
}

// view returns what has changed since v. Homes that are not current get no
// attempts.
func (r *rack) view(v rackVersion, current map[cluster.Share]bool) rackView {
	out := rackView{Share: r.share, Term: r.term, Book: r.book.Version(), Tasks: r.version, Complete: r.complete}
	if v.Term != r.term {
		v.Book, v.Tasks = 0, 0
	}
	for _, w := range r.book.Workers(v.Book) {
		out.Workers = append(out.Workers, *r.workerView(w.Name))
	}
	for _, t := range r.book.TeamsSince(v.Book) {
		out.Teams = append(out.Teams, *r.teamUse(t))
	}
	fresh := make(map[cluster.Share]bool, len(v.Fresh))
	for _, h := range v.Fresh {
		fresh[h] = true
	}
	if v.Tasks == r.version && len(fresh) == 0 && len(v.Doubts) == 0 {
		return out
	}
	doubted := make(map[book.ID]bool, len(v.Doubts))
	for _, ref := range v.Doubts {
		doubted[idOf(ref)] = true
	}
	for _, a := range r.attempts {
		if current[a.home] && !a.held && (a.version > v.Tasks || fresh[a.home] || doubted[a.id]) {
			out.Statuses = append(out.Statuses, a.status())
		}
	}
	sort.Slice(out.Statuses, func(i, j int) bool { return refLess(out.Statuses[i].Task, out.Statuses[j].Task) })
	out.Missing = r.lacking(v.Doubts, current)
	return out
}

func refLess(a, b TaskRef) bool {
	if a.JobID != b.JobID {
		return a.JobID < b.JobID
	}
	if a.Index != b.Index {
		return a.Index < b.Index
	}
	return a.Attempt < b.Attempt
}

func (a *attempt) status() taskStatus {
	return taskStatus{
		Task: a.ref, Worker: a.worker, State: a.state, ExitCode: a.report.ExitCode, Reason: a.reason,
		RunTime: a.report.RunTime, Checkpoint: a.report.Checkpoint, Peak: a.peak, Stopped: a.stopAsked,
		Oversize: a.oversize, Revision: a.request.Labels.Revision,
	}
}
