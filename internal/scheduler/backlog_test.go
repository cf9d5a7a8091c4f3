package scheduler

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/currantwinch/currantwinch/workload"
)

// fillQueue submits n submissions that wait for a full server, without a placement pass
// after each.
func (h *harness) fillQueue(n int) {
	random := rand.New(rand.NewPCG(1, uint64(n)))
	for i := range n {
		step := oneTask(1000 + random.Int64N(20000))
		step.Count, step.Estimate = 1+random.IntN(4), time.Duration(random.IntN(5000))*time.Millisecond
		sub := &workload.Submission{ID: fmt.Sprintf("%016x", i+100), Queue: testQueue, Service: testService, Spec: "x", Steps: []workload.Step{step}, Accepted: h.wall}
		j := newJob(sub, h.now)
		j.stored = true
		h.core.assignQueue(j)
		h.core.jobs[sub.ID] = j
		h.core.schedule(j)
	}
}

// The index must say what a look at all queued steps says, whether they were queued before
// the last placement pass or after it.
func TestCore_BacklogAgreesWithTheQueue(t *testing.T) {
	h := newHarness(t, 1)
	h.config.Queues[0].TargetLatency = time.Hour
	h.answerAllPolls()
	h.addUrgentQueue()
	h.runOne(id1, 32000)
	for _, part := range []struct {
		name    string
		n       int
		finish  bool
		advance time.Duration
	}{{"before the first pass", 40, false, 0}, {"after a pass", 300, true, 0}, {"queued since", 100, false, 0}, {"more than are indexed", 900, false, time.Second}} {
		h.pass(part.advance)
		h.fillQueue(part.n)
		if part.finish {
			h.core.Finish(true)
		}
		for n := range 20 {
			step := oneTask(1000)
			step.Estimate = time.Duration(n) * 300 * time.Millisecond
			queue := []string{testQueue, "urgent"}[n%2]
			j := newJob(&workload.Submission{ID: fmt.Sprintf("%016x", n+90), Queue: queue, Service: testService, Steps: []workload.Step{step}}, h.now)
			h.core.assignQueue(j)
			var want backlog
			for _, st := range h.core.queued {
				if h.core.placementOrderOf(st).compare(h.core.orderOf(j)) <= 0 {
					want.add(workOf(st, st.unplacedTasks()))
				}
			}
			if got := h.core.backlogBefore(j); got.tasks != want.tasks || (got.cpuTime-want.cpuTime).Abs() > time.Millisecond {
				t.Errorf("%s, queue %s: %+v is placed before it, want %+v", part.name, queue, got, want)
			}
		}
	}
}

// BenchmarkAdmission measures the decision about one submission behind queued steps.
func BenchmarkAdmission(b *testing.B) {
	for _, queued := range []int{1_000, 10_000, 100_000} {
		b.Run(fmt.Sprint(queued), func(b *testing.B) {
			h := newHarness(&testing.T{}, 48)
			h.answerAllPolls()
			h.fillQueue(queued)
			h.core.placementNeeded = true
			h.core.Finish(true)
			j := newJob(&workload.Submission{ID: id1, Queue: testQueue, Service: testService, Spec: "x", Steps: []workload.Step{oneTask(1000)}}, h.now)
			h.core.assignQueue(j)
			for b.Loop() {
				h.core.checkBacklog(j)
			}
		})
	}
}
