// Package book keeps the exact account of what the workers of one share hold.
// Whatever may still use a worker counts against it: what is reserved, starting,
// running or stopping, and what an unreachable worker may still run. All
// amounts are integers; a check is never made in floating point.
//
// A Book is not safe for concurrent use: it has one serial applier. Time is
// passed in.
package book

import (
	"time"

	"github.com/currantwinch/currantwinch/cluster"
	"github.com/currantwinch/currantwinch/document"
)

// MaxAmount bounds every amount of a resource, so that sums over a share
// cannot overflow.
const MaxAmount = int64(1) << 50

// ID names one attempt of one task.
type ID struct {
	Job     string
	Index   int
	Attempt int
}

// State says why an entry counts.
type State uint8

// The states of an entry.
const (
	// Reserved is a hold: room kept, nothing sent to the worker.
	Reserved State = iota
	// Starting has been or is being sent to the worker.
	Starting
	Running
	Stopping
	// Unknown may run on a worker that cannot be read.
	Unknown
)

// String returns the state's name.
func (s State) String() string {
	return [...]string{"reserved", "starting", "running", "stopping", "unknown"}[s]
}

// Entry is one attempt that counts against a worker.
type Entry struct {
	ID        ID
	Worker    string
	Resources cluster.Resources
	// AcceleratorKind is what the accelerators must be; empty takes any.
	AcceleratorKind string
	Team            string
	Service         string
	Class           document.Class
	Priority        document.Priority
	State           State
	// Rank orders holds that compete for room: of two the lower one is older
	// and may displace the other while that is not locked.
	Rank uint64
	// Expires ends a hold; it is read only in state Reserved.
	Expires time.Time
	// Ends is when the attempt is expected to end; zero is unknown.
	Ends time.Time
	// Locked holds cannot be displaced.
	Locked bool
}

// Worker is one worker's account.
type Worker struct {
	Name            string
	Location        cluster.Location
	Capacity        cluster.Resources
	AcceleratorKind string
	// Used is the sum of all entries.
	Used cluster.Resources
	// Nominated is the sum of what is promised to work that waits for room
	// here.
	Nominated cluster.Resources
	// Closed says why the worker takes nothing new; empty is open.
	Closed string
	// Version is the book's version when the worker last changed.
	Version uint64
}

// Free is what may still be reserved by work without an earmark. It is never
// negative: a worker that was found to hold more than it can has nothing free
// in that dimension.
func (w Worker) Free() cluster.Resources {
	f := w.Capacity.Sub(w.Used).Sub(w.Nominated)
	return cluster.Resources{CPU: max(f.CPU, 0), Memory: max(f.Memory, 0), Accelerators: max(f.Accelerators, 0)}
}

// Overcommitted reports whether the worker holds more than it can.
func (w Worker) Overcommitted() bool { return !w.Used.Fits(w.Capacity) }

type account struct {
	Worker
	entries  map[ID]*Entry
	earmarks map[task]earmark
}

// Book is the account of one share.
type Book struct {
	workers map[string]*account
	entries map[ID]*Entry
	holds   map[ID]*Entry
	// tasks counts the attempts of each task that are on the book.
	tasks   map[task]int
	teams   map[string]*teamAccount
	version uint64
}

// teamAccount is what one team uses. It stays at zero once the team is known,
// so that readers learn of its last change.
type teamAccount struct {
	used     cluster.Resources
	promised cluster.Resources
	version  uint64
}

type task struct {
	job   string
	index int
}

// New returns an empty book.
func New() *Book {
	return &Book{
		workers: make(map[string]*account),
		entries: make(map[ID]*Entry),
		holds:   make(map[ID]*Entry),
		tasks:   make(map[task]int),
		teams:   make(map[string]*teamAccount),
	}
}

// PutWorker adds a worker or changes its capacity and place. What it holds is
// kept, even where the new capacity is less. The error is ErrAmount.
func (b *Book) PutWorker(name string, at cluster.Location, capacity cluster.Resources, kind string) error {
	if !valid(capacity) {
		return ErrAmount
	}
	a, ok := b.workers[name]
	if !ok {
		a = &account{Worker: Worker{Name: name}, entries: make(map[ID]*Entry), earmarks: make(map[task]earmark)}
		b.workers[name] = a
	}
	if ok && a.Location == at && a.Capacity == capacity && a.AcceleratorKind == kind {
		return nil
	}
	a.Location, a.Capacity, a.AcceleratorKind = at, capacity, kind
	b.touch(a)
	return nil
}

// RemoveWorker forgets a worker and everything on it, which the caller knows
// to be dead. It returns what was dropped.
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

// Close stops a worker from taking anything new. An empty reason opens it.
func (b *Book) Close(name, reason string) {
	if a, ok := b.workers[name]; ok && a.Closed != reason {
		a.Closed = reason
		b.touch(a)
	}
}

// Adopt counts an attempt that a worker was found to hold, whether or not
// there is room for it. An entry of the same ID is replaced. The error is
// ErrAmount or a RefusedError with NoWorker.
func (b *Book) Adopt(e Entry) error {
	if !valid(e.Resources) {
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

// SetState moves an entry to another state and reports whether it exists.
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
		delete(b.holds, id)
	}
	b.touch(b.workers[e.Worker])
	return true
}

// Resize changes what a running entry counts for, never above what the worker
// has room for. It reports whether it did.
func (b *Book) Resize(id ID, to cluster.Resources) bool {
	e, ok := b.entries[id]
	if !ok || !valid(to) {
		return false
	}
	a := b.workers[e.Worker]
	grown := a.Used.Sub(e.Resources).Add(to)
	if !to.Fits(e.Resources) && !grown.Fits(a.Capacity) {
		return false
	}
	b.charge(a, e.Team, to.Sub(e.Resources))
	e.Resources = to
	b.touch(a)
	return true
}

// Release removes an entry whose attempt is known not to run, and returns it.
func (b *Book) Release(id ID) (Entry, bool) {
	e, ok := b.entries[id]
	if !ok {
		return Entry{}, false
	}
	a := b.workers[e.Worker]
	b.charge(a, e.Team, cluster.Resources{}.Sub(e.Resources))
	delete(b.entries, id)
	delete(b.holds, id)
	delete(a.entries, id)
	b.countTask(id, -1)
	b.touch(a)
	return *e, true
}

// ExpireReservations releases the holds whose time has passed and returns them.
func (b *Book) ExpireReservations(now time.Time) []Entry {
	var out []Entry
	for id, e := range b.holds {
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
		b.holds[e.ID] = &kept
	}
	b.countTask(e.ID, 1)
	b.charge(a, e.Team, e.Resources)
	b.touch(a)
}

func (b *Book) countTask(id ID, by int) {
	t := task{id.Job, id.Index}
	b.tasks[t] += by
	if b.tasks[t] == 0 {
		delete(b.tasks, t)
	}
}

func (b *Book) charge(a *account, team string, r cluster.Resources) {
	a.Used = a.Used.Add(r)
	t := b.team(team)
	t.used = t.used.Add(r)
	// The touch that follows every charge gives the book the same version.
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

func (b *Book) touch(a *account) {
	b.version++
	a.Version = b.version
}

func valid(r cluster.Resources) bool {
	in := func(v int64) bool { return v >= 0 && v <= MaxAmount }
	return in(r.CPU) && in(r.Memory) && in(r.Accelerators)
}
