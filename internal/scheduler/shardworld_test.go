package scheduler

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/currantwinch/currantwinch/workload"
)

const (
	shardStep = 20 * time.Millisecond
	// shardTick is the number of steps between two calls of Core.Tick.
	shardTick = 5
	// unlistedAfter is how long the list names a server that is gone.
	unlistedAfter = 3 * time.Second
	// takeOverTime is how long a partition has no owner after one has ended.
	takeOverTime = time.Second
)

// shardWorld is a service of several shards in virtual time: owners that end, stores
// that are away for one of them, calls between owners that are late, lost or repeated,
// and servers that hold leases, fencing tokens and run numbers.
type shardWorld struct {
	t      *testing.T
	seed   uint64
	rng    *rand.Rand
	now    time.Time
	wall   int64
	steps  int
	shards []*worldShard
	// servers holds all servers of the service; each belongs to one shard.
	servers []*worldServer
	calls   []shardCall
	// lossy makes calls between owners get lost, late or repeated.
	lossy bool
	// runTime is how long each task runs.
	runTime time.Duration
	// submitted holds the accepted submissions, in order.
	submitted []string
	// cancelledAt is when the cancel of a submission was acknowledged.
	cancelledAt map[string]time.Time
	// lastStart is when each task was last started, and noted holds the tasks of which
	// an end done was acknowledged on a server whose lease had not expired since.
	lastStart  map[workload.TaskID]time.Time
	noted      map[workload.TaskID]bool
	violations []string
}

// worldShard is one partition with its owner.
type worldShard struct {
	*harness
	number int
	// ownerBackAt is when the partition has an owner again; zero while it has one.
	ownerBackAt time.Time
	storeBackAt time.Time
}

// shardCall is an order to a server, or a call between owners, that is under way.
type shardCall struct {
	due  time.Time
	from *worldShard
	// epoch is that of the owner that sent it.
	epoch  uint64
	action Action
	// late is set for a repetition whose answer nobody awaits.
	late bool
}

// newShardWorld returns a world with the given labels of each rack's servers; rack i
// belongs to shard i modulo the number of shards.
func newShardWorld(t *testing.T, shards int, seed uint64, racks []string, perRack int) *shardWorld {
	w := &shardWorld{
		t: t, seed: seed, rng: rand.New(rand.NewPCG(seed, 2)), now: time.Unix(1_700_000_000, 0), wall: 1_700_000_000_000,
		runTime: time.Second, cancelledAt: make(map[string]time.Time), lastStart: make(map[workload.TaskID]time.Time), noted: make(map[workload.TaskID]bool),
	}
	for rack, label := range racks {
		for i := range perRack {
			w.servers = append(w.servers, &worldServer{
				shard: rack % shards, runs: make(map[runKey]time.Time), forbidden: make(map[workload.TaskID]int), endedAt: make(map[uint64]time.Time),
				info: ServerInfo{
					ID: fmt.Sprintf("r%d-%d", rack, i), Service: testService, Address: fmt.Sprintf("10.%d.0.%d:80", rack, i+1), StartedAtMS: 1000,
					Capacity: workload.Resources{CPU: 4000, MemoryMB: 8000}, Labels: []string{label, fmt.Sprintf("r%d", rack)},
				},
			})
		}
	}
	for number := range shards {
		h := newHarness(t, 0)
		// Epochs of partitions are far apart, in either direction.
		h.epoch = uint64(1 + 7*(number%3))
		s := &worldShard{harness: h, number: number}
		w.shards = append(w.shards, s)
		w.elect(s)
	}
	w.run(time.Second)
	return w
}

// elect gives a partition a new owner.
func (w *shardWorld) elect(s *worldShard) {
	s.ownerBackAt = time.Time{}
	s.harness.now, s.harness.wall = w.now, w.wall
	s.harness.servers = w.listOf(s)
	s.takeOver()
	w.collect(s)
}

// listOf returns the platform's list of a shard's servers.
func (w *shardWorld) listOf(s *worldShard) []ServerInfo {
	var out []ServerInfo
	for _, v := range w.servers {
		if v.shard == s.number && (v.goneAt.IsZero() || w.now.Sub(v.goneAt) < unlistedAfter) {
			out = append(out, v.info)
		}
	}
	return out
}

// endOwner ends a partition's owner. Calls that it has sent may still arrive.
func (w *shardWorld) endOwner(s *worldShard) { s.ownerBackAt = w.now.Add(takeOverTime) }

func (s *worldShard) owned() bool { return s.ownerBackAt.IsZero() }

func (w *shardWorld) run(d time.Duration) {
	for end := w.now.Add(d); w.now.Before(end); {
		w.step()
	}
}

func (w *shardWorld) step() {
	w.now = w.now.Add(shardStep)
	w.wall += shardStep.Milliseconds()
	w.steps++
	for _, v := range w.servers {
		w.stepServer(v)
	}
	for _, s := range w.shards {
		s.harness.now, s.harness.wall = w.now, w.wall
		if !s.owned() {
			if w.now.After(s.ownerBackAt) {
				w.elect(s)
			}
			continue
		}
		if s.holdStores && w.now.After(s.storeBackAt) {
			s.holdStores = false
			s.storeAll()
		}
		if (w.steps+s.number)%shardTick == 0 {
			s.do(func(c *Core) {
				c.SetServers(w.listOf(s))
				c.Tick()
			})
		}
		w.collect(s)
	}
	w.deliver()
}

// collect takes over the actions of an owner.
func (w *shardWorld) collect(s *worldShard) {
	send := func(a Action, delay time.Duration) {
		w.calls = append(w.calls, shardCall{due: w.now.Add(delay), from: s, epoch: s.epoch, action: a})
	}
	for _, a := range s.takeStarts() {
		send(a, a.Delay)
	}
	for _, a := range s.stops {
		send(a, a.Delay)
	}
	s.stops = nil
	for _, a := range s.polls {
		send(a, a.Delay)
	}
	clear(s.polls)
	for _, a := range s.shardCalls {
		delay := 10 * time.Millisecond
		if h, ok := a.(SendHandover); ok {
			delay += h.Delay
		}
		if w.lossy && w.rng.IntN(4) == 0 {
			delay += time.Duration(w.rng.IntN(3000)) * time.Millisecond
		}
		send(a, delay)
	}
	s.shardCalls = nil
}

// deliver carries out the calls that are due.
func (w *shardWorld) deliver() {
	calls := w.calls
	w.calls = nil
	slices.SortStableFunc(calls, func(x, y shardCall) int { return x.due.Compare(y.due) })
	for _, c := range calls {
		if w.now.Before(c.due) {
			w.calls = append(w.calls, c)
			continue
		}
		switch a := c.action.(type) {
		case StartTask:
			w.start(c, a)
		case StopTask:
			w.stop(c, a)
		case PollServer:
			w.poll(c, a)
		case AskRoom:
			w.askRoom(c, a)
		case SendHandover:
			w.handOver(c, a)
		case QueryHeld:
			w.queryHeld(c, a)
		}
	}
}

// answer passes an event to the owner that sent a call, if it still owns its partition.
func (w *shardWorld) answer(c shardCall, event func(*Core)) {
	if !c.late && c.from.owned() && c.from.epoch == c.epoch {
		c.from.do(event)
		w.collect(c.from)
	}
}

// lost reports whether a call between owners, or its answer, is lost.
func (w *shardWorld) lost() bool { return w.lossy && w.rng.IntN(6) == 0 }

func (w *shardWorld) askRoom(c shardCall, a AskRoom) {
	var answers []RoomAnswer
	for _, s := range w.shards {
		if s != c.from && s.owned() && !w.lost() {
			s.do(func(core *Core) {
				answer := core.Room(a.Question)
				answer.Partition = s.number
				answers = append(answers, answer)
			})
		}
	}
	w.answer(c, func(core *Core) { core.RoomAnswered(a.Question, answers) })
}

func (w *shardWorld) handOver(c shardCall, a SendHandover) {
	id, number := a.Handover.Submission.ID, a.Handover.Number
	fail := func() { w.answer(c, func(core *Core) { core.HandoverCompleted(id, number, errNoAnswer) }) }
	to := w.shards[a.To]
	if !to.owned() || w.lost() {
		fail()
		return
	}
	if w.lossy && !c.late && w.rng.IntN(4) == 0 {
		copied := c
		copied.late, copied.due = true, w.now.Add(time.Duration(w.rng.IntN(8000))*time.Millisecond)
		w.calls = append(w.calls, copied)
	}
	epoch, answered := to.epoch, false
	to.do(func(core *Core) {
		core.TakeOver(a.Handover, func(Reply) {
			answered = true
			if to.epoch == epoch && !w.lost() {
				w.answer(c, func(core *Core) { core.HandoverCompleted(id, number, nil) })
				return
			}
			fail()
		})
	})
	w.collect(to)
	if !answered {
		// The store is away. The caller gives up at its timeout.
		fail()
		c.late = true
	}
}

func (w *shardWorld) queryHeld(c shardCall, a QueryHeld) {
	to := w.shards[a.Partition]
	if !to.owned() || to.holdStores {
		w.answer(c, func(core *Core) { core.HeldCompleted(a.Partition, a.IDs, nil, errNoAnswer) })
		return
	}
	var held []bool
	to.do(func(core *Core) { held = core.Held(a.IDs) })
	w.answer(c, func(core *Core) { core.HeldCompleted(a.Partition, a.IDs, held, nil) })
}

// submit submits to a shard and reports whether that was acknowledged.
func (w *shardWorld) submitTo(s *worldShard, id string, steps ...workload.Step) bool {
	if !s.owned() || s.holdStores {
		return false
	}
	accepted := false
	sub := &workload.Submission{ID: id, Queue: testQueue, Service: testService, Spec: "x", Steps: steps, Accepted: w.wall}
	s.do(func(c *Core) { c.Submit(sub, 0, func(r Reply) { accepted = r.Outcome == OutcomeDone }) })
	w.collect(s)
	if accepted && !slices.Contains(w.submitted, id) {
		w.submitted = append(w.submitted, id)
	}
	return accepted
}

// follow asks the first shard of a submission and those that it forwards to. It reports
// false if the last of them does not answer or does not have the submission yet.
func (w *shardWorld) follow(s *worldShard, ask func(c *Core, reply func(Reply))) (Reply, bool) {
	at := Reply{Delivered: true}
	for range 2 * len(w.shards) {
		var r *Reply
		if s.owned() {
			s.do(func(c *Core) { ask(c, func(answer Reply) { r = &answer }) })
			w.collect(s)
		}
		switch {
		case r == nil:
			return Reply{}, false
		case r.Outcome == OutcomeNotFound && !at.Delivered, r.Outcome == OutcomeForwarded && r.Number <= at.Number:
			return Reply{}, false
		case r.Outcome != OutcomeForwarded:
			return *r, true
		}
		at, s = *r, w.shards[r.Partition]
	}
	w.violate("forwarded in a circle")
	return Reply{}, false
}

func (w *shardWorld) home(id string) *worldShard {
	var n int
	_, _ = fmt.Sscanf(id, "%x", &n)
	return w.shards[n%len(w.shards)]
}

func (w *shardWorld) cancel(id string) {
	r, ok := w.follow(w.home(id), func(c *Core, reply func(Reply)) { c.Cancel(id, reply) })
	if !ok {
		return
	}
	if r.Outcome == OutcomeNotFound {
		w.violate("the cancel of %s is answered with not found", id)
		return
	}
	w.cancelledAt[id] = w.now
}

func (w *shardWorld) statusOf(id string) workload.Status {
	r, ok := w.follow(w.home(id), func(c *Core, reply func(Reply)) { c.Status(id, reply) })
	if ok && r.Outcome == OutcomeNotFound {
		w.violate("%s is not found", id)
	}
	return r.Status
}

// check fails the test for each violation, and for each submission that is not shown as
// ended.
func (w *shardWorld) check() {
	w.t.Helper()
	for _, id := range w.submitted {
		if got := w.statusOf(id); !got.Terminal() {
			w.violate("%s is shown as %q at the end", id, got)
		}
	}
	for _, v := range w.violations {
		w.t.Error(v)
	}
}
