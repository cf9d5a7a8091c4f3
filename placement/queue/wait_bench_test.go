package queue_test

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"sort"
	"testing"
	"time"

	"github.com/currantwinch/currantwinch/cluster"
	"github.com/currantwinch/currantwinch/document"
	"github.com/currantwinch/currantwinch/placement/book"
	"github.com/currantwinch/currantwinch/placement/pipeline"
	"github.com/currantwinch/currantwinch/placement/preempt"
	"github.com/currantwinch/currantwinch/placement/queue"
	"github.com/currantwinch/currantwinch/placement/quota"
)

const (
	waitWorkers        = 100
	waitTeams          = 20
	waitDay            = 4 * time.Hour
	gangDay            = 90 * time.Minute
	nominationInterval = 10 * time.Second
)

// arrival is one job of the simulated day.
type arrival struct {
	at    time.Duration
	job   queue.Job
	class document.Class
	run   time.Duration
	left  int
}

// end is the scheduled end of a running task.
type end struct {
	at        time.Duration
	id        book.ID
	job       *arrival
	worker    string
	cancelled bool
}

type ends []*end

func (h ends) Len() int           { return len(h) }
func (h ends) Less(i, j int) bool { return h[i].at < h[j].at }
func (h ends) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *ends) Push(x any)        { *h = append(*h, x.(*end)) }
func (h *ends) Pop() any {
	old := *h
	x := old[len(old)-1]
	*h = old[:len(old)-1]
	return x
}

// drawDay draws jobs that fill the cell to about its capacity, with a peak in
// the middle of the day. One team asks for about ten times as much as any other.
func drawDay(r *rand.Rand, day time.Duration, gangSize int) []*arrival {
	var out []*arrival
	for at := time.Duration(0); at < day; {
		rate := 1.0
		if at > day/2 && at < day*5/8 {
			rate = 1.8
		}
		at += time.Duration(r.ExpFloat64() * float64(2400*time.Millisecond) / rate)
		a := &arrival{at: at, class: document.ClassBatch, run: time.Duration(math.Exp(5.5+1.2*r.NormFloat64())) * time.Second}
		a.run = min(a.run, 2*time.Hour)
		team := r.IntN(waitTeams + 10)
		if team >= waitTeams {
			team = 0
		}
		cpu := int64(500) << r.IntN(4)
		a.job = queue.Job{
			ID: fmt.Sprint(len(out)), Team: fmt.Sprint(team), Priority: document.PriorityNormal, AcceptedOffset: uint64(len(out)),
			Shape: queue.Shape{Resources: cluster.Resources{CPU: cpu, Memory: cpu << 21}}, Tasks: 1 + r.IntN(12),
		}
		switch x := r.IntN(100); {
		case x < 3:
			a.job.Priority = document.PriorityUrgent
			a.job.Tasks, a.run = 1+r.IntN(4), min(a.run, 5*time.Minute)
		case x < 10:
			a.class = document.ClassGang
			a.job.Tasks = gangSize
			a.run = min(a.run, 20*time.Minute)
		case x < 14:
			a.class = document.ClassService
			a.job.Priority, a.run, a.job.Tasks = document.PriorityHigh, 2*time.Hour, 1+r.IntN(3)
		}
		a.left = a.job.Tasks
		out = append(out, a)
	}
	return out
}

// waitCell places a day's jobs by one policy and records how long they waited.
type waitCell struct {
	now       time.Duration
	book      *book.Book
	index     *pipeline.Index
	pipe      *pipeline.Pipeline
	ledger    *quota.Ledger
	queue     *queue.Queue
	jobs      map[string]*arrival
	ends      ends
	live      map[book.ID]*end
	next      int
	waits     map[string][]float64
	preempted float64
	// nominations are those of the first job that waits for capacity.
	nominations []book.Nomination
	nominatedAt time.Duration
}

func newWaitCell() *waitCell {
	c := &waitCell{
		book: book.New(), index: pipeline.NewIndex(1), jobs: make(map[string]*arrival),
		live: make(map[book.ID]*end), waits: make(map[string][]float64),
	}
	capacity := cluster.Resources{CPU: 32000, Memory: 64 << 30}
	for i := range waitWorkers {
		name := fmt.Sprint("w", i)
		_ = c.book.PutWorker(name, cluster.Location{Rack: fmt.Sprint(i / 8)}, capacity, "")
		c.index.Put(pipeline.Node{Name: name, Capacity: capacity, Free: capacity})
	}
	c.pipe, _ = pipeline.New(c.index, pipeline.DefaultPolicies(), 1)
	c.ledger = quota.NewLedger(cluster.Resources{CPU: 32000 * waitWorkers, Memory: waitWorkers * 64 << 30})
	c.queue = queue.New(c.ledger)
	return c
}

func (c *waitCell) clock() time.Time { return now.Add(c.now) }

func (c *waitCell) refreshIndex(worker string) {
	w, _ := c.book.Worker(worker)
	c.index.Put(pipeline.Node{Name: w.Name, Capacity: w.Capacity, Free: w.Free(), Location: w.Location})
}

// start runs one task of a job on a worker if the worker has the capacity.
func (c *waitCell) start(a *arrival, worker string) bool {
	c.next++
	id := book.ID{Job: a.job.ID, Index: a.left - 1, Attempt: c.next}
	e := book.Entry{ID: id, Worker: worker, Resources: a.job.Shape.Resources, Team: a.job.Team, Class: a.class, Ends: c.clock().Add(a.run)}
	if _, err := c.book.Reserve(e); err != nil {
		return false
	}
	_ = c.book.Commit(id, time.Time{})
	c.refreshIndex(worker)
	x := &end{at: c.now + a.run, id: id, job: a, worker: worker}
	c.live[id] = x
	heap.Push(&c.ends, x)
	c.ledger.Charge(a.job.Team, a.job.Shape.Resources)
	c.queue.UpdateRank(a.job.Team)
	a.left--
	return true
}

func (c *waitCell) finish(x *end) {
	c.release(x)
	if w, _ := c.book.Worker(x.worker); true {
		c.queue.WakeForCapacity(w.Free(), "", "")
	}
	for _, m := range c.nominations {
		if m.Worker == x.worker {
			c.queue.WakeJob(m.Job)
		}
	}
}

// release releases a task's resources without unblocking any job.
func (c *waitCell) release(x *end) {
	delete(c.live, x.id)
	x.cancelled = true
	c.book.Release(x.id)
	c.refreshIndex(x.worker)
	r := x.job.job.Shape.Resources
	c.ledger.Charge(x.job.job.Team, cluster.Resources{}.Sub(r))
	c.queue.UpdateRank(x.job.job.Team)
}

// placed records a job's wait under its class. Batch jobs of the team that asks
// for ten times as much as any other are recorded separately.
func (c *waitCell) placed(a *arrival) {
	key := string(a.class)
	if a.job.Priority == document.PriorityUrgent {
		key = "urgent"
	}
	if key == "batch" && a.job.Team == "0" {
		key = "hog"
	}
	c.waits[key] = append(c.waits[key], (c.now - a.at).Seconds())
}

// run replays a day; schedule is called after each event.
func (c *waitCell) run(day []*arrival, schedule func()) {
	for i := 0; i < len(day); {
		if len(c.ends) > 0 && c.ends[0].at <= day[i].at {
			x := heap.Pop(&c.ends).(*end)
			if c.now = x.at; !x.cancelled {
				c.finish(x)
			}
		} else {
			c.now = day[i].at
			c.jobs[day[i].job.ID] = day[i]
			c.queue.Put(day[i].job, c.clock())
			i++
		}
		schedule()
	}
}

// byQueue is the policy of the queue.
func (c *waitCell) byQueue() {
	for {
		j, ok := c.queue.Next()
		if !ok {
			break
		}
		a := c.jobs[j.ID]
		if !c.tryJob(a) {
			c.queue.Block(j.ID, queue.InsufficientCapacity, c.clock(), c.clock())
			continue
		}
		j.Tasks = a.left
		c.queue.Put(j, c.clock())
	}
	c.renominate()
}

// tryJob places one task of a job, or all tasks of a gang.
func (c *waitCell) tryJob(a *arrival) bool {
	count := 1
	if a.class == document.ClassGang {
		count = a.left
		r, n := a.job.Shape.Resources, int64(count)
		all := cluster.Resources{CPU: r.CPU * n, Memory: r.Memory * n}
		if !c.index.HasCapacity(&pipeline.Demand{Resources: r}, all, 1) && !c.isHead(a) {
			return false
		}
	}
	before := a.left
	for range count {
		if !c.tryTask(a) {
			c.undo(a, before)
			return false
		}
	}
	if a.left == 0 {
		c.placed(a)
	}
	return true
}

// isHead reports whether capacity is nominated for a job.
func (c *waitCell) isHead(a *arrival) bool {
	return len(c.nominations) > 0 && c.nominations[0].Job == a.job.ID
}

func (c *waitCell) tryTask(a *arrival) bool {
	if c.isHead(a) && a.left <= len(c.nominations) && c.start(a, c.nominations[a.left-1].Worker) {
		return true
	}
	d := &pipeline.Demand{Class: a.class, Resources: a.job.Shape.Resources}
	if choice, ok := c.pipe.Decide(d); ok && c.start(a, choice.Worker) {
		return true
	}
	if choice, ok := c.pipe.DecideByScan(d); ok && c.start(a, choice.Worker) {
		return true
	}
	for _, m := range c.nominations {
		endsInTime := !c.clock().Add(a.run).After(m.ExpectedStart)
		if a.class == document.ClassBatch && endsInTime && c.start(a, m.Worker) {
			return true
		}
	}
	return a.job.Priority == document.PriorityUrgent && c.preemptFor(a)
}

// undo releases the tasks of a gang of which not all fit.
func (c *waitCell) undo(a *arrival, before int) {
	for id, x := range c.live {
		if id.Job == a.job.ID && a.left < before {
			a.left++
			c.release(x)
		}
	}
}

// preemptFor preempts the cheapest victims. They are queued again with their
// remaining run time.
func (c *waitCell) preemptFor(a *arrival) bool {
	byWorker := make(map[string][]preempt.Candidate)
	for id, x := range c.live {
		byWorker[x.worker] = append(byWorker[x.worker], preempt.Candidate{
			ID: id, Resources: x.job.job.Shape.Resources, Class: x.job.class, Priority: x.job.job.Priority,
			Checkpointable: true, Borrows: true, SinceCheckpoint: x.job.run,
		})
	}
	best, at := preempt.Victims{Cost: 1 << 62}, ""
	for w, candidates := range byWorker {
		sort.Slice(candidates, func(i, j int) bool { return candidates[i].ID.Attempt < candidates[j].ID.Attempt })
		account, _ := c.book.Worker(w)
		v, ok := preempt.Choose(a.job.Shape.Resources, account.Free(), candidates, preempt.Preemptor{Priority: document.PriorityUrgent})
		if ok && (v.Cost < best.Cost || v.Cost == best.Cost && w < at) {
			best, at = v, w
		}
	}
	if at == "" {
		return false
	}
	for _, id := range best.IDs {
		x := c.live[id]
		rest := &arrival{at: c.now, job: x.job.job, class: x.job.class, run: x.at - c.now, left: 1}
		rest.job.ID, rest.job.Tasks = fmt.Sprint("again", c.next), 1
		c.next++
		c.finish(x)
		c.jobs[rest.job.ID] = rest
		c.queue.Put(rest.job, c.clock())
		c.preempted++
	}
	return c.start(a, at)
}

// renominate nominates the next free capacity for the first job that waits.
func (c *waitCell) renominate() {
	if c.now-c.nominatedAt < nominationInterval {
		return
	}
	c.nominatedAt = c.now
	for _, m := range c.nominations {
		c.book.RemoveNomination(m.Worker, m.Job, m.Index)
		c.refreshIndex(m.Worker)
	}
	c.nominations = c.nominations[:0]
	heads := c.queue.Heads(1)
	if len(heads) == 0 {
		return
	}
	a := c.jobs[heads[0].ID]
	c.nominations = c.slots(a)
	for _, m := range c.nominations {
		_ = c.book.Nominate(m)
		c.refreshIndex(m.Worker)
	}
}

// slots returns where and when a job's tasks will have capacity.
func (c *waitCell) slots(a *arrival) []book.Nomination {
	byWorker := make(map[string][]*end)
	for _, x := range c.live {
		byWorker[x.worker] = append(byWorker[x.worker], x)
	}
	var all []book.Nomination
	need := a.job.Shape.Resources
	for i := range waitWorkers {
		name := fmt.Sprint("w", i)
		w, _ := c.book.Worker(name)
		free := w.Free()
		list := byWorker[name]
		sort.Slice(list, func(i, j int) bool { return list[i].at < list[j].at })
		for k := -1; k < len(list); k++ {
			by := c.now
			if k >= 0 {
				free = free.Add(list[k].job.job.Shape.Resources)
				by = list[k].at
			}
			for need.Fits(free) {
				free = free.Sub(need)
				all = append(all, book.Nomination{Worker: name, Job: a.job.ID, Team: a.job.Team, Resources: need, ExpectedStart: now.Add(by)})
			}
		}
	}
	sort.SliceStable(all, func(i, j int) bool { return all[i].ExpectedStart.Before(all[j].ExpectedStart) })
	all = all[:min(len(all), a.left)]
	for i := range all {
		all[i].Index = i
	}
	return all
}

// fifo places jobs strictly in order of arrival on the first worker that fits.
func (c *waitCell) fifo(day []*arrival) func() {
	at := 0
	return func() {
		for ; at < len(day) && c.jobs[day[at].job.ID] != nil; at++ {
			if !c.firstFit(day[at]) {
				return
			}
		}
	}
}

func (c *waitCell) firstFit(a *arrival) bool {
	before := a.left
	for a.left > 0 {
		placed := false
		for i := 0; i < waitWorkers && !placed; i++ {
			placed = c.start(a, fmt.Sprint("w", i))
		}
		if !placed {
			if a.class == document.ClassGang {
				c.undo(a, before)
			}
			return false
		}
	}
	c.placed(a)
	return true
}

func percentile(v []float64, p int) float64 {
	if len(v) == 0 {
		return 0
	}
	sort.Float64s(v)
	return v[(len(v)-1)*p/100]
}

// BenchmarkWait replays the same day by the queue's policy and by strict first
// come, first served with first fit, and reports when a job's last task was
// placed.
func BenchmarkWait(b *testing.B) {
	for range b.N {
		for _, way := range []string{"queue", "fifo"} {
			all := make(map[string][]float64)
			for seed := range uint64(3) {
				c := newWaitCell()
				day := drawDay(rand.New(rand.NewPCG(seed, 11)), waitDay, 8)
				schedule := c.byQueue
				if way == "fifo" {
					schedule = c.fifo(day)
				}
				c.run(day, schedule)
				for k, v := range c.waits {
					all[k] = append(all[k], v...)
				}
			}
			for _, k := range []string{"urgent", "service", "batch", "gang", "hog"} {
				b.ReportMetric(percentile(all[k], 50), way+"-"+k+"-p50-s")
				b.ReportMetric(percentile(all[k], 95), way+"-"+k+"-p95-s")
				b.ReportMetric(float64(len(all[k])), way+"-"+k+"-jobs")
			}
		}
	}
}

// BenchmarkGangWait reports the median and the 95th percentile of a gang's wait
// by the size of the gangs.
func BenchmarkGangWait(b *testing.B) {
	for _, size := range []int{2, 8, 32, 128, 256} {
		b.Run(fmt.Sprint("tasks=", size), func(b *testing.B) {
			for range b.N {
				for _, way := range []string{"queue", "fifo"} {
					c := newWaitCell()
					day := drawDay(rand.New(rand.NewPCG(1, 11)), gangDay, size)
					for _, a := range day {
						if a.class == document.ClassGang {
							a.job.Shape.Resources = cluster.Resources{CPU: 500, Memory: 1 << 30}
							a.run = min(a.run, 128*20*time.Minute/time.Duration(max(size, 128)))
						}
					}
					schedule := c.byQueue
					if way == "fifo" {
						schedule = c.fifo(day)
					}
					c.run(day, schedule)
					b.ReportMetric(percentile(c.waits["gang"], 50), way+"-p50-s")
					b.ReportMetric(percentile(c.waits["gang"], 95), way+"-p95-s")
					b.ReportMetric(float64(len(c.waits["gang"])), way+"-gangs")
				}
			}
		})
	}
}
