package scheduler

import (
	"testing"
	"time"

	"github.com/currantwinch/currantwinch/verdict"
	"github.com/currantwinch/currantwinch/workload"
)

// knowUsual lets the Core know that tasks of the queue take 1 s, as declared.
func (h *harness) knowUsual() {
	for range 12 {
		h.core.runTimes[testQueue].usual.Observe(time.Second, time.Second, 1)
	}
}

// speculative returns a step of n tasks that may run in several copies.
func speculative(n int) workload.Step {
	st := oneTask(1000)
	st.Count, st.Speculative = n, true
	return st
}

// wait lets time pass, in which the servers list what runs on them.
func (h *harness) wait(d time.Duration, running map[string][]StartTask) {
	for ; d > 0; d -= 100 * time.Millisecond {
		h.advance(min(d, 100*time.Millisecond))
		for _, s := range h.servers {
			if poll, ok := h.polls[s.ID]; ok && poll.Request.LeaseDeadlineMS > 0 {
				h.answerPoll(s.ID, listOf(running[s.ID]))
			}
		}
	}
}

func listOf(running []StartTask) PollResponse {
	var list PollResponse
	for _, a := range running {
		list.Running = append(list.Running, runOf(a))
	}
	return list
}

// straggler runs a task of a step for 3 s, three times its usual time, and returns its
// start and that of its copy.
func (h *harness) straggler(st workload.Step) (first, second StartTask) {
	h.t.Helper()
	h.answerAllPolls()
	h.submit(id1, st)
	starts := h.takeStarts()
	if len(starts) != 1 {
		h.t.Fatalf("%d starts, want 1", len(starts))
	}
	first = starts[0]
	h.confirmStart(first)
	h.knowUsual()
	h.wait(3*time.Second, map[string][]StartTask{first.To.ID: {first}})
	starts = h.takeStarts()
	if len(starts) != 1 {
		h.t.Fatalf("%d copies of a run of 3 s where 1 s is usual, want 1", len(starts))
	}
	second = starts[0]
	if second.To.ID == first.To.ID || second.Order.Run <= first.Order.Run || second.Order.Task != first.Order.Task {
		h.t.Fatalf("copy %+v, want a later run of the same task on another server than %s", second.Order, first.To.ID)
	}
	h.confirmStart(second)
	return first, second
}

// firstAttempts returns the two runs of the first task of a submission.
func (h *harness) firstAttempts(id string) (first, second *attempt) {
	t := h.firstTask(id)
	return t.attempt, t.copy
}

// The run that is not needed any more must not go on until it ends by itself, and its
// capacity must stay reserved until its end is certain.
func TestCopies_FirstEndCountsAndTheOtherIsStopped(t *testing.T) {
	for _, copyWins := range []bool{true, false} {
		h := newHarness(t, 3)
		winner, loser := h.straggler(speculative(1))
		if copyWins {
			winner, loser = loser, winner
		}
		h.stops = nil
		h.answerPoll(winner.To.ID, PollResponse{Ended: []RunEnd{endOf(winner, 1, workload.EndDone)}})
		if got := h.status(id1); got != workload.StatusCompleted {
			t.Errorf("copy first %t: status %q after the first end, want completed", copyWins, got)
		}
		if len(h.stops) != 1 || h.stops[0].To.ID != loser.To.ID || h.stops[0].Order.Run != loser.Order.Run {
			t.Errorf("copy first %t: stops %+v, want the other run", copyWins, h.stops)
		}
		if free := h.core.servers[loser.To.ID].free.CPU; free != 31000 {
			t.Errorf("copy first %t: %d free where the other run may still go on, want 31000", copyWins, free)
		}
		h.do(func(c *Core) { c.StopCompleted(loser.To, loser.Order, nil) })
		h.answerPoll(loser.To.ID, PollResponse{Ended: []RunEnd{endOf(loser, 1, workload.EndDone)}})
		if free := h.core.servers[loser.To.ID].free.CPU; free != 32000 {
			t.Errorf("copy first %t: %d free after the end of the other run, want 32000", copyWins, free)
		}
		h.wait(2*time.Second, nil)
		if starts := h.takeStarts(); len(starts) != 0 {
			t.Errorf("copy first %t: %d starts after the task ended", copyWins, len(starts))
		}
	}
}

// A copy may only be started where that is allowed, and takes no capacity that a step waits
// for: first starts are worth more.
func TestCopies_NoneWhereTheyMayNotBe(t *testing.T) {
	plain := speculative(1)
	plain.Speculative = false
	gang := speculative(2)
	gang.Gang = true
	lasting := speculative(1)
	lasting.LongRunning = true
	spread := speculative(2)
	spread.MaxPerServer = 1
	for name, c := range map[string]struct {
		step    workload.Step
		servers int
		prepare func(h *harness)
	}{
		"step is not speculative": {plain, 3, nil},
		"gang":                    {gang, 3, nil},
		"long-running task":       {lasting, 3, nil},
		"one more failed run ends the submission":     {speculative(1), 3, func(h *harness) { h.firstTask(id1).failedRuns = []int{1} }},
		"no other server":                             {speculative(1), 1, nil},
		"anti-affinity, and each server has one task": {spread, 2, nil},
		"no usual time is known":                      {speculative(1), 3, func(h *harness) { h.core.runTimes[testQueue] = &runTimes{} }},
		"other servers are full":                      {speculative(1), 2, func(h *harness) { h.occupy("s1", 32000, 0); h.occupy("s0", 30000, 0) }},
		"the task may crash its server": {speculative(1), 3, func(h *harness) {
			h.firstTask(id1).exposure = &workload.Exposure{Server: "s0", Run: 1, Trial: true}
		}},
		"a step waits for that capacity": {speculative(1), 2, func(h *harness) {
			h.occupy("s0", 30000, 0)
			h.occupy("s1", 30000, 0)
			wide := oneTask(2000)
			wide.Count, wide.Gang = 3, true
			h.submit(id2, wide)
		}},
	} {
		h := newHarness(t, c.servers)
		h.answerAllPolls()
		h.submit(id1, c.step)
		running := make(map[string][]StartTask)
		for _, a := range h.takeStarts() {
			h.confirmStart(a)
			running[a.To.ID] = append(running[a.To.ID], a)
		}
		if len(running) == 0 {
			t.Fatalf("%s: nothing started", name)
		}
		h.knowUsual()
		if c.prepare != nil {
			c.prepare(h)
			for _, st := range h.core.jobs[id1].occurrences[0].steps {
				st.job().runs = h.core.runTimes[testQueue]
			}
		}
		h.wait(4*time.Second, running)
		if starts := h.takeStarts(); len(starts) != 0 {
			t.Errorf("%s: a copy %+v was started", name, starts[0].Order)
		}
	}
}

// Copies of all runs that are late after a fault would take as much capacity again.
func TestCopies_StayWithinTheirBudget(t *testing.T) {
	h := newHarness(t, 4)
	h.answerAllPolls()
	h.submit(id1, speculative(20))
	running := make(map[string][]StartTask)
	for _, a := range h.takeStarts() {
		h.confirmStart(a)
		running[a.To.ID] = append(running[a.To.ID], a)
	}
	h.knowUsual()
	h.wait(3*time.Second, running)
	if starts := h.takeStarts(); len(starts) != 1 {
		t.Errorf("%d copies of one core beside runs on 20 cores, want 1", len(starts))
	}
}

// The owner dies while two runs of a task are in progress. The next one must stop neither,
// start no third, and let the first end count.
func TestCopies_NextOwnerAdoptsBoth(t *testing.T) {
	h := newHarness(t, 3)
	first, second := h.straggler(speculative(1))
	h.takeOver()
	for _, s := range h.servers {
		switch s.ID {
		case first.To.ID:
			h.answerPoll(s.ID, listOf([]StartTask{first}))
		case second.To.ID:
			h.answerPoll(s.ID, listOf([]StartTask{second}))
		default:
			h.answerPoll(s.ID, PollResponse{})
		}
	}
	h.wait(2*time.Second, map[string][]StartTask{first.To.ID: {first}, second.To.ID: {second}})
	if len(h.stops) != 0 || len(h.takeStarts()) != 0 {
		t.Fatalf("stops %+v, starts %+v after the takeover, want none", h.stops, h.starts)
	}
	if a, b := h.firstAttempts(id1); a == nil || b == nil {
		t.Fatal("the next owner does not know both runs")
	}
	h.answerPoll(first.To.ID, PollResponse{Ended: []RunEnd{endOf(first, 1, workload.EndDone)}})
	if got := h.status(id1); got != workload.StatusCompleted {
		t.Errorf("status %q after the first end, want completed", got)
	}
	if len(h.stops) != 1 || h.stops[0].To.ID != second.To.ID {
		t.Errorf("stops %+v, want the other run", h.stops)
	}
}

// A second run of a task that may not have one is stopped, as before.
func TestCopies_NextOwnerStopsASecondRunOfAnOrdinaryTask(t *testing.T) {
	h := newHarness(t, 2)
	h.answerAllPolls()
	first := h.runOne(id1, 1000)
	second := first
	second.Order.Run++
	second.To.ID = map[string]string{"s0": "s1", "s1": "s0"}[first.To.ID]
	h.takeOver()
	h.answerPoll(first.To.ID, listOf([]StartTask{first}))
	h.answerPoll(second.To.ID, listOf([]StartTask{second}))
	if len(h.stops) != 1 {
		t.Errorf("%d stops, want one of the two runs", len(h.stops))
	}
}

// The first end is listed and the owner dies before it is stored. The next owner must not
// start the task, and must stop the other run.
func TestCopies_FirstEndNotedLate(t *testing.T) {
	for _, endFirst := range []bool{true, false} {
		h := newHarness(t, 2)
		first, second := h.straggler(speculative(1))
		h.holdStores = true
		done := PollResponse{Ended: []RunEnd{endOf(second, 1, workload.EndDone)}}
		h.answerPoll(second.To.ID, done)
		h.holdStores = false
		h.takeOver()
		if endFirst {
			h.answerPoll(second.To.ID, done)
			h.answerPoll(first.To.ID, listOf([]StartTask{first}))
		} else {
			h.answerPoll(first.To.ID, listOf([]StartTask{first}))
			h.answerPoll(second.To.ID, done)
		}
		h.advance(50 * time.Millisecond)
		if starts := h.takeStarts(); len(starts) != 0 {
			t.Errorf("end first %t: %d starts of a task that ended", endFirst, len(starts))
		}
		if len(h.stops) == 0 || h.stops[0].To.ID != first.To.ID {
			t.Errorf("end first %t: stops %+v, want the run that goes on", endFirst, h.stops)
		}
		if got := h.status(id1); got != workload.StatusCompleted {
			t.Errorf("end first %t: status %q, want completed", endFirst, got)
		}
	}
}

// A server crashes under one of two runs. That counts against the task like any crash; the
// other run goes on, and no third is started beside it.
func TestCopies_CrashUnderOneOfTwoRuns(t *testing.T) {
	for _, copyCrashes := range []bool{true, false} {
		h := newHarness(t, 3)
		first, second := h.straggler(speculative(1))
		crashed, other := first, second
		if copyCrashes {
			crashed, other = second, first
		}
		h.answerPoll(crashed.To.ID, listOf([]StartTask{crashed}))
		h.answerPoll(crashed.To.ID, PollResponse{StartedAtMS: 2000})
		h.relist(crashed.To.ID, 2000)
		task := h.firstTask(id1)
		if len(task.crashes.Crashes) != 1 || task.crashes.Crashes[0].Run != crashed.Order.Run {
			t.Errorf("copy %t: crashes %+v, want that under run %d", copyCrashes, task.crashes.Crashes, crashed.Order.Run)
		}
		if task.attempt == nil || task.attempt.run != other.Order.Run || task.copy != nil {
			t.Fatalf("copy %t: the other run is not the only one of the task", copyCrashes)
		}
		for range 30 {
			h.advance(100 * time.Millisecond)
			if _, ok := h.polls[other.To.ID]; ok {
				h.answerPoll(other.To.ID, listOf([]StartTask{other}))
			}
		}
		if starts := h.takeStarts(); len(starts) != 0 {
			t.Errorf("copy %t: started as run %d beside run %d", copyCrashes, starts[0].Order.Run, other.Order.Run)
		}
		h.answerPoll(other.To.ID, PollResponse{Ended: []RunEnd{endOf(other, 1, workload.EndDone)}})
		if got := h.status(id1); got != workload.StatusCompleted {
			t.Errorf("copy %t: status %q after the other run ended, want completed", copyCrashes, got)
		}
	}
}

// Failed copies count like any failed run, and one that fails after the task ended does not
// fail the submission.
func TestCopies_FailedRunsCount(t *testing.T) {
	h := newHarness(t, 3)
	first, second := h.straggler(speculative(1))
	h.answerPoll(second.To.ID, PollResponse{Ended: []RunEnd{endOf(second, 1, workload.EndFailed)}})
	if got := h.status(id1); got.Terminal() {
		t.Fatalf("status %q after one of two runs failed", got)
	}
	if n := len(h.takeStarts()); n != 0 {
		t.Errorf("%d starts in the moment of the failure, want none", n)
	}
	h.answerPoll(first.To.ID, PollResponse{Ended: []RunEnd{endOf(first, 1, workload.EndFailed)}})
	if got := h.status(id1); got != workload.StatusFailed {
		t.Errorf("status %q after two failed runs, want failed", got)
	}

	h = newHarness(t, 3)
	two := speculative(1)
	later := oneTask(1000)
	later.After = []int{0}
	h.answerAllPolls()
	h.submit(id1, two, later)
	first = h.takeStarts()[0]
	h.confirmStart(first)
	h.knowUsual()
	h.wait(3*time.Second, map[string][]StartTask{first.To.ID: {first}})
	second = h.takeStarts()[0]
	h.confirmStart(second)
	h.config.Queues[0].MaxFailedRuns = 1
	h.do(func(c *Core) { c.Configure(h.config) })
	h.answerPoll(second.To.ID, PollResponse{Ended: []RunEnd{endOf(second, 1, workload.EndDone)}})
	h.answerPoll(first.To.ID, PollResponse{Ended: []RunEnd{endOf(first, 1, workload.EndFailed)}})
	if got := h.status(id1); got == workload.StatusFailed {
		t.Error("the submission failed by a run of a task that had ended done")
	}
}

// The start of the copy gets no answer and the first run ends. The copy may begin any time:
// it must be stopped, and its capacity stay reserved until that is certain.
func TestCopies_StartWithoutAnAnswerIsStopped(t *testing.T) {
	h := newHarness(t, 2)
	h.answerAllPolls()
	h.submit(id1, speculative(1))
	first := h.takeStarts()[0]
	h.confirmStart(first)
	h.knowUsual()
	h.wait(2500*time.Millisecond, map[string][]StartTask{first.To.ID: {first}})
	second := h.takeStarts()[0]
	h.do(func(c *Core) {
		c.StartCompleted(second.To, second.Order, 0, verdict.New(verdict.MayHaveRun, ReasonNoAnswer, "no answer"))
	})
	h.stops = nil
	h.answerPoll(first.To.ID, PollResponse{Ended: []RunEnd{endOf(first, 1, workload.EndDone)}})
	if len(h.stops) != 1 || h.stops[0].Order.Run != second.Order.Run {
		t.Fatalf("stops %+v, want the copy", h.stops)
	}
	h.do(func(c *Core) {
		c.StopCompleted(second.To, second.Order, verdict.New(verdict.MayHaveRun, ReasonNoAnswer, "no answer"))
	})
	if free := h.core.servers[second.To.ID].free.CPU; free != 31000 {
		t.Errorf("%d free while the copy may begin, want 31000", free)
	}
}

// A refused copy is as if it had never been: the first run goes on.
func TestCopies_RefusedCopy(t *testing.T) {
	h := newHarness(t, 2)
	h.answerAllPolls()
	h.submit(id1, speculative(1))
	first := h.takeStarts()[0]
	h.confirmStart(first)
	h.knowUsual()
	h.wait(2500*time.Millisecond, map[string][]StartTask{first.To.ID: {first}})
	second := h.takeStarts()[0]
	h.do(func(c *Core) {
		c.StartCompleted(second.To, second.Order, 0, verdict.New(verdict.NotRun, ReasonUnhealthy, "unhealthy"))
	})
	if a, b := h.firstAttempts(id1); a == nil || a.run != first.Order.Run || b != nil {
		t.Error("want the first run as the only one of the task")
	}
	if free := h.core.servers[second.To.ID].free.CPU; free != 32000 {
		t.Errorf("%d free after the copy was refused, want 32000", free)
	}
}

// A copy needs a ticket like any start: the servers refuse it without, and it must not go to
// a server that the policy denies.
func TestCopies_NeedTickets(t *testing.T) {
	for _, allowed := range [][]string{{"s0", "s1"}, {"s0"}} {
		h := newHarness(t, 3)
		h.requireTickets()
		h.answerAllPolls()
		h.submit(id1, speculative(1))
		h.answerRequests(allowed...)
		first := h.takeStarts()[0]
		h.confirmStart(first)
		h.knowUsual()
		h.wait(3*time.Second, map[string][]StartTask{first.To.ID: {first}})
		for _, ask := range h.requests {
			if len(ask.Servers) != 1 || ask.Servers[0] != "s1" && ask.Servers[0] != "s0" {
				t.Errorf("allowed %v: asked about %v, want the other allowed server", allowed, ask.Servers)
			}
		}
		h.answerRequests(allowed...)
		h.wait(300*time.Millisecond, map[string][]StartTask{first.To.ID: {first}})
		starts := h.takeStarts()
		if len(starts) != len(allowed)-1 {
			t.Fatalf("allowed %v: %d copies", allowed, len(starts))
		}
		for _, a := range starts {
			if a.Order.Ticket == "" || a.To.ID == first.To.ID || a.To.ID == "s2" {
				t.Errorf("allowed %v: copy %+v on %s, want one with a ticket for the other allowed server", allowed, a.Order, a.To.ID)
			}
		}
	}
}

// A copy takes room under its tenant's cap like any run. It must not start above the cap, nor
// take the room that tasks of the tenant wait for.
func TestCopies_CountTowardsTheCap(t *testing.T) {
	for name, c := range map[string]struct {
		limit  int64
		others int
		copies int
	}{
		"room under the cap":                     {3000, 0, 1},
		"no room under the cap":                  {1000, 0, 0},
		"the tenant's tasks wait for that room":  {1000, 2, 0},
		"the tenant's other tasks take the room": {2000, 1, 0},
	} {
		h := newHarness(t, 3)
		h.setTenants(capped("a", c.limit))
		h.answerAllPolls()
		h.submitAs("a", id1, speculative(1))
		running := make(map[string][]StartTask)
		for i := range c.others {
			lasting := oneTask(1000)
			lasting.LongRunning = true
			h.submitAs("a", tenantID(100+i), lasting)
		}
		started := h.takeStarts()
		for _, a := range started {
			h.confirmStart(a)
			running[a.To.ID] = append(running[a.To.ID], a)
		}
		h.knowUsual()
		h.wait(3*time.Second, running)
		if starts := h.takeStarts(); len(starts) != c.copies {
			t.Errorf("%s: %d copies, want %d", name, len(starts), c.copies)
		}
		used, _ := h.core.tenants.ledger.Used("a")
		if want := int64(len(started)+c.copies) * 1000; used.CPU != want {
			t.Errorf("%s: %d used of the cap, want %d", name, used.CPU, want)
		}
	}
}

// Where three of 100 tasks take seven times as long, a step of 25 tasks has one in every
// second case. Copies must bring the submissions of such steps forward, at little cost.
func TestCopies_StragglersDelayLess(t *testing.T) {
	inTime, runs := [2]int{}, [2]int{}
	for i := range inTime {
		for seed := range uint64(2) {
			kinds := mixedSpeedKinds()
			for k := range kinds {
				kinds[k].speculative = i == 1
			}
			w := newUnevenWorld(t, seed, 70, 20, server16Cores, kinds, 0)
			w.run(30*time.Second, 20*time.Second)
			for _, name := range []string{"short", "middle", "long"} {
				t.Logf("seed %d, speculative %t: %s: %s; %d copies", seed, i == 1, name, w.results[name], w.copies)
				if name != "short" {
					inTime[i] += w.results[name].inTime
				}
				runs[i] += w.results[name].runs
			}
		}
	}
	if inTime[1] < inTime[0]*13/10 {
		t.Errorf("%d submissions of wide steps in time with copies, %d without, want 30%% more", inTime[1], inTime[0])
	}
	if runs[1] > runs[0]*106/100 {
		t.Errorf("%d runs with copies, %d without, want at most 6%% more", runs[1], runs[0])
	}
}
