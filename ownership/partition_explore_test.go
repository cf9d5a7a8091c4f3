package ownership

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
)

func up(ticks Instant) time.Duration { return time.Duration(ticks) }

// partExplorer visits every state of the model of partitions that can be reached within the
// budget.
type partExplorer struct {
	protocol Protocol
	scope    partScope
	// endsLate makes a daemon say that an earlier owner has ended before it has.
	endsLate bool
	seen     map[uint64]struct{}
	stack    []*partState
	buffer   []byte
	random   *rand.Rand
	// limit bounds the number of states visited; zero means no bound.
	limit         int
	breach, trace string
	// startStates counts the states in which a later owner may start inherited tasks.
	startStates int
}

func (x *partExplorer) push(w *partState, format string, args ...any) {
	if x.breach != "" {
		return
	}
	w.path = &step{w.path, event{name: fmt.Sprintf(format, args...)}}
	starts, breach := w.useLeases(x.protocol)
	if breach != "" {
		x.breach, x.trace = breach, w.trace()
		return
	}
	x.buffer = w.key(x.buffer[:0])
	key := xxhash.Sum64(x.buffer)
	if _, ok := x.seen[key]; ok {
		return
	}
	x.seen[key] = struct{}{}
	if starts {
		x.startStates++
	}
	x.stack = append(x.stack, w)
}

func (w *partState) trace() string {
	var lines []string
	for s := w.path; s != nil; s = s.previous {
		lines = append(lines, s.event.name)
	}
	slices.Reverse(lines)
	return strings.Join(lines, "\n  ")
}

func (x *partExplorer) run() {
	x.seen = make(map[uint64]struct{})
	w := &partState{now: start, remaining: x.scope.budget, keepEvidence: x.protocol.faults.attestWithoutEnd}
	for i := range w.daemons {
		w.daemons[i] = partDaemon{alive: true, startedAt: start - 50}
	}
	w.claim(0, x.scope.witnesses)
	w.answerClaim(x.protocol, 0)
	w.daemons[0].logAway = x.scope.logAway
	for _, c := range x.scope.cuts {
		w.cut[c[0]][c[1]], w.cut[c[1]][c[0]] = true, true
	}
	x.push(w, "start")
	for len(x.stack) > 0 && x.breach == "" && (x.limit == 0 || len(x.seen) < x.limit) {
		w := x.stack[len(x.stack)-1]
		x.stack = x.stack[:len(x.stack)-1]
		before := len(x.stack)
		x.expand(w)
		if x.random != nil {
			next := x.stack[before:]
			x.random.Shuffle(len(next), func(i, j int) { next[i], next[j] = next[j], next[i] })
		}
	}
}

func (x *partExplorer) expand(w *partState) {
	x.tick(w)
	for k, m := range w.late {
		c := w.clone()
		c.late = slices.Delete(c.late, k, k+1)
		c.deliver(x.protocol, m)
		x.push(c, "late: kind %d for owner %d, witness %s", m.kind, m.owner+1, m.witness)
	}
	for i := range w.daemons {
		x.fault(w, i)
		x.claim(w, i)
	}
	for i := range w.owners {
		if w.owners[i].running {
			x.owner(w, i)
		}
	}
}

func (x *partExplorer) tick(w *partState) {
	if w.remaining.ticks == 0 {
		return
	}
	for slow := -1; slow < daemonCount; slow++ {
		if slow >= 0 && w.remaining.clockDrifts == 0 {
			break
		}
		c := w.clone()
		c.remaining.ticks--
		c.now += tick
		if slow < 0 {
			x.push(c, "tick")
			continue
		}
		c.remaining.clockDrifts--
		c.daemons[slow].clockLag++
		x.push(c, "tick missed by the clock of %s", partNames[slow])
	}
}

func (x *partExplorer) fault(w *partState, i int) {
	if d := w.daemons[i]; d.alive && w.remaining.crashes > 0 {
		c := w.clone()
		c.remaining.crashes--
		c.endOwners(i, uint64(len(w.owners)+1))
		c.daemons[i].alive, c.daemons[i].promised, c.daemons[i].startedAt = false, 0, c.now
		x.push(c, "%s crashes", partNames[i])
	} else if !d.alive && w.now > d.startedAt {
		c := w.clone()
		c.daemons[i].alive, c.daemons[i].startedAt = true, c.now
		x.push(c, "%s starts again", partNames[i])
	}
	if w.remaining.outages > 0 {
		c := w.clone()
		c.remaining.outages--
		c.daemons[i].logAway = !c.daemons[i].logAway
		x.push(c, "log of %s away: %t", partNames[i], c.daemons[i].logAway)
	}
	for j := range i {
		if w.remaining.cuts > 0 {
			c := w.clone()
			c.remaining.cuts--
			c.cut[i][j], c.cut[j][i] = !w.cut[i][j], !w.cut[i][j]
			x.push(c, "%s and %s cut: %t", partNames[i], partNames[j], c.cut[i][j])
		}
	}
}

// claim lets a daemon claim the partition, and get to know of it at once or later.
func (x *partExplorer) claim(w *partState, i int) {
	d := w.daemons[i]
	if w.remaining.claims == 0 || !d.alive || d.logAway || i >= x.scope.claimants || w.runsBelow(i, uint64(len(w.owners)+1)) {
		return
	}
	c := w.clone()
	c.remaining.claims--
	c.claim(i, x.scope.witnesses)
	if w.remaining.lateAnswers > 0 {
		late := c.clone()
		late.remaining.lateAnswers--
		x.push(late, "%s claims, answered late", partNames[i])
	}
	c.answerClaim(x.protocol, len(c.owners)-1)
	x.push(c, "%s claims", partNames[i])
}

func (x *partExplorer) owner(w *partState, i int) {
	o := &w.owners[i]
	if !o.answered {
		c := w.clone()
		c.answerClaim(x.protocol, i)
		x.push(c, "claim of owner %d answered", i+1)
		return
	}
	if !w.daemons[o.daemon].logAway {
		x.log(w, i)
	}
	for j := range w.daemons {
		if w.reaches(o.daemon, j) {
			x.attest(w, i, j)
			if len(o.state.Prior) > 0 {
				x.promise(w, i, j)
			}
		}
	}
	if w.remaining.replacements > 0 {
		x.replaceWitnesses(w, i)
	}
}

// answer delivers an answer at once and, within the budget, also late.
func (x *partExplorer) answer(w *partState, m partLate, format string, args ...any) {
	c := w.clone()
	c.deliver(x.protocol, m)
	x.push(c, format, args...)
	if w.remaining.lateAnswers > 0 {
		c := w.clone()
		c.remaining.lateAnswers--
		c.late = append(c.late, m)
		x.push(c, format+", answered late", args...)
	}
}

// log lets an owner call the log, which refuses it after a later claim.
func (x *partExplorer) log(w *partState, i int) {
	if i < len(w.owners)-1 {
		c := w.clone()
		c.owners[i].running = false
		x.push(c, "owner %d is fenced by the log", i+1)
		return
	}
	o := &w.owners[i]
	x.answer(w, partLate{kind: lateConfirm, owner: i, askedAt: w.clock(o.daemon)}, "owner %d reads", i+1)
	if since, over := x.protocol.PriorCannotRenew(o.state); over && !o.priorOver && w.clock(o.daemon).Sub(since) >= x.protocol.takeoverWait() {
		c := w.clone()
		c.owners[i].priorOver = true
		x.push(c, "owner %d stores that earlier leases are over", i+1)
	}
}

func (x *partExplorer) attest(w *partState, i, j int) {
	o, d := &w.owners[i], w.daemons[j]
	if !slices.Contains(o.state.Tenure.Witnesses, partNames[j]) && !slices.Contains(o.state.Pending.Witnesses, partNames[j]) {
		return
	}
	if d.promised > uint64(i+1) && !x.protocol.faults.ignorePromise {
		c := w.clone()
		c.owners[i].running = false
		x.push(c, "owner %d hears of a later claim from %s", i+1, partNames[j])
		return
	}
	m := partLate{kind: lateAttestation, owner: i, witness: partNames[j], askedAt: w.clock(o.daemon), up: w.now - d.startedAt}
	x.answer(w, m, "%s attests for owner %d", partNames[j], i+1)
}

// promise asks a daemon for its promise. An earlier owner that runs there ends at once, or
// is about to and may act meanwhile.
func (x *partExplorer) promise(w *partState, i, j int) {
	epoch := uint64(i + 1)
	asked := false
	for _, t := range w.owners[i].prior {
		asked = asked || t.Holder[:1] == partNames[j] || slices.Contains(t.Witnesses, partNames[j])
	}
	if !asked {
		return
	}
	c := w.clone()
	c.daemons[j].promised = max(c.daemons[j].promised, epoch)
	o := &c.owners[i]
	o.state = x.protocol.ApplyConsent(o.state, partNames[j], epoch)
	if w.runsBelow(j, epoch) {
		going := c.clone()
		going.owners[i].stopped[j] = x.endsLate
		x.push(going, "%s promises to owner %d, an earlier owner goes on there", partNames[j], i+1)
	}
	c.endOwners(j, epoch)
	c.owners[i].stopped[j] = true
	x.push(c, "%s promises to owner %d, no earlier owner runs there", partNames[j], i+1)
}

// replaceWitnesses stores other witnesses: with an answer at once or late, without one, and
// not at all.
func (x *partExplorer) replaceWitnesses(w *partState, i int) {
	o := &w.owners[i]
	if o.state.Pending.Epoch != 0 || slices.Equal(o.state.Tenure.Witnesses, x.scope.others) {
		return
	}
	c := w.clone()
	c.remaining.replacements--
	c.owners[i].state = x.protocol.ReplaceWitnesses(o.state, x.scope.others)
	away := w.daemons[o.daemon].logAway
	for _, kind := range []int{lateWitnesses, lateWitnessesSilent} {
		late := c.clone()
		late.late = append(late.late, partLate{kind: kind, owner: i, witnessSet: x.scope.others})
		x.push(late, "owner %d sends other witnesses, answered: %t", i+1, kind == lateWitnesses)
		if !away {
			now := c.clone()
			now.deliver(x.protocol, partLate{kind: kind, owner: i, witnessSet: x.scope.others})
			x.push(now, "owner %d stores other witnesses, answered: %t", i+1, kind == lateWitnesses)
		}
	}
}

type partScope struct {
	name              string
	witnesses, others []string
	// logAway cuts the first owner off from the log, and cuts are links that are down.
	logAway   bool
	cuts      [][2]int
	claimants int
	budget    partBudget
}

var (
	twoDaemons   = []string{"a", "b"}
	threeDaemons = []string{"a", "b", "c"}
)

var partScopes = []partScope{
	{"three witnesses and late answers", threeDaemons, nil, false, nil, 2, partBudget{ticks: 3, claims: 1, lateAnswers: 1}},
	{"two witnesses and late answers", twoDaemons, nil, false, nil, 3, partBudget{ticks: 3, claims: 1, lateAnswers: 1, clockDrifts: 1}},
	{"nobody is reached", threeDaemons, nil, true, [][2]int{{0, 1}, {1, 2}}, 2, partBudget{ticks: 8, claims: 1, clockDrifts: 1}},
	{"nobody is reached, two witnesses", []string{"a", "c"}, nil, true, [][2]int{{0, 1}, {1, 2}}, 2, partBudget{ticks: 11, claims: 1, clockDrifts: 1}},
	{"witnesses restart", threeDaemons, nil, true, nil, 2, partBudget{ticks: 4, claims: 1, crashes: 1, cuts: 1}},
	{"a witness restarts twice", twoDaemons, nil, true, nil, 3, partBudget{ticks: 4, claims: 1, crashes: 2, clockDrifts: 1}},
	{"other witnesses", twoDaemons, []string{"a", "c"}, true, nil, 3, partBudget{ticks: 4, claims: 1, replacements: 1}},
	{"more witnesses", threeDaemons[:1], threeDaemons, false, nil, 2, partBudget{ticks: 4, claims: 1, outages: 1, replacements: 1}},
	{"other witnesses and cuts", threeDaemons, twoDaemons, true, nil, 2, partBudget{ticks: 3, claims: 1, cuts: 1, replacements: 1}},
	{"all but one are lost", threeDaemons, nil, true, nil, 2, partBudget{ticks: 4, claims: 1, crashes: 2}},
	{"a majority is cut off, and one of it lost", threeDaemons, nil, true, [][2]int{{0, 1}, {1, 2}}, 2, partBudget{ticks: 5, claims: 1, crashes: 1}},
	{"three owners", twoDaemons, nil, true, nil, 3, partBudget{ticks: 3, claims: 2}},
	{"a daemon owns twice", twoDaemons, nil, false, nil, 2, partBudget{ticks: 3, claims: 2, lateAnswers: 1}},
}

// Guards against an owner of a partition that starts inherited tasks while a lease of an
// earlier owner lasts, where witnesses forget, are replaced, or are never reached.
func TestExplorePartition_NoStartBeforeEarlierLeasesEnd(t *testing.T) {
	var total atomic.Int64
	t.Run("scopes", func(t *testing.T) {
		for _, s := range partScopes {
			t.Run(s.name, func(t *testing.T) {
				t.Parallel()
				x := &partExplorer{protocol: Protocol{Timing: partTiming}, scope: s}
				if testing.Short() {
					x.limit = maxShortStates
				}
				x.run()
				if x.breach != "" {
					t.Errorf("%s\n  %s", x.breach, x.trace)
				}
				if x.startStates == 0 && x.limit == 0 {
					t.Error("no state has a later owner that starts tasks")
				}
				t.Logf("%s: %d states, a later owner starts tasks in %d", s.name, len(x.seen), x.startStates)
				total.Add(int64(len(x.seen)))
			})
		}
	})
	t.Logf("%d states visited", total.Load())
}

// partMutations are faults that the exploration of a scope must detect.
var partMutations = []struct {
	name, scope string
	faults      faults
	endsLate    bool
}{
	{"no wait", "three witnesses and late answers", faults{skipWait: true}, false},
	{"ignore clock drift", "two witnesses and late answers", faults{waitEqualsLease: true}, false},
	{"wait from the claim", "three witnesses and late answers", faults{noWaitAfterConsent: true}, false},
	{"request no promise", "three witnesses and late answers", faults{noConsent: true}, false},
	{"ignore a promise", "three witnesses and late answers", faults{ignorePromise: true}, false},
	{"half is a majority", "two witnesses and late answers", faults{smallMajority: true}, false},
	{"date a call to the log at its end", "three witnesses and late answers", faults{dateReadAtEnd: true}, false},
	{"date an attestation at its arrival", "three witnesses and late answers", faults{dateAttestationAtEnd: true}, false},
	{"attestations without end", "nobody is reached", faults{attestWithoutEnd: true}, false},
	{"attestations without end, two witnesses", "nobody is reached, two witnesses", faults{attestWithoutEnd: true}, false},
	{"a majority attests as long as all", "nobody is reached", faults{majorityAsAll: true}, false},
	{"a majority attests as long as all, one is lost", "a majority is cut off, and one of it lost", faults{majorityAsAll: true}, false},
	{"rely on a promise that nobody gave", "nobody is reached, two witnesses", faults{doubtWithoutPromise: true}, false},
	{"trust a witness that forgets", "witnesses restart", faults{trustForgetful: true}, false},
	{"trust a witness that forgets, two witnesses", "a witness restarts twice", faults{trustForgetful: true}, false},
	{"use other witnesses before the log has them", "other witnesses", faults{switchWitnessesEarly: true}, false},
	{"use more witnesses before the log has them", "more witnesses", faults{switchWitnessesEarly: true}, false},
	{"count only the new witnesses", "other witnesses", faults{forgetPending: true}, false},
	{"forget earlier owners", "three owners", faults{forgetPrior: true}, false},
	{"say that an owner has ended before it has", "three witnesses and late answers", faults{}, true},
}

func TestExplorePartition_DetectsEveryMutation(t *testing.T) {
	for _, m := range partMutations {
		t.Run(m.name, func(t *testing.T) {
			t.Parallel()
			if testing.Short() {
				t.Skip("takes seconds")
			}
			s := partScopes[slices.IndexFunc(partScopes, func(s partScope) bool { return s.name == m.scope })]
			x := &partExplorer{protocol: Protocol{Timing: partTiming, faults: m.faults}, scope: s, endsLate: m.endsLate, random: rand.New(rand.NewPCG(1, 2))}
			x.run()
			if x.breach == "" {
				t.Fatalf("mutation not detected in all %d states of %q", len(x.seen), s.name)
			}
			t.Logf("mutation detected after %d states of %q: %s\n  %s", len(x.seen), s.name, x.breach, x.trace)
		})
	}
}
