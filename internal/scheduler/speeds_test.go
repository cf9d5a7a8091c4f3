package scheduler

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/currantwinch/currantwinch/workload"
)

// withoutSpeeds lets the Core learn no speeds.
func (w *unevenWorld) withoutSpeeds() { w.core.speedsReviewedAt = w.now.Add(time.Hour) }

// Where servers have speeds 0.7, 0.7 and 1.7, short work that runs anywhere takes over
// twice as long on two thirds of them: on the third deployment half of it was late. It must
// get the fast ones, and the other work must not pay for that.
func TestSpeeds_ShortWorkGetsTheFastServers(t *testing.T) {
	for seed := range uint64(2) {
		var worlds [2]*unevenWorld
		for i := range worlds {
			w := newUnevenWorld(t, seed, 70, 20, server16Cores, mixedSpeedKinds(), 0)
			w.speedOf, w.startTime = mixedSpeeds, 351*time.Millisecond
			if i == 0 {
				w.withoutSpeeds()
			}
			w.run(40*time.Second, 20*time.Second)
			for _, name := range []string{"short", "middle", "long"} {
				t.Logf("seed %d, learned speeds %t: %s: %s", seed, i == 1, name, w.results[name])
			}
			worlds[i] = w
		}
		before, after := worlds[0].results, worlds[1].results
		if b, a := middle(before["short"].took), middle(after["short"].took); a > b*3/4 {
			t.Errorf("seed %d: short work takes %v with learned speeds and %v without, want at most three quarters", seed, a, b)
		}
		if s := after["short"]; s.fast*4 < s.runs*3 {
			t.Errorf("seed %d: %d of %d short runs on fast servers, want three quarters", seed, s.fast, s.runs)
		}
		for _, name := range []string{"short", "middle", "long"} {
			if b, a := before[name].late(), after[name].late(); a > b+0.03 {
				t.Errorf("seed %d: %.3f of the %s work is late with learned speeds, %.3f without", seed, a, name, b)
			}
		}
	}
}

// The speeds 0.8, 1 and 1.25 of the second deployment differ by less than single run times do.
// They must be told apart all the same, and none taken for the opposite.
func TestSpeeds_TellsSmallDifferences(t *testing.T) {
	speeds := []float64{0.8, 1, 1.25}
	for seed := range uint64(2) {
		w := newUnevenWorld(t, seed, 70, 20, server16Cores, mixedSpeedKinds(), 0)
		w.speedOf = func(server int, _ time.Duration) float64 { return speeds[server%3] }
		w.run(80*time.Second, 0)
		known, wrong := 0, 0
		for id, s := range w.servers {
			class := w.core.servers[id].speedClass
			switch kind := s.index%3 - 1; {
			case kind*class < 0, kind == 0 && class != 0:
				wrong++
			case kind*class > 0:
				known++
			}
		}
		t.Logf("seed %d: %d of 47 servers known to be slower or faster than the usual one, %d wrong", seed, known, wrong)
		if known < 30 || wrong > 1 {
			t.Errorf("seed %d: %d of 47 servers known to be slower or faster, want 30; %d wrong, want at most 1", seed, known, wrong)
		}
	}
}

// Chance must change nothing where all servers are alike: short work on servers that are
// fast by chance leaves no room for gangs.
func TestSpeeds_AlikeServersAreUsedAsBefore(t *testing.T) {
	var placed [2][]placedRun
	for i := range placed {
		w := newUnevenWorld(t, 1, 40, 20, server16Cores, mixedSpeedKinds(), 0)
		for k := range w.kinds {
			w.kinds[k].perSecond /= 2
		}
		if i == 0 {
			w.withoutSpeeds()
		}
		w.run(20*time.Second, 0)
		for _, s := range w.core.servers {
			if i == 1 && s.slow() {
				t.Errorf("%s counts as slow", s.info.ID)
			}
		}
		placed[i] = w.placed
	}
	same := 0
	for same < min(len(placed[0]), len(placed[1])) && placed[0][same] == placed[1][same] {
		same++
	}
	t.Logf("the first %d of %d placements are the same", same, len(placed[0]))
	if !slices.Equal(placed[0], placed[1]) {
		t.Errorf("placement %d of %d is another one with learned speeds", same, len(placed[0]))
	}
}

// A server that turns slow for a while must get little work meanwhile, and work again
// afterwards.
func TestSpeeds_WorkGoesRoundASlowServerAndComesBack(t *testing.T) {
	w := newUnevenWorld(t, 2, 20, 20, server16Cores, mixedSpeedKinds(), 0)
	for k := range w.kinds {
		w.kinds[k].perSecond /= 3.5
	}
	slow := func(server int) bool { return server < 2 }
	w.speedOf = func(server int, at time.Duration) float64 {
		if slow(server) && at > 15*time.Second && at < 40*time.Second {
			return 0.2
		}
		return 1
	}
	w.run(100*time.Second, 0)
	count := func(from, to time.Duration) (there, all int) {
		for _, p := range w.placed {
			if p.at >= from && p.at < to {
				all++
				if slow(w.servers[p.server].index) {
					there++
				}
			}
		}
		return there, all
	}
	share := func(from, to time.Duration) float64 {
		there, all := count(from, to)
		return float64(there) / float64(max(all, 1))
	}
	before, during, after := share(0, 15*time.Second), share(22*time.Second, 40*time.Second), share(60*time.Second, 100*time.Second)
	t.Logf("part of the runs on the two servers: %.3f before, %.3f while they are slow, %.3f afterwards", before, during, after)
	if during > before/3 {
		t.Errorf("%.3f of the runs on the slow servers, %.3f before, want at most a third", during, before)
	}
	if after < before/2 {
		t.Errorf("%.3f of the runs on the servers that are not slow any more, %.3f before, want at least half", after, before)
	}
}

// Nothing may wait beside an idle server for longer than it gains: with nothing running for
// 3 s beside free capacity a submission counts as lost.
func TestSpeeds_SlowServerIsUsedWhereNothingElseIsFree(t *testing.T) {
	h := newHarness(t, 3)
	h.answerAllPolls()
	slow := h.core.servers["s0"]
	slow.speedClass = -5
	known := h.core.speedsOf(testService)
	known.servers, known.slow, known.unequal = 3, 1, true
	h.core.speedsReviewedAt = h.now.Add(time.Hour)
	h.occupy("s1", 32000, 0)
	h.occupy("s2", 32000, 0)
	h.submit(id1, oneTask(1000))
	h.advance(500 * time.Millisecond)
	if starts := h.takeStarts(); len(starts) != 0 {
		t.Fatalf("started on %s at once, want a wait for another server", starts[0].To.ID)
	}
	h.advance(600 * time.Millisecond)
	if starts := h.takeStarts(); len(starts) != 1 || starts[0].To.ID != "s0" {
		t.Errorf("starts %+v after 1.1 s, want one on the slow server", starts)
	}
}

// The run times of a queue whose tasks declare none must be learned all the same: otherwise
// nothing is expected of its tasks, no straggler among them is found, and no server that turns
// slow under them.
func TestSpeeds_UsualTimeIsLearnedWithoutDeclaredTimes(t *testing.T) {
	h := newHarness(t, 1)
	h.answerAllPolls()
	step := oneTask(1000)
	step.Estimate = 0
	for i := range uint64(12) {
		h.submit(fmt.Sprintf("%016x", i+1), step)
		starts := h.takeStarts()
		if len(starts) != 1 {
			t.Fatalf("%d starts, want 1", len(starts))
		}
		h.confirmStart(starts[0])
		h.pass(2 * time.Second)
		h.answerPoll("s0", PollResponse{Ended: []RunEnd{endOf(starts[0], i+1, workload.EndDone)}})
	}
	h.submit(id1, step)
	if got := h.firstTask(id1).step.work(); got < 1900*time.Millisecond || got > 2100*time.Millisecond {
		t.Errorf("%v expected of a task after 12 runs of 2 s, want 2 s", got)
	}
}

// One member on a slower server makes a gang hold all others for as long.
func TestSpeeds_GangGetsServersOfSimilarSpeed(t *testing.T) {
	h := newHarness(t, 4)
	h.answerAllPolls()
	for id, class := range map[string]int{"s0": 2, "s1": -1, "s2": 2, "s3": -1} {
		h.core.servers[id].speedClass = class
	}
	known := h.core.speedsOf(testService)
	known.servers, known.unequal = 4, true
	h.core.speedsReviewedAt = h.now.Add(time.Hour)
	h.occupy("s1", 8000, 0)
	gang := oneTask(16000)
	gang.Count, gang.Gang = 4, true
	h.submit(id1, gang)
	starts := h.takeStarts()
	if len(starts) != 4 {
		t.Fatalf("%d members started, want 4", len(starts))
	}
	for _, s := range starts {
		if s.To.ID != "s0" && s.To.ID != "s2" {
			t.Errorf("a member starts on %s, want all on the two fast servers", s.To.ID)
		}
	}
}

// What was learned belongs to an instance: the next one under its ID may be another machine.
func TestSpeeds_NextInstanceIsUnknown(t *testing.T) {
	h := newHarness(t, 1)
	h.answerAllPolls()
	start := h.runOne(id1, 1000)
	h.pass(5 * time.Second)
	h.answerPoll("s0", PollResponse{Ended: []RunEnd{endOf(start, 1, workload.EndDone)}})
	if h.core.servers["s0"].speed.Speed(h.now) >= 1 {
		t.Fatal("nothing learned from a run of 5 s where 1 s was declared")
	}
	h.answerPoll("s0", PollResponse{StartedAtMS: 2000})
	if got := h.core.servers["s0"].speed.Speed(h.now); got != 1 {
		t.Errorf("speed %v of the next instance, want the prior of 1", got)
	}
}
