package placer

import (
	"context"
	"sort"
	"time"

	"github.com/currantwinch/currantwinch/cluster"
	"github.com/currantwinch/currantwinch/internal/events"
	"github.com/currantwinch/currantwinch/placement/book"
	"github.com/currantwinch/currantwinch/placement/pipeline"
)

// nominationDuration is how long a nomination lasts unless its home renews it.
const nominationDuration = 10 * time.Second

// serveSlots returns the earliest times at which tasks of one size are expected
// to fit on this daemon's racks.
func (al *allocator) serveSlots(ctx context.Context, q slotsRequest) (slotsReply, error) {
	return query(ctx, al.executor, func() slotsReply { return al.slots(q, al.p.o.Now()) })
}

func (al *allocator) slots(q slotsRequest, now time.Time) slotsReply {
	var reply slotsReply
	for share, r := range al.racks {
		if _, _, ok := al.owned(share); !ok {
			continue
		}
		for _, w := range r.workers {
			reply.Slots = append(reply.Slots, r.workerSlots(w, q, now)...)
		}
	}
	sortSlots(reply.Slots)
	reply.Slots = reply.Slots[:min(len(reply.Slots), q.Count)]
	return reply
}

func sortSlots(slots []slot) {
	sort.Slice(slots, func(i, j int) bool {
		if slots[i].AvailableIn != slots[j].AvailableIn {
			return slots[i].AvailableIn < slots[j].AvailableIn
		}
		return slots[i].Worker < slots[j].Worker
	})
}

// workerSlots walks through the expected ends of a worker's attempts and adds a
// slot for each further task that then fits. Attempts without an expected end
// free no capacity.
func (r *rack) workerSlots(w *worker, q slotsRequest, now time.Time) []slot {
	bookWorker, ok := r.openWorker(w, pipeline.Demand{Resources: q.Need, AcceleratorKind: q.Kind, Regions: q.Regions})
	if !ok {
		return nil
	}
	free := bookWorker.Uncommitted()
	var out []slot
	add := func(at time.Time) {
		for len(out) < q.Count && q.Need.Fits(free) {
			free = free.Sub(q.Need)
			out = append(out, slot{Rack: r.share, Worker: w.vm.Name, AvailableIn: at.Sub(now)})
		}
	}
	add(now)
	ending := make([]*attempt, 0, len(w.attempts))
	for _, a := range w.attempts {
		if !a.reserved && !a.state.terminated() && !a.expectedEnd.IsZero() {
			ending = append(ending, a)
		}
	}
	sort.Slice(ending, func(i, j int) bool { return ending[i].estimatedEnd(now).Before(ending[j].estimatedEnd(now)) })
	for _, a := range ending {
		free = free.Add(a.request.Resources)
		add(a.estimatedEnd(now))
	}
	return out
}

// estimatedEnd returns when an attempt is expected to end. An overdue attempt
// is expected to run on for as long as it is overdue, and for at least a
// second.
func (a *attempt) estimatedEnd(now time.Time) time.Time {
	if now.Before(a.expectedEnd) {
		return a.expectedEnd
	}
	return now.Add(max(now.Sub(a.expectedEnd), time.Second))
}

// serveNominate nominates capacity for tasks, or cancels nominations.
func (al *allocator) serveNominate(ctx context.Context, q nominationRequest) (nominationReply, error) {
	return query(ctx, al.executor, func() nominationReply { return al.applyNominations(q, al.p.o.Now()) })
}

func (al *allocator) applyNominations(q nominationRequest, now time.Time) nominationReply {
	var reply nominationReply
	for _, item := range q.Items {
		r, _, ok := al.owned(item.Rack)
		if !ok || !al.fence(item.Home, item.HomeTerm) {
			reply.Accepted = append(reply.Accepted, false)
			continue
		}
		reply.Accepted = append(reply.Accepted, r.applyNomination(item, now))
	}
	return reply
}

func (r *rack) applyNomination(item nominationItem, now time.Time) bool {
	if item.Cancel {
		r.book.RemoveNomination(item.Worker, item.Task.JobID, item.Task.Index)
		return true
	}
	w, ok := r.book.Worker(item.Worker)
	if !ok || w.Closed != "" {
		return false
	}
	return r.book.Nominate(book.Nomination{
		Worker: item.Worker, Job: item.Task.JobID, Index: item.Task.Index, Team: item.Team, Resources: item.Resources,
		ExpectedStart: now.Add(item.NeededIn), Expires: now.Add(nominationDuration),
	}) == nil
}

// stopOverdueBackfills stops attempts that were backfilled into nominated
// capacity and run past their expected end, so that they do not delay the
// nominated task.
func (r *rack) stopOverdueBackfills(now time.Time) {
	for _, w := range r.workers {
		bookWorker, _ := r.book.Worker(w.vm.Name)
		if bookWorker.Nominated.IsZero() {
			continue
		}
		for _, a := range w.attempts {
			if !a.backfilled || a.state != attemptRunning || a.stopRequested || !a.checkpointDeadline.IsZero() || now.Before(a.expectedEnd) {
				continue
			}
			r.alloc.p.o.Events.Log(events.TaskPreempted, "job", a.ref.JobID, "index", a.ref.Index, "attempt", a.ref.Attempt, "worker", a.worker)
			a.preempted = true
			r.stop(a, true, now)
		}
	}
}

// needsNominatedCapacity reports whether an item needs capacity that is
// nominated for other tasks.
func (r *rack) needsNominatedCapacity(item placeItem) bool {
	w, ok := r.book.Worker(item.Worker)
	return ok && !w.Nominated.IsZero() && !item.Resources.Fits(w.Free()) &&
		!r.book.IsNominated(item.Worker, item.Task.JobID, item.Task.Index)
}

// backfillCapacity returns a worker's unused capacity, nominated capacity
// included, and for how long other work may use it. Both are zero if the worker
// has no nominations.
func (r *rack) backfillCapacity(w book.Worker, now time.Time) (cluster.Resources, time.Duration) {
	until, ok := r.book.BackfillUntil(w.Name)
	if !ok {
		return cluster.Resources{}, 0
	}
	free := w.Capacity.Sub(w.Used)
	return cluster.Resources{CPU: max(free.CPU, 0), Memory: max(free.Memory, 0), Accelerators: max(free.Accelerators, 0)}, max(until.Sub(now), 0)
}
