package scheduler

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// tenureEvent is one event that a sequence may contain.
type tenureEvent struct {
	name  string
	apply func(w *tenureWorld)
}

func claimBy(d int) tenureEvent {
	return tenureEvent{tenureNames[d] + " claims", func(w *tenureWorld) { w.elect(d) }}
}

func logAway(d int) tenureEvent {
	return tenureEvent{"the log is away for " + tenureNames[d] + ", or back", func(w *tenureWorld) {
		w.daemons[d].logAway = !w.daemons[d].logAway
	}}
}

func serverCut(d, s int) tenureEvent {
	return tenureEvent{fmt.Sprintf("cut between %s and s%d, or restored", tenureNames[d], s), func(w *tenureWorld) {
		w.daemons[d].cutServer[s] = !w.daemons[d].cutServer[s]
	}}
}

func peerCut(d, e int) tenureEvent {
	return tenureEvent{fmt.Sprintf("cut between %s and %s, or restored", tenureNames[d], tenureNames[e]), func(w *tenureWorld) {
		w.daemons[d].cutPeer[e] = !w.daemons[d].cutPeer[e]
	}}
}

func paused(d int) tenureEvent {
	return tenureEvent{tenureNames[d] + " is paused, or wakes", func(w *tenureWorld) { w.daemons[d].paused = !w.daemons[d].paused }}
}

func restarted(d int) tenureEvent {
	return tenureEvent{tenureNames[d] + " restarts", func(w *tenureWorld) {
		for _, o := range w.owners {
			if o.running && o.daemon == d {
				w.end(o)
			}
		}
		w.daemons[d].promised, w.daemons[d].startedAt, w.daemons[d].paused = 0, w.now, false
	}}
}

func listed(s int) tenureEvent {
	return tenureEvent{fmt.Sprintf("s%d leaves the list, or is back", s), func(w *tenureWorld) {
		w.servers[s].listed = !w.servers[s].listed
		for _, o := range w.owners {
			if o.running {
				w.reply(o, func(c *Core) { c.SetServers(w.list()) })
			}
		}
	}}
}

// cutOff cuts a daemon off from all other daemons and the log, which leaves it the servers.
func cutOff(d int) tenureEvent {
	return tenureEvent{tenureNames[d] + " reaches only servers", func(w *tenureWorld) {
		w.daemons[d].logAway = true
		for e := range w.daemons {
			w.daemons[d].cutPeer[e] = true
		}
	}}
}

var nothing = tenureEvent{"nothing", func(*tenureWorld) {}}

// tenureAlphabet is what the exhaustive sequences are made of: the first server is the one
// that later owners lose, and c takes over from b as b does from a.
var tenureAlphabet = []tenureEvent{
	nothing, claimBy(0), claimBy(1), claimBy(2), logAway(0), logAway(1), cutOff(0), cutOff(1),
	serverCut(0, 0), serverCut(0, 1), serverCut(1, 0), serverCut(1, 1), serverCut(2, 0), peerCut(0, 1), paused(0), paused(1), restarted(2), listed(0),
}

// allTenureEvents is what the random sequences are made of.
func allTenureEvents() []tenureEvent {
	var out []tenureEvent
	for d := range tenureUnits {
		out = append(out, claimBy(d), claimBy(d), claimBy(d), logAway(d), paused(d), restarted(d))
		for s := range 2 {
			out = append(out, serverCut(d, s))
		}
		for e := range d {
			out = append(out, peerCut(d, e))
		}
	}
	return append(out, listed(0), listed(1), tenureEvent{"the log is away for all, or back", func(w *tenureWorld) {
		for d := range w.daemons {
			w.daemons[d].logAway = !w.daemons[d].logAway
		}
	}})
}

type tenureBegin struct {
	name   string
	events []tenureEvent
	// ownWitnesses is as in tenureWorld.
	ownWitnesses bool
}

// tenureBegins are the events, without time between them, from which the exhaustive sequences
// begin. In all of them a owns the partition and runs a task on each server.
var tenureBegins = []tenureBegin{
	{"at rest", nil, false},
	{"a reaches witnesses alone, b and c do not reach s0", []tenureEvent{logAway(0), serverCut(1, 0), serverCut(2, 0)}, false},
	{"a reaches servers alone, b has claimed", []tenureEvent{cutOff(0), serverCut(1, 0), serverCut(2, 0), claimBy(1)}, false},
	{"a reaches c, b has claimed and reaches neither", []tenureEvent{logAway(0), peerCut(0, 1), peerCut(1, 2), serverCut(1, 0), serverCut(2, 0), claimBy(1)}, false},
	{"a reaches its witness d, b has claimed", []tenureEvent{logAway(0), peerCut(0, 1), peerCut(0, 2), serverCut(1, 0), serverCut(2, 0), claimBy(1)}, true},
	{"a reaches c, b has claimed", []tenureEvent{logAway(0), peerCut(0, 1), serverCut(1, 0), serverCut(2, 0), claimBy(1)}, false},
}

// splitBegins are those in which each of two owners reaches one server alone.
var splitBegins = []tenureBegin{
	{"a reaches c and s1, b reaches s0", []tenureEvent{logAway(0), serverCut(0, 0), peerCut(0, 1), serverCut(1, 1)}, false},
	{"a reaches s0 alone, b has claimed and reaches s1", []tenureEvent{cutOff(0), serverCut(0, 1), serverCut(1, 0), serverCut(2, 0), claimBy(1)}, false},
}

func (w *tenureWorld) apply(e tenureEvent) {
	w.note("%s", e.name)
	e.apply(w)
}

// settle lets the time pass in which all wrong starts come.
const settleTime = 3 * tenureLease

// playTenureSequence runs one of the exhaustive sequences, by its number.
func playTenureSequence(t *testing.T, begin tenureBegin, number, length int, slow bool, faults tenureFaults) *tenureWorld {
	w := newTenureWorld(t, uint64(number), begin.ownWitnesses, faults)
	if slow {
		w.slow = tenureLease
		w.servers[0].rate, w.servers[1].rate = 0.98, 1.02
		w.run(tenureSlot)
	}
	for _, e := range begin.events {
		w.apply(e)
	}
	for range length {
		w.apply(tenureAlphabet[number%len(tenureAlphabet)])
		number /= len(tenureAlphabet)
		w.run(tenureSlot)
	}
	w.run(settleTime)
	return w
}

// playTenureSeed runs one of the random sequences.
func playTenureSeed(t *testing.T, seed uint64, faults tenureFaults) *tenureWorld {
	w := newTenureWorld(t, seed, seed%2 == 1, faults)
	for _, v := range w.servers {
		v.rate = 0.98 + 0.02*float64(w.rng.IntN(3))
	}
	w.slow = []time.Duration{0, 300 * time.Millisecond, tenureLease}[w.rng.IntN(3)]
	w.lossy = w.rng.IntN(2) == 0
	events := allTenureEvents()
	for range 24 {
		w.apply(events[w.rng.IntN(len(events))])
		w.run(time.Duration(w.rng.Int64N(int64(2 * tenureSlot))))
	}
	w.run(settleTime)
	return w
}

// tenureSequenceLength is the length of the sequences of which all are played, and
// tenureSeeds the number of random ones.
const (
	tenureSequenceLength = 3
	tenureSeeds          = 6000
	tenureShards         = 8
)

func power(base, exponent int) int {
	n := 1
	for range exponent {
		n *= base
	}
	return n
}

// Guards against an owner that starts a task while a lease that an earlier one sent lasts, in
// the code that sends the leases and not only in the protocol: all sequences of three events,
// half a second apart, from each of the starts, with prompt and with slow answers.
func TestTenureExplore_AllShortSequences(t *testing.T) {
	playAllSequences(t, slices.Concat(tenureBegins, splitBegins), func(t *testing.T, w *tenureWorld, number int) {
		if w.breach != "" {
			t.Fatalf("sequence %d:\n  %s", number, strings.Join(w.trace, "\n  "))
		}
	})
}

func playAllSequences(t *testing.T, begins []tenureBegin, check func(t *testing.T, w *tenureWorld, number int)) {
	t.Helper()
	length := tenureSequenceLength
	if testing.Short() {
		length = 1
	}
	var played, laterStarts atomic.Int64
	t.Run("starts", func(t *testing.T) {
		for _, begin := range begins {
			for part := range tenureShards {
				t.Run(fmt.Sprintf("%s, %d", begin.name, part), func(t *testing.T) {
					t.Parallel()
					for n := part; n < 2*power(len(tenureAlphabet), length); n += tenureShards {
						w := playTenureSequence(t, begin, n/2, length, n%2 == 1, tenureFaults{})
						check(t, w, n)
						played.Add(1)
						laterStarts.Add(int64(w.laterStarts))
					}
				})
			}
		}
	})
	t.Logf("%d sequences of %d events, %d starts by later owners", played.Load(), length, laterStarts.Load())
	if laterStarts.Load() == 0 {
		t.Error("no later owner starts a task")
	}
}

// The same for long random sequences of all kinds of events, answers that arrive up to a
// lease late, and clocks of servers that are 2% off.
func TestTenureExplore_RandomSequences(t *testing.T) {
	playAllSeeds(t, tenureSeeds, func(t *testing.T, seed uint64) *tenureWorld { return playTenureSeed(t, seed, tenureFaults{}) })
}

// shortSeeds is the number of random sequences that are played in short tests.
const shortSeeds = 64

// playAllSeeds plays random sequences, and fails the test at the first breach of each part.
func playAllSeeds(t *testing.T, seeds int, play func(t *testing.T, seed uint64) *tenureWorld) {
	t.Helper()
	if testing.Short() {
		seeds = shortSeeds
	}
	var laterStarts atomic.Int64
	t.Run("seeds", func(t *testing.T) {
		for part := range tenureShards {
			t.Run(strconv.Itoa(part), func(t *testing.T) {
				t.Parallel()
				for seed := part; seed < seeds; seed += tenureShards {
					w := play(t, uint64(seed))
					if w.breach != "" {
						t.Fatalf("seed %d:\n  %s", seed, strings.Join(w.trace, "\n  "))
					}
					laterStarts.Add(int64(w.laterStarts))
				}
			})
		}
	})
	t.Logf("%d seeds, %d starts by later owners", seeds, laterStarts.Load())
}

var tenureMutations = []struct {
	name   string
	faults tenureFaults
}{
	{"no wait", tenureFaults{noWait: true}},
	{"wait from the claim", tenureFaults{waitFromClaim: true}},
	{"ask for no promises", tenureFaults{noPromises: true}},
	{"extend by any answer", tenureFaults{anyAnswer: true}},
	{"date evidence at the answer", tenureFaults{dateAtAnswer: true}},
	{"record waits from the claim", tenureFaults{recordFromClaim: true}},
	{"forget owners before the last", tenureFaults{forgetOwners: true}},
	{"lease a server declared unheard", tenureFaults{leaseDeclared: true}},
}

// mutationSequences and mutationSeeds bound what is played until a mutation is seen.
const (
	mutationSequences = 4000
	mutationSeeds     = 6000
)

func TestTenureExplore_DetectsEveryMutation(t *testing.T) {
	for _, m := range tenureMutations {
		t.Run(m.name, func(t *testing.T) {
			t.Parallel()
			if testing.Short() {
				t.Skip("takes seconds")
			}
			bySequence, bySeed := -1, -1
			order := rand.New(rand.NewPCG(1, 2)).Perm(len(tenureBegins) * power(len(tenureAlphabet), tenureSequenceLength))
			for tried, n := range order[:min(len(order), mutationSequences)] {
				if w := playTenureSequence(t, tenureBegins[n%len(tenureBegins)], n/len(tenureBegins), tenureSequenceLength, tried%2 == 1, m.faults); w.breach != "" {
					bySequence = tried
					t.Logf("after %d sequences:\n  %s", tried+1, strings.Join(w.trace, "\n  "))
					break
				}
			}
			for seed := range uint64(mutationSeeds) {
				if w := playTenureSeed(t, seed, m.faults); w.breach != "" {
					bySeed = int(seed)
					t.Logf("seed %d: %s", seed, w.breach)
					break
				}
			}
			if bySequence < 0 && bySeed < 0 {
				t.Error("mutation not detected")
			}
			t.Logf("%s: sequence %d, seed %d", m.name, bySequence, bySeed)
		})
	}
}
