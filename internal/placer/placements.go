package placer

import (
	"context"
	"time"

	"github.com/currantwinch/currantwinch/cluster"
	"github.com/currantwinch/currantwinch/document"
	"github.com/currantwinch/currantwinch/placement/pipeline"
	"github.com/currantwinch/currantwinch/placement/queue"
)

// maxDecisionsPerTurn bounds the decisions of one turn, so that replies are
// handled in between.
const maxDecisionsPerTurn = 512

// placement is one item on its way to a rack's owner. Its capacity is taken
// from the index until the result is known.
type placement struct {
	task *task
	item placeItem
	// uncertain is set once an earlier request with the item may have taken
	// effect.
	uncertain bool
	sending   bool
	finished  bool
	decidedAt time.Time
	// counted is set while the placement is counted as in flight.
	counted bool
}

// schedule places waiting tasks in queue order until none can be placed.
func (sc *scheduler) schedule(now time.Time) {
	for range maxDecisionsPerTurn {
		next, ok := sc.queue.Next()
		if !ok {
			break
		}
		j := sc.jobs[next.ID]
		switch {
		case j.entry.Workload.Class == document.ClassGang:
			sc.placePack(now)
			sc.placeGang(j, now)
		case sc.canPack(j):
			sc.addToPack(j, now)
		default:
			sc.placePack(now)
			sc.placeTask(j, now)
		}
	}
	sc.placePack(now)
}

// placeTask places one task of a job, or blocks the job in the queue.
func (sc *scheduler) placeTask(j *job, now time.Time) {
	t := sc.nextAllowedTask(j, now)
	if t == nil {
		return
	}
	c, ok := sc.chooseWorker(j, t)
	if !ok {
		sc.p.metrics.insufficientCapacity.Inc()
		sc.queue.Block(j.entry.ID, queue.InsufficientCapacity, now, now)
		sc.addPreemptor(j)
		return
	}
	sc.recordGrant(j.entry.Team, t.size())
	sc.startPlacement(t, c, modeStart, now)
	sc.updateQueue(j, now)
}

// nextAllowedTask returns a job's next waiting task if the team's limit allows
// it. Otherwise it blocks the job in the queue and returns nil.
func (sc *scheduler) nextAllowedTask(j *job, now time.Time) *task {
	t := j.nextWaitingTask(now)
	if t == nil {
		sc.updateQueue(j, now)
		return nil
	}
	if !sc.teamAllows(j.entry.Team, t.size(), now) {
		sc.queue.Block(j.entry.ID, queue.OverLimit, now, now)
		return nil
	}
	return t
}

func (j *job) nextWaitingTask(now time.Time) *task {
	for _, t := range j.tasks {
		if t.placeable(now) {
			return t
		}
	}
	return nil
}

// chooseWorker runs the filter and score phases for one task. It prefers a
// worker nominated for the task, then, for classes placed locally first, this
// daemon's own racks, and backfills only if no other worker fits.
func (sc *scheduler) chooseWorker(j *job, t *task) (pipeline.Choice, bool) {
	sc.p.metrics.decisions.Inc()
	began := sc.p.o.Now()
	defer func() { sc.p.metrics.decideSeconds.Update(sc.p.o.Now().Sub(began).Seconds()) }()
	size := j.demand.Resources
	defer func() { j.demand.Resources = size }()
	j.demand.Resources = t.size()
	j.demand.Avoid = t.avoidedWorkers()
	c, ok := sc.nominatedWorker(t)
	if !ok && sc.pipe.PlacesLocalFirst(j.demand.Class) {
		c, ok = sc.localPipe.Decide(&j.demand)
	}
	if !ok {
		c, ok = sc.pipe.Decide(&j.demand)
	}
	if !ok {
		c, ok = sc.pipe.DecideByScan(&j.demand)
	}
	if !ok {
		c, ok = sc.backfillWorker(t)
	}
	t.score = c.Score
	return c, ok
}

// startPlacement begins a new attempt of a task on the chosen worker, takes its
// capacity from the index and queues the request to the rack's owner.
func (sc *scheduler) startPlacement(t *task, c pipeline.Choice, mode placeMode, now time.Time) {
	j := t.job
	n, _ := sc.index.Get(c.Worker)
	t.fire(onReserve)
	j.everPlaced = true
	t.accepted = false
	t.attempt = max(t.attempt, j.home.firstAttempt()) + 1
	t.worker, t.rack = c.Worker, rackShareOf(n)
	t.reason = ""
	t.setRevision(j.entry.Revision)
	sc.countPlaced(t)
	w := j.entry.Workload
	pm := &placement{task: t, decidedAt: now, item: placeItem{
		Rack: t.rack, Home: j.home.share, HomeTerm: j.home.term, Mode: mode, Task: t.ref(), Worker: c.Worker,
		Resources: t.size(), AcceleratorKind: w.AcceleratorKind, Command: w.Command, Checkpoint: t.checkpoint,
		Labels: labelsOf(j), Rank: j.rank, ExpectedRunTime: sc.estimates.RunTime(usageKey(j.entry), w.RunTime.Std()),
		JobSuspicion: j.health.Suspicion(), JobProven: j.health.HasRun(),
		AnyWorker: j.allowsAnyWorker() && len(t.failedWorkers) == 0,
	}}
	sc.addInFlight(pm)
	sc.placements = append(sc.placements, pm)
}

// allowsAnyWorker reports whether the owner may move a job's tasks to any
// worker of the rack.
func (j *job) allowsAnyWorker() bool {
	return j.entry.Workload.Class == document.ClassBatch && j.demand.Spread == document.SpreadNone && j.health.HasNoFailures()
}

func rackShareOf(n pipeline.Node) cluster.Share {
	return cluster.RackShare(cluster.VM{Location: n.Location})
}

func labelsOf(j *job) TaskLabels {
	w := j.entry.Workload
	return TaskLabels{
		Service: j.entry.Service, Workload: w.Name, Team: j.entry.Team,
		Priority: string(w.Priority), Class: string(w.Class), Checkpoints: w.Checkpointable,
		Revision: j.entry.Revision,
	}
}

// addInFlight counts a placement as in flight, against its worker and its team.
func (sc *scheduler) addInFlight(pm *placement) {
	pm.counted = true
	sc.inFlight++
	sc.adjustInFlight(pm, pm.item.Resources)
}

// removeInFlight reverts addInFlight.
func (sc *scheduler) removeInFlight(pm *placement) {
	if !pm.counted {
		return
	}
	pm.counted = false
	sc.inFlight--
	sc.adjustInFlight(pm, cluster.Resources{}.Sub(pm.item.Resources))
}

func (sc *scheduler) adjustInFlight(pm *placement, by cluster.Resources) {
	if r, ok := sc.racks[pm.item.Rack]; ok {
		if w, ok := r.workers[pm.item.Worker]; ok {
			w.inFlight = w.inFlight.Add(by)
			sc.updateNode(w)
		}
	}
	sc.chargeTeam(pm.item.Labels.Team, by)
}

// updateNode updates a worker's index entry from its last view and the
// placements in flight.
func (sc *scheduler) updateNode(w *workerSnapshot) {
	v := w.view
	n := pipeline.Node{
		Name: v.Name, Location: v.Location, AcceleratorKind: v.AcceleratorKind, Capacity: v.Capacity,
		Free: v.Free.Sub(w.inFlight), Closed: v.Closed != "", Suspicion: v.Suspicion,
	}
	sc.index.Put(n)
	if r, ok := sc.racks[v.Rack]; ok && r.local {
		sc.localIndex.Put(n)
	}
}

// sendPlacements sends the pending placements, with at most one call in flight
// to each owner.
func (sc *scheduler) sendPlacements(now time.Time) {
	if len(sc.placements) == 0 {
		return
	}
	batches := make(map[*peer][]*placement)
	var refused []*placement
	kept := sc.placements[:0]
	for _, pm := range sc.placements {
		if pm.superseded() {
			sc.finishPlacement(pm)
		}
		if pm.finished {
			continue
		}
		if pm.sending {
			kept = append(kept, pm)
			continue
		}
		if !sc.addToBatch(pm, batches, now) {
			refused = append(refused, pm)
			continue
		}
		kept = append(kept, pm)
	}
	clear(sc.placements[len(kept):])
	sc.placements = kept
	// refusePlacement changes sc.placements, so it is called after the list has
	// been read.
	for _, pm := range refused {
		sc.refusePlacement(pm, "no_owner", now)
	}
	for pe, batch := range batches {
		sc.sendBatch(pe, batch)
	}
}

// addToBatch adds a placement to its owner's next call if one may be sent now.
// It returns false for a placement that has no owner to send it to and cannot
// have taken effect, so that it can be given up.
func (sc *scheduler) addToBatch(pm *placement, batches map[*peer][]*placement, now time.Time) bool {
	d, ok := sc.p.o.Owners.Owner(pm.item.Rack)
	r := sc.racks[pm.item.Rack]
	if !ok || r == nil || !r.term.known() || !sc.mayAct(pm.task.job.home) {
		return pm.uncertain
	}
	pe := sc.peer(d.Name)
	if pe.placing || now.Before(pe.nextPlace) || len(batches[pe]) >= maxItemsPerCall {
		return true
	}
	pm.item.RackTerm = r.term
	batches[pe] = append(batches[pe], pm)
	return true
}

func (sc *scheduler) sendBatch(pe *peer, placements []*placement) {
	pe.placing = true
	pe.sequence++
	q := placeRequest{Incarnation: sc.p.o.Self.Incarnation, Sequence: pe.sequence}
	for _, pm := range placements {
		pm.sending = true
		if pm.task.state == taskReserved && pm.item.Mode == modeStart {
			pm.task.fire(onStart)
		}
		q.Items = append(q.Items, pm.item)
	}
	sc.p.async(peerTimeout, func(ctx context.Context) {
		reply, err := call(ctx, sc.p, pe.daemon, methodPlace, sc.p.allocator.servePlace, q)
		sc.executor.post(func() { sc.finishBatch(pe, placements, reply, err) })
	})
}

func (sc *scheduler) finishBatch(pe *peer, placements []*placement, reply placeReply, err error) {
	now := sc.p.o.Now()
	pe.placing = false
	pe.nextPlace = time.Time{}
	if err != nil || len(reply.Results) != len(placements) {
		pe.nextPlace = now.Add(resendDelay)
	}
	for i, pm := range placements {
		pm.sending = false
		switch {
		case pm.finished:
		case pm.superseded():
			sc.finishPlacement(pm)
		case err != nil && !mayHaveRun(err) && !pm.uncertain:
			sc.refusePlacement(pm, "owner_unreachable", now)
		case err != nil || len(reply.Results) != len(placements):
			pm.uncertain = pm.uncertain || mayHaveRun(err)
		default:
			sc.handleResult(pe, pm, reply.Results[i], now)
		}
	}
	for _, w := range reply.Workers {
		if r, ok := sc.racks[w.Rack]; ok {
			sc.applyWorker(r, w)
		}
	}
	for _, u := range reply.Teams {
		if r, ok := sc.racks[u.Rack]; ok {
			sc.applyTeam(r, u)
		}
	}
}

// handleResult applies the owner's result of one placement.
func (sc *scheduler) handleResult(pe *peer, pm *placement, r placeResult, now time.Time) {
	switch {
	case r.Accepted:
		sc.handleMoved(pm.task, r.Worker)
		sc.acceptPlacement(pm, now)
	case r.Refused == refusedTerminated:
		// The attempt's end has been reported, or the next sync asks for it.
		sc.acceptPlacement(pm, now)
		pm.task.lastConfirmed = time.Time{}
	case r.Indeterminate && pm.uncertain:
		pe.nextPlace = now.Add(resendDelay)
	default:
		sc.refusePlacement(pm, string(r.Refused), now)
	}
}

// handleMoved records that the owner placed a task on another worker of the
// rack.
func (sc *scheduler) handleMoved(t *task, worker string) {
	if worker == "" || worker == t.worker {
		return
	}
	sc.uncountPlaced(t)
	t.worker = worker
	sc.countPlaced(t)
}

func (sc *scheduler) acceptPlacement(pm *placement, now time.Time) {
	sc.finishPlacement(pm)
	if pm.item.Mode != modeStart {
		sc.gangAccepted(pm, now)
		return
	}
	sc.recordAccepted(pm.task, now)
	sc.p.metrics.waitSeconds.Update(now.Sub(pm.task.waitingSince).Seconds())
}

// refusePlacement returns a placement's task to the queue. The caller knows
// that the attempt was not started.
func (sc *scheduler) refusePlacement(pm *placement, reason string, now time.Time) {
	sc.finishPlacement(pm)
	if pm.item.Mode != modeStart {
		sc.gangRefused(pm, reason, now)
		return
	}
	t := pm.task
	sc.uncountPlaced(t)
	t.reason = reason
	if !t.fire(onRefuse) {
		t.fire(onRelease)
	}
	sc.requeueTask(t, 0, now)
}

// superseded reports whether a placement needs no result any more, because its
// task has gone on to another attempt or the attempt has been reported.
func (pm *placement) superseded() bool {
	if pm.item.Mode != modeStart || pm.finished {
		return false
	}
	t := pm.task
	if t.ref() != pm.item.Task || t.live() && t.accepted {
		return true
	}
	return !t.live() && t.state != taskReserved
}

func (sc *scheduler) finishPlacement(pm *placement) {
	sc.removeInFlight(pm)
	pm.finished = true
}

// dropPlacements drops the placements of a job. An owner that has accepted one
// reports it, and is then told to stop it.
func (sc *scheduler) dropPlacements(j *job) {
	for _, pm := range sc.placements {
		if pm.task.job == j && !pm.finished {
			sc.finishPlacement(pm)
		}
	}
}
