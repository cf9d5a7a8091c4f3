package workerstandin

import (
	"context"
	"slices"
	"strconv"
	"time"

	"github.com/currantwinch/currantwinch/cluster"
	"github.com/currantwinch/currantwinch/internal/adapter/workerhttp"
	"github.com/currantwinch/currantwinch/internal/placer"
	"github.com/currantwinch/currantwinch/verdict"
)

// maxRemovedTasks is the maximum number of removed tasks that a feed keeps, so that a
// reader can learn of their removal.
const maxRemovedTasks = 64

// feed numbers the changes to the tasks of one VM, so that a reader can ask for
// the changes since a revision.
type feed struct {
	// booted and run identify this sequence of revisions.
	booted   time.Time
	run      int
	revision uint64
	// oldest is the oldest revision since which all removed tasks are known.
	oldest  uint64
	tasks   map[placer.TaskRef]trackedTask
	removed []removedTask
}

// trackedTask is a task's report at its last change, with the revisions of its first
// report and of that change.
type trackedTask struct {
	report  placer.TaskReport
	since   uint64
	changed uint64
}

type removedTask struct {
	ref      placer.TaskRef
	revision uint64
}

// reset starts a new sequence of revisions, unrelated to earlier ones.
func (f *feed) reset(booted time.Time) { *f = feed{booted: booted, run: f.run + 1} }

func (f *feed) name() string {
	return strconv.FormatInt(f.booted.UnixNano(), 36) + "." + strconv.Itoa(f.run)
}

func (f *feed) remove(ref placer.TaskRef) {
	f.revision++
	delete(f.tasks, ref)
	f.removed = append(f.removed, removedTask{ref, f.revision})
	if len(f.removed) > maxRemovedTasks {
		f.oldest = f.removed[0].revision
		f.removed = f.removed[1:]
	}
}

// recordChanges assigns revisions to the reports that changed since the last call.
func (f *feed) recordChanges(reports []placer.TaskReport) {
	if f.tasks == nil {
		f.tasks = make(map[placer.TaskRef]trackedTask)
	}
	next := f.revision + 1
	for _, r := range reports {
		was, ok := f.tasks[r.Task]
		if ok && !changed(was.report, r) {
			continue
		}
		since := was.since
		if !ok {
			since = next
		}
		f.tasks[r.Task] = trackedTask{r, since, next}
		f.revision = next
	}
}

// changed reports whether a report differs in what a reader cannot compute
// itself. A reader computes leases from its renewals and the run time of a live
// task from the clock; usage counts only if it changed significantly.
func changed(was, is placer.TaskReport) bool {
	if usageChanged(was.Usage, is.Usage, is.Resources) {
		return true
	}
	was.Usage, was.LeaseUntil = is.Usage, is.LeaseUntil
	if is.State != placer.TaskExited {
		was.RunTime = is.RunTime
	}
	return was != is
}

// usageChanged reports whether usage changed by more than 1/workerhttp.UsageStep
// of the declared size, changed from or to zero, or the number of accelerators
// changed.
func usageChanged(was, is, size cluster.Resources) bool {
	moved := func(was, is, size int64) bool {
		return max(was-is, is-was) > size/workerhttp.UsageChangeDivisor
	}
	return was.IsZero() != is.IsZero() || moved(was.CPU, is.CPU, size.CPU) ||
		moved(was.Memory, is.Memory, size.Memory) || was.Accelerators != is.Accelerators
}

// covers reports whether the changes since a known state are available.
func (f *feed) covers(k workerhttp.StateVersion) bool {
	return k.FeedID == f.name() && k.Revision >= f.oldest && k.Revision <= f.revision
}

// inventoryFrom returns the VM's inventory as changes to a known state, or in
// full if these are not available.
func (w *Workers) inventoryFrom(v *workerVM, now time.Time, k workerhttp.StateVersion) workerhttp.InventoryResponse {
	inv := w.inventory(v, now)
	f := &v.feed
	f.recordChanges(inv.Tasks)
	a := workerhttp.InventoryResponse{BootID: inv.BootID, Clock: inv.Clock, StateVersion: workerhttp.StateVersion{FeedID: f.name(), Revision: f.revision}}
	if !f.covers(k) {
		a.Full, a.Tasks = true, inv.Tasks
		return a
	}
	a.Tasks = slices.DeleteFunc(inv.Tasks, func(r placer.TaskReport) bool { return f.tasks[r.Task].changed <= k.Revision })
	for _, g := range f.removed {
		if g.revision > k.Revision {
			a.Removed = append(a.Removed, g.ref)
		}
	}
	return a
}

func (w *Workers) inventorySince(ctx context.Context, name string, in workerhttp.InventoryBody) (workerhttp.InventoryResponse, error) {
	var out workerhttp.InventoryResponse
	err := w.call(ctx, name, "inventory", func(v *workerVM, now time.Time) error {
		out = w.inventoryFrom(v, now, in.StateVersion)
		return nil
	})
	return out, err
}

func (w *Workers) renewSince(ctx context.Context, name string, in workerhttp.RenewBody) (workerhttp.InventoryResponse, error) {
	var out workerhttp.InventoryResponse
	err := w.call(ctx, name, "renew", func(v *workerVM, now time.Time) error {
		if in.BootID != v.bootID() {
			return verdict.New(verdict.NotRun, ReasonBootMismatch, "boot is %s", v.bootID())
		}
		if in.All && !v.feed.covers(in.StateVersion) {
			return verdict.New(verdict.NotRun, workerhttp.ReasonUnknownRevision, "feed is %s", v.feed.name())
		}
		if in.All {
			v.renew(v.feed.tasksToRenew(in), in.LeaseUntil)
		}
		v.renew(in.Tasks, in.LeaseUntil)
		v.acknowledge(in.Acknowledged)
		out = w.inventoryFrom(v, now, in.StateVersion)
		return nil
	})
	return out, err
}

// tasksToRenew returns the tasks of a known state, without the exceptions of the
// request.
func (f *feed) tasksToRenew(in workerhttp.RenewBody) []placer.TaskRef {
	var refs []placer.TaskRef
	for ref, t := range f.tasks {
		if t.since <= in.Revision && !slices.Contains(in.Except, ref) {
			refs = append(refs, ref)
		}
	}
	return refs
}
