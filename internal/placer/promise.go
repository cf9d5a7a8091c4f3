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

// promiseLength bounds a promise that its home does not renew.
const promiseLength = 10 * time.Second

// serveSlots says when there will be room for tasks of one size.
func (rs *racks) serveSlots(ctx context.Context, q slotsRequest) (slotsReply, error) {
	return query(ctx, rs.loop, func() slotsReply { return rs.slots(q, rs.p.o.Now()) })
}

func (rs *racks) slots(q slotsRequest, now time.Time) slotsReply {
	var reply slotsReply
	for share, r := range rs.shares {
		if _, _, ok := rs.owned(share); !ok {
			continue
		}
		for _, w := range r.workers {
			reply.Slots = append(reply.Slots, r.slotsOf(w, q, now)...)
		}
	}
	sortSlots(reply.Slots)
	reply.Slots = reply.Slots[:min(len(reply.Slots), q.Count)]
	return reply
}

func sortSlots(slots []slot) {
	sort.Slice(slots, func(i, j int) bool {
		if slots[i].In != slots[j].In {
			return slots[i].In < slots[j].In
		}
		return slots[i].Worker < slots[j].Worker
	})
}

// slotsOf goes through the expected ends of a worker's tasks and notes when
// there is room for one more task. Tasks that never end give no room.
func (r *rack) slotsOf(w *worker, q slotsRequest, now time.Time) []slot {
	account, ok := r.book.Worker(w.vm.Name)
	d := pipeline.Demand{Resources: q.Need, AcceleratorKind: q.Kind, Regions: q.Regions}
	if !ok || account.Closed != "" || !d.Matches(account.Location.Region, account.AcceleratorKind) {
		return nil
	}
	free := account.Capacity.Sub(account.Used).Sub(account.Nominated)
	var out []slot
	add := func(at time.Time) {
		for len(out) < q.Count && q.Need.Fits(free) {
			free = free.Sub(q.Need)
			out = append(out, slot{Rack: r.share, Worker: w.vm.Name, In: at.Sub(now)})
		}
	}
	add(now)
	ending := make([]*attempt, 0, len(w.attempts))
	for _, a := range w.attempts {
		if !a.held && !a.state.dead() && !a.expectedEnd.IsZero() {
			ending = append(ending, a)
		}
	}
	sort.Slice(ending, func(i, j int) bool { return ending[i].endsBy(now).Before(ending[j].endsBy(now)) })
	for _, a := range ending {
		free = free.Add(a.request.Resources)
		add(a.endsBy(now))
	}
	return out
}

// endsBy is when an attempt is taken to end. One that is overdue is taken to
// need as long again as it has run past its time.
func (a *attempt) endsBy(now time.Time) time.Time {
	if now.Before(a.expectedEnd) {
		return a.expectedEnd
	}
	return now.Add(max(now.Sub(a.expectedEnd), time.Second))
}

// servePromise keeps room for tasks, or lets it go.
func (rs *racks) servePromise(ctx context.Context, q promiseRequest) (promiseReply, error) {
	return query(ctx, rs.loop, func() promiseReply { return rs.promise(q, rs.p.o.Now()) })
}

func (rs *racks) promise(q promiseRequest, now time.Time) promiseReply {
	var reply promiseReply
	for _, item := range q.Items {
		r, _, ok := rs.owned(item.Rack)
		if !ok || !rs.fence(item.Home, item.HomeTerm) {
			reply.Kept = append(reply.Kept, false)
			continue
		}
		reply.Kept = append(reply.Kept, r.promise(item, now))
	}
	return reply
}

func (r *rack) promise(item promiseItem, now time.Time) bool {
	if item.Drop {
		r.book.RemoveNomination(item.Worker, item.Task.JobID, item.Task.Index)
		return true
	}
	w, ok := r.book.Worker(item.Worker)
	if !ok || w.Closed != "" {
		return false
	}
	return r.book.Nominate(book.Nomination{
		Worker: item.Worker, Job: item.Task.JobID, Index: item.Task.Index, Team: item.Team, Resources: item.Resources,
		ExpectedStart: now.Add(item.In), Expires: now.Add(promiseLength),
	}) == nil
}

// endOverdue stops work that was let into promised room and has outrun its
// time, so that it does not delay what it jumped.
func (r *rack) endOverdue(now time.Time) {
	for _, w := range r.workers {
		account, _ := r.book.Worker(w.vm.Name)
		if account.Nominated.IsZero() {
			continue
		}
		for _, a := range w.attempts {
			if !a.jumped || a.state != attemptRunning || a.stopAsked || !a.stopAt.IsZero() || now.Before(a.expectedEnd) {
				continue
			}
			r.rs.p.o.Events.Log(events.TaskPreempted, "job", a.ref.JobID, "index", a.ref.Index, "attempt", a.ref.Attempt, "worker", a.worker)
			a.preempted = true
			r.stop(a, true, now)
		}
	}
}

// jumps reports whether an item takes room that is promised to others.
func (r *rack) jumps(item placeItem) bool {
	w, ok := r.book.Worker(item.Worker)
	return ok && !w.Nominated.IsZero() && !item.Resources.Fits(w.Free()) &&
		!r.book.IsNominated(item.Worker, item.Task.JobID, item.Task.Index)
}

// spare is the room on a worker that is promised but not taken yet, and for
// how long other work may use it.
func (r *rack) spare(w book.Worker, now time.Time) (cluster.Resources, time.Duration) {
	until, ok := r.book.BackfillUntil(w.Name)
	if !ok {
		return cluster.Resources{}, 0
	}
	free := w.Capacity.Sub(w.Used)
	return cluster.Resources{CPU: max(free.CPU, 0), Memory: max(free.Memory, 0), Accelerators: max(free.Accelerators, 0)}, max(until.Sub(now), 0)
}
