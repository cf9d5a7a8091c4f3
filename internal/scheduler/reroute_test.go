package scheduler

import (
	"testing"
	"time"

	"github.com/currantwinch/currantwinch/routing"
	"github.com/currantwinch/currantwinch/workload"
)

const (
	otherService = "annex"
	// otherPart is the partition of the other service.
	otherPart = 5
)

// lead applies a version of the configuration that leads the queue to a service.
func (h *harness) lead(version uint64, service string) {
	queue := h.config.Queues[0]
	queue.Service = service
	h.config = &routing.Configuration{
		Version: version, Services: map[string]routing.Service{testService: {Name: testService}, otherService: {Name: otherService}}, Queues: []routing.Queue{queue},
	}
	h.do(func(c *Core) { c.Configure(h.config) })
}

// locateAll places the test service in this partition and all others in another one, or
// all of them here if shared is set.
func (h *harness) locateAll(shared bool) {
	h.core.SetMayHandOver(true)
	h.core.SetLocate(func(service, _ string) (Location, int) {
		if shared || service == testService {
			return LocationHere, 0
		}
		return LocationElsewhere, otherPart
	})
}

// submitFor submits as a daemon does whose configuration leads the queue to a service.
func (h *harness) submitFor(service string, version uint64, id string, number int) Reply {
	sub := &workload.Submission{ID: id, Queue: testQueue, Service: service, Spec: "x", Steps: []workload.Step{oneTask(1000)}, Accepted: h.wall, ConfigVersion: version}
	if number > 0 {
		sub.Transfer = &workload.Transfer{Number: number}
	}
	return h.hand(sub)
}

// handedOver returns the handovers that were sent.
func (h *harness) handedOver() []SendHandover {
	var out []SendHandover
	for _, a := range h.shardCalls {
		if s, ok := a.(SendHandover); ok {
			out = append(out, s)
		}
	}
	h.shardCalls = nil
	return out
}

// Two daemons take a submission of one ID at the same moment, one with the configuration
// before the queue was led elsewhere. Whichever comes first at the queue's home decides
// where the submission lies, and the other one finds it there.
func TestCore_OldAndNewConfigurationAgreeOnOnePlace(t *testing.T) {
	for _, newerFirst := range []bool{false, true} {
		home, other := newHarness(t, 1), newHarness(t, 1)
		home.locateAll(false)
		other.core.SetLocate(func(service, _ string) (Location, int) {
			if service == otherService {
				return LocationHere, otherPart
			}
			return LocationElsewhere, 0
		})
		home.lead(2, otherService)
		other.lead(2, otherService)
		// submit follows the replies as the daemons do.
		submit := func(service string, version uint64) {
			at, number := home, 0
			for range 4 {
				r := at.submitFor(service, version, id1, number)
				if r.Outcome != OutcomeForwarded {
					if r.Outcome != OutcomeDone {
						t.Fatalf("newer first %t: %+v", newerFirst, r)
					}
					return
				}
				number = r.Number
				at = map[int]*harness{0: home, otherPart: other}[r.Partition]
			}
			t.Fatal("the submission is passed on in a circle")
		}
		if newerFirst {
			submit(otherService, 2)
			submit(testService, 1)
		} else {
			submit(testService, 1)
			submit(otherService, 2)
		}
		submit(otherService, 2)
		held := 0
		for _, h := range []*harness{home, other} {
			if h.core.jobs[id1] != nil || h.core.departures[id1] != nil {
				held++
			}
		}
		if held != 1 {
			t.Errorf("newer first %t: %d partitions hold the submission, want 1", newerFirst, held)
		}
	}
}

// A submission is passed on only under a stored forward, by which the next owner finds it.
// Where the other partition has refused it, it is unknown, and a further attempt after the
// queue was led back is accepted here.
func TestCore_PassesASubmissionOnUnderAStoredForward(t *testing.T) {
	h := newHarness(t, 1)
	h.locateAll(false)
	h.lead(2, otherService)
	h.holdStores = true
	var replies []Reply
	sub := &workload.Submission{ID: id1, Queue: testQueue, Service: otherService, Spec: "x", Steps: []workload.Step{oneTask(1)}}
	for range 2 {
		h.do(func(c *Core) { c.Submit(sub, 0, func(r Reply) { replies = append(replies, r) }) })
	}
	if len(replies) > 0 {
		t.Fatalf("replied %+v before the forward is stored", replies)
	}
	h.holdStores = false
	h.storeAll()
	for _, r := range replies {
		if r.Outcome != OutcomeForwarded || r.Partition != otherPart || r.Number != 1 {
			t.Errorf("replied %+v, want forward 1 to partition %d", r, otherPart)
		}
	}
	if len(replies) != 2 {
		t.Fatalf("%d replies, want 2", len(replies))
	}
	h.takeOver()
	h.locateAll(false)
	if r := h.submitFor(otherService, 2, id1, 0); r.Outcome != OutcomeForwarded || r.Number != 1 {
		t.Errorf("the next owner replies %+v, want the same forward", r)
	}
	h.lead(3, testService)
	if r := h.submitFor(testService, 3, id1, 2); r.Outcome != OutcomeDone || h.core.jobs[id1] == nil {
		t.Errorf("replied %+v after the submission came back, want it accepted", r)
	}
	if _, left := h.log["m"+id1]; left {
		t.Error("the forward is left beside the accepted submission")
	}
}

// A submission moves once nothing of it runs, and goes on where it is until then.
func TestCore_SubmissionMovesOnceNothingRuns(t *testing.T) {
	h := newHarness(t, 1)
	h.locateAll(false)
	h.answerAllPolls()
	first := oneTask(20000)
	first.Count = 2
	second := oneTask(1000)
	second.After = []int{0}
	h.submit(id1, first, second)
	start := h.takeStarts()[0]
	h.confirmStart(start)
	h.lead(2, otherService)
	h.advance(time.Second)
	if moved := h.handedOver(); len(moved) > 0 {
		t.Fatal("handed over while a task runs")
	}
	// The second task of the step did not fit beside the first one, which ends.
	h.answerPoll("s0", PollResponse{Ended: []RunEnd{endOf(start, 1, workload.EndDone)}})
	if starts := h.takeStarts(); len(starts) > 0 {
		t.Fatalf("%v starts here, although nothing runs and the queue leads elsewhere", starts[0].Order.Task)
	}
	h.advance(100 * time.Millisecond)
	moved := h.handedOver()
	if len(moved) != 1 || moved[0].To != otherPart || moved[0].Handover.Submission.Service != otherService {
		t.Fatalf("handovers %+v, want one to the service of the queue", moved)
	}
	// The taker has not read the new configuration yet, and must not send it back.
	taker := newHarness(t, 1)
	taker.core.SetMayHandOver(true)
	taker.core.SetLocate(func(service, _ string) (Location, int) { return LocationElsewhere, 0 })
	taker.do(func(c *Core) { c.TakeOver(moved[0].Handover, func(Reply) {}) })
	taker.advance(time.Second)
	if back := taker.handedOver(); len(back) > 0 {
		t.Error("an owner with an older configuration hands the submission back")
	}
	if j := taker.core.jobs[id1]; j == nil || j.occurrences[0].steps[0].done != 1 {
		t.Error("the taker does not know that one task is done")
	}
}

// While some daemons do not know handovers, or the other service is not known yet, the
// submission runs where it lies.
func TestCore_SubmissionThatCannotMoveRunsWhereItLies(t *testing.T) {
	for name, locate := range map[string]func(h *harness){
		"an older daemon":    func(h *harness) { h.locateAll(false); h.core.SetMayHandOver(false) },
		"an unknown service": func(h *harness) { h.core.SetLocate(func(string, string) (Location, int) { return LocationUnknown, 0 }) },
	} {
		h := newHarness(t, 1)
		locate(h)
		h.submit(id1, oneTask(1000))
		h.lead(2, otherService)
		h.answerAllPolls()
		h.advance(100 * time.Millisecond)
		if n := len(h.takeStarts()); n != 1 {
			t.Errorf("%s: %d starts, want 1", name, n)
		}
	}
}

// Both services have their servers in this partition: the submission stays, and becomes one
// of the other service, also for the next owner.
func TestCore_SubmissionMovesWithinItsPartition(t *testing.T) {
	h := newHarness(t, 2)
	h.servers[1].Service = otherService
	h.do(func(c *Core) { c.SetServers(h.servers) })
	h.locateAll(true)
	h.submit(id1, oneTask(1000))
	h.lead(2, otherService)
	h.advance(100 * time.Millisecond)
	h.takeOver()
	h.locateAll(true)
	h.answerAllPolls()
	h.advance(100 * time.Millisecond)
	starts := h.takeStarts()
	if len(starts) != 1 || starts[0].To.ID != "s1" {
		t.Errorf("starts %+v, want one on the server of the other service", starts)
	}
}
