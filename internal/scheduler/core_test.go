package scheduler

import (
	"fmt"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/currantwinch/currantwinch/internal/events"
	"github.com/currantwinch/currantwinch/partition"
	"github.com/currantwinch/currantwinch/routing"
	"github.com/currantwinch/currantwinch/verdict"
	"github.com/currantwinch/currantwinch/workload"
)

const (
	testQueue   = "checks"
	testService = "pool"
)

// harness drives a Core in virtual time. It keeps the contents of the log and
// the server list, and records every action for the test.
type harness struct {
	t    *testing.T
	core *Core
	now  time.Time
	wall int64
	// log holds the latest record of each key.
	log     map[string]partition.Record
	epoch   uint64
	bounds  Bounds
	config  *routing.Configuration
	servers []ServerInfo
	// stores holds writes that are not in the log yet.
	stores   []Store
	starts   []StartTask
	stops    []StopTask
	polls    map[string]PollServer
	requests []RequestAuthorization
	// shardCalls holds the calls to the owners of other shards.
	shardCalls []Action
	// firstStart is for the tests that keep a start for later.
	firstStart StartTask
	// holdStores keeps writes out of the log until storeAll.
	holdStores bool
}

func newHarness(t *testing.T, servers int) *harness {
	h := &harness{
		t: t, now: time.Unix(1_700_000_000, 0), wall: 1_700_000_000_000, log: make(map[string]partition.Record),
		polls: make(map[string]PollServer),
		bounds: Bounds{
			MaxLease: 10 * time.Second, GangTimeout: 3 * time.Second, StatusRetention: 2 * time.Minute, ReuseAfter: 2 * time.Second,
		},
		config: &routing.Configuration{
			Version: 1, Services: map[string]routing.Service{testService: {Name: testService}},
			Queues: []routing.Queue{{Name: testQueue, Service: testService, MaxFailedRuns: 2, Stretch: 1.5, TargetLatency: 400 * time.Millisecond}},
		},
	}
	for i := range servers {
		h.servers = append(h.servers, ServerInfo{
			ID: fmt.Sprintf("s%d", i), Service: testService, Address: fmt.Sprintf("10.0.0.%d:80", i+1),
			Capacity: workload.Resources{CPU: 32000, MemoryMB: 64000}, Labels: []string{"a", fmt.Sprintf("r%d", i/2)}, StartedAtMS: 1000,
		})
	}
	h.takeOver()
	return h
}

// takeOver replaces the Core by that of a new owner, which knows only the log.
func (h *harness) takeOver() {
	h.epoch++
	records := make([]partition.Record, 0, len(h.log))
	for _, r := range h.log {
		records = append(records, r)
	}
	h.starts, h.stops, h.stores, h.requests, h.shardCalls = nil, nil, nil, nil, nil
	h.polls = make(map[string]PollServer)
	claim := ClaimRecord(workload.PartitionOwner{Epoch: h.epoch, Daemon: "d"})
	h.log[claim.Key] = claim
	h.core = NewCore(h.epoch, h.bounds, records, events.Discard(), NewMetrics(metrics.NewSet()), h.now, h.wall)
	h.core.Configure(h.config)
	h.core.SetServers(h.servers)
	h.core.PollAll()
	h.core.ResumeHandovers()
	h.core.SetSharded(func(string) bool { return true })
	h.finish()
}

// advance advances the time and calls Tick.
func (h *harness) advance(d time.Duration) {
	h.now = h.now.Add(d)
	h.wall += d.Milliseconds()
	h.do(func(c *Core) { c.Tick() })
}

// pass lets time pass without an event.
func (h *harness) pass(d time.Duration) {
	h.now, h.wall = h.now.Add(d), h.wall+d.Milliseconds()
}

// do passes an event to the Core and collects its actions.
func (h *harness) do(f func(c *Core)) {
	h.core.SetTime(h.now, h.wall)
	h.core.SetOwnershipConfirmed(h.now)
	f(h.core)
	h.finish()
}

func (h *harness) finish() {
	for _, a := range h.core.Finish(true) {
		switch a := a.(type) {
		case SendReply:
			a.Reply(a.Answer)
		case Store:
			h.stores = append(h.stores, a)
		case StartTask:
			h.starts = append(h.starts, a)
		case StopTask:
			h.stops = append(h.stops, a)
		case PollServer:
			h.polls[a.To.ID] = a
		case RequestAuthorization:
			h.requests = append(h.requests, a)
		case AskRoom, SendHandover, QueryHeld, AskCap, SendCap:
			h.shardCalls = append(h.shardCalls, a)
		}
	}
	if !h.holdStores && len(h.stores) > 0 {
		h.storeAll()
	}
}

// storeAll puts all writes into the log and reports that to the Core.
func (h *harness) storeAll() {
	for len(h.stores) > 0 {
		next := h.stores[0]
		h.stores = h.stores[1:]
		for _, r := range next.Records {
			if r.Value == nil {
				delete(h.log, r.Key)
				continue
			}
			h.log[r.Key] = r
		}
		h.core.SetTime(h.now, h.wall)
		h.core.WritesStored(next.WriteID)
		h.finish()
	}
}

// answerAllPollsBut lets every server but one list no runs.
func (h *harness) answerAllPollsBut(except string) {
	h.t.Helper()
	for _, s := range h.servers {
		if s.ID != except {
			h.answerPoll(s.ID, PollResponse{})
		}
	}
}

// answerPoll answers the last poll of a server.
func (h *harness) answerPoll(server string, list PollResponse) {
	h.t.Helper()
	poll, ok := h.polls[server]
	if !ok {
		h.t.Fatalf("no poll of %s in flight", server)
	}
	delete(h.polls, server)
	if list.ClockMS == 0 {
		list.ClockMS = h.clock()
	}
	if list.StartedAtMS == 0 {
		list.StartedAtMS = 1000
	}
	sent := h.now
	h.now = h.now.Add(time.Millisecond)
	h.do(func(c *Core) { c.PollCompleted(poll.To, sent, list, nil) })
}

// relist changes the entry of a server to that of another instance.
func (h *harness) relist(server string, startedAtMS int64) {
	for i := range h.servers {
		if h.servers[i].ID == server {
			h.servers[i].StartedAtMS = startedAtMS
		}
	}
	h.do(func(c *Core) { c.SetServers(h.servers) })
}

// clock returns the clock of all servers in milliseconds.
func (h *harness) clock() int64 { return h.wall - 1_699_999_000_000 }

// answerAllPolls answers all polls with empty lists.
func (h *harness) answerAllPolls() {
	for _, s := range h.servers {
		if _, ok := h.polls[s.ID]; ok {
			h.answerPoll(s.ID, PollResponse{})
		}
	}
}

// confirmStart confirms a start.
func (h *harness) confirmStart(a StartTask) {
	h.do(func(c *Core) { c.StartCompleted(a.To, a.Order, h.clock(), nil) })
}

func (h *harness) submit(id string, steps ...workload.Step) *Reply {
	h.t.Helper()
	sub := &workload.Submission{ID: id, Queue: testQueue, Service: testService, Spec: "x", Steps: steps, Accepted: h.wall}
	if err := sub.Validate(); err != nil {
		h.t.Fatal(err)
	}
	var got *Reply
	reply := &Reply{}
	h.do(func(c *Core) {
		c.Submit(sub, 0, func(r Reply) { *reply = r; got = reply })
	})
	_ = got
	return reply
}

func (h *harness) status(id string) workload.Status {
	var got Reply
	h.do(func(c *Core) { c.Status(id, func(r Reply) { got = r }) })
	if got.Outcome == OutcomeNotFound {
		return ""
	}
	return got.Status
}

// takeStarts returns the starts sent since the last call.
func (h *harness) takeStarts() []StartTask {
	out := h.starts
	h.starts = nil
	return out
}

// runOne submits one task, confirms its start, and returns the start.
func (h *harness) runOne(id string, cpu int64) StartTask {
	h.t.Helper()
	h.submit(id, oneTask(cpu))
	start := h.takeStarts()[0]
	h.confirmStart(start)
	return start
}

// occupy reserves capacity on a server for a run of another submission, which
// has a declared run time of 1 s and started age ago.
func (h *harness) occupy(server string, cpu int64, age time.Duration) *attempt {
	h.t.Helper()
	s := h.core.servers[server]
	t := &newJob(&subOf("00000000000000ee").sub, h.now).build(0).steps[0].tasks[0]
	a := &attempt{task: t, run: 1, server: s, state: running, sentAt: h.now.Add(-age), need: oneTask(cpu).Need}
	s.reserve(a)
	return a
}

func oneTask(cpu int64) workload.Step {
	return workload.Step{Count: 1, Need: workload.Resources{CPU: cpu, MemoryMB: 1000}, Estimate: time.Second}
}

const (
	id1 = "00000000000000a1"
	id2 = "00000000000000a2"
)

// endOf returns the end of a start as its server lists it.
func endOf(a StartTask, number uint64, kind workload.EndKind) RunEnd {
	return RunEnd{Number: number, Task: a.Order.Task, Run: a.Order.Run, Kind: kind}
}

func runOf(a StartTask) ActiveRun { return ActiveRun{Task: a.Order.Task, Run: a.Order.Run} }

func TestCore_RunsSubmissionToCompletion(t *testing.T) {
	h := newHarness(t, 2)
	h.answerAllPolls()
	first := oneTask(1000)
	second := oneTask(1000)
	second.After = []int{0}
	h.submit(id1, first, second)
	for number := uint64(1); number <= 2; number++ {
		starts := h.takeStarts()
		if len(starts) != 1 {
			t.Fatalf("%d starts, want 1", len(starts))
		}
		h.confirmStart(starts[0])
		if got := h.status(id1); got != workload.StatusRunning {
			t.Errorf("status %q while a task runs, want running", got)
		}
		h.answerPoll(starts[0].To.ID, PollResponse{Ended: []RunEnd{endOf(starts[0], number, workload.EndDone)}})
	}
	if got := h.status(id1); got != workload.StatusCompleted {
		t.Errorf("status %q after all tasks ended, want completed", got)
	}
}

func TestCore_AcknowledgesEndOnlyOnceStored(t *testing.T) {
	h := newHarness(t, 1)
	h.answerAllPolls()
	start := h.runOne(id1, 1000)
	h.holdStores = true
	h.answerPoll("s0", PollResponse{Ended: []RunEnd{endOf(start, 1, workload.EndDone)}})
	if poll, ok := h.polls["s0"]; ok && poll.Request.AckedEnd > 0 {
		t.Fatalf("end %d acknowledged before it was stored", poll.Request.AckedEnd)
	}
	if got := h.status(id1); got.Terminal() {
		t.Fatalf("status %q before it was stored", got)
	}
	h.storeAll()
	if poll := h.polls["s0"]; poll.Request.AckedEnd != 1 {
		t.Errorf("acknowledged through end %d after it was stored, want 1", poll.Request.AckedEnd)
	}
}

func TestCore_StoredUnacknowledgedFailureCountsOnce(t *testing.T) {
	h := newHarness(t, 1)
	h.answerAllPolls()
	start := h.runOne(id1, 1000)
	end := endOf(start, 1, workload.EndFailed)
	h.answerPoll("s0", PollResponse{Ended: []RunEnd{end}})
	h.takeOver()
	h.answerPoll("s0", PollResponse{Ended: []RunEnd{end}})
	if got := h.status(id1); got == workload.StatusFailed {
		t.Error("submission failed after one failed run, want 2 allowed: the run was counted twice")
	}
	h.advance(time.Second)
	starts := h.takeStarts()
	if want := maxInheritedRun(h.epoch) + 1; len(starts) != 1 || starts[0].Order.Run != want {
		t.Fatalf("starts after takeover: %+v, want run %d", starts, want)
	}
}

func TestCore_InheritedTaskWaitsForUnresponsiveServer(t *testing.T) {
	h := newHarness(t, 2)
	h.answerAllPolls()
	start := h.runOne(id1, 1000)
	h.takeOver()
	h.answerAllPollsBut(start.To.ID)
	h.advance(9 * time.Second)
	if n := len(h.takeStarts()); n != 0 {
		t.Fatalf("%d starts while an unresponsive server may still run the task, want 0", n)
	}
	h.advance(2 * time.Second)
	if n := len(h.takeStarts()); n != 1 {
		t.Errorf("%d starts after the longest lease, want 1", n)
	}
}

func TestCore_UnresponsiveServerKeepsCapacityUntilLeaseExpiry(t *testing.T) {
	h := newHarness(t, 1)
	h.answerAllPolls()
	h.runOne(id1, 20000)
	noAnswer := verdict.New(verdict.MayHaveRun, ReasonNoAnswer, "no answer")
	fail := func() {
		if poll, ok := h.polls["s0"]; ok {
			delete(h.polls, "s0")
			h.do(func(c *Core) { c.PollCompleted(poll.To, h.now, PollResponse{}, noAnswer) })
		}
	}
	fail()
	for range 10 {
		h.advance(500 * time.Millisecond)
		fail()
	}
	if free := h.core.servers["s0"].free.CPU; free != 12000 {
		t.Errorf("free CPU %d while the task may run, want 12000", free)
	}
	for range 12 {
		h.advance(500 * time.Millisecond)
		fail()
	}
	if free := h.core.servers["s0"].free.CPU; free != 32000 {
		t.Errorf("free CPU %d after all leases expired, want 32000", free)
	}
}

func TestCore_UnansweredStartIsResentAsSameRun(t *testing.T) {
	h := newHarness(t, 2)
	h.answerAllPolls()
	h.submit(id1, oneTask(1000))
	start := h.takeStarts()[0]
	h.do(func(c *Core) {
		c.StartCompleted(start.To, start.Order, 0, verdict.New(verdict.MayHaveRun, ReasonNoAnswer, "no answer"))
	})
	again := h.takeStarts()
	if len(again) != 1 || again[0].To != start.To || again[0].Order.Run != start.Order.Run {
		t.Fatalf("starts %+v after an unanswered start, want the same run on %s", again, start.To.ID)
	}
}

func TestCore_CancelledSubmissionIsStoppedAndNotStarted(t *testing.T) {
	h := newHarness(t, 1)
	h.answerAllPolls()
	step := oneTask(20000)
	step.Count = 2
	h.submit(id1, step)
	start := h.takeStarts()[0]
	h.confirmStart(start)
	h.do(func(c *Core) { c.Cancel(id1, func(Reply) {}) })
	if len(h.stops) != 1 || h.stops[0].Order.Task != start.Order.Task {
		t.Fatalf("stops %+v, want the running task", h.stops)
	}
	h.answerPoll("s0", PollResponse{Ended: []RunEnd{endOf(start, 1, workload.EndStopped)}})
	h.advance(time.Second)
	if n := len(h.takeStarts()); n != 0 {
		t.Errorf("%d starts of a cancelled submission, want 0", n)
	}
	if got := h.status(id1); got != workload.StatusCancelled {
		t.Errorf("status %q", got)
	}
}

func TestCore_RunOfAnEndedSubmissionIsStopped(t *testing.T) {
	h := newHarness(t, 1)
	unknown := workload.TaskID{Submission: id2}
	h.answerPoll("s0", PollResponse{Running: []ActiveRun{{Task: unknown, Run: 3}}})
	if len(h.stops) != 1 || h.stops[0].Order.Task != unknown {
		t.Fatalf("stops %+v, want the unknown run", h.stops)
	}
	h.submit(id1, oneTask(1000))
	if n := len(h.takeStarts()); n != 0 {
		t.Errorf("%d starts beside a run of unknown size, want 0", n)
	}
}

func TestCore_GangStartsAllMembersUnderOneRun(t *testing.T) {
	h := newHarness(t, 2)
	h.answerAllPolls()
	gang := oneTask(9000)
	gang.Count, gang.Gang = 7, true
	h.submit(id1, gang)
	if n := len(h.takeStarts()); n != 0 {
		t.Fatalf("%d members started where 6 of 7 fit, want 0", n)
	}
	h.servers = append(h.servers, ServerInfo{ID: "s2", Service: testService, Address: "10.0.0.9:80", Capacity: workload.Resources{CPU: 32000, MemoryMB: 64000}, StartedAtMS: 1000})
	h.do(func(c *Core) { c.SetServers(h.servers) })
	h.answerPoll("s2", PollResponse{})
	starts := h.takeStarts()
	if len(starts) != 7 {
		t.Fatalf("%d members started, want 7", len(starts))
	}
	for _, s := range starts {
		if s.Order.Run != 1 {
			t.Errorf("run %d, want 1 for all", s.Order.Run)
		}
	}
}

func TestCore_RestartedServerHoldsNoRuns(t *testing.T) {
	h := newHarness(t, 1)
	h.answerAllPolls()
	start := h.runOne(id1, 1000)
	h.answerPoll("s0", PollResponse{Running: []ActiveRun{runOf(start)}})
	h.answerPoll("s0", PollResponse{StartedAtMS: 2000})
	h.relist("s0", 2000)
	starts := h.takeStarts()
	if len(starts) != 1 || starts[0].Order.Run != 2 {
		t.Fatalf("starts %+v, want run 2 after the server restarted", starts)
	}
}
