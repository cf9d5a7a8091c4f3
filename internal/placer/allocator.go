package placer

import (
	"context"
	"time"

	"github.com/currantwinch/currantwinch/cluster"
	"github.com/currantwinch/currantwinch/duty"
	"github.com/currantwinch/currantwinch/internal/roles"
)

const (
	// maxTurnInterval is the longest time between two iterations of a duty's
	// loop.
	maxTurnInterval = 250 * time.Millisecond
	// backlogPollDuration is how long after a sync with Backlogged set the
	// owner polls its workers at backlogPollInterval.
	backlogPollDuration = 3 * time.Second
	// housekeepingInterval is how often the list of workers is read and
	// periodic checks run.
	housekeepingInterval = time.Second
)

// allocator is the duty that owns the allocation state of this daemon's racks.
// All changes to a rack go through its executor, one at a time.
type allocator struct {
	p        *Placer
	executor *executor
	racks    map[cluster.Share]*rack
	// fences holds the latest term announced for each home, the key share
	// that a job belongs to; requests of earlier terms are refused.
	fences map[cluster.Share]term
	// activations counts the racks acquired since the process started.
	activations uint64
	// lastSequences holds the sequence number of the last place request by
	// sender incarnation.
	lastSequences      map[string]uint64
	backlogUntil       time.Time
	workersRefreshedAt time.Time
	workerList         workerList
	racksRefreshedAt   time.Time
}

func newAllocator(p *Placer) *allocator {
	return &allocator{
		p: p, executor: newExecutor("placer.racks", p.o.Duties),
		racks:         make(map[cluster.Share]*rack),
		fences:        make(map[cluster.Share]term),
		lastSequences: make(map[string]uint64),
	}
}

func (al *allocator) run(ctx context.Context, heartbeat duty.Heartbeat) error {
	timer := time.NewTimer(firstTurnDelay)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case f := <-al.executor.steps.C():
			al.executor.drain(f)
		case <-timer.C:
		}
		heartbeat()
		timer.Reset(al.turn(al.p.o.Now()))
	}
}

// turn acquires and releases racks as this daemon's ownership leases change,
// starts due polls, and returns the longest time until the next call.
func (al *allocator) turn(now time.Time) time.Duration {
	if now.Sub(al.racksRefreshedAt) >= leaseRefreshInterval {
		al.racksRefreshedAt = now
		al.refreshRacks()
	}
	al.refreshWorkers(now)
	wait := maxTurnInterval
	for _, r := range al.racks {
		r.expire(now)
		wait = min(wait, r.startDuePolls(now))
	}
	return wait
}

// refreshRacks drops the racks whose ownership has ended and adds those that
// this daemon has acquired.
func (al *allocator) refreshRacks() {
	leases := make(map[cluster.Share]roles.Lease)
	for _, lease := range al.p.o.Owners.Leases() {
		if lease.Share.Kind == cluster.ShareRack {
			leases[lease.Share] = lease
		}
	}
	for share, r := range al.racks {
		if lease, ok := leases[share]; !ok || lease.Epoch != r.term.Epoch {
			r.fenced.Store(true)
			delete(al.racks, share)
		}
	}
	// The clock is read after the ownership leases and after the polls of earlier
	// terms were fenced off, since newRack waits for the leases that were granted
	// until then. The daemon may be paused at any point before.
	now := al.p.o.Now()
	for share, lease := range leases {
		if _, ok := al.racks[share]; !ok {
			al.racks[share] = newRack(al, lease, now)
			al.workersRefreshedAt = time.Time{}
		}
	}
}

// refreshWorkers applies the list of workers. A rack that is not complete also
// polls the workers that the list left out a short time ago: they may run tasks
// that an earlier owner started.
func (al *allocator) refreshWorkers(now time.Time) {
	if now.Sub(al.workersRefreshedAt) < housekeepingInterval {
		return
	}
	al.workersRefreshedAt = now
	al.workerList.update(al.p.o.Members.VMs(), now)
	listed := make(map[string]bool)
	for name, w := range al.workerList.workers {
		r, ok := al.racks[cluster.RackShare(w.vm)]
		if !ok {
			continue
		}
		listed[name] = al.workerList.listed(w)
		if _, known := r.workers[name]; listed[name] || !known && !r.complete {
			r.putWorker(w.vm, now)
		}
	}
	for _, r := range al.racks {
		r.removeUnlisted(listed, now)
	}
}

// owned returns a rack if this daemon holds its ownership lease under the
// rack's epoch.
func (al *allocator) owned(share cluster.Share) (*rack, roles.Lease, bool) {
	r, ok := al.racks[share]
	if !ok {
		return nil, roles.Lease{}, false
	}
	lease, ok := al.p.o.Owners.Lease(share)
	if !ok || lease.Epoch != r.term.Epoch {
		return nil, roles.Lease{}, false
	}
	return r, lease, true
}

// fence records a home's term. It returns false if a later term of that home
// has been announced.
func (al *allocator) fence(home cluster.Share, at term) bool {
	if at.before(al.fences[home]) {
		return false
	}
	al.fences[home] = at
	return true
}

func (al *allocator) serveSync(ctx context.Context, q syncRequest) (syncReply, error) {
	return query(ctx, al.executor, func() syncReply { return al.sync(q, al.p.o.Now()) })
}

func (al *allocator) sync(q syncRequest, now time.Time) syncReply {
	current := make(map[cluster.Share]bool)
	for _, h := range q.Homes {
		current[h.Share] = al.fence(h.Share, h.Term)
	}
	if q.Backlogged {
		al.backlogUntil = now.Add(backlogPollDuration)
	}
	if len(q.PoisonJobs) > 0 {
		al.discountJobs(q.PoisonJobs, now)
	}
	if q.Digest != 0 {
		return syncReply{Same: q.Digest == al.digest(current)}
	}
	var reply syncReply
	for _, v := range q.Racks {
		if r, _, ok := al.owned(v.Share); ok {
			reply.Racks = append(reply.Racks, r.delta(v, current))
		}
	}
	return reply
}

func (al *allocator) servePlace(ctx context.Context, q placeRequest) (placeReply, error) {
	return query(ctx, al.executor, func() placeReply { return al.place(q, al.p.o.Now()) })
}

func (al *allocator) place(q placeRequest, now time.Time) placeReply {
	reply := placeReply{Results: make([]placeResult, len(q.Items))}
	if q.Sequence <= al.lastSequences[q.Incarnation] {
		for i := range reply.Results {
			reply.Results[i] = placeResult{Refused: refusedSuperseded, Indeterminate: true}
		}
		return reply
	}
	al.lastSequences[q.Incarnation] = q.Sequence
	changes := newChangeSet()
	for i, item := range q.Items {
		reply.Results[i] = al.placeItem(item, now)
		if w := reply.Results[i].Worker; w != "" && w != item.Worker {
			changes.add(al.racks[item.Rack], item)
			item.Worker = w
		}
		changes.add(al.racks[item.Rack], item)
	}
	reply.Workers, reply.Teams = changes.views()
	return reply
}

func (al *allocator) placeItem(item placeItem, now time.Time) placeResult {
	r, _, ok := al.owned(item.Rack)
	if !ok || r.term != item.RackTerm {
		return placeResult{Refused: refusedNotOwner, Indeterminate: true}
	}
	if !al.fence(item.Home, item.HomeTerm) {
		return placeResult{Refused: refusedFenced}
	}
	return r.place(item, now)
}

func (al *allocator) serveTerminate(ctx context.Context, q terminationRequest) (terminationReply, error) {
	return query(ctx, al.executor, func() terminationReply { return al.terminate(q, al.p.o.Now()) })
}

func (al *allocator) terminate(q terminationRequest, now time.Time) terminationReply {
	var reply terminationReply
	for i, item := range q.Items {
		r, _, ok := al.owned(item.Rack)
		if !ok || !al.fence(item.Home, item.HomeTerm) || !r.terminate(item, now) {
			reply.Retry = append(reply.Retry, i)
		}
	}
	return reply
}

// changeSet collects the workers and teams that a place request changed, in
// order, for the reply.
type changeSet struct {
	workers map[string]*rack
	teams   map[string]*rack
	order   []func() (*workerView, *teamUsage)
}

func newChangeSet() *changeSet {
	return &changeSet{workers: make(map[string]*rack), teams: make(map[string]*rack)}
}

func (c *changeSet) add(r *rack, item placeItem) {
	if r == nil {
		return
	}
	if c.workers[item.Worker] == nil {
		c.workers[item.Worker] = r
		c.order = append(c.order, func() (*workerView, *teamUsage) { return r.workerView(item.Worker), nil })
	}
	team := item.Labels.Team
	if team != "" && c.teams[r.share.Name+"/"+team] == nil {
		c.teams[r.share.Name+"/"+team] = r
		c.order = append(c.order, func() (*workerView, *teamUsage) { return nil, r.teamUsage(team) })
	}
}

func (c *changeSet) views() (workers []workerView, teams []teamUsage) {
	for _, f := range c.order {
		w, u := f()
		if w != nil {
			workers = append(workers, *w)
		}
		if u != nil {
			teams = append(teams, *u)
		}
	}
	return workers, teams
}
