package placer

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/currantwinch/currantwinch/cluster"
	"github.com/currantwinch/currantwinch/duty"
	"github.com/currantwinch/currantwinch/placement/pipeline"
	"github.com/currantwinch/currantwinch/placement/queue"
	"github.com/currantwinch/currantwinch/placement/quota"
	"github.com/currantwinch/currantwinch/placement/usage"
)

const (
	// jobRefreshInterval is the shortest time between two reads of changed
	// jobs.
	jobRefreshInterval = 100 * time.Millisecond
	// busyTurnInterval is the longest time between two turns while jobs wait or
	// placements are in flight.
	busyTurnInterval = 100 * time.Millisecond
	// firstTurnDelay is the time from a duty's start to its first turn.
	firstTurnDelay = time.Millisecond
	// leaseRefreshInterval is how often all ownership leases are read. Each
	// effect also checks its own lease.
	leaseRefreshInterval = 100 * time.Millisecond
)

// scheduler is the duty that schedules the jobs of this daemon's key shares and
// sees them through to their end.
type scheduler struct {
	p        *Placer
	executor *executor

	homes      map[cluster.Share]*home
	jobs       map[string]*job
	racks      map[cluster.Share]*rackSnapshot
	peers      map[string]*peer
	ownerCache rackOwnerCache
	placements []*placement

	index *pipeline.Index
	pipe  *pipeline.Pipeline
	// localIndex holds the workers of the racks that this daemon owns itself.
	localIndex *pipeline.Index
	localPipe  *pipeline.Pipeline
	ledger     *quota.Ledger
	queue      *queue.Queue
	random     *rand.Rand
	nomination headNomination
	// backfillWorkers are the workers with nominated capacity that is not in
	// use.
	backfillWorkers map[string]*workerSnapshot
	// estimates holds the observed usage and run time of workloads;
	// largestWorker is the highest capacity of any worker, for each resource.
	estimates     *usage.Estimates
	largestWorker cluster.Resources
	// preemptors are the jobs that lack capacity and may preempt other work.
	preemptors map[string]*job
	preemption *preemptionRound
	pack       packGroup
	// inFlight counts the placements in flight.
	inFlight int
	// unmatched holds attempts of jobs that the view does not show as open.
	unmatched map[TaskRef]unmatchedAttempt
	// activations counts the homes acquired since the process started.
	activations uint64

	homesRefreshedAt       time.Time
	unschedulableCheckedAt time.Time
	unmatchedCheckedAt     time.Time
	periodicChecksAt       time.Time
	staleCheckedAt         time.Time

	// syncSeq is the number of the newest sync sent.
	syncSeq            uint64
	viewOffset         uint64
	viewTime           time.Time
	workersRefreshedAt time.Time
	totalCapacity      cluster.Resources
	completions        completionWriter
	limits             limitTracker
}

func newScheduler(p *Placer) *scheduler {
	sc := &scheduler{
		p: p, executor: newExecutor("placer.homes", p.o.Duties),
		homes: make(map[cluster.Share]*home), jobs: make(map[string]*job),
		racks: make(map[cluster.Share]*rackSnapshot), peers: make(map[string]*peer),
		index: pipeline.NewIndex(p.o.Seed), ledger: quota.NewLedger(cluster.Resources{}),
		random: newRandom(p.o.Seed), unmatched: make(map[TaskRef]unmatchedAttempt), preemptors: make(map[string]*job), backfillWorkers: make(map[string]*workerSnapshot),
		estimates: usage.NewEstimates(maxEstimates), limits: newLimitTracker(),
	}
	pipe, err := pipeline.New(sc.index, p.o.Policies, p.o.Seed)
	if err != nil {
		panic(err)
	}
	sc.pipe = pipe
	sc.localIndex = pipeline.NewIndex(p.o.Seed + 1)
	sc.localPipe, _ = pipeline.New(sc.localIndex, p.o.Policies, p.o.Seed+1)
	sc.queue = queue.New(sc.ledger)
	sc.completions.init(sc)
	return sc
}

func (sc *scheduler) run(ctx context.Context, turn duty.Heartbeat) error {
	timer := time.NewTimer(firstTurnDelay)
	defer timer.Stop()
	for {
		changed := sc.p.o.State.Changed()
		select {
		case <-ctx.Done():
			return nil
		case f := <-sc.executor.steps.C():
			sc.executor.drain(f)
		case <-changed:
			sc.debounceViews(ctx)
		case <-timer.C:
		}
		turn()
		sc.turn(sc.p.o.Now())
		timer.Reset(sc.nextTurnDelay())
	}
}

// nextTurnDelay returns the longest time until the next turn.
func (sc *scheduler) nextTurnDelay() time.Duration {
	if !sc.limits.roundWantedSince.IsZero() {
		return roundSyncInterval
	}
	if sc.busy() {
		return busyTurnInterval
	}
	return maxTurnInterval
}

// debounceViews waits so that changed views are applied at most once in
// jobRefreshInterval. It returns after the next batch of steps, if any, so that
// steps are not delayed.
func (sc *scheduler) debounceViews(ctx context.Context) {
	wait := jobRefreshInterval - sc.p.o.Now().Sub(sc.viewTime)
	if wait <= 0 {
		return
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case f := <-sc.executor.steps.C():
		sc.executor.drain(f)
	case <-timer.C:
	}
}

func (sc *scheduler) turn(now time.Time) {
	if now.Sub(sc.homesRefreshedAt) >= leaseRefreshInterval {
		sc.homesRefreshedAt = now
		sc.refreshHomes()
	}
	sc.recordFirstNewOffsets(now)
	sc.refreshWorkers(now)
	sc.refreshJobs(now)
	sc.recheckUnschedulable(now)
	sc.recheckUnmatched(now)
	sc.runPeriodicChecks(now)
	sc.findStaleTasks(now)
	sc.expireRoundWait(now)
	sc.startDueSyncs(now)
	sc.queue.WakeDue(now)
	sc.schedule(now)
	sc.startPreemptionRound(now)
	sc.updateNomination(now)
	sc.sendPlacements(now)
	sc.sendTerminations(now)
	sc.completions.flush(now)
}

// refreshQuotas sums up the quotas of each team's documents.
func (sc *scheduler) refreshQuotas() {
	quotas := make(map[string]quota.Quota)
	for _, d := range sc.p.o.State.View().Documents() {
		q := quotas[d.Team]
		q.Weight = max(q.Weight, int64(d.Document.Quota.Weight))
		q.Guaranteed = q.Guaranteed.Add(d.Document.Quota.Guaranteed)
		q.Limit = q.Limit.Add(d.Document.Quota.Limit)
		quotas[d.Team] = q
	}
	for team, q := range quotas {
		if sc.ledger.Quota(team) != q {
			sc.ledger.SetQuota(team, q)
			sc.queue.UpdateRank(team)
			sc.queue.WakeTeam(team)
		}
	}
}
