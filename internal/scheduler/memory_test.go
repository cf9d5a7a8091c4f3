package scheduler

import (
	"fmt"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/currantwinch/currantwinch/workload"
)

const megabyte = 1 << 20

// idOf returns the n-th of a series of submission IDs.
func idOf(n int) string { return fmt.Sprintf("%016x", n+1) }

// liveHeap returns the bytes of live objects.
func liveHeap() int64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}

// yearly is a submission that runs every quarter of an hour for a year, from in one hour on.
func (h *harness) yearly(n int) *workload.Submission {
	step := oneTask(1000)
	step.Count = 2
	return &workload.Submission{
		ID: idOf(n), Queue: testQueue, Service: testService, Spec: "200", Steps: []workload.Step{step}, Accepted: h.wall,
		FirstRun: h.wall + time.Hour.Milliseconds(), Interval: 15 * time.Minute, Repeat: 4 * 24 * 365,
	}
}

// hand submits a submission and returns the reply.
func (h *harness) hand(sub *workload.Submission) Reply {
	h.t.Helper()
	if err := sub.Validate(); err != nil {
		h.t.Fatal(err)
	}
	var got Reply
	h.do(func(c *Core) { c.Submit(sub, 0, func(r Reply) { got = r }) })
	return got
}

// Submissions that run every quarter of an hour for a year are accepted. They took 23 MB
// each, so that a few of them ended their owner, and each next one, for its memory.
func TestCore_TimedSubmissionsTakeNoMemoryForWhatIsFarOff(t *testing.T) {
	h := newHarness(t, 1)
	h.answerAllPolls()
	const submissions = 200
	before := liveHeap()
	for n := range submissions {
		if r := h.hand(h.yearly(n)); r.Outcome != OutcomeDone {
			t.Fatalf("submission %d: %+v", n, r)
		}
	}
	if grown := liveHeap() - before; grown > megabyte {
		t.Errorf("%d timed submissions take %d bytes, want at most %d", submissions, grown, megabyte)
	}
	before = liveHeap()
	h.takeOver()
	if grown := liveHeap() - before; grown > megabyte {
		t.Errorf("the next owner takes %d bytes for them, want at most %d", grown, megabyte)
	}
	runtime.KeepAlive(h)
}

// What is far off costs nothing when it is over either: the records of a submission that
// has run for long have the size of those of a new one.
func TestCore_DoneOccurrencesTakeNoRecord(t *testing.T) {
	h := newHarness(t, 1)
	h.answerAllPolls()
	sub := h.yearly(0)
	sub.FirstRun, sub.Interval = h.wall+1, time.Millisecond
	sub.Steps[0].Count = 1
	h.hand(sub)
	const runs = 300
	for n := range runs {
		h.advance(time.Millisecond)
		starts := h.takeStarts()
		if len(starts) == 0 {
			t.Fatalf("occurrence %d does not start", n)
		}
		ends := make([]RunEnd, 0, len(starts))
		for _, a := range starts {
			h.confirmStart(a)
			ends = append(ends, endOf(a, h.core.servers["s0"].processedEnd+uint64(len(ends))+1, workload.EndDone))
		}
		h.answerPoll("s0", PollResponse{Ended: ends})
	}
	size := 0
	for key, r := range h.log {
		if key[0] == keyProgress {
			size += len(r.Value)
		}
	}
	if built := len(h.core.jobs[sub.ID].occurrences); size > 100 || built > 2 {
		t.Errorf("after %d occurrences the progress has %d bytes and %d occurrences are built, want at most 100 and 2", runs, size, built)
	}
	done := h.core.jobs[sub.ID].done.Count()
	h.takeOver()
	if got := h.core.jobs[sub.ID].done.Count(); got != done || done < runs/2 {
		t.Errorf("the next owner takes %d occurrences for done, the one before %d of %d", got, done, runs)
	}
}

// memoryKinds are submissions that take much memory in different ways.
func memoryKinds(h *harness) map[string]func(n int) *workload.Submission {
	sub := func(n int, steps ...workload.Step) *workload.Submission {
		return &workload.Submission{ID: idOf(n), Queue: testQueue, Service: testService, Spec: "x", Steps: steps, Accepted: h.wall}
	}
	return map[string]func(n int) *workload.Submission{
		"timed": h.yearly,
		"small": func(n int) *workload.Submission { return sub(n, oneTask(1000)) },
		"long text": func(n int) *workload.Submission {
			s := h.yearly(n)
			s.Spec = strings.Repeat("x", workload.MaxSpecBytes)
			return s
		},
		"wide": func(n int) *workload.Submission {
			step := oneTask(1000)
			step.Count = 8000
			return sub(n, step)
		},
		"wide and timed": func(n int) *workload.Submission {
			s := h.yearly(n)
			s.Steps[0].Count, s.Repeat, s.FirstRun = 8000, 12, h.wall
			return s
		},
		"many steps": func(n int) *workload.Submission {
			steps := make([]workload.Step, workload.MaxSteps)
			for i := range steps {
				steps[i] = oneTask(1000)
			}
			return sub(n, steps...)
		},
		"long running": func(n int) *workload.Submission {
			step := oneTask(1000)
			step.LongRunning, step.Count = true, 500
			return sub(n, step)
		},
	}
}

// However many submissions of a kind come, what the owner and the next one hold of them
// stays within the budget, and what exceeds it is refused at once with the bound named.
func TestCore_RefusesWhatExceedsTheMemoryBudget(t *testing.T) {
	const budget = 8 * megabyte
	for kind := range memoryKinds(newHarness(t, 0)) {
		t.Run(kind, func(t *testing.T) {
			h := newHarness(t, 0)
			h.bounds.MemoryBytes = budget
			h.config.Queues[0].TargetLatency = time.Hour
			h.takeOver()
			build := memoryKinds(h)[kind]
			before := liveHeap()
			accepted, refused := 0, 0
			for n := range 20_000 {
				switch r := h.hand(build(n)); r.Outcome {
				case OutcomeDone:
					accepted++
				case OutcomeRefused:
					refused++
					if r.Reason != "memory_budget" || !strings.Contains(r.Detail, fmt.Sprint(budget)) || r.RetryAfterMS < 1000 {
						t.Fatalf("refused with %+v, want the bound and a delay", r)
					}
				default:
					t.Fatalf("submission %d: %+v", n, r)
				}
				if refused == 20 {
					break
				}
			}
			if accepted == 0 || refused == 0 {
				t.Fatalf("%d submissions accepted and %d refused, want some of both", accepted, refused)
			}
			// The harness keeps the log as well.
			logged := 0
			for _, r := range h.log {
				logged += len(r.Value)
			}
			grown := liveHeap() - before - int64(logged)
			t.Logf("%d accepted, %d bytes each by the account, %d in the heap", accepted, budget/accepted, grown/int64(accepted))
			if grown > 2*budget {
				t.Errorf("%d submissions take %d bytes, want at most twice the budget of %d", accepted, grown, budget)
			}
			h.takeOver()
			if got := len(h.core.jobs); got != accepted {
				t.Errorf("the next owner knows %d submissions, want %d", got, accepted)
			}
			if held := h.core.memory.held; held > budget {
				t.Errorf("the next owner takes %d bytes, want at most %d", held, budget)
			}
			for _, j := range h.core.jobs {
				if !j.sub.Timed() && len(j.occurrences) != 1 {
					t.Fatalf("submission %s waits for memory, though it was accepted", j.sub.ID)
				}
			}
		})
	}
}

// One submission that no owner can hold is refused for good.
func TestCore_RefusesASubmissionBeyondTheWholeBudget(t *testing.T) {
	h := newHarness(t, 1)
	h.bounds.MemoryBytes = megabyte
	h.takeOver()
	step := oneTask(1000)
	step.Count = 50_000
	r := h.hand(&workload.Submission{ID: id1, Queue: testQueue, Service: testService, Spec: "x", Steps: []workload.Step{step}, Accepted: h.wall})
	if r.Outcome != OutcomeInvalid || !strings.Contains(r.Detail, fmt.Sprint(megabyte)) {
		t.Errorf("got %+v, want it refused with the bound of %d bytes", r, megabyte)
	}
}

// A partition holds more than its owner's budget: it was filled by an earlier version or
// under a larger budget. It is loaded all the same. The oldest work goes on, the rest waits
// and is known, can be cancelled, and runs once there is memory for it.
func TestCore_LoadsAPartitionBeyondItsBudget(t *testing.T) {
	h := newHarness(t, 1)
	const submissions, width = 12, 1000
	for n := range submissions {
		step := oneTask(32000)
		step.Count = width
		h.hand(&workload.Submission{ID: idOf(n), Queue: testQueue, Service: testService, Spec: "x", Steps: []workload.Step{step}, Accepted: h.wall + int64(n)})
	}
	one := h.core.jobs[idOf(0)].reservedBytes()
	h.bounds.MemoryBytes = 3*one + submissions*h.core.jobs[idOf(0)].restingBytes()
	h.takeOver()
	h.answerAllPolls()
	built := func() (n int) {
		for _, j := range h.core.jobs {
			n += len(j.occurrences)
		}
		return n
	}
	if n := built(); n != 3 || len(h.core.jobs) != submissions {
		t.Fatalf("%d of %d submissions are built, want 3 of %d", n, len(h.core.jobs), submissions)
	}
	starts := h.takeStarts()
	if len(starts) != 1 || starts[0].Order.Task.Submission != idOf(0) {
		t.Fatalf("starts %v, want one of the oldest submission", starts)
	}
	if got := h.status(idOf(submissions - 1)); got != workload.StatusQueued {
		t.Errorf("the newest submission is %q, want it queued", got)
	}
	if r := h.hand(&workload.Submission{ID: "00000000000000ff", Queue: testQueue, Service: testService, Spec: "x", Steps: []workload.Step{oneTask(1)}}); r.Outcome != OutcomeRefused {
		t.Errorf("a new submission gets %+v, want it refused", r)
	}
	for n := range submissions - 1 {
		h.do(func(c *Core) { c.Cancel(idOf(n), func(Reply) {}) })
	}
	h.advance(time.Second)
	if len(h.core.jobs[idOf(submissions-1)].occurrences) != 1 {
		t.Error("the last submission still waits for memory")
	}
}

// An end or a run that a server lists belongs to an occurrence that its owner has not built:
// the earlier owner's clock was ahead. It counts, and the occurrence does not start again.
func TestCore_ListedRunOfAnOccurrenceThatIsNotBuilt(t *testing.T) {
	h := newHarness(t, 1)
	h.answerAllPolls()
	sub := h.yearly(0)
	sub.Steps[0].Count, sub.FirstRun, sub.Interval, sub.Repeat = 1, h.wall+500, time.Hour, 2
	h.hand(sub)
	h.takeOver()
	early := workload.TaskID{Submission: sub.ID}
	h.answerPoll("s0", PollResponse{Running: []ActiveRun{{Task: early, Run: 1}}})
	h.answerPoll("s0", PollResponse{Ended: []RunEnd{{Number: 1, Task: early, Run: 1, Kind: workload.EndDone}}})
	h.advance(time.Second)
	if starts := h.takeStarts(); len(starts) > 0 {
		t.Errorf("%v starts after it has ended done", starts[0].Order.Task)
	}
	if n := h.core.jobs[sub.ID].open(); n != 1 {
		t.Errorf("%d occurrences are open, want 1", n)
	}
}

// The time of occurrences passes while nobody owns the partition. Each starts once.
func TestCore_OccurrencesDueWithoutAnOwnerStart(t *testing.T) {
	h := newHarness(t, 1)
	h.answerAllPolls()
	sub := h.yearly(0)
	sub.Steps[0].Count, sub.FirstRun, sub.Interval, sub.Repeat = 1, h.wall+100, time.Second, 5
	h.hand(sub)
	h.now, h.wall = h.now.Add(3*time.Second), h.wall+3000
	h.takeOver()
	h.answerAllPolls()
	seen := make(map[int]int)
	for range 40 {
		h.advance(100 * time.Millisecond)
		for _, a := range h.takeStarts() {
			seen[a.Order.Task.Occurrence]++
			h.confirmStart(a)
		}
	}
	for k := range sub.Repeat {
		if seen[k] != 1 {
			t.Errorf("occurrence %d was started %d times, want once", k, seen[k])
		}
	}
}

// A timed submission that is cancelled keeps nothing until its next time.
func TestCore_CancelledTimedSubmissionIsDropped(t *testing.T) {
	h := newHarness(t, 1)
	h.answerAllPolls()
	h.hand(h.yearly(0))
	h.do(func(c *Core) { c.Cancel(idOf(0), func(Reply) {}) })
	if len(h.core.scheduled) > 0 || len(h.core.jobs) > 0 {
		t.Errorf("%d scheduled and %d known submissions, want none", len(h.core.scheduled), len(h.core.jobs))
	}
}

// Earlier versions stored the steps of every occurrence that was done.
func TestJob_RestoresDoneOccurrencesOfEarlierVersions(t *testing.T) {
	h := newHarness(t, 0)
	sub := h.yearly(0)
	j := newJob(sub, h.now)
	j.restore(workload.Progress{Steps: []workload.StepProgress{
		{Occurrence: 0, Done: []byte{3}}, {Occurrence: 1, Done: []byte{3}}, {Occurrence: 2, Done: []byte{1}},
	}})
	if j.done.Count() != 2 || j.build(1) != nil {
		t.Errorf("%d occurrences are done, want 2", j.done.Count())
	}
	if o := j.build(2); o == nil || o.steps[0].done != 1 {
		t.Error("the third occurrence is not restored in part")
	}
}

// An owner that has no memory for a submission of another shard does not ask for it.
func TestCore_HasNoRoomBeyondItsMemory(t *testing.T) {
	h := newHarness(t, 2)
	h.answerAllPolls()
	question := RoomQuestion{Service: testService, Needs: [][]Need{{{Task: workload.Resources{CPU: 1}, Count: 20_000}}}}
	fit := func() Fit {
		var a RoomAnswer
		h.do(func(c *Core) { a = c.Room(question) })
		return a.Fits[0]
	}
	if got := fit(); got != FitNow {
		t.Fatalf("fit %d without a budget, want %d", got, FitNow)
	}
	h.core.SetMemoryLimit(megabyte)
	if got := fit(); got != FitNever {
		t.Errorf("fit %d beyond the budget, want %d", got, FitNever)
	}
}
