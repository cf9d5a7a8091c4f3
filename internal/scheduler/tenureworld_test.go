package scheduler

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/currantwinch/currantwinch/internal/events"
	"github.com/currantwinch/currantwinch/partition"
	"github.com/currantwinch/currantwinch/workload"
)

const (
	tenureStep  = 50 * time.Millisecond
	tenureLease = 2 * time.Second
	tenureSlot  = tenureLease / 4
	tenureUnits = 4 // daemons
)

var tenureNames = [tenureUnits]string{"a", "b", "c", "d"}

// commonWitnesses are those of all claims in most worlds. In the others the claims of a, b, c
// and d name ownWitnesses.
var (
	commonWitnesses = []string{"a", "b", "c"}
	ownWitnesses    = [tenureUnits][]string{{"a", "d"}, {"b", "c"}, {"b", "c"}, {"a", "d"}}
)

// tenureWorld runs real Cores of one partition in virtual time: four daemons, each a witness
// and possibly an owner, two servers and a log. It checks, at each start that a later owner
// sends, that the leases that earlier ones sent are over or the server has answered it.
type tenureWorld struct {
	t       *testing.T
	rng     *rand.Rand
	now     time.Time
	bounds  Bounds
	faults  tenureFaults
	harness *harness
	daemons [tenureUnits]tenureDaemon
	servers []*tenureServer
	owners  []*tenureOwner
	log     map[string]partition.Record
	calls   []tenureCall
	// ownWitnesses is set if the claims of different daemons name different witnesses.
	ownWitnesses bool
	// slow lets answers take up to that long.
	slow time.Duration
	// lossy loses some answers of servers.
	lossy bool
	// restarts is set if servers restart. They take calls that were meant for the instance before: what was sent
	// says nothing there, and only the runs are checked.
	restarts bool
	// submissions counts those after the first.
	submissions int
	// begun, if set, is called once a run has begun on a server.
	begun func(o *tenureOwner, v *tenureServer, order Order)
	// laterStarts counts the starts that owners after the first sent.
	laterStarts int
	trace       []string
	// breach is the first start, or removal of a server, while a lease of an earlier owner
	// lasts; besideLater is the first start while a later owner keeps a run of the task up.
	breach, besideLater string
}

type tenureDaemon struct {
	promised  uint64
	startedAt time.Time
	logAway   bool
	paused    bool
	cutServer [2]bool
	cutPeer   [tenureUnits]bool
}

type tenureServer struct {
	info   ServerInfo
	listed bool
	// rate is that of its clock.
	rate       float64
	token      uint64
	leaseUntil int64
	// renewedBy is the epoch of the owner that sent that lease.
	renewedBy uint64
	runs      map[runKey]uint64
	forbidden map[workload.TaskID]int
	ends      []RunEnd
	lastEnd   uint64
	startedMS int64
	// bornAt is when the instance started, if the server has restarted, and downUntil when
	// it does; late are the calls that were sent to it while it was down or cut off.
	bornAt, downUntil time.Time
	late              []tenureCall
	// sent is the latest lease deadline that each epoch's owner has sent, whether it
	// arrived or not, and told holds the epochs whose owner the server has answered.
	sent map[uint64]int64
	told map[uint64]bool
}

type tenureOwner struct {
	core    *Core
	epoch   uint64
	daemon  int
	running bool
	claim   workload.PartitionOwner
	stores  []Store
	// confirmedAt is the newest call to the log, and askedAt, promiseAt the last requests.
	confirmedAt, askedAt, promiseAt time.Time
}

// tenureCall is an order that leaves at its time, or an answer that arrives then.
type tenureCall struct {
	due    time.Time
	from   *tenureOwner
	server *tenureServer // nil for an answer
	action Action
	answer func(*Core)
}

func newTenureWorld(t *testing.T, seed uint64, ownWitnesses bool, faults tenureFaults) *tenureWorld {
	return newTenureWorldUnder(t, seed, ownWitnesses, faults, tenureLease)
}

// newTenureWorldUnder returns a world in which servers grant leases of up to maxLease.
func newTenureWorldUnder(t *testing.T, seed uint64, ownWitnesses bool, faults tenureFaults, maxLease time.Duration) *tenureWorld {
	w := &tenureWorld{
		t: t, ownWitnesses: ownWitnesses, rng: rand.New(rand.NewPCG(seed, 3)), now: time.Unix(1_700_000_000, 0), faults: faults, log: make(map[string]partition.Record),
		bounds:  Bounds{MaxLease: maxLease, RestartTime: worldRestartTime(maxLease), GangTimeout: 3 * time.Second, StatusRetention: 2 * time.Minute, ReuseAfter: 2 * time.Second},
		harness: newHarness(t, 2),
	}
	for i := range w.daemons {
		w.daemons[i].startedAt = w.now.Add(-time.Hour)
	}
	for _, info := range w.harness.servers {
		w.servers = append(w.servers, &tenureServer{
			info: info, listed: true, rate: 1, startedMS: 1000, runs: make(map[runKey]uint64), forbidden: make(map[workload.TaskID]int),
			sent: make(map[uint64]int64), told: make(map[uint64]bool),
		})
	}
	w.elect(0)
	w.run(10 * tenureStep)
	pair := oneTask(15000)
	pair.Count = 2
	sub := &workload.Submission{ID: id1, Queue: testQueue, Service: testService, Spec: "x", Steps: []workload.Step{pair}, Accepted: w.wall()}
	w.do(w.owners[0], func(c *Core) { c.Submit(sub, 0, func(Reply) {}) })
	w.run(10 * tenureStep)
	if len(w.servers[0].runs) == 0 {
		t.Fatal("no task runs on the first server")
	}
	return w
}

// worldRestartTime lets the attestations of a majority count for about a lease.
func worldRestartTime(maxLease time.Duration) time.Duration {
	return claimTime + restartMargin + takeoverWaitFor(maxLease) + tenureLease
}

func (w *tenureWorld) wall() int64 { return w.now.UnixMilli() }

func (w *tenureWorld) clock(v *tenureServer) int64 {
	if !v.bornAt.IsZero() {
		return 1 + int64(float64(w.now.Sub(v.bornAt).Milliseconds())*v.rate)
	}
	return 1_000_000 + int64(float64(w.now.UnixMilli()-1_700_000_000_000)*v.rate)
}

func (w *tenureWorld) list() (out []ServerInfo) {
	for _, v := range w.servers {
		if v.listed {
			out = append(out, v.info)
		}
	}
	return out
}

func (w *tenureWorld) head() uint64 { return uint64(len(w.owners)) }

// elect lets a daemon claim the partition, unless it owns it or does not reach the log.
func (w *tenureWorld) elect(d int) {
	if w.daemons[d].logAway || w.daemons[d].paused {
		return
	}
	for _, o := range w.owners {
		if o.running && o.daemon == d {
			return
		}
	}
	records := make([]partition.Record, 0, len(w.log))
	for _, r := range w.log {
		records = append(records, r)
	}
	witnesses := commonWitnesses
	if w.ownWitnesses {
		witnesses = ownWitnesses[d]
	}
	claim := nextClaim(records, tenureNames[d], w.bounds, witnesses)
	o := &tenureOwner{epoch: claim.Epoch, daemon: d, running: true, claim: claim, confirmedAt: w.now}
	r := ClaimRecord(claim)
	w.log[r.Key] = r
	o.core = NewCore(o.epoch, w.bounds, records, events.Discard(), NewMetrics(metrics.NewSet()), w.now, w.wall())
	o.core.faults = w.faults
	o.core.SetClaim(claim, w.now, w.wall())
	w.owners = append(w.owners, o)
	w.do(o, func(c *Core) {
		c.Configure(w.harness.config)
		c.SetServers(w.list())
		c.PollAll()
		c.ResumeHandovers()
		c.SetSharded(func(string) bool { return true })
	})
}

func (w *tenureWorld) do(o *tenureOwner, f func(c *Core)) {
	if !o.running {
		return
	}
	o.core.SetTime(w.now, w.wall())
	f(o.core)
	actions := o.core.Finish(true)
	if o.core.Fenced() {
		w.end(o)
		return
	}
	for _, a := range actions {
		switch a := a.(type) {
		case SendReply:
			a.Reply(a.Answer)
		case Store:
			o.stores = append(o.stores, a)
		case StartTask:
			w.checkStart(o, a)
			w.send(o, a.To, a, a.Order.LeaseDeadlineMS, a.Delay)
		case StopTask:
			w.send(o, a.To, a, 0, a.Delay)
		case PollServer:
			w.send(o, a.To, a, a.Request.LeaseDeadlineMS, a.Delay)
		}
	}
	w.store(o)
}

// store puts an owner's writes into the log, which refuses them after a later claim.
func (w *tenureWorld) store(o *tenureOwner) {
	for len(o.stores) > 0 && o.running && !w.daemons[o.daemon].logAway {
		if o.epoch < w.head() {
			w.end(o)
			return
		}
		next := o.stores[0]
		o.stores = o.stores[1:]
		for _, r := range next.Records {
			w.log[r.Key] = r
			if r.Value == nil {
				w.removed(o, r.Key)
				delete(w.log, r.Key)
			}
		}
		o.confirmedAt = w.now
		w.do(o, func(c *Core) {
			c.SetOwnershipConfirmed(w.now)
			c.WritesStored(next.WriteID)
		})
	}
}

// removed checks that an owner drops a server from the log only if no run of an earlier owner
// can be there. Later owners need not wait for leases that were sent before.
func (w *tenureWorld) removed(o *tenureOwner, key string) {
	for _, v := range w.servers {
		if recordOf(keyServer, v.info.ID, nil).Key != key {
			continue
		}
		w.checkLeases(o, v, "drops it from the log")
		for epoch := range v.sent {
			if epoch <= o.epoch {
				delete(v.sent, epoch)
			}
		}
	}
}

// checkLeases checks that no lease of an owner before o lasts on a server that has not
// answered o.
func (w *tenureWorld) checkLeases(o *tenureOwner, v *tenureServer, what string) {
	if w.restarts {
		return
	}
	for epoch, until := range v.sent {
		if left := until - w.clock(v); epoch < o.epoch && left > 0 && !v.told[o.epoch] {
			w.violate("owner %d %s while a lease that owner %d sent to %s lasts %d ms", o.epoch, what, epoch, v.info.ID, left)
		}
	}
}

func (w *tenureWorld) send(o *tenureOwner, to Instance, a Action, deadline int64, delay time.Duration) {
	for _, v := range w.servers {
		if v.info.ID == to.ID {
			v.sent[o.epoch] = max(v.sent[o.epoch], deadline)
			w.calls = append(w.calls, tenureCall{due: w.now.Add(delay), from: o, server: v, action: a})
		}
	}
}

// end ends an owner. What it has not sent yet is not sent.
func (w *tenureWorld) end(o *tenureOwner) {
	o.running = false
	w.calls = slices.DeleteFunc(w.calls, func(c tenureCall) bool { return c.from == o })
}

// checkStart checks the rule that tenures keep.
func (w *tenureWorld) checkStart(o *tenureOwner, a StartTask) {
	if o.epoch == 1 {
		return
	}
	w.laterStarts++
	for _, v := range w.servers {
		w.checkLeases(o, v, "starts "+a.Order.Task.String())
	}
}

func (w *tenureWorld) violate(format string, args ...any) {
	if w.breach == "" {
		w.breach = fmt.Sprintf(format, args...)
		w.note("%s", w.breach)
	}
}

func (w *tenureWorld) note(format string, args ...any) {
	at := w.now.Sub(time.Unix(1_700_000_000, 0))
	w.trace = append(w.trace, at.String()+" "+fmt.Sprintf(format, args...))
}

func (w *tenureWorld) run(d time.Duration) {
	for end := w.now.Add(d); w.now.Before(end) && w.breach == ""; {
		w.step()
	}
}

func (w *tenureWorld) step() {
	w.now = w.now.Add(tenureStep)
	for _, v := range w.servers {
		w.expire(v)
		w.restartIfDue(v)
	}
	w.deliver()
	for _, o := range w.owners {
		if o.running && !w.daemons[o.daemon].paused {
			w.evidence(o)
			w.promises(o)
			w.do(o, func(c *Core) { c.Tick() })
		}
	}
}

// delay is how long an answer takes.
func (w *tenureWorld) delay() time.Duration {
	if w.slow == 0 || w.rng.IntN(3) > 0 {
		return 0
	}
	return time.Duration(w.rng.Int64N(int64(w.slow)))
}

// reply passes an answer to an owner now, or later than newer ones.
func (w *tenureWorld) reply(o *tenureOwner, answer func(c *Core)) {
	if d := w.delay(); d > 0 || w.daemons[o.daemon].paused {
		w.calls = append(w.calls, tenureCall{due: w.now.Add(d), from: o, answer: answer})
		return
	}
	w.do(o, answer)
}

// evidence gathers evidence as an Engine does: calls to the log, and attestations.
func (w *tenureWorld) evidence(o *tenureOwner) {
	asked := w.now
	if !w.daemons[o.daemon].logAway && w.now.Sub(o.confirmedAt) >= tenureLease/confirmFraction {
		if o.epoch < w.head() {
			w.note("owner %d is fenced by the log", o.epoch)
			w.end(o)
			return
		}
		o.confirmedAt = w.now
		w.reply(o, func(c *Core) { c.SetOwnershipConfirmed(asked) })
	}
	if w.now.Sub(o.confirmedAt) < tenureLease/attestFraction || w.now.Sub(o.askedAt) < tenureLease/attestIntervalFraction {
		return
	}
	o.askedAt = w.now
	for _, name := range o.core.tenure.witnesses() {
		d := slices.Index(tenureNames[:], name)
		if !w.reaches(o.daemon, d) {
			continue
		}
		if w.daemons[d].promised > o.epoch && !w.faults.anyAnswer {
			w.note("owner %d hears of a later one from %s", o.epoch, name)
			w.end(o)
			return
		}
		up := w.now.Sub(w.daemons[d].startedAt)
		w.reply(o, func(c *Core) { c.AttestationReceived(name, asked, w.now, up) })
	}
}

func (w *tenureWorld) reaches(d, e int) bool {
	return !w.daemons[e].paused && (d == e || !w.daemons[d].cutPeer[e] && !w.daemons[e].cutPeer[d])
}

// promises asks for the promises of the daemons and the witnesses of earlier owners, while their
// leases may last. An earlier owner that runs there ends before the answer or, every other
// time, after it.
func (w *tenureWorld) promises(o *tenureOwner) {
	if len(o.claim.Prior) == 0 || o.core.PriorLeasesExpired() || w.now.Sub(o.promiseAt) < promiseInterval {
		return
	}
	o.promiseAt = w.now
	prior := o.claim.Prior
	if w.faults.forgetOwners {
		prior = prior[len(prior)-1:]
	}
	var asked []string
	for _, p := range prior {
		asked = union(asked, append(slices.Clone(p.Witnesses), p.Daemon))
	}
	for d, name := range tenureNames {
		if !slices.Contains(asked, name) || !w.reaches(o.daemon, d) {
			continue
		}
		w.daemons[d].promised = max(w.daemons[d].promised, o.epoch)
		stopped := true
		for _, earlier := range w.owners {
			if earlier.running && earlier.daemon == d && earlier.epoch < o.epoch {
				stopped = w.rng.IntN(2) == 0
				w.note("owner %d is told of owner %d, ended before the answer: %t", earlier.epoch, o.epoch, stopped)
				w.end(earlier)
			}
		}
		w.reply(o, func(c *Core) { c.PromiseReceived(name, stopped) })
	}
}
