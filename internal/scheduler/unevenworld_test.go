package scheduler

import (
	"cmp"
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/currantwinch/currantwinch/routing"
	"github.com/currantwinch/currantwinch/workload"
)

// unevenWorld runs a Core in virtual time against servers of different speeds, racks and
// faults, with work of several kinds that arrives at random. Nothing is sent over a network.
type unevenWorld struct {
	*harness
	random *rand.Rand
	kinds  []workKind
	// speedOf returns the speed of a server at a time since the beginning.
	speedOf func(server int, at time.Duration) float64
	// remoteFactor is how many times as long a task takes away from its rack.
	remoteFactor float64
	// startTime is the part of the caller's time that passes before the owner has a
	// submission and before its first start is carried out.
	startTime time.Duration
	began     time.Time
	servers   map[string]*unevenServer
	ends      endQueue
	subs      map[string]*unevenSub
	results   map[string]*unevenResult
	nextID    int
	// placed lists the runs in the order of their starts.
	placed []placedRun
	// copies counts the starts of tasks of which another run was in progress.
	copies int
	// maxBusy is the most CPU in use at a time, in thousandths of a core.
	busy, maxBusy int64
}

// placedRun is a run that began.
type placedRun struct {
	task   string
	server string
	at     time.Duration
}

// workKind is a kind of submissions: steps in a chain of tasks of one size.
type workKind struct {
	queue          routing.Queue
	perSecond      float64
	steps          float64
	tasks          int
	runTime        time.Duration
	cpu            int64
	near           float64 // the part of the steps that name a rack
	speculative    bool
	stragglerShare float64
}

type unevenServer struct {
	index   int
	number  uint64
	running map[runKey]*unevenRun
	ended   []RunEnd
}

type unevenRun struct {
	server *unevenServer
	key    runKey
	end    time.Time
	cpu    int64
	over   bool
}

// unevenSub is a submission and the true work of its steps' tasks.
type unevenSub struct {
	kind     *workKind
	arrived  time.Time
	target   time.Time
	work     []time.Duration
	slowTask map[workload.TaskID]bool
	ended    bool
	started  bool
}

// unevenResult counts what became of a kind's submissions.
type unevenResult struct {
	submissions, inTime, unfinished int
	runs, far, fast                 int
	firstStart, took                []time.Duration
}

func newUnevenWorld(t *testing.T, seed uint64, servers, perRack int, capacity workload.Resources, kinds []workKind, remoteFactor float64) *unevenWorld {
	w := &unevenWorld{
		harness: newHarness(t, 0), random: rand.New(rand.NewPCG(seed, 7)), kinds: kinds, remoteFactor: 1,
		speedOf: func(int, time.Duration) float64 { return 1 }, servers: make(map[string]*unevenServer),
		subs: make(map[string]*unevenSub), results: make(map[string]*unevenResult),
	}
	if remoteFactor > 1 {
		w.remoteFactor = remoteFactor
	}
	w.bounds.RemoteFactor = remoteFactor
	w.config.Queues = nil
	for i := range kinds {
		kinds[i].queue.Service = testService
		kinds[i].queue.MaxFailedRuns = 3
		kinds[i].queue.Stretch = 1.5
		w.config.Queues = append(w.config.Queues, kinds[i].queue)
		w.results[kinds[i].queue.Name] = &unevenResult{}
	}
	for i := range servers {
		id := fmt.Sprintf("s%03d", i)
		w.harness.servers = append(w.harness.servers, ServerInfo{
			ID: id, Service: testService, Address: fmt.Sprintf("10.0.%d.%d:80", i/250, i%250+1), Capacity: capacity,
			Labels: []string{"a", rackName(i / perRack)}, StartedAtMS: 1000,
		})
		w.servers[id] = &unevenServer{index: i, running: make(map[runKey]*unevenRun)}
	}
	w.takeOver()
	w.began = w.now
	for range 3 {
		w.settle()
	}
	return w
}

func rackName(rack int) string { return fmt.Sprintf("rack%02d", rack) }

// run lets work arrive for the given time, and then gives what has arrived time to end.
func (w *unevenWorld) run(traffic, rest time.Duration) {
	next := make([]time.Time, len(w.kinds))
	for i := range next {
		next[i] = w.began.Add(w.gap(w.kinds[i].perSecond))
	}
	lastTick, until := w.now, w.began.Add(traffic)
	for w.now.Before(until.Add(rest)) {
		at, what := lastTick.Add(50*time.Millisecond), -1
		if len(w.ends) > 0 && w.ends[0].end.Before(at) {
			at, what = w.ends[0].end, -2
		}
		for i := range next {
			if next[i].Before(at) && next[i].Before(until) {
				at, what = next[i], i
			}
		}
		if d := at.Sub(w.now); d > 0 {
			w.pass(d)
		}
		switch what {
		case -1:
			lastTick = w.now
			w.do(func(c *Core) { c.Tick() })
		case -2:
			w.endRun(heap.Pop(&w.ends).(*unevenRun), workload.EndDone)
		default:
			next[what] = w.now.Add(w.gap(w.kinds[what].perSecond))
			w.arrive(&w.kinds[what])
		}
		w.settle()
	}
	for _, s := range w.subs {
		if !s.ended {
			w.results[s.kind.queue.Name].unfinished++
		}
	}
}

func (w *unevenWorld) gap(perSecond float64) time.Duration {
	return time.Duration(w.random.ExpFloat64() / perSecond * float64(time.Second))
}

// arrive submits work of a kind. Declared times are off by up to 0.9 in either direction.
func (w *unevenWorld) arrive(k *workKind) {
	w.nextID++
	id := fmt.Sprintf("%016x", w.nextID)
	sub := &unevenSub{kind: k, arrived: w.now, slowTask: make(map[workload.TaskID]bool)}
	steps := int(k.steps)
	if w.random.Float64() < k.steps-float64(steps) {
		steps++
	}
	var path time.Duration
	var specs []workload.Step
	for i := range steps {
		work := time.Duration(math.Exp(0.4*w.random.NormFloat64()) * float64(k.runTime))
		st := workload.Step{
			Count: k.tasks, Need: workload.Resources{CPU: k.cpu, MemoryMB: 100}, Speculative: k.speculative,
			Estimate: time.Duration(float64(work) * (1 + 0.9*(2*w.random.Float64()-1))).Round(time.Millisecond),
		}
		if i > 0 {
			st.After = []int{i - 1}
		}
		if w.random.Float64() < k.near {
			racks := w.servers[w.harness.servers[len(w.harness.servers)-1].ID].index
			st.Rack = w.harness.servers[w.random.IntN(racks)].Rack()
		}
		for n := range k.tasks {
			if w.random.Float64() < k.stragglerShare {
				sub.slowTask[workload.TaskID{Submission: id, Step: i, Index: n}] = true
			}
		}
		sub.work = append(sub.work, work)
		specs = append(specs, st)
		path += work
	}
	sub.arrived = w.now.Add(-w.startTime)
	sub.target = sub.arrived.Add(time.Duration(1.5*float64(path)) + k.queue.TargetLatency)
	w.subs[id] = sub
	w.results[k.queue.Name].submissions++
	w.do(func(c *Core) {
		c.Submit(&workload.Submission{ID: id, Queue: k.queue.Name, Service: testService, Spec: "x", Steps: specs, Accepted: w.wall}, 0, func(Reply) {})
	})
}

// settle carries out all orders and answers the polls that need no wait.
func (w *unevenWorld) settle() {
	for {
		for _, a := range w.takeStarts() {
			w.begin(a)
			w.confirmStart(a)
		}
		stops := w.stops
		w.stops = nil
		for _, a := range stops {
			if r := w.servers[a.To.ID].running[runKey{a.Order.Task, a.Order.Run}]; r != nil {
				w.endRun(r, workload.EndStopped)
			}
			w.do(func(c *Core) { c.StopCompleted(a.To, a.Order, nil) })
		}
		answered := false
		ids := make([]string, 0, len(w.polls))
		for id := range w.polls {
			ids = append(ids, id)
		}
		slices.Sort(ids)
		for _, id := range ids {
			s, poll := w.servers[id], w.polls[id]
			s.ended = slices.DeleteFunc(s.ended, func(e RunEnd) bool { return e.Number <= poll.Request.AckedEnd })
			if poll.Request.Wait > 0 && len(s.ended) == 0 {
				continue
			}
			answered = true
			delete(w.polls, id)
			list := PollResponse{ClockMS: w.clock(), StartedAtMS: 1000, Ended: slices.Clone(s.ended)}
			for key := range s.running {
				list.Running = append(list.Running, ActiveRun{Task: key.task, Run: key.run})
			}
			slices.SortFunc(list.Running, func(x, y ActiveRun) int { return cmp.Compare(x.Task.String(), y.Task.String()) })
			w.do(func(c *Core) { c.PollCompleted(poll.To, w.now, list, nil) })
		}
		if !answered && len(w.starts) == 0 && len(w.stops) == 0 {
			return
		}
	}
}

// begin begins a run on its server.
func (w *unevenWorld) begin(a StartTask) {
	s, sub := w.servers[a.To.ID], w.subs[a.Order.Task.Submission]
	key := runKey{a.Order.Task, a.Order.Run}
	if s.running[key] != nil {
		return
	}
	result := w.results[sub.kind.queue.Name]
	if !sub.started {
		sub.started = true
		result.firstStart = append(result.firstStart, w.now.Sub(sub.arrived))
	}
	st := w.core.jobs[key.task.Submission].step(key.task.Occurrence, key.task.Step)
	took := float64(sub.work[key.task.Step]) / w.speedOf(s.index, w.now.Sub(w.began))
	if st.spec.Rack != "" && st.spec.Rack != w.harness.servers[s.index].Rack() {
		took *= w.remoteFactor
		result.far++
	}
	for _, other := range w.servers {
		for k := range other.running {
			if k.task == key.task {
				w.copies++
			}
		}
	}
	// A straggler is a run that is slow where it is; a copy of its task is not.
	if sub.slowTask[key.task] {
		delete(sub.slowTask, key.task)
		took *= 7
	}
	result.runs++
	w.placed = append(w.placed, placedRun{key.task.String(), a.To.ID, w.now.Sub(w.began)})
	if w.speedOf(s.index, w.now.Sub(w.began)) > 1 {
		result.fast++
	}
	r := &unevenRun{server: s, key: key, end: w.now.Add(time.Duration(took)), cpu: sub.kind.cpu}
	s.running[key] = r
	w.busy += r.cpu
	w.maxBusy = max(w.maxBusy, w.busy)
	heap.Push(&w.ends, r)
}

// endRun ends a run and answers the poll that waits for that.
func (w *unevenWorld) endRun(r *unevenRun, kind workload.EndKind) {
	if r.over {
		return
	}
	r.over = true
	w.busy -= r.cpu
	s := r.server
	delete(s.running, r.key)
	s.number++
	s.ended = append(s.ended, RunEnd{Number: s.number, Task: r.key.task, Run: r.key.run, Kind: kind})
	w.settle()
	id := r.key.task.Submission
	if sub := w.subs[id]; w.core.jobs[id] == nil && !sub.ended {
		sub.ended = true
		result := w.results[sub.kind.queue.Name]
		result.took = append(result.took, w.now.Sub(sub.arrived))
		if !w.now.After(sub.target) {
			result.inTime++
		}
	}
}

// late returns the part of a kind's submissions that did not end in time.
func (r *unevenResult) late() float64 {
	return 1 - float64(r.inTime)/float64(max(r.submissions, 1))
}

func (r *unevenResult) String() string {
	return fmt.Sprintf("%d submissions, %.1f%% in time, %d unfinished, first start %v, took %v (p50), %d runs, %d far, %d on fast servers",
		r.submissions, 100*(1-r.late()), r.unfinished, middle(r.firstStart).Round(time.Millisecond), middle(r.took).Round(time.Millisecond), r.runs, r.far, r.fast)
}

func middle(all []time.Duration) time.Duration {
	if len(all) == 0 {
		return 0
	}
	slices.Sort(all)
	return all[len(all)/2]
}

type endQueue []*unevenRun

func (q endQueue) Len() int           { return len(q) }
func (q endQueue) Less(i, j int) bool { return q[i].end.Before(q[j].end) }
func (q endQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *endQueue) Push(x any)        { *q = append(*q, x.(*unevenRun)) }
func (q *endQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

// mixedSpeedKinds are long, middle and short work for 70 servers of 16 cores with
// mixedSpeeds. Three of 100 tasks are stragglers.
func mixedSpeedKinds() []workKind {
	return []workKind{
		{queue: routing.Queue{Name: "long", Priority: 1, TargetLatency: 1200 * time.Millisecond}, perSecond: 0.83, steps: 1.2, tasks: 16, runTime: 5300 * time.Millisecond, cpu: 4500, stragglerShare: 0.03},
		{queue: routing.Queue{Name: "middle", Priority: 2, TargetLatency: 3 * time.Second}, perSecond: 1.73, steps: 1.5, tasks: 25, runTime: 2300 * time.Millisecond, cpu: 1700, stragglerShare: 0.03},
		{queue: routing.Queue{Name: "short", Priority: 0, TargetLatency: 400 * time.Millisecond}, perSecond: 24, steps: 1, tasks: 3, runTime: 540 * time.Millisecond, cpu: 2500, stragglerShare: 0.03},
	}
}

var server16Cores = workload.Resources{CPU: 16000, MemoryMB: 32000}

func mixedSpeeds(server int, _ time.Duration) float64 { return [...]float64{0.7, 0.7, 1.7}[server%3] }
