package scheduler

import (
	"fmt"
	"testing"
	"time"

	"github.com/currantwinch/currantwinch/workload"
)

// maxLongRunningGap is how long after its last run a long-running task must run again.
const maxLongRunningGap = 6 * time.Second

// longRunningWait ends the run of a long-running task on a service that fresh work of the
// given queue fills, and returns how long the task waits for its next run: longRunningMissed
// if it gets none. Each server holds two tasks, each of which runs for 1.5 s.
func longRunningWait(t *testing.T, queue string, age time.Duration) time.Duration {
	h := newHarness(t, 2)
	h.answerAllPolls()
	h.addUrgentQueue()
	lasting := oneTask(16000)
	lasting.LongRunning = true
	h.submit(id1, lasting)
	first := h.takeStarts()[0]
	h.confirmStart(first)
	type run struct {
		start StartTask
		until time.Time
	}
	runs := []run{{first, h.now.Add(age)}}
	number := make(map[string]uint64)
	var ended time.Time
	for i := range int((age + 4*maxLongRunningGap) / (100 * time.Millisecond)) {
		// 10 submissions a second, where 2 would be enough to fill the servers.
		fresh := oneTask(16000)
		fresh.Estimate = 1500 * time.Millisecond
		sub := &workload.Submission{ID: fmt.Sprintf("%016x", 0x1000+i), Queue: queue, Service: testService, Spec: "x", Steps: []workload.Step{fresh}, Accepted: h.wall}
		h.do(func(c *Core) { c.Submit(sub, 0, func(Reply) {}) })
		h.advance(100 * time.Millisecond)
		left := runs[:0]
		for _, r := range runs {
			if _, polled := h.polls[r.start.To.ID]; r.until.After(h.now) || !polled {
				left = append(left, r)
				continue
			}
			if r.start.Order.Task == first.Order.Task {
				ended = h.now
			}
			list := PollResponse{}
			for _, other := range runs {
				if other.start.To.ID == r.start.To.ID && other.until.After(h.now) {
					list.Running = append(list.Running, runOf(other.start))
				}
			}
			number[r.start.To.ID]++
			list.Ended = []RunEnd{endOf(r.start, number[r.start.To.ID], workload.EndDone)}
			h.answerPoll(r.start.To.ID, list)
		}
		runs = left
		for _, s := range h.takeStarts() {
			h.confirmStart(s)
			if s.Order.Task == first.Order.Task {
				return h.now.Sub(ended)
			}
			runs = append(runs, run{s, h.now.Add(1500 * time.Millisecond)})
		}
	}
	return longRunningMissed
}

const longRunningMissed = time.Hour

// Guards against a long-running task that is started again only once no fresh work waits
// (review case 9): its submission counted as late for good, a few seconds after it was
// accepted, and so came behind all others of its priority.
func TestCore_LongRunningTaskRunsAgainBesideFreshWork(t *testing.T) {
	for _, queue := range []string{testQueue, "urgent"} {
		t.Run(queue, func(t *testing.T) {
			if got := longRunningWait(t, queue, 10*time.Second); got > maxLongRunningGap {
				t.Errorf("the task runs again after %s, want at most %s", got, maxLongRunningGap)
			}
		})
	}
}
