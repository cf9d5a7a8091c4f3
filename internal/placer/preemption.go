package placer

import (
	"context"
	"sort"
	"time"

	"github.com/currantwinch/currantwinch/cluster"
	"github.com/currantwinch/currantwinch/internal/events"
	"github.com/currantwinch/currantwinch/placement/book"
	"github.com/currantwinch/currantwinch/placement/pipeline"
	"github.com/currantwinch/currantwinch/placement/preempt"
)

const (
	// preemptionCheckpointGrace is how long a victim may take for its
	// checkpoint.
	preemptionCheckpointGrace = 600 * time.Millisecond
	// preemptionPollInterval is how often a worker is polled while victims on
	// it stop.
	preemptionPollInterval = 50 * time.Millisecond
	// preemptionTimeout bounds how long an attempt waits for its victims to
	// end.
	preemptionTimeout = 10 * time.Second
	// evictionRefusalBackoff is how long a service's task is not chosen as a
	// victim after its home refused the eviction.
	evictionRefusalBackoff = 5 * time.Second
	// maxOptionsPerRack bounds the preemption options returned for one rack.
	maxOptionsPerRack = 4
)

// reasonVictimProtected ends an attempt for which the home of a victim refused
// the eviction.
const reasonVictimProtected = "victim_protected"

// servePreemptionCost returns the cheapest preemption options on this daemon's
// racks.
func (al *allocator) servePreemptionCost(ctx context.Context, q preemptionCostRequest) (preemptionCostReply, error) {
	return query(ctx, al.executor, func() preemptionCostReply { return al.preemptionOptions(q, al.p.o.Now()) })
}

func (al *allocator) preemptionOptions(q preemptionCostRequest, now time.Time) preemptionCostReply {
	var reply preemptionCostReply
	for share, r := range al.racks {
		if _, _, ok := al.owned(share); !ok {
			continue
		}
		var options []preemptionOption
		for name, w := range r.workers {
			if v, ok := r.chooseVictims(w, q.Need, q.Kind, q.Regions, q.Terms, now); ok {
				options = append(options, preemptionOption{Rack: share, Worker: name, Cost: v.Cost})
			}
		}
		sortPreemptionOptions(options)
		reply.Options = append(reply.Options, options[:min(len(options), maxOptionsPerRack)]...)
	}
	sortPreemptionOptions(reply.Options)
	return reply
}

func sortPreemptionOptions(options []preemptionOption) {
	sort.Slice(options, func(i, j int) bool {
		if options[i].Cost != options[j].Cost {
			return options[i].Cost < options[j].Cost
		}
		return options[i].Worker < options[j].Worker
	})
}

// chooseVictims chooses the attempts to stop so that a task fits on one worker.
func (r *rack) chooseVictims(w *worker, need cluster.Resources, kind string, regions []string, t preemptionTerms, now time.Time) (preempt.Victims, bool) {
	bookWorker, ok := r.openWorker(w, pipeline.Demand{Resources: need, AcceleratorKind: kind, Regions: regions})
	if !ok || !need.Fits(bookWorker.Capacity) {
		return preempt.Victims{}, false
	}
	borrows := make(map[string]bool, len(t.Borrowers))
	for _, team := range t.Borrowers {
		borrows[team] = true
	}
	expectedFree := bookWorker.Uncommitted()
	var candidates []preempt.Candidate
	for _, a := range sortedAttempts(w.attempts) {
		switch {
		case a.reserved || a.state.terminated():
		case a.stopRequested || !a.checkpointDeadline.IsZero():
			expectedFree = expectedFree.Add(a.request.Resources)
		case now.Before(a.protectedUntil) || a.state == attemptUnknown:
		default:
			candidates = append(candidates, a.victimCandidate(borrows, now))
		}
	}
	return preempt.Choose(need, expectedFree, candidates, preempt.Preemptor{Priority: t.Priority, Reclaims: t.Reclaims})
}

func (a *attempt) victimCandidate(borrows map[string]bool, now time.Time) preempt.Candidate {
	l := a.request.Labels
	sinceCheckpoint := a.report.RunTime
	if !a.checkpointedAt.IsZero() {
		sinceCheckpoint = now.Sub(a.checkpointedAt)
	}
	return preempt.Candidate{
		ID: a.id, Resources: a.request.Resources, Class: classOf(l), Priority: priorityOf(l),
		Checkpointable: l.Checkpoints, SinceCheckpoint: sinceCheckpoint, Borrows: borrows[l.Team],
	}
}

// preempt accepts an attempt that does not fit yet. Its victims are stopped,
// and their capacity is nominated for it.
func (r *rack) preempt(item placeItem, now time.Time) placeResult {
	w := r.workers[item.Worker]
	v, ok := r.chooseVictims(w, item.Resources, item.AcceleratorKind, nil, *item.Preempt, now)
	if !ok {
		return r.result(item, &book.RefusedError{Reason: book.InsufficientCapacity})
	}
	id := idOf(item.Task)
	nomination := book.Nomination{Worker: item.Worker, Job: id.Job, Index: id.Index, Team: item.Labels.Team, Resources: item.Resources}
	if err := r.book.Nominate(nomination); err != nil {
		return r.result(item, err)
	}
	a := r.newAttempt(item)
	a.awaitsPreemption, a.preemptionDeadline = true, now.Add(preemptionTimeout)
	r.add(a)
	r.awaitingPreemption[id] = a
	if len(v.Services) == 0 {
		r.stopVictims(v.IDs, now)
		return r.result(item, nil)
	}
	a.pendingEvictions = len(v.Services)
	for _, victim := range v.Services {
		r.requestEviction(a, r.attempts[victim], v.IDs)
	}
	return r.result(item, nil)
}

func (r *rack) stopVictims(ids []book.ID, now time.Time) {
	for _, id := range ids {
		v, ok := r.attempts[id]
		if !ok || v.state.terminated() || v.stopRequested {
			continue
		}
		v.preempted = true
		r.alloc.p.metrics.preempted.Inc()
		r.alloc.p.o.Events.Log(events.TaskPreempted, "job", v.ref.JobID, "index", v.ref.Index, "attempt", v.ref.Attempt, "worker", v.worker)
		r.stop(v, true, now)
		if !v.stopRequested && !v.checkpointDeadline.IsZero() {
			v.checkpointDeadline = now.Add(preemptionCheckpointGrace)
		}
	}
}

// requestEviction asks a service's home whether its disruption budget allows
// stopping one more task.
func (r *rack) requestEviction(a, victim *attempt, victims []book.ID) {
	d, ok := r.alloc.p.o.Owners.Owner(victim.home)
	if !ok {
		r.failPreemption(a, reasonVictimProtected)
		return
	}
	q := evictionRequest{Task: victim.ref}
	r.alloc.p.async(peerTimeout, func(ctx context.Context) {
		reply, err := call(ctx, r.alloc.p, d.Name, methodEvict, r.alloc.p.scheduler.serveEvict, q)
		granted := err == nil && reply.Granted
		r.alloc.executor.post(func() { r.finishEviction(a, victim, victims, granted) })
	})
}

func (r *rack) finishEviction(a, victim *attempt, victims []book.ID, granted bool) {
	now := r.alloc.p.o.Now()
	if r.alloc.racks[r.share] != r || r.awaitingPreemption[a.id] != a {
		return
	}
	if !granted {
		victim.protectedUntil = now.Add(evictionRefusalBackoff)
		r.failPreemption(a, reasonVictimProtected)
		return
	}
	if a.pendingEvictions--; a.pendingEvictions == 0 {
		r.stopVictims(victims, now)
	}
}

// failPreemption ends an attempt that still waits for capacity. It has never
// run.
func (r *rack) failPreemption(a *attempt, reason string) {
	delete(r.awaitingPreemption, a.id)
	r.book.RemoveNomination(a.worker, a.id.Job, a.id.Index)
	a.awaitsPreemption, a.reserved = false, false
	a.reason = reason
	r.setState(a, attemptNotStarted)
}

// startPreemptors starts the attempts whose victims have ended, and fails those
// that have waited for preemptionTimeout.
func (r *rack) startPreemptors(now time.Time) {
	for _, a := range r.awaitingPreemption {
		if _, err := r.book.Reserve(r.entry(a.item, now)); err != nil {
			if now.After(a.preemptionDeadline) {
				r.failPreemption(a, "no_room_in_time")
			}
			continue
		}
		delete(r.awaitingPreemption, a.id)
		a.awaitsPreemption = false
		r.commit(a.item, now)
	}
}

// serveEvict decides whether a task of a service may be stopped for other work.
func (sc *scheduler) serveEvict(ctx context.Context, q evictionRequest) (evictionReply, error) {
	return query(ctx, sc.executor, func() evictionReply { return evictionReply{Granted: sc.grantEviction(q, sc.p.o.Now())} })
}

func (sc *scheduler) grantEviction(q evictionRequest, now time.Time) bool {
	j, ok := sc.jobs[q.Task.JobID]
	if !ok || q.Task.Index >= len(j.tasks) || !sc.mayAct(j.home) || !j.allowsDisruption(now) {
		return false
	}
	t := j.tasks[q.Task.Index]
	if t.ref() != q.Task || t.state != taskRunning {
		return false
	}
	t.evictionUntil = now.Add(preemptionTimeout)
	return true
}
