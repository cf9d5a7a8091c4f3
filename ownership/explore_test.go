package ownership

import (
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"testing"

	"github.com/cespare/xxhash/v2"
)

// explorer visits every world that can be reached within the budget.
type explorer struct {
	protocol Protocol
	// listErrs lets the platform's list drop a daemon that still runs.
	listErrs bool
	seen     map[uint64]struct{}
	stack    []*world
	buffer   []byte
	// random shuffles the events that follow one world; nil keeps their order.
	random *rand.Rand
	// limit bounds the worlds visited; zero is no bound.
	limit  int
	breach string
	trace  string
	// acted counts the worlds in which a successor of the first holder acts.
	acted int
}

// push takes a world after one event, unless it was seen before.
func (x *explorer) push(w *world, ev event) {
	if x.breach != "" {
		return
	}
	w.path = &step{w.path, ev}
	if breach := w.act(x.protocol); breach != "" {
		x.breach, x.trace = breach, w.trace()
		return
	}
	x.buffer = w.key(x.buffer[:0])
	key := xxhash.Sum64(x.buffer)
	if _, ok := x.seen[key]; ok {
		return
	}
	x.seen[key] = struct{}{}
	for i := range w.d {
		if _, ok := x.protocol.Lease(w.d[i].part, w.clock(i)); ok && w.d[i].alive && w.d[i].part.Tenure.Epoch > 1 {
			x.acted++
			break
		}
	}
	x.stack = append(x.stack, w)
}

func (x *explorer) run(first *world) {
	x.seen = make(map[uint64]struct{})
	x.push(first.clone(), event{name: "start"})
	for len(x.stack) > 0 && x.breach == "" && (x.limit == 0 || len(x.seen) < x.limit) {
		w := x.stack[len(x.stack)-1]
		x.stack = x.stack[:len(x.stack)-1]
		x.expand(w)
	}
}

func (x *explorer) expand(w *world) {
	before := len(x.stack)
	x.passTime(w)
	x.deliverLate(w)
	x.fail(w)
	for i := range w.d {
		if w.d[i].alive {
			x.daemon(w, i)
		}
	}
	if x.random != nil {
		next := x.stack[before:]
		x.random.Shuffle(len(next), func(i, j int) { next[i], next[j] = next[j], next[i] })
	}
}

func (x *explorer) passTime(w *world) {
	if w.left.ticks == 0 {
		return
	}
	c := w.clone()
	c.left.ticks--
	c.now += tick
	x.push(c, event{name: "tick"})
	for i := range w.d {
		if w.left.drifts == 0 || !w.d[i].alive {
			continue
		}
		c := w.clone()
		c.left.ticks--
		c.left.drifts--
		c.now += tick
		c.d[i].lost++
		x.push(c, event{name: "tick lost by the clock", daemon: w.d[i].name})
	}
}

func (x *explorer) deliverLate(w *world) {
	for k, m := range w.mail {
		c := w.clone()
		c.mail = slices.Delete(c.mail, k, k+1)
		for i := range c.d {
			if c.d[i].name == m.to && c.d[i].alive {
				c.deliver(x.protocol, i, m)
			}
		}
		x.push(c, event{"late answer", m.to, m.witness, int64(m.dated)})
	}
	for k, r := range w.flight {
		c := w.clone()
		c.flight = slices.Delete(c.flight, k, k+1)
		c.land(r)
		x.push(c, event{"late append", r.entry.Holder, r.name, int64(r.entry.Epoch)})
	}
}

func (x *explorer) fail(w *world) {
	for i := range w.d {
		x.crash(w, i)
		if w.left.outages > 0 {
			c := w.clone()
			c.left.outages--
			c.noLog[i] = !c.noLog[i]
			x.push(c, event{name: "log lost or found", daemon: w.d[i].name})
		}
		for j := range i {
			x.cutLink(w, i, j)
		}
	}
}

func (x *explorer) cutLink(w *world, i, j int) {
	cut := w.cut[i][j]
	if !cut && w.left.cuts == 0 || cut && w.left.heals == 0 {
		return
	}
	c := w.clone()
	if cut {
		c.left.heals--
	} else {
		c.left.cuts--
	}
	c.cut[i][j] = !cut
	x.push(c, event{name: "link cut or healed", daemon: w.d[i].name, peer: w.d[j].name})
}

func (x *explorer) crash(w *world, i int) {
	d := w.d[i]
	if d.alive && w.left.crashes > 0 {
		c := w.clone()
		c.left.crashes--
		c.d[i].alive = false
		x.push(c, event{name: "crash", daemon: d.name})
	}
	if !d.alive && w.left.restarts > 0 {
		c := w.clone()
		c.left.restarts--
		c.ghosts = max(c.ghosts, d.effects)
		c.land(modelRecord{kind: endRecord, name: d.name})
		c.d[i] = daemon{name: d.name[:1] + string(d.name[1]+1), alive: true, joined: true}
		x.push(c, event{name: "restart", daemon: c.d[i].name})
	}
	if (!d.alive || x.listErrs) && w.left.leaves > 0 {
		c := w.clone()
		c.left.leaves--
		c.land(modelRecord{kind: endRecord, name: d.name})
		x.push(c, event{name: "list says gone", daemon: d.name})
	}
}

// answer delivers an answer at once and, within the budget, late.
func (x *explorer) answer(w *world, i int, m message, ev event) {
	c := w.clone()
	c.deliver(x.protocol, i, m)
	x.push(c, ev)
	if w.left.delays > 0 && w.d[i].part.Effective {
		c := w.clone()
		c.left.delays--
		c.mail = append(c.mail, m)
		ev.name += ", answered late"
		x.push(c, ev)
	}
}

func (x *explorer) daemon(w *world, i int) {
	d := &w.d[i]
	if !w.noLog[i] {
		c := w.clone()
		x.answer(c, i, message{kind: readAnswer, to: d.name, dated: w.clock(i), head: len(w.log)}, event{name: "reads", daemon: d.name})
	}
	if !w.noLog[i] {
		x.claim(w, i)
		x.release(w, i)
	}
	x.finish(w, i)
	for j := range w.d {
		if w.reach(i, j) {
			x.ask(w, i, j)
		}
	}
}

// finish lets a daemon give a right for an effect that carries its end, or
// finish all that does not before it stops.
func (x *explorer) finish(w *world, i int) {
	d := &w.d[i]
	if until, ok := x.protocol.Lease(d.part, w.clock(i)); ok && w.left.carried > 0 {
		c := w.clone()
		c.left.carried--
		c.d[i].late = max(d.late, until+d.lost)
		c.d[i].effects = max(d.effects, c.d[i].late)
		c.d[i].part = x.protocol.RecordDeferredUse(d.part, until)
		x.push(c, event{name: "sends what carries its end", daemon: d.name})
	}
	if w.left.finishes > 0 && !d.part.Draining {
		c := w.clone()
		c.left.finishes--
		c.d[i].effects = d.late
		c.d[i].part = x.protocol.Drain(d.part)
		x.push(c, event{name: "finishes", daemon: d.name})
	}
}

func (x *explorer) claim(w *world, i int) {
	d := &w.d[i]
	e := w.entry(d.view)
	if w.left.claims == 0 || i >= w.claimants || !x.protocol.MayClaim(d.part, d.name, e) || w.ended(d.view)(d.name) {
		return
	}
	c := w.clone()
	c.left.claims--
	part, tenure, prior := x.protocol.PrepareClaim(d.part, d.name, e, w.witnesses(d.view), w.ended(d.view))
	c.d[i].part = part
	r := modelRecord{kind: claimRecord, entry: Entry{Tenure: tenure, Prior: prior}}
	x.append(c, r, event{name: "claims", daemon: d.name, detail: int64(tenure.Epoch)})
}

func (x *explorer) release(w *world, i int) {
	d := &w.d[i]
	if w.left.releases == 0 {
		return
	}
	part, ready := x.protocol.PrepareRelease(d.part, w.clock(i))
	c := w.clone()
	c.d[i].part = part
	if !ready {
		x.push(c, event{name: "stops in order to release", daemon: d.name})
		return
	}
	c.left.releases--
	x.append(c, modelRecord{kind: releaseRecord, name: d.name, epoch: d.part.Tenure.Epoch}, event{name: "releases", daemon: d.name})
}

// append lands a record at once or, within the budget, at any later time.
func (x *explorer) append(w *world, r modelRecord, ev event) {
	c := w.clone()
	c.land(r)
	x.push(c, ev)
	if w.left.lates > 0 {
		c := w.clone()
		c.left.lates--
		c.flight = append(c.flight, r)
		ev.name += ", landing late"
		x.push(c, ev)
	}
}

// ask makes daemon i ask daemon j whatever it may need to know.
func (x *explorer) ask(w *world, i, j int) {
	d, peer := &w.d[i], &w.d[j]
	epoch := d.part.Tenure.Epoch
	if epoch == 0 {
		return
	}
	if d.part.Effective && !d.part.Superseded {
		x.askEvidence(w, i, j)
	}
	if d.part.Effective {
		return
	}
	if len(d.part.Prior) > 0 && !slices.Contains(d.part.Consents, peer.name) {
		c := w.clone()
		c.d[j].part = x.protocol.HandleConsent(peer.part, epoch)
		c.d[i].part = x.protocol.ApplyConsent(c.d[i].part, peer.name, epoch)
		x.push(c, event{"consents to claim", peer.name, d.name, int64(epoch)})
	}
	if prior := w.entry(d.view).Prior; i != j && len(prior) > 0 && prior[len(prior)-1].Holder == peer.name {
		c := w.clone()
		part, answer := x.protocol.HandleStop(peer.part, epoch, w.clock(j))
		c.d[j].part = part
		c.d[i].part = x.protocol.ApplyStop(d.part, answer, w.clock(i))
		x.push(c, event{"stops for claim", peer.name, d.name, int64(answer.Left)})
	}
}

func (x *explorer) askEvidence(w *world, i, j int) {
	d, peer := &w.d[i], &w.d[j]
	epoch := d.part.Tenure.Epoch
	if x.protocol.MayAttest(peer.part, epoch) {
		c := w.clone()
		m := message{kind: voucherAnswer, to: d.name, dated: w.clock(i), witness: peer.name, epoch: epoch}
		x.answer(c, i, m, event{"vouches for", peer.name, d.name, int64(epoch)})
	}
	if e := w.entry(len(w.log)); i != j && !w.noLog[j] && w.noLog[i] && e.Holder == d.name && !e.Released {
		c := w.clone()
		m := message{kind: peerReadAnswer, to: d.name, dated: w.clock(i), epoch: e.Epoch}
		x.answer(c, i, m, event{name: "reads for", daemon: peer.name, peer: d.name})
	}
}

// firstWorld has daemon a in effect under epoch 1.
func firstWorld(b budget, witnesses []string) *world {
	w := &world{now: start, left: b}
	names := []string{"a1", "b1", "c1"}
	t := Tenure{Epoch: 1, Holder: "a1", Witnesses: witnesses}
	w.log = []modelRecord{{kind: claimRecord, entry: Entry{Tenure: t}}}
	for i, name := range names {
		w.d[i] = daemon{name: name, alive: true, joined: true, view: 1}
	}
	w.d[0].part = ShareState{Tenure: t, Effective: true, EffectiveSince: start, ReadEvidence: start}
	return w
}

type scope struct {
	name      string
	witnesses []string
	// noLog cuts the first holder from the log.
	noLog bool
	// claimants is how many of the daemons may claim.
	claimants int
	budget    budget
	// timing is modelTiming if it is zero.
	timing Timing
}

func (s scope) protocol(f faults) Protocol {
	if s.timing == (Timing{}) {
		return Protocol{Timing: modelTiming, faults: f}
	}
	return Protocol{Timing: s.timing, faults: f}
}

var (
	alone = []string{"a1"}
	all   = []string{"a1", "b1", "c1"}
)

// scopes are explored to the end. Each bounds the kinds of events that meet.
// Daemons b and c are alike, so that c claims only where b does, too.
var scopes = []scope{
	{"late answers and take-over", all, false, 2, budget{ticks: 3, claims: 1, delays: 1, lates: 1}, Timing{}},
	{"outage, clock and take-over", all, false, 2, budget{ticks: 3, claims: 1, outages: 1, drifts: 1}, Timing{}},
	{"cut-off and take-over", all, false, 2, budget{ticks: 3, claims: 1, cuts: 1, outages: 1}, Timing{}},
	{"cut from the log, late word", alone, true, 2, budget{ticks: 3, claims: 1, delays: 1}, Timing{}},
	{"renewal with a lost answer", alone, false, 2, budget{ticks: 2, claims: 2, lates: 1}, Timing{}},
	{"two claimants", alone, true, 3, budget{ticks: 3, claims: 2}, Timing{}},
	{"crash and restart", all, false, 2, budget{ticks: 3, claims: 1, crashes: 1, restarts: 1}, Timing{}},
	{"crash and list", all, false, 2, budget{ticks: 3, claims: 1, crashes: 1, leaves: 1}, Timing{}},
	{"release", alone, false, 2, budget{ticks: 2, claims: 1, releases: 1, lates: 1}, Timing{}},
	{"finish and hand over", alone, false, 2, budget{ticks: 2, claims: 1, finishes: 1, carried: 1}, longTiming},
}

func (s scope) first() *world {
	w := firstWorld(s.budget, s.witnesses)
	w.noLog[0] = s.noLog
	w.claimants = s.claimants
	w.timing = s.protocol(faults{}).Timing
	return w
}

// The platform's list must never drop a VM that runs: the protocol takes the
// recorded end of an incarnation for its consent.
func TestExplore_ListThatDropsARunningVM(t *testing.T) {
	x := &explorer{protocol: Protocol{Timing: modelTiming}, listErrs: true, random: rand.New(rand.NewPCG(1, 2))}
	x.run(scope{witnesses: all, claimants: 2, budget: budget{ticks: 3, claims: 1, leaves: 1}}.first())
	if x.breach == "" {
		t.Errorf("the assumption is not needed: %d states", len(x.seen))
	}
}

// mutations are the faults that the exploration of a scope must notice.
var mutations = []struct {
	name   string
	scope  string
	faults faults
}{
	{"skip the wait", "late answers and take-over", faults{skipWait: true}},
	{"ignore that clocks differ in rate", "outage, clock and take-over", faults{waitEqualsRight: true}},
	{"no wait after consent", "late answers and take-over", faults{noWaitAfterConsent: true}},
	{"ask no witness", "late answers and take-over", faults{noConsent: true}},
	{"ignore a promise", "late answers and take-over", faults{ignorePromise: true}},
	{"half is a majority", "late answers and take-over", faults{smallMajority: true}},
	{"date a read at its end", "late answers and take-over", faults{dateReadAtEnd: true}},
	{"date a voucher at its arrival", "late answers and take-over", faults{dateVoucherAtEnd: true}},
	{"renew on a peer's old word", "cut from the log, late word", faults{acceptOldWord: true}},
	{"trust a stale read", "late answers and take-over", faults{trustStaleRead: true}},
	{"forget the renewal under way", "renewal with a lost answer", faults{forgetPending: true}},
	{"count vouchers anew once overtaken", "renewal with a lost answer", faults{supersededCounts: true}},
	{"forget earlier tenures", "two claimants", faults{forgetPrior: true}},
	{"renew before the claim is effective", "renewal with a lost answer", faults{waitingRenews: true}},
	{"no wait after an ended process", "crash and restart", faults{endedNeedsNoWait: true}},
	{"say stopped before effects ended", "late answers and take-over", faults{stopBeforeEffects: true}},
	{"act on after stopping", "late answers and take-over", faults{stopForgotten: true}},
	{"act on a right that ran out", "late answers and take-over", faults{ignoreExpiry: true}},
	{"count a restarted witness", "crash and restart", faults{restartedWitness: true}},
	{"release before effects ended", "release", faults{releaseBeforeEnd: true}},
	{"finish before a late effect came", "finish and hand over", faults{finishForgetsLate: true}},
	{"say stopped before a late effect came", "finish and hand over", faults{stopBeforeEffects: true}},
}

// shortStates bounds the states of one scope in a short run, which is then no
// whole exploration.
const shortStates = 8_000

func TestExplore_NoTwoOwners(t *testing.T) {
	var total atomic.Int64
	t.Run("scopes", func(t *testing.T) {
		for _, s := range scopes {
			t.Run(s.name, func(t *testing.T) {
				t.Parallel()
				x := &explorer{protocol: s.protocol(faults{})}
				if testing.Short() {
					x.limit = shortStates
				}
				x.run(s.first())
				if x.breach != "" {
					t.Errorf("%s\n  %s", x.breach, x.trace)
				}
				if x.acted == 0 && x.limit == 0 {
					t.Error("no successor ever acts")
				}
				t.Logf("%s: %d states, a successor acts in %d", s.name, len(x.seen), x.acted)
				total.Add(int64(len(x.seen)))
			})
		}
	})
	t.Logf("%d states visited", total.Load())
}

func TestExplore_CatchesEveryMutation(t *testing.T) {
	for _, m := range mutations {
		t.Run(m.name, func(t *testing.T) {
			t.Parallel()
			if testing.Short() {
				t.Skip("takes seconds")
			}
			s := scopes[slices.IndexFunc(scopes, func(s scope) bool { return s.name == m.scope })]
			x := &explorer{protocol: s.protocol(m.faults), random: rand.New(rand.NewPCG(1, 2))}
			x.run(s.first())
			if x.breach == "" {
				t.Fatalf("not caught in all %d states of %q", len(x.seen), s.name)
			}
			t.Logf("caught after %d states of %q: %s\n  %s", len(x.seen), s.name, x.breach, x.trace)
		})
	}
}
