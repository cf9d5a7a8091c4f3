package scheduler

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/currantwinch/currantwinch/workload"
)

var (
	shardSeeds = flag.Int("shard-seeds", 12, "seeds of the simulation of shards")
	shardSeed  = flag.Uint64("shard-seed", 1, "first seed of the simulation of shards")
)

func labelled(label string, count int) workload.Step {
	s := oneTask(1000)
	s.Label, s.Count = label, count
	return s
}

// The servers that a submission requires are all in another shard. It must run there,
// whether it was accepted before or after the last such server of its own shard was lost.
func TestShards_SubmissionThatItsShardCannotRunGoesToOneThatCan(t *testing.T) {
	for _, shards := range []int{2, 8} {
		t.Run(fmt.Sprint(shards), func(t *testing.T) {
			racks := make([]string, shards)
			for i := range racks {
				racks[i] = "a"
			}
			racks[0], racks[1] = "b", "b"
			w := newShardWorld(t, shards, 1, racks, 4)
			w.runTime = 10 * time.Second
			for i := range 2 * shards {
				w.submitTo(w.shards[i%shards], fmt.Sprintf("%016x", i), labelled("b", 2))
			}
			w.run(3 * time.Second)
			for _, v := range w.servers {
				if v.shard == 0 {
					v.goneAt = w.now
				}
			}
			w.run(3 * time.Second)
			for i := range 2 * shards {
				w.submitTo(w.shards[i%shards], fmt.Sprintf("%016x", 1<<16+i), labelled("b", 2))
			}
			w.run(2 * time.Minute)
			w.check()
		})
	}
}

// A step with more cores a task than any server of the shard, and a gang wider than the
// shard's servers hold, must go to a shard that can run them.
func TestShards_EveryLackOfAShardIsMadeUpForByAnother(t *testing.T) {
	wide := labelled("", 12)
	wide.Gang = true
	large := labelled("", 1)
	large.Need.CPU = 16000
	graphics := labelled("", 1)
	graphics.Need.GPU = 1
	memory := labelled("", 1)
	memory.Need.MemoryMB = 60000
	for name, step := range map[string]workload.Step{"cores": large, "gang": wide, "accelerator": graphics, "memory": memory} {
		t.Run(name, func(t *testing.T) {
			w := newShardWorld(t, 2, 1, []string{"a", "a"}, 1)
			for _, v := range w.servers {
				if v.shard == 1 {
					v.info.Capacity = workload.Resources{CPU: 64000, MemoryMB: 128000, GPU: 8}
				}
			}
			w.run(time.Second)
			w.submitTo(w.shards[0], "0000000000000000", step)
			w.run(8 * time.Second)
			w.check()
		})
	}
}

// One shard is full for minutes while another is at rest: what waits with nothing
// running goes there, and within 3 s.
func TestShards_FullShardHandsOverToOneAtRest(t *testing.T) {
	w := newShardWorld(t, 2, 1, []string{"a", "a"}, 4)
	w.runTime = 2 * time.Minute
	full := labelled("", 16)
	w.submitTo(w.shards[0], fmt.Sprintf("%016x", 0), full)
	w.run(time.Second)
	w.submitTo(w.shards[0], fmt.Sprintf("%016x", 2), labelled("", 2))
	w.run(3 * time.Second)
	if got := w.statusOf(fmt.Sprintf("%016x", 2)); got != workload.StatusRunning {
		t.Errorf("status %q 3 s after it was accepted by a full shard beside one at rest, want running", got)
	}
	w.run(150 * time.Second)
	w.check()
}

// No shard can run a submission. It must stay where it is, and run soon after a server
// comes up that can.
func TestShards_SubmissionThatNoShardCanRunIsNotPassedOn(t *testing.T) {
	w := newShardWorld(t, 2, 1, []string{"a", "a"}, 2)
	id := fmt.Sprintf("%016x", 0)
	w.submitTo(w.shards[0], id, labelled("b", 1))
	w.run(30 * time.Second)
	if len(w.shards[0].core.jobs) != 1 {
		t.Fatal("the submission was handed over although no shard can run it")
	}
	for _, v := range w.servers {
		if v.shard == 1 {
			v.info.Labels = []string{"b", "r1"}
		}
	}
	w.run(4 * time.Second)
	if got := w.statusOf(id); got != workload.StatusCompleted {
		t.Errorf("status %q 4 s after a server came up that can run it for a second, want completed", got)
	}
	w.check()
}

// shardRound is one seeded round: owners end, stores are away for one owner, servers are
// cut off and lost, and calls between owners are lost, late and repeated, while
// submissions come that some shards cannot run.
func shardRound(t *testing.T, shards int, seed uint64) {
	t.Helper()
	kinds := []string{"a", "b", "c"}
	racks := make([]string, 3*shards)
	for i := range racks {
		racks[i] = kinds[i%len(kinds)]
	}
	order := rand.New(rand.NewPCG(seed, 3))
	order.Shuffle(len(racks), func(i, k int) { racks[i], racks[k] = racks[k], racks[i] })
	w := newShardWorld(t, shards, seed, racks, 2)
	w.lossy = true
	next := 0
	for end := w.now.Add(40 * time.Second); w.now.Before(end); {
		w.run(100 * time.Millisecond)
		s := w.shards[w.rng.IntN(shards)]
		switch w.rng.IntN(24) {
		case 0:
			if s.owned() {
				w.endOwner(s)
			}
		case 1:
			if s.owned() {
				s.holdStores, s.storeBackAt = true, w.now.Add(time.Duration(w.rng.IntN(4000))*time.Millisecond)
			}
		case 2:
			v := w.servers[w.rng.IntN(len(w.servers))]
			v.cutUntil = w.now.Add(time.Duration(w.rng.IntN(15000)) * time.Millisecond)
		case 3:
			w.loseServer(kinds)
		case 4, 5:
			if len(w.submitted) > 0 {
				w.cancel(w.submitted[w.rng.IntN(len(w.submitted))])
			}
		case 6, 7, 8, 9:
			id := fmt.Sprintf("%016x", next)
			step := labelled(kinds[w.rng.IntN(len(kinds))], 1+w.rng.IntN(4))
			after := labelled(kinds[w.rng.IntN(len(kinds))], 1)
			after.After = []int{0}
			if w.submitTo(w.home(id), id, step, after) {
				next++
			}
			if len(w.submitted) > 0 {
				again := w.submitted[w.rng.IntN(len(w.submitted))]
				w.submitTo(w.home(again), again, step)
			}
		}
	}
	w.lossy = false
	w.run(50 * time.Second)
	w.check()
}

// loseServer loses a server for good, but for the last two of a kind.
func (w *shardWorld) loseServer(kinds []string) {
	v := w.servers[w.rng.IntN(len(w.servers))]
	left := 0
	for _, other := range w.servers {
		if other.goneAt.IsZero() && other.info.Labels[0] == v.info.Labels[0] {
			left++
		}
	}
	if left > 2 && v.goneAt.IsZero() {
		v.goneAt = w.now
	}
}

// Handovers must neither run a task twice, nor lose a submission, nor start one after
// its cancel was acknowledged, whatever becomes of the owners, their stores and the calls
// between them.
func TestShards_HandoversSurviveFaults(t *testing.T) {
	for _, shards := range []int{2, 8} {
		for i := range *shardSeeds {
			shardRound(t, shards, *shardSeed+uint64(i))
		}
	}
}

// A cancelled submission waits in the queue until the next placement pass drops it. It
// must not be handed over, or the other shard would start it.
func TestShards_CancelledSubmissionIsNotHandedOver(t *testing.T) {
	h := newHarness(t, 1)
	h.answerAllPolls()
	h.submit(id1, labelled("b", 1))
	for range 6 {
		h.advance(roomInterval)
	}
	question := h.shardCalls[len(h.shardCalls)-1].(AskRoom).Question
	h.core.SetTime(h.now, h.wall)
	h.core.Cancel(id1, func(Reply) {})
	h.core.RoomAnswered(question, []RoomAnswer{{Partition: 1, Fits: []Fit{FitNow}, FreeCPU: 1 << 20}})
	h.finish()
	if len(h.core.departures) != 0 || h.status(id1) != workload.StatusCancelled {
		t.Errorf("%d handovers and status %q, want none and cancelled", len(h.core.departures), h.status(id1))
	}
}

// A handover that the other partition took long ago comes once more. It must be confirmed
// without effect, whether the submission runs there, has ended or has been handed on.
func TestShards_LateCopyOfAHandoverHasNoEffect(t *testing.T) {
	handover := Handover{
		Number: 1, MaxRun: 5, Started: true,
		Submission: workload.Submission{ID: id1, Queue: testQueue, Service: testService, Spec: "x", Steps: []workload.Step{oneTask(1000)}},
	}
	take := func(h *harness) (confirmed bool) {
		h.do(func(c *Core) { c.TakeOver(handover, func(r Reply) { confirmed = r.Outcome == OutcomeDone }) })
		return confirmed
	}
	for _, restarted := range []bool{false, true} {
		h := newHarness(t, 1)
		h.answerAllPolls()
		if !take(h) {
			t.Fatal("the handover was not confirmed")
		}
		if got := h.status(id1); got != workload.StatusRunning {
			t.Errorf("status %q of a submission that had begun before, want running", got)
		}
		start := h.takeStarts()[0]
		if start.Order.Run != 6 {
			t.Errorf("started as run %d, want 6: run 5 was used before", start.Order.Run)
		}
		h.confirmStart(start)
		h.answerPoll("s0", PollResponse{Ended: []RunEnd{endOf(start, 1, workload.EndDone)}})
		if restarted {
			h.takeOver()
			h.answerAllPolls()
		}
		if !take(h) || len(h.takeStarts()) != 0 || h.status(id1) != workload.StatusCompleted {
			t.Errorf("after a restart %t: status %q and starts after a late copy, want completed and none", restarted, h.status(id1))
		}
	}
}

// The log rejects the record of a handover for good. The submission stays, and can run.
func TestShards_SubmissionWhoseHandoverIsRejectedStays(t *testing.T) {
	h := newHarness(t, 1)
	h.answerAllPolls()
	h.submit(id1, labelled("b", 1))
	h.advance(roomInterval)
	h.holdStores = true
	h.do(func(c *Core) { c.handOver(c.jobs[id1], 1, testService, handoverIncapable) })
	rejected := h.stores[0]
	h.stores = nil
	h.do(func(c *Core) { c.WriteRejected(rejected.WriteID, errNoAnswer) })
	h.holdStores = false
	if got := h.status(id1); got != workload.StatusQueued {
		t.Errorf("status %q, want queued", got)
	}
	h.servers[0].Labels = []string{"b", "r0"}
	h.do(func(c *Core) { c.SetServers(h.servers) })
	h.advance(roomInterval)
	if n := len(h.takeStarts()); n != 1 {
		t.Errorf("%d starts once a server can run it, want 1", n)
	}
}

// A forward is kept for as long as the other partition knows the submission, and the final
// state there until the first partition has its forward.
func TestShards_ForwardsAreDroppedWithTheSubmission(t *testing.T) {
	w := newShardWorld(t, 2, 1, []string{"a", "b"}, 2)
	w.submitTo(w.shards[0], fmt.Sprintf("%016x", 0), labelled("b", 1))
	w.run(2 * time.Minute)
	w.check()
	if len(w.shards[0].core.forwards) != 1 {
		t.Fatalf("%d forwards within the retention, want 1", len(w.shards[0].core.forwards))
	}
	w.run(time.Minute)
	for _, s := range w.shards {
		if n := len(s.core.forwards) + len(s.core.finalStates) + len(s.core.departures); n != 0 {
			t.Errorf("shard %d still knows %d submissions after the retention", s.number, n)
		}
	}
}

// Starts are not stored, so that each owner numbers runs above all that earlier ones may
// have used. After a handover from a partition with a far higher epoch that must hold
// here too: a run number used twice is one run to the servers.
func TestShards_NextOwnerNumbersRunsAboveThoseSinceTheHandover(t *testing.T) {
	h := newHarness(t, 1)
	h.answerAllPolls()
	sub := workload.Submission{ID: id1, Queue: testQueue, Service: testService, Spec: "x", Steps: []workload.Step{oneTask(1000)}}
	h.do(func(c *Core) {
		c.TakeOver(Handover{Number: 1, MaxRun: 50 * runsPerEpoch, Submission: sub}, func(Reply) {})
	})
	first := h.takeStarts()[0].Order.Run
	h.takeOver()
	for range 12 {
		h.answerAllPolls()
		h.advance(time.Second)
	}
	starts := h.takeStarts()
	if len(starts) != 1 || starts[0].Order.Run < first+runsPerEpoch {
		t.Errorf("starts %+v of the next owner, want one with a run of at least %d", starts, first+runsPerEpoch)
	}
}

// Two of a submission's long-running tasks lose their servers, and the shard has no other
// server of their kind. The two others go on. Those that lost theirs must run in the shard
// that has such servers, within the 9 s that callers wait for them.
func TestShards_LongRunningTaskRunsElsewhereBesideOthersThatGoOn(t *testing.T) {
	w := newShardWorld(t, 2, 1, []string{"b", "b"}, 2)
	w.runTime = time.Hour
	lasting := labelled("b", 4)
	lasting.LongRunning, lasting.MaxPerServer, lasting.Need.CPU = true, 2, 2000
	id := fmt.Sprintf("%016x", 0)
	w.submitTo(w.shards[0], id, lasting)
	w.run(3 * time.Second)
	w.servers[0].goneAt = w.now
	w.run(w.shards[0].bounds.lease() + 9*time.Second)
	running := 0
	for _, v := range w.servers {
		if v.goneAt.IsZero() {
			running += len(v.runs)
		}
	}
	if running != 4 {
		t.Errorf("%d of 4 tasks run 9 s after the leases of the lost server, beside room for 8, want all", running)
	}
}

// A submission may be passed on many times where policies deny the servers of each shard in
// turn. Each time it must wait, for no longer than callers do.
func TestShards_WaitBeforeEachHandoverIsBounded(t *testing.T) {
	last := time.Duration(0)
	for number := range 200 {
		j := &job{sub: &workload.Submission{Transfer: &workload.Transfer{Number: number}}}
		wait := j.stuckTime()
		if wait < max(last, stuckTime) || wait > 4*time.Second {
			t.Fatalf("waits %s before handover %d, after %s before the one before", wait, number+1, last)
		}
		last = wait
	}
}
