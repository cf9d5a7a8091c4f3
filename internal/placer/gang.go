package placer

import (
	"math/rand/v2"
	"time"

	"github.com/currantwinch/currantwinch/document"
	"github.com/currantwinch/currantwinch/placement/pipeline"
	"github.com/currantwinch/currantwinch/placement/queue"
)

const (
	gangBackoff    = 50 * time.Millisecond
	maxGangBackoff = 5 * time.Second
)

// gangRun is one round of placing a gang: all tasks are held, then locked,
// then committed. No hold waits for another, so two gangs cannot block each
// other; of two that want the same room, the older one displaces the younger
// one's holds until those are locked, and a gang whose holds are all locked
// commits. So some gang gets through in every contest.
type gangRun struct {
	mode placeMode
	// open is how many answers of this mode are outstanding.
	open    int
	refused string
	asks    []*ask
}

// tryGang plans all tasks of a gang and asks for holds, or sets it aside.
func (h *homes) tryGang(j *job, now time.Time) {
	if !j.allWait(now) {
		h.enqueue(j, now)
		return
	}
	whole := times(j.demand.Resources, len(j.tasks))
	if !h.allows(j.entry.Team, whole, now) {
		h.queue.Block(j.entry.ID, queue.OverLimit, now, now)
		return
	}
	choices, ok := h.planGang(j)
	if !ok {
		h.p.metrics.noRoom.Inc()
		h.queue.Block(j.entry.ID, queue.InsufficientCapacity, now, now)
		return
	}
	j.gang = &gangRun{mode: modeHold, open: len(j.tasks)}
	h.queue.Remove(j.entry.ID)
	h.noteTaken(j.entry.Team, whole)
	before := len(h.asks)
	for i, t := range j.tasks {
		h.reserve(t, choices[i], modeHold, now)
	}
	j.gang.asks = append(j.gang.asks, h.asks[before:]...)
}

// allWait reports whether every task of a job may be placed now.
func (j *job) allWait(now time.Time) bool {
	for _, t := range j.tasks {
		if t.state != taskWaiting || now.Before(t.notBefore) {
			return false
		}
	}
	return true
}

// planGang finds a worker for every task at once. The room is taken from the
// index while the plan is made and given back before it returns.
func (h *homes) planGang(j *job) ([]pipeline.Choice, bool) {
	choices := make([]pipeline.Choice, 0, len(j.tasks))
	defer func() {
		for _, c := range choices {
			h.index.Release(c.Worker, j.demand.Resources)
		}
	}()
	for _, t := range j.tasks {
		c, ok := h.decide(j, t)
		if !ok {
			return nil, false
		}
		h.index.Allocate(c.Worker, j.demand.Resources)
		choices = append(choices, c)
	}
	return choices, true
}

func (h *homes) gangAccepted(a *ask, now time.Time) {
	if a.item.Mode == modeCommit {
		h.accepted(a.task, now)
	}
	h.gangAnswer(a, "", now)
}

func (h *homes) gangRefused(a *ask, reason string, now time.Time) {
	if a.item.Mode == modeCommit && a.task.fire(onRefuse) {
		h.uncount(a.task)
	}
	h.gangAnswer(a, reason, now)
}

// gangAnswer counts an answer and, with the last one, goes on to the next
// mode or gives the round up.
func (h *homes) gangAnswer(a *ask, refused string, now time.Time) {
	j := a.task.job
	g := j.gang
	if g == nil || a.item.Mode != g.mode {
		return
	}
	if refused != "" {
		g.refused = refused
	}
	if g.open--; g.open > 0 {
		return
	}
	switch {
	case g.refused != "" && g.mode == modeCommit:
		h.breakGang(j, now)
	case g.refused != "":
		h.abandonGang(j, now)
	case g.mode == modeHold:
		h.nextMode(j, modeLock)
	case g.mode == modeLock:
		h.nextMode(j, modeCommit)
	default:
		h.gangStarted(j, now)
	}
}

// nextMode sends the same items once more in another mode.
func (h *homes) nextMode(j *job, mode placeMode) {
	g := j.gang
	g.mode, g.open = mode, len(g.asks)
	for i, old := range g.asks {
		a := &ask{task: old.task, item: old.item, decidedAt: old.decidedAt}
		a.item.Mode = mode
		g.asks[i] = a
		h.asks = append(h.asks, a)
		if mode == modeCommit {
			a.task.fire(onStart)
		}
	}
}

func (h *homes) gangStarted(j *job, now time.Time) {
	for _, t := range j.tasks {
		h.p.metrics.waitSeconds.Update(now.Sub(t.waitsSince).Seconds())
	}
	j.gang, j.gangTries = nil, 0
}

// abandonGang releases a round's holds; the gang tries again after a while
// that is random and grows, so that equals do not meet for ever.
func (h *homes) abandonGang(j *job, now time.Time) {
	g := j.gang
	j.gang = nil
	h.dropAsks(j)
	for _, old := range g.asks {
		t := old.task
		h.uncount(t)
		t.reason = g.refused
		if g.mode == modeCommit {
			continue
		}
		t.fire(onRelease)
		release := &ask{task: t, item: old.item}
		release.item.Mode = modeRelease
		h.asks = append(h.asks, release)
	}
	h.holdGangBack(j, now)
	h.enqueue(j, now)
}

// holdGangBack keeps a gang from its next round for a while that grows with
// the rounds that came to nothing.
func (h *homes) holdGangBack(j *job, now time.Time) {
	j.gangTries++
	delay := min(gangBackoff<<min(j.gangTries, 10), maxGangBackoff)
	delay = delay/2 + time.Duration(h.random.Int64N(int64(delay)))
	for _, t := range j.tasks {
		t.notBefore = now.Add(delay)
	}
}

// breakGang stops the tasks of a gang of which some were started and some
// were not.
func (h *homes) breakGang(j *job, now time.Time) {
	g := j.gang
	j.gang = nil
	for _, a := range g.asks {
		if a.task.live() {
			h.stopTask(a.task, false)
		}
	}
	h.holdGangBack(j, now)
	h.enqueue(j, now)
}

// memberEnded stops the rest of a gang one of whose tasks has ended without
// success: all of a gang run, or none does.
func (h *homes) memberEnded(t *task, now time.Time) {
	j := t.job
	if j.entry.Workload.Class != document.ClassGang || j.gang != nil {
		return
	}
	for _, o := range j.tasks {
		if o.live() && !o.stopping {
			h.stopTask(o, true)
		}
		if o.state == taskSucceeded {
			// It has to run again beside the others.
			o.remains = append(o.remains, remain{o.rack, o.ref()})
			o.state = taskWaiting
			o.stopping, o.accepted = false, false
			o.runsSince = time.Time{}
			o.waitsSince = now
		}
	}
}

// restartBrokenGang stops what an earlier home left of a gang that does not
// run whole.
func (h *homes) restartBrokenGang(j *job, now time.Time) {
	if j.entry.Workload.Class != document.ClassGang {
		return
	}
	for _, t := range j.tasks {
		if t.state == taskWaiting {
			h.memberEnded(t, now)
			return
		}
	}
}

// stopTask has a live task stopped; its status then has it wait again.
func (h *homes) stopTask(t *task, checkpoint bool) {
	t.stopping = true
	d, ok := h.p.o.Owners.Owner(t.rack)
	if !ok {
		return
	}
	hm := t.job.home
	h.settle(d.Name, settleItem{Rack: t.rack, Home: hm.share, HomeTerm: hm.term, Task: t.ref(), Checkpoint: checkpoint})
}

func newRandom(seed uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, seed^0x9e3779b97f4a7c15)) }
