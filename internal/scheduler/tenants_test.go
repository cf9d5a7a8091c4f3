package scheduler

import (
	"fmt"
	"testing"
	"time"

	"github.com/currantwinch/currantwinch/routing"
	"github.com/currantwinch/currantwinch/verdict"
	"github.com/currantwinch/currantwinch/workload"
)

// tenantsOf returns a tenancy of the given tenants.
func tenantsOf(tenants ...routing.Tenant) *routing.Tenancy {
	t := &routing.Tenancy{Tenants: make(map[string]routing.Tenant)}
	for _, one := range tenants {
		t.Tenants[one.Name] = one
	}
	return t
}

// capped returns a tenant with a cap of its CPU.
func capped(name string, cpu int64) routing.Tenant {
	return routing.Tenant{Name: name, Weight: 100, Cap: cpuCap(cpu)}
}

func cpuCap(cpu int64) workload.Resources { return workload.Resources{CPU: cpu} }

// setTenants puts another version of the configuration in force, with these tenants.
func (h *harness) setTenants(tenants ...routing.Tenant) {
	next := *h.config
	next.Version++
	next.Tenancy = tenantsOf(tenants...)
	h.config = &next
	h.do(func(c *Core) { c.Configure(&next) })
}

// submitAs submits for a tenant and returns the reply.
func (h *harness) submitAs(tenant, id string, steps ...workload.Step) *Reply {
	h.t.Helper()
	sub := &workload.Submission{ID: id, Queue: testQueue, Service: testService, Spec: "x", Steps: steps, Accepted: h.wall, Tenant: tenant}
	if err := sub.Validate(); err != nil {
		h.t.Fatal(err)
	}
	reply := &Reply{}
	h.do(func(c *Core) { c.Submit(sub, 0, func(r Reply) { *reply = r }) })
	return reply
}

// runOneAs submits one task of a tenant, confirms its start, and returns the start.
func (h *harness) runOneAs(tenant, id string, cpu int64) StartTask {
	h.t.Helper()
	h.submitAs(tenant, id, stepOf(1, cpu))
	start := h.takeStarts()[0]
	h.confirmStart(start)
	return start
}

func stepOf(count int, cpu int64) workload.Step {
	return workload.Step{Count: count, Need: workload.Resources{CPU: cpu, MemoryMB: 100}, Estimate: time.Second}
}

func gangOf(count int, cpu int64) workload.Step {
	st := stepOf(count, cpu)
	st.Gang = true
	return st
}

// tenantID returns the n-th ID of a test.
func tenantID(n int) string { return fmt.Sprintf("%016x", n+1) }

// endRun lets the server of a start list its end, beside the runs that go on.
func (h *harness) endRun(start StartTask, kind workload.EndKind, number uint64, others ...StartTask) {
	h.t.Helper()
	list := PollResponse{Ended: []RunEnd{endOf(start, number, kind)}}
	for _, o := range others {
		if o.To.ID == start.To.ID {
			list.Running = append(list.Running, runOf(o))
		}
	}
	h.answerPoll(start.To.ID, list)
}

// A tenant with a wide step must not get more of the cluster than its cap and one task, and
// the tasks beyond it must run as others end.
func TestCore_StepWiderThanTheCapRunsInWaves(t *testing.T) {
	h := newHarness(t, 1)
	h.answerAllPolls()
	h.setTenants(capped("a", 10_000))
	h.submitAs("a", id1, stepOf(8, 4000))
	first := h.takeStarts()
	if len(first) != 3 {
		t.Fatalf("%d tasks of 4 cores started under a cap of 10 cores, want 3", len(first))
	}
	for _, s := range first {
		h.confirmStart(s)
	}
	h.advance(time.Second)
	h.endRun(first[0], workload.EndDone, 1, first[1:]...)
	if got := len(h.takeStarts()); got != 1 {
		t.Errorf("%d starts after one of 3 tasks ended, want 1", got)
	}
}

// A run that is being stopped, or whose start is not answered, still uses its server and
// must count until its end is certain.
func TestCore_RunsCountForTheCapUntilTheirEndIsCertain(t *testing.T) {
	h := newHarness(t, 1)
	h.answerAllPolls()
	h.setTenants(capped("a", 8000))
	h.submitAs("a", id1, stepOf(2, 4000))
	starts := h.takeStarts()
	if len(starts) != 2 {
		t.Fatalf("%d starts, want 2", len(starts))
	}
	h.confirmStart(starts[0])
	h.do(func(c *Core) {
		c.StartCompleted(starts[1].To, starts[1].Order, 0, verdict.New(verdict.MayHaveRun, ReasonNoAnswer, "no answer"))
	})
	h.do(func(c *Core) { c.Cancel(id1, func(Reply) {}) })
	h.starts = nil
	h.submitAs("a", id2, stepOf(2, 4000))
	if got := len(h.takeStarts()); got != 0 {
		t.Fatalf("%d starts beside runs that are being stopped, want 0", got)
	}
	h.submitAs("", tenantID(7), oneTask(4000))
	if got := len(h.takeStarts()); got != 1 {
		t.Errorf("%d starts of work without a tenant, want 1: no cap applies to it", got)
	}
}

// The runs that an earlier owner started must count for the next one before it starts
// more, and a server that has not answered it may hold any of them.
func TestCore_NextOwnerCountsRunsThatItHasNotSeen(t *testing.T) {
	h := newHarness(t, 3)
	h.answerAllPolls()
	h.setTenants(capped("a", 40_000), capped("b", 8000))
	h.submitAs("a", id1, stepOf(10, 4000))
	starts := h.takeStarts()
	for _, s := range starts {
		h.confirmStart(s)
	}
	h.takeOver()
	running := make(map[string][]ActiveRun)
	for _, s := range starts {
		running[s.To.ID] = append(running[s.To.ID], runOf(s))
	}
	h.answerPoll("s0", PollResponse{Running: running["s0"]})
	h.submitAs("b", id2, stepOf(2, 4000))
	if got := len(h.takeStarts()); got != 0 {
		t.Fatalf("%d starts of a tenant with a cap of 8 cores while 2 servers of 32 cores have not listed their runs, want 0", got)
	}
	h.answerPoll("s1", PollResponse{Running: running["s1"]})
	h.answerPoll("s2", PollResponse{Running: running["s2"]})
	if got := len(h.takeStarts()); got != 2 {
		t.Errorf("%d starts once all servers have listed their runs, want 2", got)
	}
	if used, n := h.core.tenants.ledger.Used("a"); n != 10 || used.CPU != 40_000 {
		t.Errorf("tenant a uses %d millicores by %d runs after the takeover, want 40000 by 10", used.CPU, n)
	}
	h.submitAs("a", tenantID(9), oneTask(1000))
	if got := len(h.takeStarts()); got != 0 {
		t.Errorf("%d starts beside the cap in runs of the earlier owner, want 0", got)
	}
}

// Runs of a submission that the owner does not know may be of any tenant.
func TestCore_ServerWithUnknownRunsCountsForEveryTenant(t *testing.T) {
	h := newHarness(t, 2)
	h.answerAllPolls()
	h.setTenants(capped("a", 30_000))
	own := h.runOne(id2, 1000)
	unknown := ActiveRun{Task: workload.TaskID{Submission: "00000000000000ff"}, Run: 1}
	h.answerPoll(own.To.ID, PollResponse{Running: []ActiveRun{runOf(own), unknown}})
	h.submitAs("a", id1, oneTask(4000))
	if got := len(h.takeStarts()); got != 0 {
		t.Fatalf("%d starts beside a server of 32 cores with runs of unknown tenants, want 0 under a cap of 30", got)
	}
	h.answerPoll(own.To.ID, PollResponse{Running: []ActiveRun{runOf(own)}, Ended: []RunEnd{{Number: 1, Task: unknown.Task, Run: 1, Kind: workload.EndStopped}}})
	h.advance(50 * time.Millisecond)
	if got := len(h.takeStarts()); got != 1 {
		t.Errorf("%d starts once the unknown run has ended, want 1", got)
	}
}

// Part of a gang must not be started under a cap, and later steps must not take the room
// for which the gang waits.
func TestCore_GangWaitsForRoomUnderTheCap(t *testing.T) {
	h := newHarness(t, 2)
	h.answerAllPolls()
	h.setTenants(capped("a", 12_000))
	h.submitAs("a", id1, stepOf(2, 4000))
	before := h.takeStarts()
	for _, s := range before {
		h.confirmStart(s)
	}
	h.submitAs("a", id2, gangOf(3, 4000))
	h.advance(time.Millisecond)
	h.submitAs("a", tenantID(9), stepOf(1, 4000))
	if got := len(h.takeStarts()); got != 0 {
		t.Fatalf("%d starts while a gang of 3 waits for room for 2 of its members, want 0", got)
	}
	for i, s := range before {
		h.advance(time.Second)
		h.endRun(s, workload.EndDone, uint64(i+1), before[i+1:]...)
	}
	starts := h.takeStarts()
	if len(starts) != 3 || starts[0].Order.Task.Submission != id2 {
		t.Fatalf("%d starts once the tenant has no run left, want the gang's 3", len(starts))
	}
}

// A gang that waited for its cap may then wait for something else, such as the end of a
// backoff. It must not keep the tenant's other work waiting with it.
func TestCore_GangWithRoomUnderTheCapHoldsNothingBack(t *testing.T) {
	h := newHarness(t, 2)
	h.answerAllPolls()
	h.setTenants(capped("a", 12_000))
	running := h.runOneAs("a", id1, 4000)
	h.submitAs("a", id2, gangOf(3, 4000))
	h.advance(time.Millisecond)
	h.submitAs("a", tenantID(9), stepOf(2, 4000))
	if got := len(h.takeStarts()); got != 0 {
		t.Fatalf("%d starts behind a gang that waits for room under the cap, want 0", got)
	}
	gang := h.core.jobs[id2].occurrences[0].steps[0]
	for i := range gang.tasks {
		gang.tasks[i].retryAt = h.now.Add(time.Hour)
	}
	h.advance(time.Second)
	h.endRun(running, workload.EndDone, 1)
	if got := len(h.takeStarts()); got != 2 {
		t.Errorf("%d starts beside a gang that has room and waits for a backoff, want 2", got)
	}
}

// A gang that can never run whole would be accepted and wait for ever.
func TestCore_RefusesGangThatCanNeverRunUnderTheCap(t *testing.T) {
	h := newHarness(t, 3)
	h.answerAllPolls()
	h.setTenants(capped("a", 12_000))
	if got := h.submitAs("a", id1, gangOf(4, 4000)); got.Outcome != OutcomeInvalid || got.Reason != "gang_over_cap" || got.Detail == "" {
		t.Errorf("gang of 16 cores under a cap of 12: %+v, want invalid with the bound", got)
	}
	if got := h.submitAs("a", id2, gangOf(3, 5000)); got.Outcome != OutcomeDone {
		t.Errorf("gang whose last member begins below the cap: %+v, want it accepted", got)
	}
	if got := len(h.takeStarts()); got != 3 {
		t.Errorf("%d starts of a gang of 3, want 3", got)
	}
	if got := h.submitAs("", tenantID(3), gangOf(4, 4000)); got.Outcome != OutcomeDone {
		t.Errorf("gang without a tenant: %+v, want it accepted", got)
	}
}

// A version of the configuration may lower a cap below what runs, which then goes on, or
// raise it, which must start what waits without another event.
func TestCore_CapFollowsTheConfiguration(t *testing.T) {
	h := newHarness(t, 1)
	h.answerAllPolls()
	h.setTenants(capped("a", 8000))
	h.submitAs("a", id1, stepOf(6, 4000))
	starts := h.takeStarts()
	for _, s := range starts {
		h.confirmStart(s)
	}
	if len(starts) != 2 {
		t.Fatalf("%d starts under a cap of 8 cores, want 2", len(starts))
	}
	h.setTenants(capped("a", 4000))
	h.advance(time.Second)
	h.endRun(starts[0], workload.EndDone, 1, starts[1])
	if got := len(h.takeStarts()); got != 0 || len(h.stops) != 0 {
		t.Fatalf("%d starts and %d stops under a cap that fell to what runs, want 0 and 0", got, len(h.stops))
	}
	h.setTenants(capped("a", 12_000))
	if got := len(h.takeStarts()); got != 2 {
		t.Errorf("%d starts once the cap rose to 12 cores, want 2", got)
	}
}

// A gang that was accepted under a larger cap can no longer run. It must not keep the
// room under the cap from the tenant's other work.
func TestCore_GangThatOutgrewTheCapDoesNotBlockTheTenant(t *testing.T) {
	h := newHarness(t, 2)
	h.answerAllPolls()
	h.setTenants(capped("a", 12_000))
	running := h.submitAs("a", id1, stepOf(1, 4000))
	if running.Outcome != OutcomeDone {
		t.Fatalf("%+v", running)
	}
	h.submitAs("a", id2, gangOf(3, 4000))
	h.setTenants(capped("a", 8000))
	h.takeStarts()
	h.submitAs("a", tenantID(9), stepOf(1, 4000))
	if got := len(h.takeStarts()); got != 1 {
		t.Errorf("%d starts beside a gang that can never run, want 1", got)
	}
}

// Placements and answers of a deployment without tenants must not change.
func TestCore_WithoutTenantsPlacesAsBefore(t *testing.T) {
	place := func(tenancy bool, tenant string) (out []string) {
		h := newHarness(t, 3)
		h.answerAllPolls()
		if tenancy {
			h.setTenants(routing.Tenant{Name: "a", Weight: 1000})
		}
		for i := range 12 {
			step := stepOf(2+i%3, int64(1000*(1+i%5)))
			step.Gang = i%4 == 3
			reply := h.submitAs(tenant, tenantID(i), step)
			out = append(out, fmt.Sprintf("%+v", *reply))
		}
		for _, s := range h.takeStarts() {
			out = append(out, fmt.Sprintf("%v %d %s", s.Order.Task, s.Order.Run, s.To.ID))
		}
		return out
	}
	want := place(false, "")
	for name, got := range map[string][]string{"tenant of no configuration": place(false, "a"), "public": place(true, ""), "no cap": place(true, "a")} {
		if fmt.Sprint(got) != fmt.Sprint(want) {
			t.Errorf("%s: placements and answers differ from those without tenants:\n%v\n%v", name, got, want)
		}
	}
}

// What a cap holds back followed placement passes and not the work that waits: a tenant was
// shown as free while its work waited, or as held back after that was cancelled.
func TestCore_CapHoldsNothingBackOnceNothingWaits(t *testing.T) {
	h := newHarness(t, 1)
	h.answerAllPolls()
	h.setTenants(capped("a", 4000))
	h.submitAs("a", id1, stepOf(1, 4000))
	h.confirmStart(h.takeStarts()[0])
	h.submitAs("a", id2, stepOf(1, 4000))
	h.advance(2 * spanInterval)
	if h.core.tenants.held["a"] == nil {
		t.Fatal("the cap holds nothing back, want the second submission")
	}
	h.core.startRoom = 0
	h.do(func(c *Core) { c.Cancel(id2, func(Reply) {}) })
	for range 40 {
		h.now, h.wall = h.now.Add(50*time.Millisecond), h.wall+50
		h.core.SetTime(h.now, h.wall)
		h.core.Tick()
	}
	if h.core.tenants.held["a"] != nil {
		t.Error("the cap still counts as holding work back 2 s after that was cancelled")
	}
}
