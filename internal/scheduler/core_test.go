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

// harness drives a Core in virtual time: it keeps what the log and the servers
// would keep, and hands every action to the test.
type harness struct {
	t    *testing.T
	core *Core
	now  time.Time
	wall int64
	// log holds the newest record of each key.
	log     map[string]partition.Record
	epoch   uint64
	bounds  Bounds
	config  *routing.Configuration
	servers []ServerInfo
	// stores are writes that are not in the log yet.
	stores []Store
	starts []StartTask
	stops  []StopTask
	looks  map[string]LookAt
	asks   []AskAdvice
	// holdStores keeps writes out of the log until storeAll.
	holdStores bool
}

func newHarness(t *testing.T, servers int) *harness {
	h := &harness{
		t: t, now: time.Unix(1_700_000_000, 0), wall: 1_700_000_000_000, log: make(map[string]partition.Record),
		looks: make(map[string]LookAt),
		bounds: Bounds{
			MaxLease: 10 * time.Second, GangTimeout: 3 * time.Second, StatusRetention: 2 * time.Minute,
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

// takeOver replaces the Core by that of a new owner, which knows the log alone.
func (h *harness) takeOver() {
	h.epoch++
	records := make([]partition.Record, 0, len(h.log))
	for _, r := range h.log {
		records = append(records, r)
	}
	h.starts, h.stops, h.stores, h.asks = nil, nil, nil, nil
	h.looks = make(map[string]LookAt)
	h.core = NewCore(h.epoch, h.bounds, records, events.Discard(), NewMetrics(metrics.NewSet()), h.now, h.wall)
	h.core.Configure(h.config)
	h.core.SetServers(h.servers)
	h.core.LookAtAll()
	h.finish()
}

// after lets time pass and tells the Core.
func (h *harness) after(d time.Duration) {
	h.now = h.now.Add(d)
	h.wall += d.Milliseconds()
	h.do(func(c *Core) { c.Tick() })
}

// do tells the Core something and takes its actions.
func (h *harness) do(f func(c *Core)) {
	h.core.Begin(h.now, h.wall)
	f(h.core)
	h.finish()
}

func (h *harness) finish() {
	for _, a := range h.core.Finish(true) {
		switch a := a.(type) {
		case Answer:
			a.Reply(a.Answer)
		case Store:
			h.stores = append(h.stores, a)
		case StartTask:
			h.starts = append(h.starts, a)
		case StopTask:
			h.stops = append(h.stops, a)
		case LookAt:
			h.looks[a.To.ID] = a
		case AskAdvice:
			h.asks = append(h.asks, a)
		}
	}
	if !h.holdStores && len(h.stores) > 0 {
		h.storeAll()
	}
}

// storeAll puts all writes into the log and tells the Core.
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
		h.core.Begin(h.now, h.wall)
		h.core.Stored(next.Ticket)
		h.finish()
	}
}

// listAllBut has every server but one answer that it holds nothing.
func (h *harness) listAllBut(silent string) {
	h.t.Helper()
	for _, s := range h.servers {
		if s.ID != silent {
			h.list(s.ID, PollResponse{})
		}
	}
}

// list answers the look that a server was sent last.
func (h *harness) list(server string, list PollResponse) {
	h.t.Helper()
	look, ok := h.looks[server]
	if !ok {
		h.t.Fatalf("no look at %s is under way", server)
	}
	delete(h.looks, server)
	if list.ClockMS == 0 {
		list.ClockMS = h.clock()
	}
	if list.StartedAtMS == 0 {
		list.StartedAtMS = 1000
	}
	sent := h.now
	h.now = h.now.Add(time.Millisecond)
	h.do(func(c *Core) { c.Looked(look.To, sent, list, nil) })
}

// clock is the clock of all servers.
func (h *harness) clock() int64 { return h.wall - 1_699_999_000_000 }

// listAll answers all looks with empty lists.
func (h *harness) listAll() {
	for _, s := range h.servers {
		if _, ok := h.looks[s.ID]; ok {
			h.list(s.ID, PollResponse{})
		}
	}
}

// taken answers a start with success.
func (h *harness) taken(a StartTask) {
	h.do(func(c *Core) { c.Started(a.To, a.Order, h.clock(), nil) })
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

// runOne submits one task, has its start taken, and returns the start.
func (h *harness) runOne(id string, cpu int64) StartTask {
	h.t.Helper()
	h.submit(id, oneTask(cpu))
	start := h.takeStarts()[0]
	h.taken(start)
	return start
}

// occupy books a run of another submission on a server, declared to take a second
// and begun some time ago.
func (h *harness) occupy(server string, cpu int64, age time.Duration) *attempt {
	h.t.Helper()
	s := h.core.servers[server]
	t := &newJob(&subOf("00000000000000ee").sub, h.now).occurrences[0].steps[0].tasks[0]
	a := &attempt{task: t, run: 1, server: s, state: running, sent: h.now.Add(-age), need: oneTask(cpu).Need}
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

func TestCore_RunsASubmissionToItsEnd(t *testing.T) {
	h := newHarness(t, 2)
	h.listAll()
	first := oneTask(1000)
	second := oneTask(1000)
	second.After = []int{0}
	h.submit(id1, first, second)
	for number := uint64(1); number <= 2; number++ {
		starts := h.takeStarts()
		if len(starts) != 1 {
			t.Fatalf("%d starts, want one", len(starts))
		}
		h.taken(starts[0])
		if got := h.status(id1); got != workload.StatusRunning {
			t.Errorf("status %q while a task runs", got)
		}
		h.list(starts[0].To.ID, PollResponse{Ended: []RunEnd{endOf(starts[0], number, workload.EndDone)}})
	}
	if got := h.status(id1); got != workload.StatusCompleted {
		t.Errorf("status %q after all ends", got)
	}
}

func TestCore_EndIsForgottenOnlyOnceStored(t *testing.T) {
	h := newHarness(t, 1)
	h.listAll()
	start := h.runOne(id1, 1000)
	h.holdStores = true
	h.list("s0", PollResponse{Ended: []RunEnd{endOf(start, 1, workload.EndDone)}})
	if look, ok := h.looks["s0"]; ok && look.Look.AckedEnd > 0 {
		t.Fatalf("end noted at %d before it was stored", look.Look.AckedEnd)
	}
	if got := h.status(id1); got.Terminal() {
		t.Fatalf("shown as %q before that was stored", got)
	}
	h.storeAll()
	if look := h.looks["s0"]; look.Look.AckedEnd != 1 {
		t.Errorf("noted up to %d after the end was stored, want 1", look.Look.AckedEnd)
	}
}

func TestCore_FailureThatWasStoredAndNotNotedCountsOnce(t *testing.T) {
	h := newHarness(t, 1)
	h.listAll()
	start := h.runOne(id1, 1000)
	end := endOf(start, 1, workload.EndFailed)
	h.list("s0", PollResponse{Ended: []RunEnd{end}})
	h.takeOver()
	h.list("s0", PollResponse{Ended: []RunEnd{end}})
	if got := h.status(id1); got == workload.StatusFailed {
		t.Error("one failed run of two allowed was counted twice")
	}
	h.after(time.Second)
	starts := h.takeStarts()
	if want := inheritedRuns(h.epoch) + 1; len(starts) != 1 || starts[0].Order.Run != want {
		t.Fatalf("starts after the take-over: %+v, want run %d", starts, want)
	}
}

func TestCore_InheritedTaskWaitsForASilentServer(t *testing.T) {
	h := newHarness(t, 2)
	h.listAll()
	start := h.runOne(id1, 1000)
	h.takeOver()
	h.listAllBut(start.To.ID)
	h.after(9 * time.Second)
	if n := len(h.takeStarts()); n != 0 {
		t.Fatalf("%d starts while a silent server may still run the task", n)
	}
	h.after(2 * time.Second)
	if n := len(h.takeStarts()); n != 1 {
		t.Errorf("%d starts after the longest lease, want one", n)
	}
}

func TestCore_SilentServerKeepsItsRoomUntilLeasesLapse(t *testing.T) {
	h := newHarness(t, 1)
	h.listAll()
	h.runOne(id1, 20000)
	silent := verdict.New(verdict.MayHaveRun, ReasonNoAnswer, "no answer")
	fail := func() {
		if look, ok := h.looks["s0"]; ok {
			delete(h.looks, "s0")
			h.do(func(c *Core) { c.Looked(look.To, h.now, PollResponse{}, silent) })
		}
	}
	fail()
	for range 10 {
		h.after(500 * time.Millisecond)
		fail()
	}
	if free := h.core.servers["s0"].free.CPU; free != 12000 {
		t.Errorf("free CPU %d while the task may run, want 12000", free)
	}
	for range 12 {
		h.after(500 * time.Millisecond)
		fail()
	}
	if free := h.core.servers["s0"].free.CPU; free != 32000 {
		t.Errorf("free CPU %d after all leases lapsed, want 32000", free)
	}
}

func TestCore_StartWithoutAnswerIsSentAgainAsTheSameRun(t *testing.T) {
	h := newHarness(t, 2)
	h.listAll()
	h.submit(id1, oneTask(1000))
	start := h.takeStarts()[0]
	h.do(func(c *Core) {
		c.Started(start.To, start.Order, 0, verdict.New(verdict.MayHaveRun, ReasonNoAnswer, "no answer"))
	})
	again := h.takeStarts()
	if len(again) != 1 || again[0].To != start.To || again[0].Order.Run != start.Order.Run {
		t.Fatalf("sent %+v after no answer, want the same run to %s again", again, start.To.ID)
	}
}

func TestCore_CancelledSubmissionIsStoppedAndNotStarted(t *testing.T) {
	h := newHarness(t, 1)
	h.listAll()
	step := oneTask(20000)
	step.Count = 2
	h.submit(id1, step)
	start := h.takeStarts()[0]
	h.taken(start)
	h.do(func(c *Core) { c.Cancel(id1, func(Reply) {}) })
	if len(h.stops) != 1 || h.stops[0].Order.Task != start.Order.Task {
		t.Fatalf("stops %+v, want the running task", h.stops)
	}
	h.list("s0", PollResponse{Ended: []RunEnd{endOf(start, 1, workload.EndStopped)}})
	h.after(time.Second)
	if n := len(h.takeStarts()); n != 0 {
		t.Errorf("%d starts of a cancelled submission", n)
	}
	if got := h.status(id1); got != workload.StatusCancelled {
		t.Errorf("status %q", got)
	}
}

func TestCore_RunOfAnEndedSubmissionIsStopped(t *testing.T) {
	h := newHarness(t, 1)
	stray := workload.TaskID{Submission: id2}
	h.list("s0", PollResponse{Running: []ActiveRun{{Task: stray, Run: 3}}})
	if len(h.stops) != 1 || h.stops[0].Order.Task != stray {
		t.Fatalf("stops %+v, want the stray run", h.stops)
	}
	h.submit(id1, oneTask(1000))
	if n := len(h.takeStarts()); n != 0 {
		t.Errorf("%d starts beside a run of unknown size", n)
	}
}

func TestCore_GangStartsWholeUnderOneRun(t *testing.T) {
	h := newHarness(t, 2)
	h.listAll()
	gang := oneTask(9000)
	gang.Count, gang.Gang = 7, true
	h.submit(id1, gang)
	if n := len(h.takeStarts()); n != 0 {
		t.Fatalf("%d members started where six fit", n)
	}
	h.servers = append(h.servers, ServerInfo{ID: "s2", Service: testService, Address: "10.0.0.9:80", Capacity: workload.Resources{CPU: 32000, MemoryMB: 64000}, StartedAtMS: 1000})
	h.do(func(c *Core) { c.SetServers(h.servers) })
	h.list("s2", PollResponse{})
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

func TestCore_ServerBornAnewHoldsNothing(t *testing.T) {
	h := newHarness(t, 1)
	h.listAll()
	start := h.runOne(id1, 1000)
	h.list("s0", PollResponse{Running: []ActiveRun{runOf(start)}})
	h.list("s0", PollResponse{StartedAtMS: 2000})
	starts := h.takeStarts()
	if len(starts) != 1 || starts[0].Order.Run != 2 {
		t.Fatalf("starts %+v, want run 2 after the server began anew", starts)
	}
}
