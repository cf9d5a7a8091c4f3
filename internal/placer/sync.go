package placer

import (
	"context"
	"sort"
	"time"

	"github.com/currantwinch/currantwinch/cluster"
	"github.com/currantwinch/currantwinch/internal/roles"
	"github.com/currantwinch/currantwinch/verdict"
)

const (
	// busySyncInterval is the time between two syncs with an owner while jobs
	// wait or placements are in flight; idleSyncInterval is the time at rest.
	busySyncInterval = 250 * time.Millisecond
	idleSyncInterval = 2 * time.Second
	// roundSyncInterval is the time between two syncs while a team waits for a
	// round of syncs.
	roundSyncInterval = 20 * time.Millisecond
	// localSyncInterval is the time between two busy syncs with this daemon's
	// own racks.
	localSyncInterval = 50 * time.Millisecond
	// peerTimeout bounds a call to another daemon.
	peerTimeout = 2 * time.Second
	// resendDelay is the delay before a placement or termination without a
	// clear result is sent again.
	resendDelay = 250 * time.Millisecond
	// maxItemsPerCall bounds the items of one call.
	maxItemsPerCall = 256
)

// peer is the state of the calls to one racks' owner. At most one call of each
// kind is in flight.
type peer struct {
	daemon   string
	syncing  bool
	nextSync time.Time
	// answeredSeq is the number of the newest sync that was answered.
	answeredSeq     uint64
	placing         bool
	nextPlace       time.Time
	sequence        uint64
	terminating     bool
	nextTermination time.Time
	terminations    map[terminationKey]terminationItem
}

type terminationKey struct {
	rack   cluster.Share
	ref    TaskRef
	forget bool
}

func (sc *scheduler) peer(daemon string) *peer {
	pe, ok := sc.peers[daemon]
	if !ok {
		pe = &peer{daemon: daemon, terminations: make(map[terminationKey]terminationItem)}
		sc.peers[daemon] = pe
	}
	return pe
}

// racksByOwner groups the racks by the name of the daemon that owns them. The
// groups are cached until the view or the list of workers changes.
func (sc *scheduler) racksByOwner() map[string][]*rackSnapshot {
	view := sc.p.o.State.View()
	if sc.ownerCache.view == view && sc.ownerCache.workersRefreshedAt.Equal(sc.workersRefreshedAt) {
		return sc.ownerCache.racks
	}
	sc.ownerCache = rackOwnerCache{view: view, workersRefreshedAt: sc.workersRefreshedAt, racks: sc.groupRacksByOwner()}
	return sc.ownerCache.racks
}

// rackOwnerCache holds the racks by owner and the inputs that they were grouped
// from.
type rackOwnerCache struct {
	view               roles.View
	workersRefreshedAt time.Time
	racks              map[string][]*rackSnapshot
}

func (sc *scheduler) groupRacksByOwner() map[string][]*rackSnapshot {
	out := make(map[string][]*rackSnapshot)
	for share, r := range sc.racks {
		if d, ok := sc.p.o.Owners.Owner(share); ok {
			out[d.Name] = append(out[d.Name], r)
		}
	}
	return out
}

func (sc *scheduler) busy() bool {
	if sc.queue.Len() > 0 || len(sc.placements) > 0 || len(sc.unmatched) > 0 {
		return true
	}
	for _, hm := range sc.homes {
		if !hm.recovered {
			return true
		}
	}
	return sc.inFlight > 0
}

// startDueSyncs sends the syncs that are due.
func (sc *scheduler) startDueSyncs(now time.Time) {
	if len(sc.homes) == 0 {
		return
	}
	busy := sc.busy()
	for daemon, racks := range sc.racksByOwner() {
		pe := sc.peer(daemon)
		if pe.syncing || now.Before(pe.nextSync) {
			continue
		}
		pe.nextSync = now.Add(idleSyncInterval)
		if busy {
			pe.nextSync = now.Add(busySyncInterval)
		}
		if busy && daemon == sc.p.o.Self.Name {
			pe.nextSync = now.Add(localSyncInterval)
		}
		sc.startSync(pe, racks)
	}
}

func (sc *scheduler) startSync(pe *peer, racks []*rackSnapshot) {
	q := syncRequest{Backlogged: sc.queue.Counts().InsufficientCapacity > 0, PoisonJobs: sc.poisonJobs()}
	for _, hm := range sc.homes {
		q.Homes = append(q.Homes, homeTerm{hm.share, hm.term})
	}
	sort.Slice(q.Homes, func(i, j int) bool { return q.Homes[i].Share.Name < q.Homes[j].Share.Name })
	for _, r := range racks {
		v := rackVersion{Share: r.share, Term: r.term, BookVersion: r.bookVersion, TasksVersion: r.tasksVersion, Recheck: r.recheck}
		r.recheck = nil
		for share := range sc.homes {
			if !r.reportedHomes[share] {
				v.FullHomes = append(v.FullHomes, share)
			}
		}
		q.Racks = append(q.Racks, v)
	}
	digest := sc.digest(racks, q.Racks)
	pe.syncing = true
	sc.syncSeq++
	sent := sc.syncSeq
	sc.p.async(peerTimeout, func(ctx context.Context) {
		reply, err := sc.p.callSync(ctx, pe.daemon, q, digest)
		sc.executor.post(func() { sc.finishSync(pe, sent, q, reply, err) })
	})
}

// callSync first compares digests and sends the full request only if they
// differ. A zero digest sends the full request at once.
func (p *Placer) callSync(ctx context.Context, daemon string, q syncRequest, digest uint64) (syncReply, error) {
	if digest != 0 {
		short := q
		short.Racks, short.Digest = nil, digest
		reply, err := call(ctx, p, daemon, methodSync, p.allocator.serveSync, short)
		if err != nil || reply.Same {
			return reply, err
		}
	}
	return call(ctx, p, daemon, methodSync, p.allocator.serveSync, q)
}

func (sc *scheduler) finishSync(pe *peer, sent uint64, q syncRequest, reply syncReply, err error) {
	now := sc.p.o.Now()
	pe.syncing = false
	if err != nil {
		return
	}
	pe.answeredSeq = sent
	asked := make(map[cluster.Share]term, len(q.Homes))
	for _, hm := range q.Homes {
		asked[hm.Share] = hm.Term
	}
	if reply.Same {
		sc.confirmRunning(q.Racks, sent, now)
	}
	for _, v := range reply.Racks {
		if r, ok := sc.racks[v.Share]; ok && !v.Term.before(r.term) {
			sc.applyDelta(r, v, sent, asked, now)
		}
	}
	for _, hm := range sc.homes {
		sc.completeRecovery(hm, now)
	}
	sc.updateRound(now)
}

// applyDelta applies the report of one rack's owner, for the homes and terms
// that were asked for.
func (sc *scheduler) applyDelta(r *rackSnapshot, v rackDelta, sent uint64, asked map[cluster.Share]term, now time.Time) {
	if v.Term != r.term {
		r.term = v.Term
		r.reportedHomes = make(map[cluster.Share]bool)
		r.resetVersions()
	}
	r.bookVersion, r.tasksVersion, r.complete = v.BookVersion, v.TasksVersion, v.Complete
	for _, w := range v.Workers {
		sc.applyWorker(r, w)
	}
	for _, t := range v.Teams {
		sc.applyTeam(r, t)
	}
	reported := make(map[TaskRef]bool, len(v.Statuses))
	for _, s := range v.Statuses {
		reported[s.Task] = true
		if hm, ok := sc.homes[keyShare(s.Task)]; ok && asked[hm.share] == hm.term {
			sc.applyStatus(r, s, now)
		}
	}
	if v.Complete {
		sc.applyComplete(r, reported, sent, asked, now)
	}
	for _, ref := range v.Missing {
		if hm, ok := sc.homes[keyShare(ref)]; ok && asked[hm.share] == hm.term {
			sc.handleMissing(r, ref, sent, now)
		}
	}
}

// applyComplete records that homes have received all of their attempts on a
// rack, and ends the attempts that the rack's new owner does not know. An
// attempt that was accepted after the sync was sent may be missing and is kept.
func (sc *scheduler) applyComplete(r *rackSnapshot, reported map[TaskRef]bool, sent uint64, asked map[cluster.Share]term, now time.Time) {
	reporting := make(map[*home]bool)
	for share, since := range asked {
		hm, ok := sc.homes[share]
		if !ok || hm.term != since || r.reportedHomes[share] {
			continue
		}
		r.reportedHomes[share], hm.completeRacks[r.share] = true, true
		reporting[hm] = true
	}
	if len(reporting) == 0 {
		return
	}
	for _, j := range sc.jobs {
		if !reporting[j.home] {
			continue
		}
		for _, t := range j.tasks {
			if t.rack == r.share && t.inReportsOf(sent) && !reported[t.ref()] {
				sc.handleLost(t, taskStatus{Reason: "not_in_inventory"}, now)
			}
		}
	}
}

// resetVersions clears the known versions, because versions restart with a new
// term.
func (r *rackSnapshot) resetVersions() {
	for _, w := range r.workers {
		w.view.Version = 0
	}
	for team, u := range r.teams {
		u.Version = 0
		r.teams[team] = u
	}
}

// terminateAttempt asks a rack's owner to stop or forget an attempt.
func (sc *scheduler) terminateAttempt(rack cluster.Share, hm *home, ref TaskRef, forget bool) {
	d, ok := sc.p.o.Owners.Owner(rack)
	if !ok {
		// The next owner reports the attempt again.
		return
	}
	sc.queueTermination(d.Name, terminationItem{Rack: rack, Home: hm.share, HomeTerm: hm.term, Task: ref, Forget: forget})
}

func (sc *scheduler) queueTermination(daemon string, item terminationItem) {
	sc.peer(daemon).terminations[terminationKey{item.Rack, item.Task, item.Forget}] = item
}

func (sc *scheduler) sendTerminations(now time.Time) {
	for _, pe := range sc.peers {
		if pe.terminating || len(pe.terminations) == 0 || now.Before(pe.nextTermination) {
			continue
		}
		var q terminationRequest
		for _, item := range pe.terminations {
			hm, ok := sc.homes[item.Home]
			if !ok || hm.term != item.HomeTerm {
				delete(pe.terminations, terminationKey{item.Rack, item.Task, item.Forget})
				continue
			}
			if len(q.Items) < maxItemsPerCall && sc.mayAct(hm) {
				q.Items = append(q.Items, item)
			}
		}
		if len(q.Items) > 0 {
			sc.sendTerminationRequest(pe, q)
		}
	}
}

func (sc *scheduler) sendTerminationRequest(pe *peer, q terminationRequest) {
	pe.terminating = true
	sc.p.async(peerTimeout, func(ctx context.Context) {
		reply, err := call(ctx, sc.p, pe.daemon, methodTerminate, sc.p.allocator.serveTerminate, q)
		sc.executor.post(func() { sc.finishTerminations(pe, q, reply, err) })
	})
}

func (sc *scheduler) finishTerminations(pe *peer, q terminationRequest, reply terminationReply, err error) {
	pe.terminating = false
	pe.nextTermination = sc.p.o.Now().Add(resendDelay)
	if err != nil {
		return
	}
	retry := make(map[int]bool, len(reply.Retry))
	for _, i := range reply.Retry {
		retry[i] = true
	}
	for i, item := range q.Items {
		key := terminationKey{item.Rack, item.Task, item.Forget}
		if !retry[i] {
			delete(pe.terminations, key)
			continue
		}
		// The rack may have another owner now: send the item there.
		if d, ok := sc.p.o.Owners.Owner(item.Rack); !ok || d.Name != pe.daemon {
			delete(pe.terminations, key)
			if ok {
				sc.queueTermination(d.Name, item)
			}
		}
	}
	if len(reply.Retry) == 0 {
		pe.nextTermination = time.Time{}
	}
}

// applyWorker applies a worker's view unless a newer one is known, and wakes
// jobs that may fit on the worker.
func (sc *scheduler) applyWorker(r *rackSnapshot, v workerView) {
	w, ok := r.workers[v.Name]
	if !ok {
		w = &workerSnapshot{}
		r.workers[v.Name] = w
	}
	if v.Version < w.view.Version {
		return
	}
	quarantined := v.Closed == closedQuarantined && w.view.Closed != closedQuarantined
	w.view = v
	sc.updateNode(w)
	sc.recordBackfillWorker(w, sc.p.o.Now())
	sc.wakeNominatedJob(w)
	if quarantined {
		sc.discountWorker(v.Name, sc.p.o.Now())
	}
	if v.Closed == "" {
		sc.queue.WakeForCapacity(v.Free.Sub(w.inFlight), v.AcceleratorKind, v.Location.Region)
	}
}

// applyTeam applies a team's usage in one rack unless a newer one is known.
func (sc *scheduler) applyTeam(r *rackSnapshot, u teamUsage) {
	old := r.teams[u.Team]
	if u.Version < old.Version {
		return
	}
	r.teams[u.Team] = u
	sc.chargeTeam(u.Team, u.Used.Sub(old.Used))
}

// chargeTeam changes a team's usage and updates the rank of its jobs in the
// queue.
func (sc *scheduler) chargeTeam(team string, by cluster.Resources) {
	if by.IsZero() {
		return
	}
	sc.ledger.Charge(team, by)
	sc.queue.UpdateRank(team)
	if by.CPU < 0 || by.Memory < 0 || by.Accelerators < 0 {
		sc.queue.WakeTeam(team)
	}
}

func mayHaveRun(err error) bool { return verdict.Of(err) != verdict.NotRun }
