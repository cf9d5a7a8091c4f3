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
	// nominationDelay is how long the job at the head of the queue waits for
	// capacity before workers are nominated for it.
	nominationDelay = 2 * time.Second
	// nominationRenewInterval is how often nominations are renewed.
	nominationRenewInterval = 3 * time.Second
)

// headNomination is the one job of this daemon that backfill must not delay:
// the first job in the queue that lacks capacity. Capacity that is expected to
// become free is nominated for its tasks. Other work may use that capacity
// until then if it is expected to end in time.
type headNomination struct {
	job   *job
	slots []slot
	// slotsTime is when the slots were first nominated, or zero before that. The
	// times of the slots count from it.
	slotsTime   time.Time
	pending     int
	nextRenewal time.Time
}

// updateNomination selects the blocked job at the head of the queue and renews
// its nominations.
func (sc *scheduler) updateNomination(now time.Time) {
	hr := &sc.nomination
	if hr.pending > 0 || now.Before(hr.nextRenewal) {
		return
	}
	hr.nextRenewal = now.Add(nominationRenewInterval)
	j := sc.blockedHead(now)
	if j != hr.job {
		sc.cancelNominations()
		hr.job = j
	}
	if j == nil {
		hr.nextRenewal = now.Add(housekeepingInterval)
		return
	}
	if len(hr.slots) == 0 {
		sc.requestSlots(j)
		return
	}
	sc.sendNominations(false)
}

// blockedHead returns the first job in the queue if it has waited for capacity
// for nominationDelay. A job that already has nominations keeps them unless a
// job of a lower rank is at the head.
func (sc *scheduler) blockedHead(now time.Time) *job {
	if j := sc.nomination.job; j != nil && sc.jobs[j.entry.ID] == j && j.waitingTasks(now) > 0 && j.gang == nil {
		if first := sc.queue.Heads(1); len(first) == 0 || sc.jobs[first[0].ID].rank >= j.rank {
			return j
		}
	}
	for _, head := range sc.queue.Heads(1) {
		_, since, _ := sc.queue.Reason(head.ID)
		if now.Sub(since) >= nominationDelay || now.Sub(sc.jobs[head.ID].tasks[0].waitingSince) >= nominationDelay {
			return sc.jobs[head.ID]
		}
	}
	return nil
}

func (sc *scheduler) requestSlots(j *job) {
	q := slotsRequest{
		Need: j.demand.Resources, Kind: j.demand.AcceleratorKind, Regions: j.demand.Regions,
		Count: min(j.waitingTasks(sc.p.o.Now()), maxItemsPerCall),
	}
	owners := sc.racksByOwner()
	sc.nomination.pending = len(owners)
	var slots []slot
	for daemon := range owners {
		sc.p.async(peerTimeout, func(ctx context.Context) {
			reply, err := call(ctx, sc.p, daemon, methodSlots, sc.p.allocator.serveSlots, q)
			if err != nil {
				reply = slotsReply{}
			}
			sc.executor.post(func() {
				slots = append(slots, reply.Slots...)
				if sc.nomination.pending--; sc.nomination.pending == 0 {
					sc.finishSlots(j, q, slots)
				}
			})
		})
	}
}

func (sc *scheduler) finishSlots(j *job, q slotsRequest, slots []slot) {
	if sc.nomination.job != j || sc.jobs[j.entry.ID] != j {
		return
	}
	sortSlots(slots)
	if j.entry.Workload.Class == document.ClassGang && len(slots) < q.Count {
		return
	}
	sc.nomination.slots = slots[:min(len(slots), q.Count)]
	sc.sendNominations(false)
}

// sendNominations renews the nominations with the racks' owners, or cancels
// them.
func (sc *scheduler) sendNominations(cancel bool) {
	hr := &sc.nomination
	j := hr.job
	now := sc.p.o.Now()
	requests := make(map[string]*nominationRequest)
	at := 0
	for _, t := range j.tasks {
		if at >= len(hr.slots) {
			break
		}
		s := hr.slots[at]
		at++
		d, ok := sc.p.o.Owners.Owner(s.Rack)
		if !ok || (!cancel && t.state != taskWaiting) {
			continue
		}
		if requests[d.Name] == nil {
			requests[d.Name] = &nominationRequest{}
		}
		requests[d.Name].Items = append(requests[d.Name].Items, nominationItem{
			Rack: s.Rack, Home: j.home.share, HomeTerm: j.home.term, Worker: s.Worker,
			Task: TaskRef{JobID: j.entry.ID, Index: t.index}, Team: j.entry.Team, Resources: j.demand.Resources,
			NeededIn: max(s.AvailableIn-now.Sub(hr.slotsTimeOrSet(now)), 0), Cancel: cancel,
		})
	}
	for daemon, q := range requests {
		sc.p.async(peerTimeout, func(ctx context.Context) {
			reply, err := call(ctx, sc.p, daemon, methodNominate, sc.p.allocator.serveNominate, *q)
			if !cancel {
				sc.executor.post(func() { sc.finishNominations(j, reply, err) })
			}
		})
	}
}

// slotsTimeOrSet returns slotsTime, which the first call sets to now.
func (hr *headNomination) slotsTimeOrSet(now time.Time) time.Time {
	if hr.slotsTime.IsZero() {
		hr.slotsTime = now
	}
	return hr.slotsTime
}

// finishNominations cancels all nominations if an owner refused one, so that
// new slots are requested.
func (sc *scheduler) finishNominations(j *job, reply nominationReply, err error) {
	if sc.nomination.job != j || err != nil || !slices.Contains(reply.Accepted, false) {
		return
	}
	sc.cancelNominations()
	sc.nomination.job = j
}

func (sc *scheduler) cancelNominations() {
	if sc.nomination.job != nil && len(sc.nomination.slots) > 0 {
		sc.sendNominations(true)
	}
	sc.nomination = headNomination{nextRenewal: sc.nomination.nextRenewal}
}

// nominatedWorker returns the worker nominated for a task if its capacity has
// become free.
func (sc *scheduler) nominatedWorker(t *task) (pipeline.Choice, bool) {
	if sc.nomination.job != t.job || t.index >= len(sc.nomination.slots) {
		return pipeline.Choice{}, false
	}
	s := sc.nomination.slots[t.index]
	r, ok := sc.racks[s.Rack]
	if !ok {
		return pipeline.Choice{}, false
	}
	w, ok := r.workers[s.Worker]
	if !ok || w.view.Closed != "" || !t.size().Fits(w.view.Backfillable.Sub(w.inFlight)) {
		return pipeline.Choice{}, false
	}
	return pipeline.Choice{Worker: s.Worker}, true
}

// backfillWorker finds a worker whose nominated capacity a batch task can use
// and is expected to release in time.
func (sc *scheduler) backfillWorker(t *task) (pipeline.Choice, bool) {
	expected := sc.estimates.RunTime(usageKey(t.job.entry), t.job.entry.Workload.RunTime.Std())
	if expected <= 0 || t.job.entry.Workload.Class != document.ClassBatch {
		return pipeline.Choice{}, false
	}
	now := sc.p.o.Now()
	for _, w := range sc.backfillWorkers {
		if !now.Add(expected).Before(w.backfillUntil) || w.view.Closed != "" {
			continue
		}
		if t.size().Fits(w.view.Backfillable.Sub(w.inFlight)) && t.job.demand.Matches(w.view.Location.Region, w.view.AcceleratorKind) {
			return pipeline.Choice{Worker: w.view.Name}, true
		}
	}
	return pipeline.Choice{}, false
}

// recordBackfillWorker updates the set of workers with nominated capacity that
// other work may use for now.
func (sc *scheduler) recordBackfillWorker(w *workerSnapshot, now time.Time) {
	w.backfillUntil = now.Add(w.view.BackfillableFor)
	if w.view.BackfillableFor <= 0 {
		delete(sc.backfillWorkers, w.view.Name)
		return
	}
	sc.backfillWorkers[w.view.Name] = w
}

// wakeNominatedJob wakes the head job when capacity on one of its nominated
// workers may have become free.
func (sc *scheduler) wakeNominatedJob(w *workerSnapshot) {
	j := sc.nomination.job
	if j == nil || w.view.Backfillable == (cluster.Resources{}) {
		return
	}
	for _, s := range sc.nomination.slots {
		if s.Worker == w.view.Name {
			sc.queue.WakeJob(j.entry.ID)
			return
		}
	}
}
