package scheduler

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/currantwinch/currantwinch/routing"
	"github.com/currantwinch/currantwinch/workload"
)

// kindOfWork is a kind of submission, all of whose tasks take the declared time.
type kindOfWork struct {
	queue routing.Queue
	tasks int
	cpu   int64
	run   time.Duration
}

// Wide work of two seconds, and narrow work that has to start at once.
var (
	middleWork = kindOfWork{routing.Queue{Name: "middle", Service: testService, Priority: 2, Stretch: 1.5, TargetLatency: 3 * time.Second, MaxFailedRuns: 2}, 25, 3500, 2300 * time.Millisecond}
	shortWork  = kindOfWork{routing.Queue{Name: "short", Service: testService, Priority: 0, Stretch: 1.5, TargetLatency: 400 * time.Millisecond, MaxFailedRuns: 2}, 3, 5000, 680 * time.Millisecond}
)

// peakCall is a call of a caller that is due.
type peakCall struct {
	at, first time.Time
	kind      *kindOfWork
	id        string
	tries     int
}

// peakLoad plays callers that return after the delay that they are given, up to four times
// within 3 s, and servers that run what is started.
type peakLoad struct {
	*harness
	due     []peakCall
	sent    int
	calls   map[string]peakCall
	running map[string][]loadRun
	number  map[string]uint64
	// lastStart holds, by submission, the time from the first call to the start of its last
	// task, and refused the number of submissions of each queue that were refused to the last.
	lastStart map[string]time.Duration
	started   map[string]int
	refused   map[string]int
	// refusedWhileFree counts the refusals while a quarter of all cores were free.
	refusedWhileFree int
}

func newPeakLoad(t *testing.T, servers int) *peakLoad {
	w := &peakLoad{
		harness: newHarness(t, servers), calls: make(map[string]peakCall), running: make(map[string][]loadRun), number: make(map[string]uint64),
		lastStart: make(map[string]time.Duration), started: make(map[string]int), refused: make(map[string]int),
	}
	w.config.Queues = []routing.Queue{middleWork.queue, shortWork.queue}
	w.do(func(c *Core) { c.Configure(w.config) })
	w.answerAllPolls()
	return w
}

// send plans submissions of a kind between two times from now.
func (w *peakLoad) send(kind *kindOfWork, perSecond float64, from, to time.Duration) {
	for i := 0; ; i++ {
		at := from + time.Duration((float64(i)+0.5)/perSecond*float64(time.Second))
		if at >= to {
			return
		}
		w.sent++
		w.due = append(w.due, peakCall{at: w.now.Add(at), first: w.now.Add(at), kind: kind, id: fmt.Sprintf("%016x", 0x10000+w.sent)})
	}
}

func (w *peakLoad) play(d time.Duration) {
	for step, end := 0, w.now.Add(d); w.now.Before(end); step++ {
		w.pass(loadStep)
		slices.SortStableFunc(w.due, func(x, y peakCall) int { return x.at.Compare(y.at) })
		for len(w.due) > 0 && !w.due[0].at.After(w.now) {
			call := w.due[0]
			w.due = w.due[1:]
			w.call(call)
		}
		w.endRuns()
		if step%5 == 0 {
			w.do(func(c *Core) { c.Tick() })
		}
		w.carryOut()
	}
}

func (w *peakLoad) call(call peakCall) {
	reply := Reply{Outcome: OutcomeRefused}
	sub := &workload.Submission{ID: call.id, Queue: call.kind.queue.Name, Service: testService, Spec: "x", Accepted: w.wall, Steps: []workload.Step{{
		Count: call.kind.tasks, Need: workload.Resources{CPU: call.kind.cpu, MemoryMB: 10}, Estimate: call.kind.run,
	}}}
	w.do(func(c *Core) { c.Submit(sub, 0, func(r Reply) { reply = r }) })
	if reply.Outcome == OutcomeDone {
		w.calls[call.id] = call
		return
	}
	free, all := int64(0), int64(0)
	for _, s := range w.core.servers {
		free, all = free+s.free.CPU, all+s.info.Capacity.CPU
	}
	if free > all/4 {
		w.refusedWhileFree++
	}
	if back := w.now.Add(msDuration(reply.RetryAfterMS)); call.tries < loadRetries && back.Sub(call.first) <= loadBudget {
		call.tries, call.at = call.tries+1, back
		w.due = append(w.due, call)
		return
	}
	w.refused[call.kind.queue.Name]++
}

func (w *peakLoad) endRuns() {
	for _, s := range w.servers {
		poll, polled := w.polls[s.ID]
		if !polled {
			continue
		}
		list := PollResponse{ClockMS: w.clock(), StartedAtMS: 1000}
		left := w.running[s.ID][:0]
		for _, r := range w.running[s.ID] {
			if r.until.After(w.now) {
				left = append(left, r)
				list.Running = append(list.Running, runOf(r.start))
				continue
			}
			w.number[s.ID]++
			list.Ended = append(list.Ended, endOf(r.start, w.number[s.ID], workload.EndDone))
		}
		w.running[s.ID] = left
		if len(list.Ended) > 0 {
			delete(w.polls, s.ID)
			w.do(func(c *Core) { c.PollCompleted(poll.To, w.now, list, nil) })
		}
	}
}

func (w *peakLoad) carryOut() {
	for starts := w.takeStarts(); len(starts) > 0; starts = w.takeStarts() {
		for _, s := range starts {
			call := w.calls[s.Order.Task.Submission]
			w.running[s.To.ID] = append(w.running[s.To.ID], loadRun{s, w.now.Add(call.kind.run)})
			w.lastStart[call.id] = w.now.Sub(call.first)
			w.started[call.id]++
			w.confirmStart(s)
		}
	}
}

// lastStarts returns the times to the last start of the accepted submissions of a kind, sorted.
func (w *peakLoad) lastStarts(kind *kindOfWork) []time.Duration {
	var out []time.Duration
	for id, call := range w.calls {
		if call.kind == kind && w.started[id] >= kind.tasks {
			out = append(out, w.lastStart[id])
		}
	}
	slices.Sort(out)
	return out
}

// peakResult plays a load peak of middle work, 2.2 times its ordinary rate for 6 s, beside
// 20 short submissions a second, on 640 cores.
func peakResult(t *testing.T, middleRate float64) (w *peakLoad, short, middle []time.Duration) {
	w = newPeakLoad(t, 20)
	w.send(&shortWork, 20, 0, 20*time.Second)
	w.send(&middleWork, middleRate, 0, 6*time.Second)
	w.send(&middleWork, 2.2*middleRate, 6*time.Second, 12*time.Second)
	w.send(&middleWork, middleRate, 12*time.Second, 20*time.Second)
	w.play(60 * time.Second)
	short, middle = w.lastStarts(&shortWork), w.lastStarts(&middleWork)
	t.Logf("short: %d, last start after %s (median), %s (most); middle: %d, %s, %s; refused %v", len(short), short[len(short)/2], short[len(short)-1],
		len(middle), middle[len(middle)/2], middle[len(middle)-1], w.refused)
	if got, all := len(short)+len(middle), len(w.calls); got != all {
		t.Errorf("%d of %d accepted submissions have started all tasks", got, all)
	}
	if w.refusedWhileFree > 0 {
		t.Errorf("%d refusals while a quarter of all cores is free", w.refusedWhileFree)
	}
	return w, short, middle
}

// usefulStart is how long after its first call a middle submission may start its last task to
// be of use.
var usefulStart = time.Duration(uselessFactor*(middleWork.queue.Stretch*float64(middleWork.run)+float64(middleWork.queue.TargetLatency))) - middleWork.run

// Guards against a load peak of middle work in which short work is refused or waits, in which
// middle work is refused that could begin in time, and in which work is accepted that does not
// run. 122% and 160% of all cores are wanted for 6 s.
func TestCore_MiddleWorkAtItsPeakBesideShortWork(t *testing.T) {
	for name, rate := range map[string]float64{"122%": 1.3, "160%": 1.85} {
		t.Run(name, func(t *testing.T) {
			w, short, middle := peakResult(t, rate)
			if most := short[len(short)-1]; most > shortWork.queue.TargetLatency {
				t.Errorf("a short submission waits %s for its last start, want at most its target latency, %s", most, shortWork.queue.TargetLatency)
			}
			if most := middle[len(middle)-1]; most > usefulStart {
				t.Errorf("an accepted middle submission waits %s for its last start, want at most %s", most, usefulStart)
			}
			if len(w.refused) > 0 {
				t.Errorf("refused to the last: %v, want none", w.refused)
			}
		})
	}
}

// Guards against middle work that is accepted and then, once it is late, comes behind all that
// arrives after it and is in time, until it is of no use. 126% of all cores are wanted for 20 s,
// and 240% for 6 s of them.
func TestCore_AcceptedWorkIsNotOvertakenUntilItIsUseless(t *testing.T) {
	_, _, middle := peakResult(t, 3)
	if most := middle[len(middle)-1]; most > usefulStart {
		t.Errorf("an accepted middle submission waits %s for its last start, want at most %s", most, usefulStart)
	}
}
