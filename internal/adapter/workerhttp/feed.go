package workerhttp

import (
	"slices"
	"strings"
	"sync"

	"github.com/currantwinch/currantwinch/internal/placer"
	"github.com/currantwinch/currantwinch/verdict"
)

const (
	// sweepEvery is how many uses lie between two looks for unused states.
	sweepEvery = 1024
	// unusedFor is the number of uses of any worker's state after which one
	// that was not used is dropped. A dropped state costs one full answer.
	unusedFor = 8192
)

// held is a worker's whole state at one revision. It never changes.
type held struct {
	known StateVersion
	inv   placer.Inventory
}

// states keeps the newest state of each worker that is called.
type states struct {
	mu     sync.Mutex
	uses   uint64
	byName map[string]*slot
}

type slot struct {
	held *held
	used uint64
}

func newStates() *states { return &states{byName: make(map[string]*slot)} }

// get returns a worker's state, or nil.
func (s *states) get(name string) *held {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.uses++
	if s.uses%sweepEvery == 0 {
		s.sweep()
	}
	at, ok := s.byName[name]
	if !ok {
		return nil
	}
	at.used = s.uses
	return at.held
}

func (s *states) sweep() {
	for name, at := range s.byName {
		if at.used+unusedFor < s.uses {
			delete(s.byName, name)
		}
	}
}

// put keeps next, which was built on from, unless from was dropped meanwhile
// or an answer that overtook it has brought a newer state.
func (s *states) put(name string, from, next *held) {
	s.mu.Lock()
	defer s.mu.Unlock()
	at, ok := s.byName[name]
	if !ok {
		if from == nil {
			s.byName[name] = &slot{held: next, used: s.uses}
		}
		return
	}
	newer := at.held.known.FeedID == next.known.FeedID && at.held.known.Revision < next.known.Revision
	if at.held == from || newer {
		at.held = next
	}
}

// drop forgets a state that proved useless.
func (s *states) drop(name string, from *held) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if at, ok := s.byName[name]; ok && at.held == from {
		delete(s.byName, name)
	}
}

// knownOf is what a request says of the state that it builds on.
func (h *held) knownOf() StateVersion {
	if h == nil {
		return StateVersion{}
	}
	return h.known
}

// next is the state after an answer to a request that was built on h. Tasks
// for which renewed holds have leases until the given time at least.
func (h *held) next(a InventoryResponse, renewed map[placer.TaskRef]bool, until placer.WorkerTime) (*held, error) {
	out := &held{known: a.StateVersion, inv: placer.Inventory{BootID: a.BootID, Clock: a.Clock}}
	if a.Full {
		out.inv.Tasks = a.Tasks
		return out, nil
	}
	if h == nil || a.FeedID != h.known.FeedID || a.Revision < h.known.Revision || a.BootID != h.inv.BootID {
		return nil, verdict.New(verdict.MayHaveRun, ReasonResponseMalformed, "answer builds on another state")
	}
	out.inv.Tasks = h.merge(a)
	for i := range out.inv.Tasks {
		if t := &out.inv.Tasks[i]; t.State != placer.TaskExited && renewed[t.Task] {
			t.LeaseUntil = max(t.LeaseUntil, until)
		}
	}
	return out, nil
}

// merge applies a difference. Run times of live tasks go on with the clock.
func (h *held) merge(a InventoryResponse) []placer.TaskReport {
	replaced := make(map[placer.TaskRef]bool, len(a.Removed)+len(a.Tasks))
	for _, ref := range a.Removed {
		replaced[ref] = true
	}
	for _, t := range a.Tasks {
		replaced[t.Task] = true
	}
	tasks := make([]placer.TaskReport, 0, len(h.inv.Tasks)+len(a.Tasks))
	for _, t := range h.inv.Tasks {
		if replaced[t.Task] {
			continue
		}
		if t.State != placer.TaskExited {
			t.RunTime += (a.Clock - h.inv.Clock).Duration()
		}
		tasks = append(tasks, t)
	}
	tasks = append(tasks, a.Tasks...)
	if len(a.Tasks) > 0 {
		slices.SortFunc(tasks, func(a, b placer.TaskReport) int { return compareRefs(a.Task, b.Task) })
	}
	return tasks
}

func compareRefs(a, b placer.TaskRef) int {
	if c := strings.Compare(a.JobID, b.JobID); c != 0 {
		return c
	}
	if a.Index != b.Index {
		return a.Index - b.Index
	}
	return a.Attempt - b.Attempt
}

// renewal words a request relative to the state that the worker is known to
// have, so that renewing everything takes a few bytes.
func (h *held) renewal(r placer.RenewRequest) RenewBody {
	body := RenewBody{BootID: r.BootID, LeaseUntil: r.LeaseUntil, Tasks: r.Tasks, Acknowledged: r.Acknowledged}
	if h == nil || h.inv.BootID != r.BootID {
		return body
	}
	body.StateVersion = h.known
	asked := refSet(r.Tasks)
	live := make(map[placer.TaskRef]bool, len(h.inv.Tasks))
	var except []placer.TaskRef
	for _, t := range h.inv.Tasks {
		if t.State == placer.TaskExited {
			continue
		}
		live[t.Task] = true
		if !asked[t.Task] {
			except = append(except, t.Task)
		}
	}
	added := slices.DeleteFunc(slices.Clone(r.Tasks), func(ref placer.TaskRef) bool { return live[ref] })
	if len(except)+len(added) >= len(r.Tasks) {
		return body
	}
	body.All, body.Except, body.Tasks = true, except, added
	return body
}

func refSet(refs []placer.TaskRef) map[placer.TaskRef]bool {
	set := make(map[placer.TaskRef]bool, len(refs))
	for _, ref := range refs {
		set[ref] = true
	}
	return set
}
