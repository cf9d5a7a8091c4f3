package placer

import (
	"context"
	"time"

	"github.com/currantwinch/currantwinch/cluster"
	"github.com/currantwinch/currantwinch/document"
	"github.com/currantwinch/currantwinch/placement/pipeline"
	"github.com/currantwinch/currantwinch/placement/queue"
)

// decisionsATurn bounds the decisions of one turn, so that replies are taken
// in between.
const decisionsATurn = 512

// ask is one item on its way to a rack's owner. The room it asks for is taken
// from the index until the answer is there.
type ask struct {
	task *task
	item placeItem
	// uncertain is set once the owner may have taken the item unseen.
	uncertain bool
	sending   bool
	dropped   bool
	decidedAt time.Time
	// charged is set while the ask is counted as under way.
	charged bool
}

// schedule places waiting tasks, best first, until none can be placed.
func (h *homes) schedule(now time.Time) {
	for range decisionsATurn {
		next, ok := h.queue.Next()
		if !ok {
			break
		}
		j := h.jobs[next.ID]
		switch {
		case j.entry.Workload.Class == document.ClassGang:
			h.flushWave(now)
			h.tryGang(j, now)
		case h.joinsWave(j):
			h.tryWave(j, now)
		default:
			h.flushWave(now)
			h.tryTask(j, now)
		}
	}
	h.flushWave(now)
}

// tryTask places one task of a job or sets the job aside.
func (h *homes) tryTask(j *job, now time.Time) {
	t := h.nextAllowed(j, now)
	if t == nil {
		return
	}
	c, ok := h.decide(j, t)
	if !ok {
		h.p.metrics.noRoom.Inc()
		h.queue.Block(j.entry.ID, queue.InsufficientCapacity, now, now)
		h.press(j)
		return
	}
	h.noteTaken(j.entry.Team, t.size())
	h.reserve(t, c, modeStart, now)
	h.enqueue(j, now)
}

// nextAllowed returns a job's next task if its team may have it. Otherwise
// the job is set aside.
func (h *homes) nextAllowed(j *job, now time.Time) *task {
	t := j.nextWaiting(now)
	if t == nil {
		h.enqueue(j, now)
		return nil
	}
	if !h.allows(j.entry.Team, t.size(), now) {
		h.queue.Block(j.entry.ID, queue.OverLimit, now, now)
		return nil
	}
	return t
}

func (j *job) nextWaiting(now time.Time) *task {
	for _, t := range j.tasks {
		if t.state == taskWaiting && !t.inWave && !now.Before(t.notBefore) {
			return t
		}
	}
	return nil
}

// decide runs the filter and score phases for one task.
func (h *homes) decide(j *job, t *task) (pipeline.Choice, bool) {
	h.p.metrics.decisions.Inc()
	size := j.demand.Resources
	defer func() { j.demand.Resources = size }()
	j.demand.Resources = t.size()
	j.demand.Avoid = t.avoided()
	c, ok := h.promised(t)
	if !ok && h.pipe.PlacesLocalFirst(j.demand.Class) {
		c, ok = h.minePipe.Decide(&j.demand)
	}
	if !ok {
		c, ok = h.pipe.Decide(&j.demand)
	}
	if !ok {
		c, ok = h.pipe.DecideByScan(&j.demand)
	}
	if !ok {
		c, ok = h.jump(t)
	}
	t.score = c.Score
	return c, ok
}

// reserve takes the room from the index and sends the ask.
func (h *homes) reserve(t *task, c pipeline.Choice, mode placeMode, now time.Time) {
	j := t.job
	n, _ := h.index.Get(c.Worker)
	t.fire(onReserve)
	j.placedOnce = true
	t.accepted = false
	t.attempt = max(t.attempt, j.home.firstAttempt()) + 1
	t.worker, t.rack = c.Worker, rackShareOf(n)
	t.reason = ""
	t.underRevision(j.entry.Revision)
	h.count(t)
	w := j.entry.Workload
	a := &ask{task: t, decidedAt: now, item: placeItem{
		Rack: t.rack, Home: j.home.share, HomeTerm: j.home.term, Mode: mode, Task: t.ref(), Worker: c.Worker,
		Resources: t.size(), AcceleratorKind: w.AcceleratorKind, Command: w.Command, Checkpoint: t.checkpoint,
		Labels: labelsOf(j), Rank: j.rank, Expected: h.estimates.RunTime(usageKey(j.entry), w.RunTime.Std()),
		Doubt: j.health.Suspicion(), Proven: j.health.HasRun(),
		Anywhere: j.goesAnywhere() && len(t.failedOn) == 0,
	}}
	h.take(a)
	h.asks = append(h.asks, a)
}

// goesAnywhere reports whether the owner may put a job's tasks on any worker
// of the rack.
func (j *job) goesAnywhere() bool {
	return j.entry.Workload.Class == document.ClassBatch && j.demand.Spread == document.SpreadNone && j.health.HasNoFailures()
}

func rackShareOf(n pipeline.Node) cluster.Share {
	return cluster.RackShare(cluster.VM{Location: n.Location})
}

func labelsOf(j *job) TaskLabels {
	w := j.entry.Workload
	return TaskLabels{
		Service: j.entry.Service, Workload: w.Name, Team: j.entry.Team,
		Priority: string(w.Priority), Class: string(w.Class), Checkpoints: w.Checkpoints,
		Revision: j.entry.Revision,
	}
}

// take counts an ask as under way: on its worker and for its team.
func (h *homes) take(a *ask) {
	a.charged = true
	h.moving++
	h.addFlight(a, a.item.Resources)
}

// give ends what take began.
func (h *homes) give(a *ask) {
	if !a.charged {
		return
	}
	a.charged = false
	h.moving--
	h.addFlight(a, cluster.Resources{}.Sub(a.item.Resources))
}

func (h *homes) addFlight(a *ask, by cluster.Resources) {
	if r, ok := h.racks[a.item.Rack]; ok {
		if w, ok := r.workers[a.item.Worker]; ok {
			w.flight = w.flight.Add(by)
			h.putNode(w)
		}
	}
	h.charge(a.item.Labels.Team, by)
}

// putNode brings the index in line with a worker's account.
func (h *homes) putNode(w *workerInfo) {
	v := w.view
	n := pipeline.Node{
		Name: v.Name, Location: v.Location, AcceleratorKind: v.AcceleratorKind, Capacity: v.Capacity,
		Free: v.Free.Sub(w.flight), Closed: v.Closed != "", Suspicion: v.Suspicion,
	}
	h.index.Put(n)
	if r, ok := h.racks[v.Rack]; ok && r.mine {
		h.mine.Put(n)
	}
}

// flush sends the asks, one call at a time to each owner.
func (h *homes) flush(now time.Time) {
	if len(h.asks) == 0 {
		return
	}
	batches := make(map[*link][]*ask)
	var refused []*ask
	kept := h.asks[:0]
	for _, a := range h.asks {
		if a.overtaken() {
			h.finishAsk(a)
		}
		if a.dropped {
			continue
		}
		if a.sending {
			kept = append(kept, a)
			continue
		}
		if !h.batch(a, batches, now) {
			refused = append(refused, a)
			continue
		}
		kept = append(kept, a)
	}
	clear(h.asks[len(kept):])
	h.asks = kept
	// Refusals change the list of asks, so that they come after it is read.
	for _, a := range refused {
		h.refuse(a, "no_owner", now)
	}
	for l, asks := range batches {
		h.send(l, asks)
	}
}

// batch adds an ask to its owner's next call if one may be sent now. It
// reports false for an ask that has nowhere to go and can be given up.
func (h *homes) batch(a *ask, batches map[*link][]*ask, now time.Time) bool {
	d, ok := h.p.o.Owners.Owner(a.item.Rack)
	r := h.racks[a.item.Rack]
	if !ok || r == nil || !r.term.known() || !h.may(a.task.job.home) {
		return a.uncertain
	}
	l := h.link(d.Name)
	if l.placing || now.Before(l.placeAt) || len(batches[l]) >= maxItems {
		return true
	}
	a.item.RackTerm = r.term
	batches[l] = append(batches[l], a)
	return true
}

func (h *homes) send(l *link, asks []*ask) {
	l.placing = true
	l.sequence++
	q := placeRequest{Incarnation: h.p.o.Self.Incarnation, Sequence: l.sequence}
	for _, a := range asks {
		a.sending = true
		if a.task.state == taskReserved && a.item.Mode == modeStart {
			a.task.fire(onStart)
		}
		q.Items = append(q.Items, a.item)
	}
	h.p.async(peerTimeout, func(ctx context.Context) {
		reply, err := call(ctx, h.p, l.daemon, methodPlace, h.p.racks.servePlace, q)
		h.loop.post(func() { h.endSend(l, asks, reply, err) })
	})
}

func (h *homes) endSend(l *link, asks []*ask, reply placeReply, err error) {
	now := h.p.o.Now()
	l.placing = false
	l.placeAt = time.Time{}
	if err != nil || len(reply.Results) != len(asks) {
		l.placeAt = now.Add(askAgain)
	}
	for i, a := range asks {
		a.sending = false
		switch {
		case a.dropped:
		case a.overtaken():
			h.finishAsk(a)
		case err != nil && !isUnclear(err) && !a.uncertain:
			h.refuse(a, "owner_unreachable", now)
		case err != nil || len(reply.Results) != len(asks):
			a.uncertain = a.uncertain || isUnclear(err)
		default:
			h.answered(l, a, reply.Results[i], now)
		}
	}
	for _, w := range reply.Workers {
		if r, ok := h.racks[w.Rack]; ok {
			h.takeWorker(r, w)
		}
	}
	for _, u := range reply.Teams {
		if r, ok := h.racks[u.Rack]; ok {
			h.takeTeam(r, u)
		}
	}
}

// answered takes in the owner's answer to one ask.
func (h *homes) answered(l *link, a *ask, r placeResult, now time.Time) {
	switch {
	case r.Accepted:
		h.moved(a.task, r.Worker)
		h.accept(a, now)
	case r.Refused == refusedDead:
		// Its end has been reported or is asked for.
		h.accept(a, now)
		a.task.evidence = time.Time{}
	case r.Unsure && a.uncertain:
		l.placeAt = now.Add(askAgain)
	default:
		h.refuse(a, string(r.Refused), now)
	}
}

// moved notes that the owner put a task on another worker of the rack.
func (h *homes) moved(t *task, worker string) {
	if worker == "" || worker == t.worker {
		return
	}
	h.uncount(t)
	t.worker = worker
	h.count(t)
}

func (h *homes) accept(a *ask, now time.Time) {
	h.finishAsk(a)
	if a.item.Mode != modeStart {
		h.gangAccepted(a, now)
		return
	}
	h.accepted(a.task, now)
	h.p.metrics.waitSeconds.Update(now.Sub(a.task.waitsSince).Seconds())
}

// refuse has an ask's task wait again. The owner certainly did not take it.
func (h *homes) refuse(a *ask, reason string, now time.Time) {
	h.finishAsk(a)
	if a.item.Mode != modeStart {
		h.gangRefused(a, reason, now)
		return
	}
	t := a.task
	h.uncount(t)
	t.reason = reason
	if !t.fire(onRefuse) {
		t.fire(onRelease)
	}
	h.putBack(t, 0, now)
}

// overtaken reports whether an ask has nothing to decide any more: its task
// has gone on to another attempt, or has been reported since.
func (a *ask) overtaken() bool {
	if a.item.Mode != modeStart || a.dropped {
		return false
	}
	t := a.task
	if t.ref() != a.item.Task || t.live() && t.accepted {
		return true
	}
	return !t.live() && t.state != taskReserved
}

func (h *homes) finishAsk(a *ask) {
	h.give(a)
	a.dropped = true
}

// dropAsks forgets the asks of a job. An owner that took one reports it, and
// is then told to stop it.
func (h *homes) dropAsks(j *job) {
	for _, a := range h.asks {
		if a.task.job == j && !a.dropped {
			h.finishAsk(a)
		}
	}
}
