package placer_test

import (
	"context"
	"encoding/json"
	"fmt"
	"sort"
	"sync"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/currantwinch/currantwinch/cluster"
	"github.com/currantwinch/currantwinch/document"
	"github.com/currantwinch/currantwinch/duty"
	"github.com/currantwinch/currantwinch/internal/events"
	"github.com/currantwinch/currantwinch/internal/placer"
	"github.com/currantwinch/currantwinch/internal/roles"
	"github.com/currantwinch/currantwinch/internal/standin/workerstandin"
	"github.com/currantwinch/currantwinch/logclient"
	"github.com/currantwinch/currantwinch/record"
	"github.com/currantwinch/currantwinch/verdict"
)

const gib = int64(1) << 30

// cell runs daemons with fakes of everything but placement.
type cell struct {
	t       *testing.T
	workers *workerstandin.Workers
	vms     []cluster.VM

	mu      sync.Mutex
	view    *view
	changed chan struct{}
	owners  map[cluster.Share]*ownership
	daemons map[string]*daemon
	// partitions holds the pairs of daemons that cannot reach each other.
	partitions map[[2]string]bool
	// leasesFrozenUntil holds, by daemon, when its ownership leases end while
	// they are not renewed.
	leasesFrozenUntil map[string]time.Time
	// submitted counts the jobs submitted by submitStream.
	submitted int
	// startDelay delays start requests on their way to the workers.
	startDelay time.Duration
	// repliesToLose is how many of the next calls between daemons lose their
	// reply after taking effect.
	repliesToLose int
}

type ownership struct {
	daemon string
	epoch  uint64
	since  time.Time
}

type daemon struct {
	*placer.Placer
	c        *cell
	name     string
	duties   *duty.Group
	metrics  *metrics.Set
	handlers map[string]roles.PeerHandler
	stopped  bool
}

func newCell(t *testing.T, daemons int, vms []cluster.VM, options workerstandin.Options) *cell {
	options.VMs, options.Now = vms, time.Now
	c := &cell{
		t: t, vms: vms, workers: workerstandin.New(options), changed: make(chan struct{}),
		view:   &view{docs: map[string]roles.DocumentEntry{}, jobs: map[string]roles.JobEntry{}},
		owners: make(map[cluster.Share]*ownership), daemons: make(map[string]*daemon), partitions: make(map[[2]string]bool),
		leasesFrozenUntil: make(map[string]time.Time),
	}
	for i := range daemons {
		c.start(fmt.Sprint("d", i))
	}
	i := 0
	for _, share := range c.shares() {
		c.assign(share, fmt.Sprint("d", i%daemons))
		i++
	}
	return c
}

func workersInRacks(n int, capacity cluster.Resources) []cluster.VM {
	vms := make([]cluster.VM, n)
	for i := range vms {
		vms[i] = cluster.VM{
			Name: fmt.Sprintf("w%02d", i), Role: cluster.RoleWorker, Capacity: capacity,
			Location: cluster.Location{Region: fmt.Sprint("r", i/8%2), FailureDomain: fmt.Sprint("fd", i/8%4), Rack: fmt.Sprint("k", i/8)},
		}
	}
	return vms
}

func (c *cell) shares() []cluster.Share { return sharesOf(c.vms) }

// sharesOf returns the shares of a cell with the given workers.
func sharesOf(vms []cluster.VM) []cluster.Share {
	seen := make(map[cluster.Share]bool)
	var out []cluster.Share
	for _, vm := range vms {
		if s := cluster.RackShare(vm); !seen[s] {
			seen[s] = true
			out = append(out, s)
		}
	}
	for i := range cluster.KeyShareCount {
		out = append(out, cluster.Share{Kind: cluster.ShareKey, Name: fmt.Sprint(i)})
	}
	return out
}

// start runs a daemon, with a new incarnation if it ran before.
func (c *cell) start(name string) *daemon {
	d := &daemon{c: c, name: name, duties: duty.New(time.Now), metrics: metrics.NewSet(), handlers: make(map[string]roles.PeerHandler)}
	d.Placer = placer.New(placer.Options{
		Base: roles.Base{
			Self: cluster.Daemon{Name: name, Incarnation: fmt.Sprint(name, "@", time.Now().UnixNano())},
			Now:  time.Now, Seed: uint64(len(c.daemons) + 1), Duties: d.duties,
			Events: events.Discard(), Metrics: d.metrics,
		},
		State: c, Owners: d, Members: d, Peers: d, Appender: c, Workers: delayedStarts{c},
	})
	c.mu.Lock()
	c.daemons[name] = d
	c.mu.Unlock()
	if err := d.Start(context.Background()); err != nil {
		c.t.Fatal(err)
	}
	return d
}

// stop stops all daemons and checks that none of their duties failed.
func (c *cell) stop() {
	for _, d := range c.daemons {
		d.kill()
	}
}

func (d *daemon) kill() {
	if d.stopped {
		return
	}
	d.c.mu.Lock()
	d.stopped = true
	d.c.mu.Unlock()
	if err := d.duties.Stop(context.Background()); err != nil {
		d.c.t.Error(err)
	}
	if err := d.duties.Err(); err != nil {
		d.c.t.Error(err)
	}
	_ = d.Placer.Stop(context.Background())
}

// assign makes a daemon the owner of a share from now on, under a new epoch.
func (c *cell) assign(share cluster.Share, daemon string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	epoch := uint64(1)
	if old, ok := c.owners[share]; ok {
		epoch = old.epoch + 1
	}
	c.owners[share] = &ownership{daemon: daemon, epoch: epoch, since: time.Now()}
}

// takeOver assigns everything that one daemon owns to another.
func (c *cell) takeOver(from, to string) {
	for _, share := range c.shares() {
		if c.owners[share].daemon == from {
			c.assign(share, to)
		}
	}
}

func (c *cell) checkInvariants() {
	c.t.Helper()
	for _, b := range c.workers.Violations() {
		c.t.Errorf("at %v: %s", b.At, b.Description)
	}
	for _, d := range c.daemons {
		if d.stopped {
			continue
		}
		for _, r := range d.Dump().(placer.Dump).Racks {
			if r.Inconsistency != "" {
				c.t.Errorf("%s: %s", r.Share, r.Inconsistency)
			}
		}
	}
}

// Fake of roles.Owners.

const leaseDuration = 3 * time.Second

// expireLeases lets a daemon's ownership leases expire and restores them under
// the same epochs after gap.
func (c *cell) expireLeases(daemon string, gap time.Duration) {
	c.mu.Lock()
	c.leasesFrozenUntil[daemon] = time.Now().Add(leaseDuration)
	c.mu.Unlock()
	time.Sleep(leaseDuration + gap)
	c.mu.Lock()
	delete(c.leasesFrozenUntil, daemon)
	c.mu.Unlock()
}

func (d *daemon) Lease(share cluster.Share) (roles.Lease, bool) {
	d.c.mu.Lock()
	defer d.c.mu.Unlock()
	return d.leaseLocked(share)
}

func (d *daemon) leaseLocked(share cluster.Share) (roles.Lease, bool) {
	o, ok := d.c.owners[share]
	if !ok || o.daemon != d.name || d.stopped {
		return roles.Lease{}, false
	}
	until := time.Now().Add(leaseDuration)
	if end, ok := d.c.leasesFrozenUntil[d.name]; ok {
		until = end
	}
	return roles.Lease{Share: share, Epoch: o.epoch, EffectiveSince: o.since, Until: until}, time.Now().Before(until)
}

func (d *daemon) LeaseUntil(share cluster.Share, limit time.Time) (roles.Lease, bool) {
	lease, ok := d.Lease(share)
	if limit.Before(lease.Until) {
		lease.Until = limit
	}
	return lease, ok
}

func (d *daemon) Leases() []roles.Lease {
	d.c.mu.Lock()
	defer d.c.mu.Unlock()
	var out []roles.Lease
	for share := range d.c.owners {
		if lease, ok := d.leaseLocked(share); ok {
			out = append(out, lease)
		}
	}
	return out
}

func (d *daemon) Owner(share cluster.Share) (cluster.Daemon, bool) {
	d.c.mu.Lock()
	defer d.c.mu.Unlock()
	o, ok := d.c.owners[share]
	if !ok {
		return cluster.Daemon{}, false
	}
	return cluster.Daemon{Name: o.daemon}, true
}

// Fake of roles.Members.

func (d *daemon) Self() cluster.Daemon   { return cluster.Daemon{Name: d.name} }
func (d *daemon) Live() []roles.Member   { return nil }
func (d *daemon) VMs() []cluster.VM      { d.c.mu.Lock(); defer d.c.mu.Unlock(); return d.c.vms }
func (c *cell) setVMs(vms []cluster.VM)  { c.mu.Lock(); defer c.mu.Unlock(); c.vms = vms }
func (c *cell) Health() logclient.Health { return logclient.HealthFresh }

// Fake of roles.Peers.

func (d *daemon) Handle(method string, h roles.PeerHandler) { d.handlers[method] = h }

const linkDelay = 12 * time.Millisecond

func (d *daemon) Call(ctx context.Context, to, method string, params, result any) error {
	d.c.mu.Lock()
	peer, ok := d.c.daemons[to]
	down := !ok || peer.stopped || d.c.partitions[[2]string{d.name, to}] || d.c.partitions[[2]string{to, d.name}]
	lost := d.c.repliesToLose > 0
	if lost {
		d.c.repliesToLose--
	}
	d.c.mu.Unlock()
	time.Sleep(linkDelay)
	if down {
		return verdict.New(verdict.NotRun, "peer_unreachable", "no connection")
	}
	data, err := json.Marshal(params)
	if err != nil {
		return verdict.Wrap(err, verdict.NotRun, "encode")
	}
	out, err := peer.handlers[method](ctx, d.name, data)
	time.Sleep(linkDelay)
	if lost {
		return verdict.New(verdict.MayHaveRun, "lost", "reply lost")
	}
	if err != nil {
		return err
	}
	data, _ = json.Marshal(out)
	return json.Unmarshal(data, result)
}

// Fakes of roles.StateReader and roles.Appender.

type view struct {
	offset uint64
	docs   map[string]roles.DocumentEntry
	jobs   map[string]roles.JobEntry
}

func (c *cell) View() roles.View         { c.mu.Lock(); defer c.mu.Unlock(); return c.view }
func (c *cell) Changed() <-chan struct{} { c.mu.Lock(); defer c.mu.Unlock(); return c.changed }

// change publishes a new view.
func (c *cell) change(f func(v *view)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	next := &view{offset: c.view.offset + 1, docs: c.view.docs, jobs: make(map[string]roles.JobEntry, len(c.view.jobs))}
	for id, j := range c.view.jobs {
		next.jobs[id] = j
	}
	f(next)
	c.view = next
	close(c.changed)
	c.changed = make(chan struct{})
}

func (c *cell) submit(id, team string, w document.Workload) { c.submitRevision(id, team, w, 0) }

// submitRevision submits a workload under a revision in one change, so that no
// task can start under another.
func (c *cell) submitRevision(id, team string, w document.Workload, revision uint64) {
	c.change(func(v *view) {
		v.jobs[id] = roles.JobEntry{ID: id, Service: team + "-service", Team: team, Workload: w, Revision: revision, Offset: v.offset, Time: time.Now()}
	})
}

func (c *cell) cancel(id string) { c.end(id, roles.JobCancelled, nil) }

func (c *cell) end(id string, phase roles.JobPhase, done *record.Done) {
	c.change(func(v *view) { v.end(id, phase, done) })
}

func (v *view) end(id string, phase roles.JobPhase, done *record.Done) {
	j := v.jobs[id]
	if j.Phase == roles.JobAccepted {
		j.Phase, j.Done = phase, done
		v.jobs[id] = j
	}
}

func (c *cell) setQuota(team string, q document.Quota) {
	c.change(func(v *view) {
		docs := map[string]roles.DocumentEntry{}
		for s, d := range v.docs {
			docs[s] = d
		}
		docs[team] = roles.DocumentEntry{Team: team, Document: &document.Document{Service: team, Team: team, Quota: q}}
		v.docs = docs
	})
}

func (c *cell) Append(_ context.Context, _ logclient.Credential, records ...record.Record) (uint64, error) {
	time.Sleep(20 * time.Millisecond)
	c.change(func(v *view) {
		for _, r := range records {
			v.end(r.Done.JobID, roles.JobDone, r.Done)
		}
	})
	return 0, nil
}

func (c *cell) job(id string) roles.JobEntry {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.view.jobs[id]
}

func (v *view) Offset() uint64 { return v.offset }
func (v *view) Documents() (out []roles.DocumentEntry) {
	for _, d := range v.docs {
		out = append(out, d)
	}
	return out
}
func (v *view) Job(id string) (roles.JobEntry, bool) { j, ok := v.jobs[id]; return j, ok }
func (v *view) OpenJobs(share cluster.Share) (out []roles.JobEntry) {
	for id, j := range v.jobs {
		if j.Phase == roles.JobAccepted && cluster.KeyShare(id) == share {
			out = append(out, j)
		}
	}
	sort.Slice(out, func(i, k int) bool { return out[i].ID < out[k].ID })
	return out
}
func (v *view) Document(string) (roles.DocumentEntry, bool)      { return roles.DocumentEntry{}, false }
func (v *view) History(string) []roles.Publication               { return nil }
func (v *view) Jobs(string, int) []roles.JobEntry                { return nil }
func (v *view) Share(cluster.Share) (e roles.ShareEntry, o bool) { return e, o }
func (v *view) Shares() []roles.ShareEntry                       { return nil }
func (v *view) Daemons() []cluster.Daemon                        { return nil }
func (v *view) Bill(string) (b record.Bill, o bool)              { return b, o }
func (v *view) Outcome(string) (o roles.Outcome, ok bool)        { return o, ok }
