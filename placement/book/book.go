// Package book accounts for the resources reserved on the workers of one share.
// Every attempt that may still use a worker counts against it: attempts that are
// reserved, starting, running or stopping, and attempts that an unreachable
// worker may still run. All amounts are integers, and no check uses floating
// point.
//
// The owner of a share calls it. A worker is never reserved beyond its capacity;
// only Adopt, which records what a worker already runs, can overcommit it.
//
// A Book is not safe for concurrent use: all calls are serialized by the caller.
// Callers pass in the current time.
package book

import (
	"time"

	"github.com/currantwinch/currantwinch/cluster"
	"github.com/currantwinch/currantwinch/document"
)

// MaxAmount bounds every amount of a resource, so that sums over a share cannot
// overflow int64.
const MaxAmount = int64(1) << 50

// ID identifies one attempt of one task.
type ID struct {
	Job     string
	Index   int
	Attempt int
}

// Less orders attempts by job, then by the task's index, then by number.
func (a ID) Less(b ID) bool {
	if a.Job != b.Job {
		return a.Job < b.Job
	}
	if a.Index != b.Index {
		return a.Index < b.Index
	}
	return a.Attempt < b.Attempt
}

// State is the state of an attempt that counts against a worker.
type State uint8

// The states of an entry.
const (
	// Reserved is a reservation: the resources are held, but nothing has been
	// sent to the worker yet.
	Reserved State = iota
	// Starting means that the start request has been or is being sent to the
	// worker.
	Starting
	Running
	Stopping
	// Unknown attempts may run on a worker that cannot be reached.
	Unknown
)

// String returns the state's name in lower case.
func (s State) String() string {
	return [...]string{"reserved", "starting", "running", "stopping", "unknown"}[s]
}

// Entry is one attempt that counts against a worker.
type Entry struct {
	ID        ID
	Worker    string
	Resources cluster.Resources
	// AcceleratorKind is the required kind of accelerator; empty accepts any.
	AcceleratorKind string
	Team            string
	Service         string
	Class           document.Class
	Priority        document.Priority
	State           State
	// Rank orders reservations that compete for the same resources: the lower
	// rank is older, and may displace the higher one while that is not locked.
	Rank uint64
	// Expires is when a reservation ends; it is read only in state Reserved.
	Expires time.Time
	// Ends is when the attempt is expected to end; zero means unknown.
	Ends time.Time
	// Locked reservations cannot be displaced.
	Locked bool
}

// Worker is the account of one worker.
type Worker struct {
	Name            string
	Location        cluster.Location
	Capacity        cluster.Resources
	AcceleratorKind string
	// Used is the sum of the resources of all entries.
	Used cluster.Resources
	// Nominated is the sum of the resources nominated for tasks that wait for
	// capacity on this worker.
	Nominated cluster.Resources
	// Closed is the reason why the worker accepts no new work; empty means that
	// it does.
	Closed string
	// Version is the book's version at the worker's last change.
	Version uint64
}

// Free returns what a task without a nomination may still reserve. No dimension
// is negative: a worker that was found to run more than its capacity has nothing
// free in that dimension.
func (w Worker) Free() cluster.Resources {
	f := w.Uncommitted()
	return cluster.Resources{CPU: max(f.CPU, 0), Memory: max(f.Memory, 0), Accelerators: max(f.Accelerators, 0)}
}

// Uncommitted returns the capacity without what is used or nominated. A dimension
// of which more is used and nominated than the worker has is negative.
func (w Worker) Uncommitted() cluster.Resources {
	return w.Capacity.Sub(w.Used).Sub(w.Nominated)
}

// Overcommitted reports whether the worker's entries exceed its capacity.
func (w Worker) Overcommitted() bool { return !w.Used.Fits(w.Capacity) }

type account struct {
	Worker
	entries     map[ID]*Entry
	nominations map[taskKey]nomination
}

// Book is the resource account of one share.
type Book struct {
	workers      map[string]*account
	entries      map[ID]*Entry
	reservations map[ID]*Entry
	// tasks counts the attempts of each task in the book.
	tasks   map[taskKey]int
	teams   map[string]*teamAccount
	version uint64
}

// teamAccount is the use of one team. It stays, at zero, once the team is known,
// so that readers of TeamsSince see its last change.
type teamAccount struct {
	used      cluster.Resources
	nominated cluster.Resources
	version   uint64
}

type taskKey struct {
	job   string
	index int
}

// New returns an empty book.
func New() *Book {
	return &Book{
		workers:      make(map[string]*account),
		entries:      make(map[ID]*Entry),
		reservations: make(map[ID]*Entry),
		tasks:        make(map[taskKey]int),
		teams:        make(map[string]*teamAccount),
	}
}

// PutWorker adds a worker or changes its capacity and location. Its entries are
// kept, even if the new capacity is smaller. It returns ErrAmount for a capacity
// that is out of range.
func (b *Book) PutWorker(name string, at cluster.Location, capacity cluster.Resources, kind string) error {
	if !validAmount(capacity) {
		return ErrAmount
	}
	a, ok := b.workers[name]
	if !ok {
		a = &account{Worker: Worker{Name: name}, entries: make(map[ID]*Entry), nominations: make(map[taskKey]nomination)}
		b.workers[name] = a
	}
	if ok && a.Location == at && a.Capacity == capacity && a.AcceleratorKind == kind {
		return nil
	}
	a.Location, a.Capacity, a.AcceleratorKind = at, capacity, kind
	b.markChanged(a)
	return nil
}

// RemoveWorker removes a worker and all entries on it, and returns them. The
// caller must know that none of them runs any more.
func (b *Book) RemoveWorker(name string) []Entry {
	a, ok := b.workers[name]
	if !ok {
		return nil
	}
	dropped := b.Entries(name)
	for _, e := range dropped {
		b.Release(e.ID)
	}
	b.version++
	delete(b.workers, a.Name)
	return dropped
}

// Close stops a worker from accepting new work, with a reason. An empty reason
// reopens it.
func (b *Book) Close(name, reason string) {
	if a, ok := b.workers[name]; ok && a.Closed != reason {
		a.Closed = reason
		b.markChanged(a)
	}
}

// Adopt records an attempt that a worker was found to run, whether or not the
// worker has the capacity. An entry of the same ID is replaced. The error is
// ErrAmount, or a RefusedError with UnknownWorker.
func (b *Book) Adopt(e Entry) error {
	if !validAmount(e.Resources) {
		return ErrAmount
	}
	a, ok := b.workers[e.Worker]
	if !ok {
		return &RefusedError{Reason: UnknownWorker}
	}
	b.Release(e.ID)
	b.add(a, e)
	return nil
}

// SetState changes the state of an entry and reports whether the entry exists.
func (b *Book) SetState(id ID, s State) bool {
	e, ok := b.entries[id]
	if !ok {
		return false
	}
	if e.State == s {
		return true
	}
	e.State = s
	if s != Reserved {
		delete(b.reservations, id)
	}
	b.markChanged(b.workers[e.Worker])
	return true
}

// Resize changes the resources of an entry and reports whether it did. An
// increase must fit into the worker's capacity.
func (b *Book) Resize(id ID, to cluster.Resources) bool {
	e, ok := b.entries[id]
	if !ok || !validAmount(to) {
		return false
	}
	a := b.workers[e.Worker]
	grown := a.Used.Sub(e.Resources).Add(to)
	if !to.Fits(e.Resources) && !grown.Fits(a.Capacity) {
		return false
	}
	b.charge(a, e.Team, to.Sub(e.Resources))
	e.Resources = to
	b.markChanged(a)
	return true
}

// Release removes and returns an entry. The caller must know that its attempt
// does not run any more.
func (b *Book) Release(id ID) (Entry, bool) {
	e, ok := b.entries[id]
	if !ok {
		return Entry{}, false
	}
	a := b.workers[e.Worker]
	b.charge(a, e.Team, cluster.Resources{}.Sub(e.Resources))
	delete(b.entries, id)
	delete(b.reservations, id)
	delete(a.entries, id)
	b.countTask(id, -1)
	b.markChanged(a)
	return *e, true
}

// ExpireReservations releases the reservations that have expired at now, and
// returns them.
func (b *Book) ExpireReservations(now time.Time) []Entry {
	var out []Entry
	for id, e := range b.reservations {
		if now.Before(e.Expires) {
			continue
		}
		out = append(out, *e)
		b.Release(id)
	}
	return out
}

func (b *Book) add(a *account, e Entry) {
	kept := e
	b.entries[e.ID] = &kept
	a.entries[e.ID] = &kept
	if e.State == Reserved {
		b.reservations[e.ID] = &kept
	}
	b.countTask(e.ID, 1)
	b.charge(a, e.Team, e.Resources)
	b.markChanged(a)
}

func (b *Book) countTask(id ID, by int) {
	t := taskKey{id.Job, id.Index}
	b.tasks[t] += by
	if b.tasks[t] == 0 {
		delete(b.tasks, t)
	}
}

func (b *Book) charge(a *account, team string, r cluster.Resources) {
	a.Used = a.Used.Add(r)
	t := b.team(team)
	t.used = t.used.Add(r)
	// The markChanged call that follows every charge increments the book's
	// version to this value.
	t.version = b.version + 1
}

func (b *Book) team(name string) *teamAccount {
	t, ok := b.teams[name]
	if !ok {
		t = &teamAccount{}
		b.teams[name] = t
	}
	return t
}

func (b *Book) markChanged(a *account) {
	b.version++
	a.Version = b.version
}

func validAmount(r cluster.Resources) bool {
	in := func(v int64) bool { return v >= 0 && v <= MaxAmount }
	return in(r.CPU) && in(r.Memory) && in(r.Accelerators)
}
