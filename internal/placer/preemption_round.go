package placer

import (
	"context"
	"sort"
	"time"

	"github.com/currantwinch/currantwinch/document"
	"github.com/currantwinch/currantwinch/placement/pipeline"
)

const (
	// preemptionCostTimeout bounds how long an owner that does not answer
	// delays urgent jobs.
	preemptionCostTimeout = 300 * time.Millisecond
	// preemptionRetryDelay is how long a job waits after a round without
	// options.
	preemptionRetryDelay = time.Second
)

// preemptionRound collects the owners' preemption options for one job.
type preemptionRound struct {
	job     *job
	pending int
	options []preemptionOption
}

// addPreemptor records a job that lacks capacity and may preempt other work.
func (sc *scheduler) addPreemptor(j *job) {
	if sc.preemptionTerms(j).allowed() {
		sc.preemptors[j.entry.ID] = j
	}
}

// preemptionTerms returns the terms on which a job may preempt other work.
func (sc *scheduler) preemptionTerms(j *job) preemptionTerms {
	w := j.entry.Workload
	return preemptionTerms{Priority: w.Priority, Reclaims: sc.ledger.MayReclaim(j.entry.Team, w.Resources)}
}

func (t preemptionTerms) allowed() bool { return t.Priority == document.PriorityUrgent || t.Reclaims }

// startPreemptionRound asks all racks' owners for the cost of preemption for
// the waiting preemptor of the lowest rank.
func (sc *scheduler) startPreemptionRound(now time.Time) {
	if sc.preemption != nil || len(sc.preemptors) == 0 {
		return
	}
	var j *job
	for id, o := range sc.preemptors {
		if sc.jobs[id] != o || o.waitingTasks(now) == 0 {
			delete(sc.preemptors, id)
			continue
		}
		if now.Before(o.preemptAfter) {
			continue
		}
		if j == nil || o.rank < j.rank {
			j = o
		}
	}
	if j == nil {
		return
	}
	terms := sc.preemptionTerms(j)
	if !terms.allowed() {
		delete(sc.preemptors, j.entry.ID)
		return
	}
	terms.Borrowers = sc.borrowers()
	q := preemptionCostRequest{Need: j.demand.Resources, Kind: j.demand.AcceleratorKind, Regions: j.demand.Regions, Terms: terms}
	sc.requestPreemptionCosts(j, q)
}

func (sc *scheduler) requestPreemptionCosts(j *job, q preemptionCostRequest) {
	owners := sc.racksByOwner()
	round := &preemptionRound{job: j, pending: len(owners)}
	if len(owners) == 0 {
		return
	}
	sc.preemption = round
	for daemon := range owners {
		sc.p.async(preemptionCostTimeout, func(ctx context.Context) {
			reply, err := call(ctx, sc.p, daemon, methodPreemptionCost, sc.p.allocator.servePreemptionCost, q)
			if err != nil {
				reply = preemptionCostReply{}
			}
			sc.executor.post(func() { sc.finishPreemptionCost(round, q, reply) })
		})
	}
}

func (sc *scheduler) finishPreemptionCost(round *preemptionRound, q preemptionCostRequest, reply preemptionCostReply) {
	round.options = append(round.options, reply.Options...)
	if round.pending--; round.pending > 0 {
		return
	}
	sc.preemption = nil
	now := sc.p.o.Now()
	j := round.job
	if sc.jobs[j.entry.ID] != j || !sc.mayAct(j.home) {
		return
	}
	sc.startPreemptingPlacements(j, q, round.options, now)
}

// startPreemptingPlacements places waiting tasks of the job on the workers of
// the cheapest options, one task per worker, and allows preemption there.
func (sc *scheduler) startPreemptingPlacements(j *job, q preemptionCostRequest, options []preemptionOption, now time.Time) {
	sortPreemptionOptions(options)
	if len(options) == 0 {
		j.preemptAfter = now.Add(preemptionRetryDelay)
		return
	}
	for _, o := range options {
		t := j.nextWaitingTask(now)
		if t == nil || !sc.teamAllows(j.entry.Team, j.demand.Resources, now) || !sc.preemptionTerms(j).allowed() {
			break
		}
		if _, ok := sc.index.Get(o.Worker); !ok {
			continue
		}
		sc.recordGrant(j.entry.Team, j.demand.Resources)
		sc.startPlacement(t, pipeline.Choice{Worker: o.Worker}, modeStart, now)
		terms := q.Terms
		sc.placements[len(sc.placements)-1].item.Preempt = &terms
		t.reason = "made room for"
	}
	sc.updateQueue(j, now)
}

// borrowers lists the teams that use more than their guaranteed quota.
func (sc *scheduler) borrowers() []string {
	var out []string
	for _, team := range sc.ledger.Names() {
		if !sc.ledger.Borrowed(team).IsZero() {
			out = append(out, team)
		}
	}
	sort.Strings(out)
	return out
}
