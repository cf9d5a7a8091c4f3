package scheduler

import (
	"fmt"
	"testing"
	"time"

	"github.com/currantwinch/currantwinch/workload"
)

// lastingOf returns a step of tasks that run until they are cancelled, each on 2 cores of a server
// with a label.
func lastingOf(label string, count int) workload.Step {
	s := labelled(label, count)
	s.LongRunning, s.Need.CPU = true, 2000
	return s
}

// runsOf lists the runs of a step in a shard.
func (w *shardWorld) runsOf(shard, step int) map[runKey]time.Time {
	out := make(map[runKey]time.Time)
	for _, v := range w.servers {
		for key, at := range v.runs {
			if v.shard == shard && v.goneAt.IsZero() && key.task.Step == step {
				out[key] = at
			}
		}
	}
	return out
}

// loseKind loses the servers with a label in the first shard.
func (w *shardWorld) loseKind(label string) {
	for _, v := range w.servers {
		if v.shard == 0 && v.info.Labels[0] == label {
			v.goneAt = w.now
		}
	}
}

// Guards against tasks that run nowhere, beside idle servers with their label in another shard,
// for as long as another step of their submission runs (review case 14, LOST).
func TestShards_TasksOfOneKindRunElsewhereBesideAnotherKindThatGoesOn(t *testing.T) {
	w := newShardWorld(t, 2, 1, []string{"a", "a", "b", "b"}, 2)
	w.runTime = time.Hour
	w.submitTo(w.shards[0], fmt.Sprintf("%016x", 0), lastingOf("a", 2), lastingOf("b", 2))
	w.run(3 * time.Second)
	w.loseKind("b")
	w.run(w.shards[0].bounds.lease() + 9*time.Second)
	for step := range 2 {
		if n := len(w.runsOf(1, step)); n != 2 {
			t.Errorf("%d of 2 tasks of step %d run in the shard that can run both steps", n, step)
		}
	}
	for _, v := range w.violations {
		t.Error(v)
	}
}

// Guards against runs that are stopped for nothing.
func TestShards_WhatRunsGoesOnUnlessAnotherShardCanRunAll(t *testing.T) {
	ending := labelled("a", 1)
	ending.Need.CPU = 2000
	for name, row := range map[string]struct {
		first  workload.Step
		before func(w *shardWorld)
	}{
		"no shard has both kinds": {lastingOf("a", 1), func(w *shardWorld) {
			for _, v := range w.servers {
				if v.shard == 1 && v.info.Labels[0] == "a" {
					v.info.Capacity.CPU = 1000
				}
			}
		}},
		"the other shard is full": {lastingOf("a", 1), func(w *shardWorld) {
			full := labelled("b", 4)
			full.Need.CPU = 2000
			w.submitTo(w.shards[1], fmt.Sprintf("%016x", 1), full)
		}},
		"what runs ends by itself": {ending, func(*shardWorld) {}},
		"a server of the kind is busy with tasks that end": {lastingOf("a", 1), func(w *shardWorld) {
			busy := labelled("b", 3)
			busy.Need.CPU = 2000
			w.submitTo(w.shards[0], fmt.Sprintf("%016x", 2), busy)
		}},
	} {
		t.Run(name, func(t *testing.T) {
			w := newShardWorld(t, 2, 1, []string{"a", "a", "b", "b"}, 2)
			w.runTime = time.Hour
			row.before(w)
			w.run(time.Second)
			id := fmt.Sprintf("%016x", 0)
			w.submitTo(w.shards[0], id, row.first, lastingOf("b", 1))
			w.run(3 * time.Second)
			before := w.runsOf(0, 0)
			for key := range before {
				if key.task.Submission != id {
					delete(before, key)
				}
			}
			if len(before) != 1 {
				t.Fatalf("%d runs of the first step, want 1", len(before))
			}
			for _, v := range w.servers {
				for key := range v.runs {
					if key.task.Submission == id && key.task.Step == 1 {
						v.goneAt = w.now
					}
				}
			}
			w.run(30 * time.Second)
			after := w.runsOf(0, 0)
			for key, at := range before {
				if after[key] != at {
					t.Errorf("run %d of %v was stopped", key.run, key.task)
				}
			}
		})
	}
}

// lastQuestion returns the last question to other shards, and drops all.
func (h *harness) lastQuestion() (RoomQuestion, bool) {
	var last RoomQuestion
	found := false
	for _, a := range h.shardCalls {
		if ask, ok := a.(AskRoom); ok {
			last, found = ask.Question, true
		}
	}
	h.shardCalls = nil
	return last, found
}

// answerRoom answers a question for all of its needs.
func (h *harness) answerRoom(q RoomQuestion, fit Fit) {
	fits := make([]Fit, len(q.Needs))
	for i := range fits {
		fits[i] = fit
	}
	h.do(func(c *Core) { c.RoomAnswered(q, []RoomAnswer{{Partition: 1, Fits: fits, FreeCPU: 1 << 20}}) })
}

// Guards against tasks that stay stopped where the room that was promised is gone, and against runs
// that are stopped again and again for it.
func TestCore_RelocationWithoutSuccessEnds(t *testing.T) {
	h := newHarness(t, 1)
	h.answerAllPolls()
	h.submit(id1, lastingOf("a", 1), lastingOf("b", 1))
	start := h.takeStarts()[0]
	h.confirmStart(start)
	// until lets time pass in which others have no room, until done or for the time.
	until := func(most time.Duration, list PollResponse, done func() bool) time.Duration {
		began := h.now
		for h.now.Sub(began) < most && !done() {
			h.advance(100 * time.Millisecond)
			if q, asked := h.lastQuestion(); asked {
				h.answerRoom(q, FitNever)
			}
			if _, asked := h.polls["s0"]; asked {
				h.answerPoll("s0", list)
			}
		}
		return h.now.Sub(began)
	}
	relocate := func() {
		t.Helper()
		for range 100 {
			h.advance(100 * time.Millisecond)
			h.answerPoll("s0", PollResponse{Running: []ActiveRun{runOf(start)}})
			if q, asked := h.lastQuestion(); asked {
				h.answerRoom(q, FitNow)
				break
			}
		}
		if len(h.stops) != 1 {
			t.Fatalf("%d stops after another shard had room for all, want 1", len(h.stops))
		}
		h.stops = nil
		h.answerPoll("s0", PollResponse{Ended: []RunEnd{endOf(start, uint64(start.Order.Run), workload.EndStopped)}})
	}
	relocate()
	took := until(time.Minute, PollResponse{}, func() bool { return len(h.starts) > 0 })
	if took > relocationTimeout+time.Second {
		t.Errorf("started again %s after the stop, want at most %s later than the timeout", took, time.Second)
	}
	if len(h.starts) == 0 {
		t.Fatal("not started again")
	}
	start = h.takeStarts()[0]
	h.confirmStart(start)
	until(minRelocationDelay-2*time.Second, PollResponse{Running: []ActiveRun{runOf(start)}}, func() bool { return len(h.stops) > 0 })
	if len(h.stops) > 0 {
		t.Fatal("stopped again within the delay")
	}
	relocate()
}

// Guards against runs that are stopped every few seconds where policies deny servers of each shard in
// turn: a submission that was passed on often waits longer for each relocation.
func TestShards_RelocationsBecomeRare(t *testing.T) {
	for number, want := range map[int]time.Duration{0: 2 * time.Second, 3: 2 * time.Second, 4: 10 * time.Second, 6: 40 * time.Second, 200: 320 * time.Second} {
		j := &job{sub: &workload.Submission{Transfer: &workload.Transfer{Number: number}}}
		if got := j.splitTime(); got != want {
			t.Errorf("after %d handovers %s, want %s", number, got, want)
		}
	}
}

// Relocations must neither run a task twice nor lose one, whatever becomes of the owners, their
// stores and the calls between them.
func TestShards_RelocationsSurviveFaults(t *testing.T) {
	for i := range *shardSeeds {
		relocationRound(t, *shardSeed+uint64(i))
	}
}

func relocationRound(t *testing.T, seed uint64) {
	t.Helper()
	w := newShardWorld(t, 2, seed, []string{"a", "a", "b", "b"}, 3)
	w.runTime, w.lossy = time.Hour, true
	for i := range 4 {
		w.submitTo(w.shards[0], fmt.Sprintf("%016x", 2*i), lastingOf("a", 1), lastingOf("b", 1))
	}
	w.run(3 * time.Second)
	w.loseKind("b")
	for end := w.now.Add(20 * time.Second); w.now.Before(end); {
		w.run(100 * time.Millisecond)
		s := w.shards[w.rng.IntN(2)]
		switch w.rng.IntN(20) {
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
			v.cutUntil = w.now.Add(time.Duration(w.rng.IntN(8000)) * time.Millisecond)
		}
	}
	w.lossy = false
	w.run(50 * time.Second)
	for step := range 2 {
		if n := len(w.runsOf(1, step)); n != 4 {
			w.violate("%d of 4 tasks of step %d run in the shard that can run both steps", n, step)
		}
	}
	for _, v := range w.violations {
		t.Error(v)
	}
}
