package placer

import (
	"math/rand/v2"
	"time"

	"github.com/currantwinch/currantwinch/document"
	"github.com/currantwinch/currantwinch/placement/pipeline"
	"github.com/currantwinch/currantwinch/placement/queue"
)

const (
	minGangBackoff = 50 * time.Millisecond
	maxGangBackoff = 5 * time.Second
)

// gangRound is one round of placing a gang. All tasks are reserved, then all
// reservations locked, then all committed. No reservation waits for another, so
// two gangs cannot deadlock. Where two gangs want the same capacity, the older
// one displaces the reservations of the younger one that are not locked yet,
// and a gang whose reservations are all locked commits. One of the contending
// gangs therefore always succeeds.
type gangRound struct {
	mode placeMode
	// pending counts the outstanding results of this mode.
	pending       int
	refusedReason string
	placements    []*placement
}

// placeGang chooses workers for all tasks of a gang and requests reservations.
// If that is not possible now, it blocks the job in the queue.
func (sc *scheduler) placeGang(j *job, now time.Time) {
	if !j.allWaiting(now) {
		sc.updateQueue(j, now)
		return
	}
	whole := multiply(j.demand.Resources, len(j.tasks))
	if !sc.teamAllows(j.entry.Team, whole, now) {
		sc.queue.Block(j.entry.ID, queue.OverLimit, now, now)
		return
	}
	choices, ok := sc.planGang(j)
	if !ok {
		sc.p.metrics.insufficientCapacity.Inc()
		sc.queue.Block(j.entry.ID, queue.InsufficientCapacity, now, now)
		return
	}
	j.gang = &gangRound{mode: modeReserve, pending: len(j.tasks)}
	sc.queue.Remove(j.entry.ID)
	sc.recordGrant(j.entry.Team, whole)
	before := len(sc.placements)
	for i, t := range j.tasks {
		sc.startPlacement(t, choices[i], modeReserve, now)
	}
	j.gang.placements = append(j.gang.placements, sc.placements[before:]...)
}

// allWaiting reports whether every task of a job may be placed now.
func (j *job) allWaiting(now time.Time) bool {
	for _, t := range j.tasks {
		if t.state != taskWaiting || now.Before(t.notBefore) {
			return false
		}
	}
	return true
}

// planGang chooses a worker for every task. The capacity is taken from the
// index while the plan is made and returned before planGang returns.
func (sc *scheduler) planGang(j *job) ([]pipeline.Choice, bool) {
	choices := make([]pipeline.Choice, 0, len(j.tasks))
	defer func() {
		for _, c := range choices {
			sc.index.Release(c.Worker, j.demand.Resources)
		}
	}()
	for _, t := range j.tasks {
		c, ok := sc.chooseWorker(j, t)
		if !ok {
			return nil, false
		}
		sc.index.Allocate(c.Worker, j.demand.Resources)
		choices = append(choices, c)
	}
	return choices, true
}

func (sc *scheduler) gangAccepted(pm *placement, now time.Time) {
	if pm.item.Mode == modeCommit {
		sc.recordAccepted(pm.task, now)
	}
	sc.handleGangResult(pm, "", now)
}

func (sc *scheduler) gangRefused(pm *placement, reason string, now time.Time) {
	if pm.item.Mode == modeCommit && pm.task.fire(onRefuse) {
		sc.uncountPlaced(pm.task)
	}
	sc.handleGangResult(pm, reason, now)
}

// handleGangResult counts a result. After the last one it starts the next
// phase, or abandons the round if any result was a refusal.
func (sc *scheduler) handleGangResult(pm *placement, reason string, now time.Time) {
	j := pm.task.job
	g := j.gang
	if g == nil || pm.item.Mode != g.mode {
		return
	}
	if reason != "" {
		g.refusedReason = reason
	}
	if g.pending--; g.pending > 0 {
		return
	}
	switch {
	case g.refusedReason != "" && g.mode == modeCommit:
		sc.stopPartialGang(j, now)
	case g.refusedReason != "":
		sc.abandonGang(j, now)
	case g.mode == modeReserve:
		sc.startGangPhase(j, modeLock)
	case g.mode == modeLock:
		sc.startGangPhase(j, modeCommit)
	default:
		sc.finishGang(j, now)
	}
}

// startGangPhase sends all items of the round again in another mode.
func (sc *scheduler) startGangPhase(j *job, mode placeMode) {
	g := j.gang
	g.mode, g.pending = mode, len(g.placements)
	for i, old := range g.placements {
		pm := &placement{task: old.task, item: old.item, decidedAt: old.decidedAt}
		pm.item.Mode = mode
		g.placements[i] = pm
		sc.placements = append(sc.placements, pm)
		if mode == modeCommit {
			pm.task.fire(onStart)
		}
	}
}

func (sc *scheduler) finishGang(j *job, now time.Time) {
	for _, t := range j.tasks {
		sc.p.metrics.waitSeconds.Update(now.Sub(t.waitingSince).Seconds())
	}
	j.gang, j.gangRetries = nil, 0
}

// abandonGang releases the reservations of a round. The gang is delayed by a
// random, growing time, so that equal gangs do not collide in every round.
func (sc *scheduler) abandonGang(j *job, now time.Time) {
	g := j.gang
	j.gang = nil
	sc.dropPlacements(j)
	for _, old := range g.placements {
		t := old.task
		sc.uncountPlaced(t)
		t.reason = g.refusedReason
		if g.mode == modeCommit {
			continue
		}
		t.fire(onRelease)
		release := &placement{task: t, item: old.item}
		release.item.Mode = modeRelease
		sc.placements = append(sc.placements, release)
	}
	sc.delayGang(j, now)
	sc.updateQueue(j, now)
}

// delayGang blocks a gang's next round by a random time that grows with the
// number of failed rounds.
func (sc *scheduler) delayGang(j *job, now time.Time) {
	j.gangRetries++
	delay := min(minGangBackoff<<min(j.gangRetries, 10), maxGangBackoff)
	delay = delay/2 + time.Duration(sc.random.Int64N(int64(delay)))
	for _, t := range j.tasks {
		t.notBefore = now.Add(delay)
	}
}

// stopPartialGang stops the started tasks of a gang of which other tasks were
// refused at commit.
func (sc *scheduler) stopPartialGang(j *job, now time.Time) {
	g := j.gang
	j.gang = nil
	for _, pm := range g.placements {
		if pm.task.live() {
			sc.stopTask(pm.task, false)
		}
	}
	sc.delayGang(j, now)
	sc.updateQueue(j, now)
}

// handleGangMemberEnd stops the other tasks of a gang after one has ended
// without success: either all tasks of a gang run or none does.
func (sc *scheduler) handleGangMemberEnd(t *task, now time.Time) {
	j := t.job
	if j.entry.Workload.Class != document.ClassGang || j.gang != nil {
		return
	}
	for _, o := range j.tasks {
		if o.live() && !o.stopping {
			sc.stopTask(o, true)
		}
		if o.state == taskSucceeded {
			// The task has to run again together with the others.
			o.deadAttempts = append(o.deadAttempts, deadAttempt{o.rack, o.ref()})
			o.state = taskWaiting
			o.stopping, o.accepted = false, false
			o.runningSince = time.Time{}
			o.waitingSince = now
		}
	}
}

// restartPartialGang stops the remaining tasks of a gang that an earlier home
// left running only in part.
func (sc *scheduler) restartPartialGang(j *job, now time.Time) {
	if j.entry.Workload.Class != document.ClassGang {
		return
	}
	for _, t := range j.tasks {
		if t.state == taskWaiting {
			sc.handleGangMemberEnd(t, now)
			return
		}
	}
}

// stopTask requests the stop of a live task. Once the stop is reported, the
// task waits for its next attempt.
func (sc *scheduler) stopTask(t *task, checkpoint bool) {
	t.stopping = true
	d, ok := sc.p.o.Owners.Owner(t.rack)
	if !ok {
		return
	}
	hm := t.job.home
	sc.queueTermination(d.Name, terminationItem{Rack: t.rack, Home: hm.share, HomeTerm: hm.term, Task: t.ref(), Checkpoint: checkpoint})
}

func newRandom(seed uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, seed^0x9e3779b97f4a7c15)) }
