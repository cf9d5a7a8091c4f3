package placer

import (
	"context"
	"math"
	"math/rand/v2"
	"time"

	"github.com/currantwinch/currantwinch/cluster"
	"github.com/currantwinch/currantwinch/duty"
	"github.com/currantwinch/currantwinch/internal/events"
	"github.com/currantwinch/currantwinch/internal/roles"
	"github.com/currantwinch/currantwinch/logclient"
	"github.com/currantwinch/currantwinch/placement/pipeline"
	"github.com/currantwinch/currantwinch/placement/queue"
	"github.com/currantwinch/currantwinch/placement/quota"
	"github.com/currantwinch/currantwinch/placement/usage"
)

const (
	// jobRefreshInterval is the shortest time between two reads of changed
	// jobs.
	jobRefreshInterval = 100 * time.Millisecond
	// maxRightDuration is longer than any ownership lease lasts without a
	// renewal.
	maxRightDuration = 4 * time.Second
	// busyTurnInterval is the longest time between two turns while jobs wait or
	// placements are in flight.
	busyTurnInterval = 100 * time.Millisecond
	// firstTurnDelay is the time from a duty's start to its first turn.
	firstTurnDelay = time.Millisecond
	// rightsRefreshInterval is how often all ownership leases are read. Each
	// effect also checks its own lease.
	rightsRefreshInterval = 100 * time.Millisecond
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

	rightsRefreshedAt      time.Time
	unschedulableCheckedAt time.Time
	unmatchedCheckedAt     time.Time
	drainedAt              time.Time
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

// home is one key share that this daemon owns: it is the home of the share's
// jobs.
type home struct {
	share cluster.Share
	term  term
	// acquiredAt is when this daemon acquired the home.
	acquiredAt time.Time
	// firstNewOffset is the log offset from which on no other daemon can have
	// placed a job. It is math.MaxUint64 until it is known.
	firstNewOffset uint64
	// completeRacks holds the racks that have reported completely under this
	// term.
	completeRacks map[cluster.Share]bool
	recovered     bool
}

// rackSnapshot is what the scheduler knows of one rack from its owner's
// reports.
type rackSnapshot struct {
	share        cluster.Share
	term         term
	bookVersion  uint64
	tasksVersion uint64
	// recheck lists the attempts that the next sync asks for.
	recheck []TaskRef
	workers map[string]*workerSnapshot
	teams   map[string]teamUsage
	// reportedHomes holds the homes that have received all of their attempts on
	// the rack under this term.
	reportedHomes map[cluster.Share]bool
	complete      bool
	// local is set while this daemon owns the rack itself.
	local bool
}

type workerSnapshot struct {
	view workerView
	// inFlight is the sum of the placements in flight.
	inFlight cluster.Resources
	// backfillUntil is when the worker's nominated capacity is needed.
	backfillUntil time.Time
}

// attemptsPerEpoch spaces the attempt numbers of epochs, so that a home never
// reuses a number that an earlier home may have assigned without this one
// knowing.
const attemptsPerEpoch = 1_000_000

// firstAttempt is the number after which this epoch's attempts are numbered.
func (hm *home) firstAttempt() int { return int(hm.term.Epoch-1) * attemptsPerEpoch }

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
	if now.Sub(sc.rightsRefreshedAt) >= rightsRefreshInterval {
		sc.rightsRefreshedAt = now
		sc.refreshHomes()
	}
	sc.recordFirstNewOffsets(now)
	sc.refreshWorkers(now)
	sc.refreshJobs(now)
	sc.recheckUnschedulable(now)
	sc.recheckUnmatched(now)
	sc.drain(now)
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

func (sc *scheduler) refreshHomes() {
	rights := make(map[cluster.Share]roles.Lease)
	for _, right := range sc.p.o.Owners.Leases() {
		if right.Share.Kind == cluster.ShareKey {
			rights[right.Share] = right
		}
	}
	for share, hm := range sc.homes {
		if right, ok := rights[share]; !ok || right.Epoch != hm.term.Epoch {
			sc.releaseHome(hm)
		}
	}
	for share, right := range rights {
		if _, ok := sc.homes[share]; !ok {
			sc.acquireHome(right)
		}
	}
}

func (sc *scheduler) acquireHome(right roles.Lease) {
	view := sc.p.o.State.View()
	sc.activations++
	sc.homes[right.Share] = &home{
		share: right.Share, term: term{right.Epoch, sc.activations}, acquiredAt: sc.p.o.Now(), firstNewOffset: math.MaxUint64,
		completeRacks: make(map[cluster.Share]bool),
	}
	sc.viewOffset = 0
	for _, pe := range sc.peers {
		pe.nextSync = time.Time{}
	}
	sc.p.o.Events.Log(events.HomeAcquired, "share", right.Share.String(), "epoch", right.Epoch, "jobs", len(view.OpenJobs(right.Share)))
}

// recordFirstNewOffsets sets the offset from which on jobs cannot have been
// placed by an earlier home. The predecessor's ownership lease ended before
// this daemon acquired the home. Once maxRightDuration has passed since then,
// this daemon's own lease proves that it has read the log up to a later moment.
func (sc *scheduler) recordFirstNewOffsets(now time.Time) {
	if sc.p.o.State.Health() != logclient.HealthFresh {
		return
	}
	for _, hm := range sc.homes {
		if hm.firstNewOffset == math.MaxUint64 && now.Sub(hm.acquiredAt) >= maxRightDuration && sc.mayAct(hm) {
			hm.firstNewOffset = sc.p.o.State.View().Offset()
		}
	}
}

// releaseHome removes a home and its jobs. Their tasks keep running.
func (sc *scheduler) releaseHome(hm *home) {
	delete(sc.homes, hm.share)
	for _, r := range sc.racks {
		delete(r.reportedHomes, hm.share)
	}
	for _, j := range sc.jobs {
		if j.home == hm {
			sc.removeJob(j)
		}
	}
}

// mayAct reports whether this daemon holds the ownership lease of a home.
func (sc *scheduler) mayAct(hm *home) bool {
	right, ok := sc.p.o.Owners.Lease(hm.share)
	return ok && right.Epoch == hm.term.Epoch && sc.homes[hm.share] == hm
}

// refreshWorkers applies the list of workers: it removes workers that are gone,
// sums up the capacity and refreshes quotas.
func (sc *scheduler) refreshWorkers(now time.Time) {
	if now.Sub(sc.workersRefreshedAt) < housekeepingInterval {
		return
	}
	sc.workersRefreshedAt = now
	racks := make(map[cluster.Share]map[string]bool)
	var total cluster.Resources
	for _, vm := range sc.p.o.Members.VMs() {
		if vm.Role != cluster.RoleWorker {
			continue
		}
		share := cluster.RackShare(vm)
		if racks[share] == nil {
			racks[share] = make(map[string]bool)
		}
		racks[share][vm.Name] = true
		total = total.Add(vm.Capacity)
		sc.largestWorker.CPU = max(sc.largestWorker.CPU, vm.Capacity.CPU)
		sc.largestWorker.Memory = max(sc.largestWorker.Memory, vm.Capacity.Memory)
	}
	for share, listed := range racks {
		sc.rackFor(share).retainWorkers(sc, listed)
	}
	for share, r := range sc.racks {
		if racks[share] == nil {
			r.retainWorkers(sc, nil)
			delete(sc.racks, share)
		}
	}
	sc.refreshLocalRacks()
	if total != sc.totalCapacity {
		sc.totalCapacity = total
		sc.ledger.SetTotal(total)
	}
	sc.refreshQuotas()
	sc.countHomeDaemons()
}

// refreshLocalRacks updates which racks this daemon owns itself.
func (sc *scheduler) refreshLocalRacks() {
	for share, r := range sc.racks {
		_, local := sc.p.o.Owners.Lease(share)
		if local == r.local {
			continue
		}
		r.local = local
		for name, w := range r.workers {
			sc.localIndex.Remove(name)
			sc.updateNode(w)
		}
	}
}

func (sc *scheduler) rackFor(share cluster.Share) *rackSnapshot {
	r, ok := sc.racks[share]
	if !ok {
		r = &rackSnapshot{
			share: share, workers: make(map[string]*workerSnapshot), teams: make(map[string]teamUsage),
			reportedHomes: make(map[cluster.Share]bool),
		}
		sc.racks[share] = r
	}
	return r
}

func (r *rackSnapshot) retainWorkers(sc *scheduler, listed map[string]bool) {
	for name := range r.workers {
		if !listed[name] {
			delete(r.workers, name)
			delete(sc.backfillWorkers, name)
			sc.localIndex.Remove(name)
			sc.index.Remove(name)
		}
	}
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
