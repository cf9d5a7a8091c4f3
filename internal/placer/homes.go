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
	// jobsEvery bounds how often changed jobs are taken in.
	jobsEvery = 100 * time.Millisecond
	// freshAfter is longer than any right lasts without fresh evidence.
	freshAfter = 4 * time.Second
	// homeTurn is the longest time between two turns while work moves.
	homeTurn = 100 * time.Millisecond
	// firstTurn is when a duty takes its first turn.
	firstTurn = time.Millisecond
	// rightsEvery is how often all rights are gone through. Each effect asks
	// for its own right beside that.
	rightsEvery = 100 * time.Millisecond
)

// homes is the duty that sees the jobs of this daemon's key shares through.
type homes struct {
	p    *Placer
	loop *loop

	homes map[cluster.Share]*home
	jobs  map[string]*job
	racks map[cluster.Share]*rackInfo
	links map[string]*link
	owned ownedRacks
	asks  []*ask

	index *pipeline.Index
	pipe  *pipeline.Pipeline
	// mine are the workers of the racks that this daemon owns itself.
	mine     *pipeline.Index
	minePipe *pipeline.Pipeline
	ledger   *quota.Ledger
	queue    *queue.Queue
	random   *rand.Rand
	ahead    ahead
	// spares are the workers with promised room that is not taken.
	spares map[string]*workerInfo
	// estimates are what tasks were seen to use and take, largest the most
	// that any worker holds of each resource.
	estimates *usage.Estimates
	largest   cluster.Resources
	// pressed are the jobs that others may have to make room for.
	pressed  map[string]*job
	pressing *pressing
	wave     wave
	// moving counts the asks under way.
	moving int
	// strangers are attempts of jobs that the view does not show yet, or no
	// more.
	strangers map[TaskRef]stranger
	// sittings counts the homes that were entered.
	sittings uint64

	rightsAt        time.Time
	neverChecked    time.Time
	strangerChecked time.Time
	drainedAt       time.Time
	doubtedAt       time.Time

	// tick rises with every sync sent.
	tick     uint64
	viewed   uint64
	viewedAt time.Time
	listed   time.Time
	total    cluster.Resources
	done     doneWriter
	limits   limits
}

// home is one key share that this daemon is the home of.
type home struct {
	share cluster.Share
	term  term
	// entered is when this daemon took the home over.
	entered time.Time
	// since is an offset from which on no other daemon can have placed a job.
	since uint64
	// seen holds the racks that reported completely to this epoch.
	seen      map[cluster.Share]bool
	collected bool
}

// rackInfo is what this daemon knows of one rack.
type rackInfo struct {
	share cluster.Share
	term  term
	book  uint64
	tasks uint64
	// doubts are the attempts that the next sync asks for.
	doubts  []TaskRef
	workers map[string]*workerInfo
	teams   map[string]teamUse
	// listedFor holds the homes that have all of the rack's attempts of
	// theirs, under this term.
	listedFor map[cluster.Share]bool
	complete  bool
	// mine is set while this daemon owns the rack itself.
	mine bool
}

type workerInfo struct {
	view workerView
	// flight is what the asks under way sum up to.
	flight cluster.Resources
	// spareTill is when the worker's promised room is needed.
	spareTill time.Time
}

// attemptsAnEpoch spaces the numbers of attempts, so that a home never gives a
// number that an earlier home may have given without this one knowing.
const attemptsAnEpoch = 1_000_000

// firstAttempt is the number that the home's own attempts come after.
func (hm *home) firstAttempt() int { return int(hm.term.Epoch-1) * attemptsAnEpoch }

func newHomes(p *Placer) *homes {
	h := &homes{
		p: p, loop: newLoop("placer.homes", p.o.Duties),
		homes: make(map[cluster.Share]*home), jobs: make(map[string]*job),
		racks: make(map[cluster.Share]*rackInfo), links: make(map[string]*link),
		index: pipeline.NewIndex(p.o.Seed), ledger: quota.NewLedger(cluster.Resources{}),
		random: newRandom(p.o.Seed), strangers: make(map[TaskRef]stranger), pressed: make(map[string]*job), spares: make(map[string]*workerInfo),
		estimates: usage.NewEstimates(maxEstimates), limits: newLimits(),
	}
	pipe, err := pipeline.New(h.index, p.o.Policies, p.o.Seed)
	if err != nil {
		panic(err)
	}
	h.pipe = pipe
	h.mine = pipeline.NewIndex(p.o.Seed + 1)
	h.minePipe, _ = pipeline.New(h.mine, p.o.Policies, p.o.Seed+1)
	h.queue = queue.New(h.ledger)
	h.done.init(h)
	return h
}

func (h *homes) run(ctx context.Context, turn duty.Turn) error {
	timer := time.NewTimer(firstTurn)
	defer timer.Stop()
	for {
		changed := h.p.o.State.Changed()
		select {
		case <-ctx.Done():
			return nil
		case f := <-h.loop.steps.C():
			h.loop.drain(f)
		case <-changed:
			h.pause(ctx)
		case <-timer.C:
		}
		turn()
		h.turn(h.p.o.Now())
		timer.Reset(h.wait())
	}
}

// wait is the longest time until the next turn.
func (h *homes) wait() time.Duration {
	if !h.limits.wantedAt.IsZero() {
		return syncHurried
	}
	if h.busy() {
		return homeTurn
	}
	return idleTurn
}

// pause lets a burst of changed views pass, so that jobs are taken in at most
// every jobsEvery. Steps are still run.
func (h *homes) pause(ctx context.Context) {
	wait := jobsEvery - h.p.o.Now().Sub(h.viewedAt)
	if wait <= 0 {
		return
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case f := <-h.loop.steps.C():
		h.loop.drain(f)
	case <-timer.C:
	}
}

func (h *homes) turn(now time.Time) {
	if now.Sub(h.rightsAt) >= rightsEvery {
		h.rightsAt = now
		h.refreshHomes()
	}
	h.noteSince(now)
	h.refreshWorkers(now)
	h.refreshJobs(now)
	h.recheckNever(now)
	h.recheckStrangers(now)
	h.drain(now)
	h.noteDoubts(now)
	h.endPatience(now)
	h.syncAll(now)
	h.queue.WakeDue(now)
	h.schedule(now)
	h.pressNext(now)
	h.lookAhead(now)
	h.flush(now)
	h.settleAll(now)
	h.done.flush(now)
}

func (h *homes) refreshHomes() {
	held := make(map[cluster.Share]roles.Right)
	for _, right := range h.p.o.Owners.Rights() {
		if right.Share.Kind == cluster.ShareKey {
			held[right.Share] = right
		}
	}
	for share, hm := range h.homes {
		if right, ok := held[share]; !ok || right.Epoch != hm.term.Epoch {
			h.leave(hm)
		}
	}
	for share, right := range held {
		if _, ok := h.homes[share]; !ok {
			h.enter(right)
		}
	}
}

func (h *homes) enter(right roles.Right) {
	view := h.p.o.State.View()
	h.sittings++
	h.homes[right.Share] = &home{
		share: right.Share, term: term{right.Epoch, h.sittings}, entered: h.p.o.Now(), since: math.MaxUint64,
		seen: make(map[cluster.Share]bool),
	}
	h.viewed = 0
	for _, l := range h.links {
		l.next = time.Time{}
	}
	h.p.o.Events.Log(events.HomeTaken, "share", right.Share.String(), "epoch", right.Epoch, "jobs", len(view.OpenJobs(right.Share)))
}

// noteSince finds the offset from which on jobs are known to be nobody
// else's. A predecessor's right has ended before this daemon entered, and
// this daemon's own right proves that it has read the log up to a moment after
// that once longer than a right has passed.
func (h *homes) noteSince(now time.Time) {
	if h.p.o.State.Health() != logclient.HealthFresh {
		return
	}
	for _, hm := range h.homes {
		if hm.since == math.MaxUint64 && now.Sub(hm.entered) >= freshAfter && h.may(hm) {
			hm.since = h.p.o.State.View().Offset()
		}
	}
}

// leave forgets a home and its jobs; their tasks run on.
func (h *homes) leave(hm *home) {
	delete(h.homes, hm.share)
	for _, r := range h.racks {
		delete(r.listedFor, hm.share)
	}
	for _, j := range h.jobs {
		if j.home == hm {
			h.dropJob(j)
		}
	}
}

// may reports whether this daemon may act for a home now.
func (h *homes) may(hm *home) bool {
	right, ok := h.p.o.Owners.Right(hm.share)
	return ok && right.Epoch == hm.term.Epoch && h.homes[hm.share] == hm
}

// refreshWorkers goes through the platform's list: it drops workers that are
// gone and sums up what the cell holds.
func (h *homes) refreshWorkers(now time.Time) {
	if now.Sub(h.listed) < listEvery {
		return
	}
	h.listed = now
	racks := make(map[cluster.Share]map[string]bool)
	var total cluster.Resources
	for _, vm := range h.p.o.Members.VMs() {
		if vm.Role != cluster.RoleWorker {
			continue
		}
		share := cluster.RackShare(vm)
		if racks[share] == nil {
			racks[share] = make(map[string]bool)
		}
		racks[share][vm.Name] = true
		total = total.Add(vm.Capacity)
		h.largest.CPU = max(h.largest.CPU, vm.Capacity.CPU)
		h.largest.Memory = max(h.largest.Memory, vm.Capacity.Memory)
	}
	for share, listed := range racks {
		h.rack(share).keepOnly(h, listed)
	}
	for share, r := range h.racks {
		if racks[share] == nil {
			r.keepOnly(h, nil)
			delete(h.racks, share)
		}
	}
	h.refreshMine()
	if total != h.total {
		h.total = total
		h.ledger.SetTotal(total)
	}
	h.refreshQuotas()
	h.countHomes()
}

// refreshMine notes which racks this daemon owns itself.
func (h *homes) refreshMine() {
	for share, r := range h.racks {
		_, mine := h.p.o.Owners.Right(share)
		if mine == r.mine {
			continue
		}
		r.mine = mine
		for name, w := range r.workers {
			h.mine.Remove(name)
			h.putNode(w)
		}
	}
}

func (h *homes) rack(share cluster.Share) *rackInfo {
	r, ok := h.racks[share]
	if !ok {
		r = &rackInfo{
			share: share, workers: make(map[string]*workerInfo), teams: make(map[string]teamUse),
			listedFor: make(map[cluster.Share]bool),
		}
		h.racks[share] = r
	}
	return r
}

func (r *rackInfo) keepOnly(h *homes, listed map[string]bool) {
	for name := range r.workers {
		if !listed[name] {
			delete(r.workers, name)
			delete(h.spares, name)
			h.mine.Remove(name)
			h.index.Remove(name)
		}
	}
}

// refreshQuotas sums up the quotas of each team's documents.
func (h *homes) refreshQuotas() {
	quotas := make(map[string]quota.Quota)
	for _, d := range h.p.o.State.View().Documents() {
		q := quotas[d.Team]
		q.Weight = max(q.Weight, int64(d.Document.Quota.Weight))
		q.Guaranteed = q.Guaranteed.Add(d.Document.Quota.Guaranteed)
		q.Limit = q.Limit.Add(d.Document.Quota.Limit)
		quotas[d.Team] = q
	}
	for team, q := range quotas {
		if h.ledger.Quota(team) != q {
			h.ledger.SetQuota(team, q)
			h.queue.UpdateRank(team)
			h.queue.WakeTeam(team)
		}
	}
}
