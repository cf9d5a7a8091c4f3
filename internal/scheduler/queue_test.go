package scheduler

import (
	"fmt"
	"testing"
	"time"

	"github.com/currantwinch/currantwinch/routing"
	"github.com/currantwinch/currantwinch/verdict"
	"github.com/currantwinch/currantwinch/workload"
)

// testAddress is the address of the queue of a harness with withAddress.
const testAddress = workload.QueueAddress("desk.example/jobs/")

// withAddress gives the harness's queue an address.
func (h *harness) withAddress() {
	h.config.Queues[0].Host, h.config.Queues[0].PathPrefix = "Desk.example", "/jobs/"
	h.do(func(c *Core) { c.Configure(h.config) })
}

// configure applies a next version of the configuration with the given queues.
func (h *harness) configure(queues ...routing.Queue) {
	h.config = &routing.Configuration{
		Version: h.config.Version + 1, Queues: queues,
		Services: map[string]routing.Service{testService: {Name: testService}, otherService: {Name: otherService}},
	}
	h.do(func(c *Core) { c.Configure(h.config) })
}

// renamed returns the harness's queue under another name, leading to a service.
func (h *harness) renamed(service string) routing.Queue {
	q := h.config.Queues[0]
	q.Name, q.Service = "renamed", service
	return q
}

// endDone ends a run as done.
func (h *harness) endDone(a StartTask, number uint64) {
	h.confirmStart(a)
	h.answerPoll(a.To.ID, PollResponse{Ended: []RunEnd{endOf(a, number, workload.EndDone)}})
}

func twoSteps() []workload.Step {
	second := oneTask(1000)
	second.After = []int{0}
	return []workload.Step{oneTask(1000), second}
}

// Guards against accepted work that stops for good: the next step of a submission started only
// while the configuration had a queue of the name under which it was accepted (review case 13,
// LOST).
func TestCore_SubmissionGoesOnAfterItsQueueIsRenamedOrRemoved(t *testing.T) {
	for name, change := range map[string]func(h *harness){
		"renamed":          func(h *harness) { h.configure(h.renamed(testService)) },
		"removed":          func(h *harness) { h.configure() },
		"removed and back": func(h *harness) { q := h.renamed(testService); h.configure(); h.configure(q) },
		"name at a new one": func(h *harness) {
			q := h.config.Queues[0]
			q.PathPrefix, q.Service = "/other/", otherService
			h.configure(q)
		},
		"names exchanged": func(h *harness) {
			a, b := h.renamed(testService), h.config.Queues[0]
			b.PathPrefix, b.Service = "/other/", otherService
			h.configure(a, b)
		},
		"before the next owner": func(h *harness) {
			h.configure()
			h.takeOver()
		},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, 1)
			h.withAddress()
			h.answerAllPolls()
			h.submit(id1, twoSteps()...)
			h.endDone(h.takeStarts()[0], 1)
			h.takeStarts()
			h.submit(id2, twoSteps()...)
			first := h.takeStarts()[0]
			change(h)
			h.endDone(first, 2)
			h.advance(time.Second)
			if got := h.takeStarts(); len(got) == 0 || got[len(got)-1].Order.Task.Step != 1 {
				t.Errorf("starts %+v, want one of the second step", got)
			}
			if moved := h.handedOver(); len(moved) > 0 {
				t.Errorf("handed over to partition %d, although its address leads here or nowhere", moved[0].To)
			}
		})
	}
}

// A queue that gets another name and another service at once is the same queue, which leads
// elsewhere.
func TestCore_SubmissionFollowsItsAddressToAnotherService(t *testing.T) {
	h := newHarness(t, 1)
	h.withAddress()
	h.locateAll(false)
	h.answerAllPolls()
	h.submit(id1, twoSteps()...)
	start := h.takeStarts()[0]
	h.configure(h.renamed(otherService))
	h.endDone(start, 1)
	h.advance(time.Second)
	moved := h.handedOver()
	if len(moved) != 1 || moved[0].To != otherPart || moved[0].Handover.Submission.Service != otherService {
		t.Fatalf("handovers %+v, want one to the service of the address", moved)
	}
	if got := h.takeStarts(); len(got) > 0 {
		t.Errorf("%s starts here, although the address leads elsewhere", got[0].Order.Task)
	}
}

// Guards against tasks that fail more often than their queue allowed, or come before all
// others, once the queue has gone: the next owner has never seen its settings.
func TestCore_SettingsOutliveTheirQueue(t *testing.T) {
	h := newHarness(t, 1)
	h.withAddress()
	h.config.Queues[0].Priority, h.config.Queues[0].Policy = 3, &workload.PolicyTiming{DecisionTime: time.Millisecond}
	h.do(func(c *Core) { c.Configure(h.config) })
	want := h.config.Queues[0].Settings()
	h.submit(id1, oneTask(1000))
	h.configure()
	h.takeOver()
	got := h.core.jobs[id1].queue.Settings()
	if got.Priority != 3 || got.MaxFailedRuns != 2 || got.Policy == nil || *got.Policy != *want.Policy || got.Stretch != want.Stretch || got.TargetLatency != want.TargetLatency {
		t.Errorf("settings %+v under the next owner, want %+v", got, want)
	}
}

// An unanswered start of a submission whose queue was removed is sent again, as it would be
// with the queue.
func TestCore_UnansweredStartIsResentWithoutItsQueue(t *testing.T) {
	h := newHarness(t, 1)
	h.answerAllPolls()
	h.submit(id1, oneTask(1000))
	start := h.takeStarts()[0]
	h.configure()
	h.do(func(c *Core) {
		c.StartCompleted(start.To, start.Order, 0, verdict.New(verdict.MayHaveRun, ReasonNoAnswer, "no answer"))
	})
	if got := h.takeStarts(); len(got) != 1 || got[0].Order.Run != start.Order.Run || len(h.stops) > 0 {
		t.Errorf("starts %+v and stops %+v, want the same start", got, h.stops)
	}
}

// storeOld stores a submission as the version before did, under the name of its queue alone.
func (h *harness) storeOld(id string, p workload.Progress, steps ...workload.Step) {
	sub := &workload.Submission{ID: id, Queue: testQueue, Service: testService, Spec: "x", Steps: steps, Accepted: h.wall}
	r := recordOf(keyAccepted, id, sub)
	h.log[r.Key] = r
	if !p.Empty() {
		r = recordOf(keyProgress, id, p)
		h.log[r.Key] = r
	}
}

// A record of the version before gets the address of its queue while that has its name, and
// follows the address from then on.
func TestCore_RecordByNameFollowsTheAddress(t *testing.T) {
	h := newHarness(t, 1)
	h.withAddress()
	h.storeOld(id1, workload.Progress{}, oneTask(1000))
	h.takeOver()
	h.configure(h.renamed(testService))
	h.takeOver()
	h.answerAllPolls()
	j := h.core.jobs[id1]
	if j.sub.Address != testAddress || j.queue.Name != "renamed" {
		t.Errorf("address %q, queue %q, want those of the renamed queue", j.sub.Address, j.queue.Name)
	}
	if got := h.takeStarts(); len(got) != 1 {
		t.Errorf("%d starts, want 1", len(got))
	}
}

// A record of the version before whose queue has gone runs on, but for tasks that may have
// failed as often as that queue allowed.
func TestCore_RecordByNameOfAnUnknownQueue(t *testing.T) {
	h := newHarness(t, 1)
	h.storeOld(id1, workload.Progress{}, oneTask(1000))
	h.storeOld(id2, workload.Progress{Tasks: []workload.TaskProgress{{Run: 1, FailedRuns: []int{1}}}}, oneTask(1000))
	h.config = &routing.Configuration{Version: 2}
	h.takeOver()
	h.answerAllPolls()
	h.advance(10 * time.Second)
	got := h.takeStarts()
	if len(got) != 1 || got[0].Order.Task.Submission != id1 {
		t.Errorf("starts %+v, want one, of the task that has not failed", got)
	}
}

// Pending counts by the address, and by the name for daemons of the version before.
func TestCore_PendingCountsAcrossARename(t *testing.T) {
	h := newHarness(t, 0)
	h.withAddress()
	h.submit(id1, oneTask(1000))
	h.configure(h.renamed(testService))
	h.submitAt(testAddress, id2)
	for _, c := range []struct {
		name    string
		address workload.QueueAddress
		want    int
	}{{"renamed", testAddress, 2}, {testQueue, "", 1}, {testQueue, "desk.example/other/", 0}} {
		var got Reply
		h.do(func(core *Core) { core.Pending(c.name, c.address, func(r Reply) { got = r }) })
		if got.Pending != c.want {
			t.Errorf("%d pending of %q at %q, want %d", got.Pending, c.name, c.address, c.want)
		}
	}
}

// submitAt submits as a daemon does that received the submission at an address.
func (h *harness) submitAt(address workload.QueueAddress, id string) Reply {
	return h.hand(&workload.Submission{
		ID: id, Queue: fmt.Sprintf("queue at %s", address), Address: address, Settings: &workload.QueueSettings{},
		Service: testService, Spec: "x", Steps: []workload.Step{oneTask(1000)}, Accepted: h.wall, ConfigVersion: h.config.Version,
	})
}
