package workerhttp

import (
	"slices"
	"strings"
	"sync"

	"github.com/currantwinch/currantwinch/internal/placer"
	"github.com/currantwinch/currantwinch/verdict"
)

const (
	// sweepInterval is the number of calls of get between two sweeps of unused
	// entries.
	sweepInterval = 1024
	// maxUnusedCalls is the number of calls of get, for any worker, after which an
	// entry that was not used is removed. The next request to that worker then
	// returns a full inventory.
	maxUnusedCalls = 8192
)

// workerState is a worker's whole state at one revision. It is immutable.
type workerState struct {
	version StateVersion
	inv     placer.Inventory
}

// stateCache holds the latest state of each worker that is called.
type stateCache struct {
	mu     sync.Mutex
	uses   uint64
	byName map[string]*cacheEntry
}

type cacheEntry struct {
	state *workerState
	used  uint64
}

func newStateCache() *stateCache { return &stateCache{byName: make(map[string]*cacheEntry)} }

// get returns a worker's state, or nil if none is cached.
func (s *stateCache) get(name string) *workerState {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.uses++
	if s.uses%sweepInterval == 0 {
		s.sweep()
	}
	entry, ok := s.byName[name]
	if !ok {
		return nil
	}
	entry.used = s.uses
	return entry.state
}

func (s *stateCache) sweep() {
	for name, entry := range s.byName {
		if entry.used+maxUnusedCalls < s.uses {
			delete(s.byName, name)
		}
	}
}

// put stores next, which was derived from from. It does nothing if from was
// dropped in the meantime, or if a later response has already stored a newer
// state.
func (s *stateCache) put(name string, from, next *workerState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	entry, ok := s.byName[name]
	if !ok {
		if from == nil {
			s.byName[name] = &cacheEntry{state: next, used: s.uses}
		}
		return
	}
	newer := entry.state.version.FeedID == next.version.FeedID && entry.state.version.Revision < next.version.Revision
	if entry.state == from || newer {
		entry.state = next
	}
}

// drop removes a state that did not match the worker's response, or whose call
// failed.
func (s *stateCache) drop(name string, from *workerState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if entry, ok := s.byName[name]; ok && entry.state == from {
		delete(s.byName, name)
	}
}

// versionOf returns the version that a request states, which is the zero value
// for a nil state.
func (h *workerState) versionOf() StateVersion {
	if h == nil {
		return StateVersion{}
	}
	return h.version
}

// apply returns the state after a response to a request that was based on h. The
// leases of tasks in renewed last at least until the given time.
func (h *workerState) apply(a InventoryResponse, renewed map[placer.TaskRef]bool, until placer.WorkerTime) (*workerState, error) {
	out := &workerState{version: a.StateVersion, inv: placer.Inventory{BootID: a.BootID, Clock: a.Clock}}
	if a.Full {
		out.inv.Tasks = a.Tasks
		return out, nil
	}
	if h == nil || a.FeedID != h.version.FeedID || a.Revision < h.version.Revision || a.BootID != h.inv.BootID {
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

// merge applies a delta. The run times of live tasks advance with the clock.
func (h *workerState) merge(a InventoryResponse) []placer.TaskReport {
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

// renewBody expresses a renewal relative to the state that the worker is known to
// have, so that renewing all tasks takes a few bytes. It lists all tasks if that
// is shorter.
func (h *workerState) renewBody(r placer.RenewRequest) RenewBody {
	body := RenewBody{BootID: r.BootID, LeaseUntil: r.LeaseUntil, Tasks: r.Tasks, Acknowledged: r.Acknowledged}
	if h == nil || h.inv.BootID != r.BootID {
		return body
	}
	body.StateVersion = h.version
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
