package placer

import (
	"context"
	"slices"
	"time"

	"github.com/currantwinch/currantwinch/cluster"
	"github.com/currantwinch/currantwinch/document"
	"github.com/currantwinch/currantwinch/placement/pipeline"
)

const (
	// aheadAfter is how long the first job in the queue waits for room before
	// room is promised to it.
	aheadAfter = 2 * time.Second
	// aheadEvery is how often promises are renewed.
	aheadEvery = 3 * time.Second
)

// ahead is the one job of this daemon that others must not delay: the first
// of those that wait for room. Room that is to come is promised to its tasks;
// work that ends before may use it meanwhile.
type ahead struct {
	job   *job
	slots []slot
	// kept is when owners last confirmed the promises.
	kept time.Time
	open int
	next time.Time
}

// lookAhead picks the job and keeps its promises alive.
func (h *homes) lookAhead(now time.Time) {
	a := &h.ahead
	if a.open > 0 || now.Before(a.next) {
		return
	}
	a.next = now.Add(aheadEvery)
	j := h.firstBlocked(now)
	if j != a.job {
		h.dropPromises()
		a.job = j
	}
	if j == nil {
		a.next = now.Add(listEvery)
		return
	}
	if len(a.slots) == 0 {
		h.askSlots(j)
		return
	}
	h.sendPromises(false)
}

// firstBlocked is the job that comes first of those that have waited for room
// long enough.
func (h *homes) firstBlocked(now time.Time) *job {
	if j := h.ahead.job; j != nil && h.jobs[j.entry.ID] == j && j.waiting(now) > 0 && j.gang == nil {
		if first := h.queue.Heads(1); len(first) == 0 || h.jobs[first[0].ID].rank >= j.rank {
			return j
		}
	}
	for _, head := range h.queue.Heads(1) {
		_, since, _ := h.queue.Reason(head.ID)
		if now.Sub(since) >= aheadAfter || now.Sub(h.jobs[head.ID].tasks[0].waitsSince) >= aheadAfter {
			return h.jobs[head.ID]
		}
	}
	return nil
}

func (h *homes) askSlots(j *job) {
	q := slotsRequest{
		Need: j.demand.Resources, Kind: j.demand.AcceleratorKind, Regions: j.demand.Regions,
		Count: min(j.waiting(h.p.o.Now()), maxItems),
	}
	owners := h.ownedRacks()
	h.ahead.open = len(owners)
	var slots []slot
	for daemon := range owners {
		h.p.async(peerTimeout, func(ctx context.Context) {
			reply, err := call(ctx, h.p, daemon, methodSlots, h.p.racks.serveSlots, q)
			if err != nil {
				reply = slotsReply{}
			}
			h.loop.post(func() {
				slots = append(slots, reply.Slots...)
				if h.ahead.open--; h.ahead.open == 0 {
					h.endSlots(j, q, slots)
				}
			})
		})
	}
}

func (h *homes) endSlots(j *job, q slotsRequest, slots []slot) {
	if h.ahead.job != j || h.jobs[j.entry.ID] != j {
		return
	}
	sortSlots(slots)
	if j.entry.Workload.Class == document.ClassGang && len(slots) < q.Count {
		return
	}
	h.ahead.slots = slots[:min(len(slots), q.Count)]
	h.sendPromises(false)
}

// sendPromises renews the promises with the owners, or drops them.
func (h *homes) sendPromises(drop bool) {
	a := &h.ahead
	j := a.job
	now := h.p.o.Now()
	requests := make(map[string]*promiseRequest)
	at := 0
	for _, t := range j.tasks {
		if at >= len(a.slots) {
			break
		}
		s := a.slots[at]
		at++
		d, ok := h.p.o.Owners.Owner(s.Rack)
		if !ok || (!drop && t.state != taskWaiting) {
			continue
		}
		if requests[d.Name] == nil {
			requests[d.Name] = &promiseRequest{}
		}
		requests[d.Name].Items = append(requests[d.Name].Items, promiseItem{
			Rack: s.Rack, Home: j.home.share, HomeTerm: j.home.term, Worker: s.Worker,
			Task: TaskRef{JobID: j.entry.ID, Index: t.index}, Team: j.entry.Team, Resources: j.demand.Resources,
			In: max(s.In-now.Sub(a.made(now)), 0), Drop: drop,
		})
	}
	for daemon, q := range requests {
		h.p.async(peerTimeout, func(ctx context.Context) {
			reply, err := call(ctx, h.p, daemon, methodPromise, h.p.racks.servePromise, *q)
			if !drop {
				h.loop.post(func() { h.endPromises(j, reply, err) })
			}
		})
	}
}

// made is when the slots were quoted.
func (a *ahead) made(now time.Time) time.Time {
	if a.kept.IsZero() {
		a.kept = now
	}
	return a.kept
}

// endPromises looks for other slots where a promise was not kept.
func (h *homes) endPromises(j *job, reply promiseReply, err error) {
	if h.ahead.job != j || err != nil || !slices.Contains(reply.Kept, false) {
		return
	}
	h.dropPromises()
	h.ahead.job = j
}

func (h *homes) dropPromises() {
	if h.ahead.job != nil && len(h.ahead.slots) > 0 {
		h.sendPromises(true)
	}
	h.ahead = ahead{next: h.ahead.next}
}

// promised returns the worker on which room promised to a task has come free.
func (h *homes) promised(t *task) (pipeline.Choice, bool) {
	if h.ahead.job != t.job || t.index >= len(h.ahead.slots) {
		return pipeline.Choice{}, false
	}
	s := h.ahead.slots[t.index]
	r, ok := h.racks[s.Rack]
	if !ok {
		return pipeline.Choice{}, false
	}
	w, ok := r.workers[s.Worker]
	if !ok || w.view.Closed != "" || !t.size().Fits(w.view.Spare.Sub(w.flight)) {
		return pipeline.Choice{}, false
	}
	return pipeline.Choice{Worker: s.Worker}, true
}

// jump finds promised room that a task can use and give back in time.
func (h *homes) jump(t *task) (pipeline.Choice, bool) {
	expected := h.estimates.RunTime(usageKey(t.job.entry), t.job.entry.Workload.RunTime.Std())
	if expected <= 0 || t.job.entry.Workload.Class != document.ClassBatch {
		return pipeline.Choice{}, false
	}
	now := h.p.o.Now()
	for _, w := range h.spares {
		if !now.Add(expected).Before(w.spareTill) || w.view.Closed != "" {
			continue
		}
		if t.size().Fits(w.view.Spare.Sub(w.flight)) && t.job.demand.Matches(w.view.Location.Region, w.view.AcceleratorKind) {
			return pipeline.Choice{Worker: w.view.Name}, true
		}
	}
	return pipeline.Choice{}, false
}

// noteSpare keeps the list of workers with promised room that is not taken.
func (h *homes) noteSpare(w *workerInfo, now time.Time) {
	w.spareTill = now.Add(w.view.SpareFor)
	if w.view.SpareFor <= 0 {
		delete(h.spares, w.view.Name)
		return
	}
	h.spares[w.view.Name] = w
}

// wakeAhead has the job ahead tried when room promised to it may be there.
func (h *homes) wakeAhead(w *workerInfo) {
	j := h.ahead.job
	if j == nil || w.view.Spare == (cluster.Resources{}) {
		return
	}
	for _, s := range h.ahead.slots {
		if s.Worker == w.view.Name {
			h.queue.WakeJob(j.entry.ID)
			return
		}
	}
}
