package ownership

import (
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"testing"

	"github.com/cespare/xxhash/v2"
)

// explorer is a model checker: it visits every state that can be reached
// within the budget.
type explorer struct {
	protocol Protocol
	// listDropsLive lets the platform's list drop a daemon that is still
	// running.
	listDropsLive bool
	seen          map[uint64]struct{}
	stack         []*modelState
	buffer        []byte
	// random shuffles the events that follow one state; nil keeps their order.
	random *rand.Rand
	// limit bounds the number of states visited; zero means no bound.
	limit     int
	violation string
	trace     string
	// successorStates counts the states in which a successor of the first
	// holder acts.
	successorStates int
}

// push adds the state after one event, unless it was seen before.
func (x *explorer) push(w *modelState, ev event) {
	if x.violation != "" {
		return
	}
	w.path = &step{w.path, ev}
	if breach := w.useLeases(x.protocol); breach != "" {
		x.violation, x.trace = breach, w.trace()
		return
	}
	x.buffer = w.key(x.buffer[:0])
	key := xxhash.Sum64(x.buffer)
	if _, ok := x.seen[key]; ok {
		return
	}
	x.seen[key] = struct{}{}
	for i := range w.daemons {
		if _, ok := x.protocol.Lease(w.daemons[i].state, w.clock(i)); ok && w.daemons[i].alive && w.daemons[i].state.Tenure.Epoch > 1 {
			x.successorStates++
			break
		}
	}
	x.stack = append(x.stack, w)
}

func (x *explorer) run(first *modelState) {
	x.seen = make(map[uint64]struct{})
	x.push(first.clone(), event{name: "start"})
	for len(x.stack) > 0 && x.violation == "" && (x.limit == 0 || len(x.seen) < x.limit) {
		w := x.stack[len(x.stack)-1]
		x.stack = x.stack[:len(x.stack)-1]
		x.expand(w)
	}
}

func (x *explorer) expand(w *modelState) {
	before := len(x.stack)
	x.advanceTime(w)
	x.deliverLate(w)
	x.injectFaults(w)
	for i := range w.daemons {
		if w.daemons[i].alive {
			x.daemon(w, i)
		}
	}
	if x.random != nil {
		next := x.stack[before:]
		x.random.Shuffle(len(next), func(i, j int) { next[i], next[j] = next[j], next[i] })
	}
}

func (x *explorer) advanceTime(w *modelState) {
	if w.remaining.ticks == 0 {
		return
	}
	c := w.clone()
	c.remaining.ticks--
	c.now += tick
	x.push(c, event{name: "tick"})
	for i := range w.daemons {
		if w.remaining.clockDrifts == 0 || !w.daemons[i].alive {
			continue
		}
		c := w.clone()
		c.remaining.ticks--
		c.remaining.clockDrifts--
		c.now += tick
		c.daemons[i].clockLag++
		x.push(c, event{name: "tick missed by the clock", daemon: w.daemons[i].name})
	}
}

func (x *explorer) deliverLate(w *modelState) {
	for k, m := range w.lateAnswers {
		c := w.clone()
		c.lateAnswers = slices.Delete(c.lateAnswers, k, k+1)
		for i := range c.daemons {
			if c.daemons[i].name == m.to && c.daemons[i].alive {
				c.deliver(x.protocol, i, m)
			}
		}
		x.push(c, event{"late answer", m.to, m.witness, int64(m.askedAt)})
	}
	for k, r := range w.pendingAppends {
		c := w.clone()
		c.pendingAppends = slices.Delete(c.pendingAppends, k, k+1)
		c.appendRecord(r)
		x.push(c, event{"late append", r.entry.Holder, r.name, int64(r.entry.Epoch)})
	}
}

func (x *explorer) injectFaults(w *modelState) {
	for i := range w.daemons {
		x.crash(w, i)
		if w.remaining.outages > 0 {
			c := w.clone()
			c.remaining.outages--
			c.logUnreachable[i] = !c.logUnreachable[i]
			x.push(c, event{name: "log unreachable or reachable", daemon: w.daemons[i].name})
		}
		for j := range i {
			x.cutLink(w, i, j)
		}
	}
}

func (x *explorer) cutLink(w *modelState, i, j int) {
	cut := w.cut[i][j]
	if !cut && w.remaining.cuts == 0 || cut && w.remaining.heals == 0 {
		return
	}
	c := w.clone()
	if cut {
		c.remaining.heals--
	} else {
		c.remaining.cuts--
	}
	c.cut[i][j] = !cut
	x.push(c, event{name: "link cut or restored", daemon: w.daemons[i].name, peer: w.daemons[j].name})
}

func (x *explorer) crash(w *modelState, i int) {
	d := w.daemons[i]
	if d.alive && w.remaining.crashes > 0 {
		c := w.clone()
		c.remaining.crashes--
		c.daemons[i].alive = false
		x.push(c, event{name: "crash", daemon: d.name})
	}
	if !d.alive && w.remaining.restarts > 0 {
		c := w.clone()
		c.remaining.restarts--
		c.endedEffects = max(c.endedEffects, d.effectsUntil)
		c.appendRecord(modelRecord{kind: endRecord, name: d.name})
		c.daemons[i] = daemon{name: d.name[:1] + string(d.name[1]+1), alive: true, joined: true}
		x.push(c, event{name: "restart", daemon: c.daemons[i].name})
	}
	if (!d.alive || x.listDropsLive) && w.remaining.leaves > 0 {
		c := w.clone()
		c.remaining.leaves--
		c.appendRecord(modelRecord{kind: endRecord, name: d.name})
		x.push(c, event{name: "removed from the list", daemon: d.name})
	}
}

// answer delivers an answer at once and, within the budget, also late.
func (x *explorer) answer(w *modelState, i int, m message, ev event) {
	c := w.clone()
	c.deliver(x.protocol, i, m)
	x.push(c, ev)
	if w.remaining.lateAnswers > 0 && w.daemons[i].state.Effective {
		c := w.clone()
		c.remaining.lateAnswers--
		c.lateAnswers = append(c.lateAnswers, m)
		ev.name += ", answered late"
		x.push(c, ev)
	}
}

func (x *explorer) daemon(w *modelState, i int) {
	d := &w.daemons[i]
	if !w.logUnreachable[i] {
		c := w.clone()
		x.answer(c, i, message{kind: readAnswer, to: d.name, askedAt: w.clock(i), head: len(w.log)}, event{name: "reads", daemon: d.name})
	}
	if !w.logUnreachable[i] {
		x.claim(w, i)
		x.release(w, i)
	}
	x.drain(w, i)
	for j := range w.daemons {
		if w.canCall(i, j) {
			x.request(w, i, j)
		}
	}
}

// drain lets a daemon use a lease for a deferred effect, or drain before it
// stops.
func (x *explorer) drain(w *modelState, i int) {
	d := &w.daemons[i]
	if until, ok := x.protocol.Lease(d.state, w.clock(i)); ok && w.remaining.deferredUses > 0 {
		c := w.clone()
		c.remaining.deferredUses--
		c.daemons[i].deferredUntil = max(d.deferredUntil, until+d.clockLag)
		c.daemons[i].effectsUntil = max(d.effectsUntil, c.daemons[i].deferredUntil)
		c.daemons[i].state = x.protocol.RecordDeferredUse(d.state, until)
		x.push(c, event{name: "uses its lease for a deferred effect", daemon: d.name})
	}
	if w.remaining.drains > 0 && !d.state.Draining {
		c := w.clone()
		c.remaining.drains--
		c.daemons[i].effectsUntil = d.deferredUntil
		c.daemons[i].state = x.protocol.Drain(d.state)
		x.push(c, event{name: "finishes", daemon: d.name})
	}
}

func (x *explorer) claim(w *modelState, i int) {
	d := &w.daemons[i]
	e := w.entry(d.view)
	if w.remaining.claims == 0 || i >= w.claimants || !x.protocol.MayClaim(d.state, d.name, e) || w.ended(d.view)(d.name) {
		return
	}
	c := w.clone()
	c.remaining.claims--
	state, tenure, prior := x.protocol.PrepareClaim(d.state, d.name, e, w.witnesses(d.view), w.ended(d.view))
	c.daemons[i].state = state
	r := modelRecord{kind: claimRecord, entry: Entry{Tenure: tenure, Prior: prior}}
	x.append(c, r, event{name: "claims", daemon: d.name, detail: int64(tenure.Epoch)})
}

func (x *explorer) release(w *modelState, i int) {
	d := &w.daemons[i]
	if w.remaining.releases == 0 {
		return
	}
	state, ready := x.protocol.PrepareRelease(d.state, w.clock(i))
	c := w.clone()
	c.daemons[i].state = state
	if !ready {
		x.push(c, event{name: "stops in order to release", daemon: d.name})
		return
	}
	c.remaining.releases--
	x.append(c, modelRecord{kind: releaseRecord, name: d.name, epoch: d.state.Tenure.Epoch}, event{name: "releases", daemon: d.name})
}

// append adds a record to the log at once and, within the budget, also at any
// later time.
func (x *explorer) append(w *modelState, r modelRecord, ev event) {
	c := w.clone()
	c.appendRecord(r)
	x.push(c, ev)
	if w.remaining.lateAppends > 0 {
		c := w.clone()
		c.remaining.lateAppends--
		c.pendingAppends = append(c.pendingAppends, r)
		ev.name += ", appended late"
		x.push(c, ev)
	}
}

// request makes daemon i send daemon j every request that it may need to send.
func (x *explorer) request(w *modelState, i, j int) {
	d, peer := &w.daemons[i], &w.daemons[j]
	epoch := d.state.Tenure.Epoch
	if epoch == 0 {
		return
	}
	if d.state.Effective && !d.state.Superseded {
		x.requestEvidence(w, i, j)
	}
	if d.state.Effective {
		return
	}
	if len(d.state.Prior) > 0 && !slices.Contains(d.state.Consents, peer.name) {
		c := w.clone()
		c.daemons[j].state = x.protocol.HandleConsent(peer.state, epoch)
		c.daemons[i].state = x.protocol.ApplyConsent(c.daemons[i].state, peer.name, epoch)
		x.push(c, event{"consents to claim", peer.name, d.name, int64(epoch)})
	}
	if prior := w.entry(d.view).Prior; i != j && len(prior) > 0 && prior[len(prior)-1].Holder == peer.name {
		c := w.clone()
		state, answer := x.protocol.HandleStop(peer.state, epoch, w.clock(j))
		c.daemons[j].state = state
		c.daemons[i].state = x.protocol.ApplyStop(d.state, answer, w.clock(i))
		x.push(c, event{"stops for claim", peer.name, d.name, int64(answer.Left)})
	}
}

func (x *explorer) requestEvidence(w *modelState, i, j int) {
	d, peer := &w.daemons[i], &w.daemons[j]
	epoch := d.state.Tenure.Epoch
	if x.protocol.MayAttest(peer.state, epoch) {
		c := w.clone()
		m := message{kind: attestationAnswer, to: d.name, askedAt: w.clock(i), witness: peer.name, epoch: epoch}
		x.answer(c, i, m, event{"attests for", peer.name, d.name, int64(epoch)})
	}
	if e := w.entry(len(w.log)); i != j && !w.logUnreachable[j] && w.logUnreachable[i] && e.Holder == d.name && !e.Released {
		c := w.clone()
		m := message{kind: peerReadAnswer, to: d.name, askedAt: w.clock(i), epoch: e.Epoch}
		x.answer(c, i, m, event{name: "reads for", daemon: peer.name, peer: d.name})
	}
}

// initialState has daemon a as the effective holder at epoch 1.
func initialState(b budget, witnesses []string) *modelState {
	w := &modelState{now: start, remaining: b}
	names := []string{"a1", "b1", "c1"}
	t := Tenure{Epoch: 1, Holder: "a1", Witnesses: witnesses}
	w.log = []modelRecord{{kind: claimRecord, entry: Entry{Tenure: t}}}
	for i, name := range names {
		w.daemons[i] = daemon{name: name, alive: true, joined: true, view: 1}
	}
	w.daemons[0].state = ShareState{Tenure: t, Effective: true, EffectiveSince: start, ReadEvidence: start}
	return w
}

type scope struct {
	name      string
	witnesses []string
	// logUnreachable cuts the first holder off from the log.
	logUnreachable bool
	// claimants is how many of the daemons may claim.
	claimants int
	budget    budget
	// timing defaults to modelTiming.
	timing Timing
}

func (s scope) protocol(f faults) Protocol {
	if s.timing == (Timing{}) {
		return Protocol{Timing: modelTiming, faults: f}
	}
	return Protocol{Timing: s.timing, faults: f}
}

var (
	holderOnly = []string{"a1"}
	allDaemons = []string{"a1", "b1", "c1"}
)

// scopes are explored completely. Each bounds the kinds of events that are
// combined. Daemons b and c are interchangeable, so c claims only where b
// does, too.
var scopes = []scope{
	{"late answers and takeover", allDaemons, false, 2, budget{ticks: 3, claims: 1, lateAnswers: 1, lateAppends: 1}, Timing{}},
	{"log outage, clock drift and takeover", allDaemons, false, 2, budget{ticks: 3, claims: 1, outages: 1, clockDrifts: 1}, Timing{}},
	{"network partition and takeover", allDaemons, false, 2, budget{ticks: 3, claims: 1, cuts: 1, outages: 1}, Timing{}},
	{"log unreachable, late peer read", holderOnly, true, 2, budget{ticks: 3, claims: 1, lateAnswers: 1}, Timing{}},
	{"renewal with a lost answer", holderOnly, false, 2, budget{ticks: 2, claims: 2, lateAppends: 1}, Timing{}},
	{"two claimants", holderOnly, true, 3, budget{ticks: 3, claims: 2}, Timing{}},
	{"crash and restart", allDaemons, false, 2, budget{ticks: 3, claims: 1, crashes: 1, restarts: 1}, Timing{}},
	{"crash and removal from the list", allDaemons, false, 2, budget{ticks: 3, claims: 1, crashes: 1, leaves: 1}, Timing{}},
	{"release", holderOnly, false, 2, budget{ticks: 2, claims: 1, releases: 1, lateAppends: 1}, Timing{}},
	{"drain and handover", holderOnly, false, 2, budget{ticks: 2, claims: 1, drains: 1, deferredUses: 1}, longTiming},
}

func (s scope) initial() *modelState {
	w := initialState(s.budget, s.witnesses)
	w.logUnreachable[0] = s.logUnreachable
	w.claimants = s.claimants
	w.timing = s.protocol(faults{}).Timing
	return w
}

// Shows that the protocol depends on the platform's list never dropping a
// running VM: it counts the recorded end of an incarnation as its consent.
func TestExplore_ListDropsRunningVM(t *testing.T) {
	x := &explorer{protocol: Protocol{Timing: modelTiming}, listDropsLive: true, random: rand.New(rand.NewPCG(1, 2))}
	x.run(scope{witnesses: allDaemons, claimants: 2, budget: budget{ticks: 3, claims: 1, leaves: 1}}.initial())
	if x.violation == "" {
		t.Errorf("no violation in %d states although the list dropped a running VM", len(x.seen))
	}
}

// mutations are faults that the exploration of a scope must detect.
var mutations = []struct {
	name   string
	scope  string
	faults faults
}{
	{"skip the takeover wait", "late answers and takeover", faults{skipWait: true}},
	{"ignore clock drift", "log outage, clock drift and takeover", faults{waitEqualsLease: true}},
	{"no wait after consent", "late answers and takeover", faults{noWaitAfterConsent: true}},
	{"request no consent", "late answers and takeover", faults{noConsent: true}},
	{"ignore a promise", "late answers and takeover", faults{ignorePromise: true}},
	{"half is a majority", "late answers and takeover", faults{smallMajority: true}},
	{"date a read at its end", "late answers and takeover", faults{dateReadAtEnd: true}},
	{"date an attestation at its arrival", "late answers and takeover", faults{dateAttestationAtEnd: true}},
	{"accept a stale peer read", "log unreachable, late peer read", faults{trustStalePeerRead: true}},
	{"trust a stale read", "late answers and takeover", faults{trustStaleRead: true}},
	{"forget the pending renewal", "renewal with a lost answer", faults{forgetPending: true}},
	{"accept attestations once superseded", "renewal with a lost answer", faults{attestAfterSuperseded: true}},
	{"forget earlier tenures", "two claimants", faults{forgetPrior: true}},
	{"renew before the claim is effective", "renewal with a lost answer", faults{renewBeforeEffective: true}},
	{"no takeover wait after an ended process", "crash and restart", faults{noWaitAfterEnd: true}},
	{"answer a stop before effects ended", "late answers and takeover", faults{stopIgnoresUses: true}},
	{"extend the lease after a stop", "late answers and takeover", faults{forgetStop: true}},
	{"act on an expired lease", "late answers and takeover", faults{ignoreExpiry: true}},
	{"count a restarted witness as the same", "crash and restart", faults{matchWitnessByName: true}},
	{"release before effects ended", "release", faults{releaseIgnoresUses: true}},
	{"drain before a deferred effect ended", "drain and handover", faults{drainIgnoresDeferred: true}},
	{"answer a stop before a deferred effect ended", "drain and handover", faults{stopIgnoresUses: true}},
}

// maxShortStates bounds the states of each scope in a short run, which is then
// not a complete exploration.
const maxShortStates = 8_000

func TestExplore_NoTwoOwners(t *testing.T) {
	var total atomic.Int64
	t.Run("scopes", func(t *testing.T) {
		for _, s := range scopes {
			t.Run(s.name, func(t *testing.T) {
				t.Parallel()
				x := &explorer{protocol: s.protocol(faults{})}
				if testing.Short() {
					x.limit = maxShortStates
				}
				x.run(s.initial())
				if x.violation != "" {
					t.Errorf("%s\n  %s", x.violation, x.trace)
				}
				if x.successorStates == 0 && x.limit == 0 {
					t.Error("no state has a successor that acts")
				}
				t.Logf("%s: %d states, a successor acts in %d", s.name, len(x.seen), x.successorStates)
				total.Add(int64(len(x.seen)))
			})
		}
	})
	t.Logf("%d states visited", total.Load())
}

func TestExplore_DetectsEveryMutation(t *testing.T) {
	for _, m := range mutations {
		t.Run(m.name, func(t *testing.T) {
			t.Parallel()
			if testing.Short() {
				t.Skip("takes seconds")
			}
			s := scopes[slices.IndexFunc(scopes, func(s scope) bool { return s.name == m.scope })]
			x := &explorer{protocol: s.protocol(m.faults), random: rand.New(rand.NewPCG(1, 2))}
			x.run(s.initial())
			if x.violation == "" {
				t.Fatalf("mutation not detected in all %d states of %q", len(x.seen), s.name)
			}
			t.Logf("mutation detected after %d states of %q: %s\n  %s", len(x.seen), s.name, x.violation, x.trace)
		})
	}
}
