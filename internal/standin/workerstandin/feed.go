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

// maxGone bounds the forgotten tasks that a worker remembers.
const maxGone = 64

// feed numbers the changes of what one VM holds.
type feed struct {
	// booted and run name the run of revisions.
	booted   time.Time
	run      int
	revision uint64
	// oldest is the first revision since which all that is gone is known.
	oldest uint64
	tasks  map[placer.TaskRef]noted
	gone   []goneTask
}

// noted is a task as it stood when it last changed.
type noted struct {
	report  placer.TaskReport
	since   uint64
	changed uint64
}

type goneTask struct {
	ref      placer.TaskRef
	revision uint64
}

// begin starts a run of revisions that has nothing to do with earlier ones.
func (f *feed) begin(booted time.Time) { *f = feed{booted: booted, run: f.run + 1} }

func (f *feed) name() string {
	return strconv.FormatInt(f.booted.UnixNano(), 36) + "." + strconv.Itoa(f.run)
}

func (f *feed) forget(ref placer.TaskRef) {
	f.revision++
	delete(f.tasks, ref)
	f.gone = append(f.gone, goneTask{ref, f.revision})
	if len(f.gone) > maxGone {
		f.oldest = f.gone[0].revision
		f.gone = f.gone[1:]
	}
}

// note numbers what has changed since it was last called.
func (f *feed) note(reports []placer.TaskReport) {
	if f.tasks == nil {
		f.tasks = make(map[placer.TaskRef]noted)
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
		f.tasks[r.Task] = noted{r, since, next}
		f.revision = next
	}
}

// changed compares what a reader cannot work out by itself.
func changed(was, is placer.TaskReport) bool {
	if usageMoved(was.Usage, is.Usage, is.Resources) {
		return true
	}
	was.Usage, was.LeaseUntil = is.Usage, is.LeaseUntil
	if is.State != placer.TaskExited {
		was.RunTime = is.RunTime
	}
	return was != is
}

// usageMoved reports whether usage moved by a step of the declared size, or
// from or to nothing.
func usageMoved(was, is, size cluster.Resources) bool {
	moved := func(was, is, size int64) bool {
		return max(was-is, is-was) > size/workerhttp.UsageChangeDivisor
	}
	return was.IsZero() != is.IsZero() || moved(was.CPU, is.CPU, size.CPU) ||
		moved(was.Memory, is.Memory, size.Memory) || was.Accelerators != is.Accelerators
}

// tells reports whether the difference to a known state can be told.
func (f *feed) tells(k workerhttp.StateVersion) bool {
	return k.FeedID == f.name() && k.Revision >= f.oldest && k.Revision <= f.revision
}

// answer is the VM's inventory relative to a known state.
func (w *Workers) answer(v *machine, now time.Time, k workerhttp.StateVersion) workerhttp.InventoryResponse {
	inv := w.inventory(v, now)
	f := &v.feed
	f.note(inv.Tasks)
	a := workerhttp.InventoryResponse{BootID: inv.BootID, Clock: inv.Clock, StateVersion: workerhttp.StateVersion{FeedID: f.name(), Revision: f.revision}}
	if !f.tells(k) {
		a.Full, a.Tasks = true, inv.Tasks
		return a
	}
	a.Tasks = slices.DeleteFunc(inv.Tasks, func(r placer.TaskReport) bool { return f.tasks[r.Task].changed <= k.Revision })
	for _, g := range f.gone {
		if g.revision > k.Revision {
			a.Removed = append(a.Removed, g.ref)
		}
	}
	return a
}

func (w *Workers) inventorySince(ctx context.Context, name string, in workerhttp.InventoryBody) (workerhttp.InventoryResponse, error) {
	var out workerhttp.InventoryResponse
	err := w.call(ctx, name, "inventory", func(v *machine, now time.Time) error {
		out = w.answer(v, now, in.StateVersion)
		return nil
	})
	return out, err
}

func (w *Workers) renewSince(ctx context.Context, name string, in workerhttp.RenewBody) (workerhttp.InventoryResponse, error) {
	var out workerhttp.InventoryResponse
	err := w.call(ctx, name, "renew", func(v *machine, now time.Time) error {
		if in.BootID != v.bootName() {
			return verdict.New(verdict.NotRun, ReasonBootMismatch, "boot is %s", v.bootName())
		}
		if in.All && !v.feed.tells(in.StateVersion) {
			return verdict.New(verdict.NotRun, workerhttp.ReasonUnknownRevision, "feed is %s", v.feed.name())
		}
		if in.All {
			v.renew(v.feed.listed(in), in.LeaseUntil)
		}
		v.renew(in.Tasks, in.LeaseUntil)
		v.acknowledge(in.Acknowledged)
		out = w.answer(v, now, in.StateVersion)
		return nil
	})
	return out, err
}

// listed returns the tasks of a known state but those that are excepted.
func (f *feed) listed(in workerhttp.RenewBody) []placer.TaskRef {
	var refs []placer.TaskRef
	for ref, t := range f.tasks {
		if t.since <= in.Revision && !slices.Contains(in.Except, ref) {
			refs = append(refs, ref)
		}
	}
	return refs
}
