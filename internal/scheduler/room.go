package scheduler

import (
	"fmt"
	"slices"
	"time"

	"github.com/currantwinch/currantwinch/workload"
)

// A submission belongs to a shard by its ID and a rack by the number of its servers, so
// that a shard may lack what a submission needs while another one has it at rest. The
// owner of a shard in which a submission waits with nothing running asks the owners of
// the service's other shards, at the moment of use, whether they have room for it.

const (
	// stuckTime is how long a submission waits with nothing running before other shards
	// are asked. It doubles with each handover after the first freeHandovers, up to
	// maxStuckTime, so that a submission that no shard can run is not passed on for ever.
	stuckTime     = time.Second
	maxStuckTime  = 4 * time.Second
	freeHandovers = 3
	// roomInterval is the time between two questions.
	roomInterval = 500 * time.Millisecond
	// maxNeedsPerQuestion bounds the different needs that one question names, and
	// maxHandoversPerAnswer the submissions that leave on its answers.
	maxNeedsPerQuestion   = 32
	maxHandoversPerAnswer = 32
	// maxStuckJobs bounds the submissions that are looked at for one question.
	maxStuckJobs = 64
	// spareFactor: another shard takes a submission because of load only if it has room
	// for so many times its waiting tasks. Some of it is taken before they arrive.
	spareFactor = 2
	// silentGrace is how long a server may be silent before it no longer counts as one
	// that can run a task later.
	silentGrace = 2 * time.Second
)

// Need is what the waiting tasks of one step need.
type Need struct {
	Label        string             `json:"label,omitempty"`
	Task         workload.Resources `json:"task"`
	Count        int                `json:"count"`
	Gang         bool               `json:"gang,omitempty"`
	MaxPerServer int                `json:"maxPerServer,omitempty"`
}

// Fit says whether a shard can run what a submission needs.
type Fit uint8

const (
	// FitNever: no servers of the shard could, if they were empty.
	FitNever Fit = iota
	// FitLater: its servers could, but too few have enough free capacity.
	FitLater
	// FitNow: they have free capacity for it, spareFactor times over.
	FitNow
)

// RoomQuestion asks an owner whether its shard has room for submissions of a service.
type RoomQuestion struct {
	Service string `json:"service"`
	// Needs holds, for each submission, the needs of its waiting steps.
	Needs [][]Need `json:"needs"`
}

// RoomAnswer answers a RoomQuestion.
type RoomAnswer struct {
	Partition int `json:"partition"`
	// Fits holds one entry for each submission of the question.
	Fits []Fit `json:"fits"`
	// FreeCPU is the free CPU of the shard's servers, in thousandths of a core.
	FreeCPU int64 `json:"freeCPU"`
}

// handoverReason says why a submission is handed over.
type handoverReason string

const (
	// handoverIncapable: no servers of the shard can run it.
	handoverIncapable handoverReason = "incapable"
	// handoverLoad: the shard is full, and another one has room.
	handoverLoad handoverReason = "load"
)

// Room answers another owner's question.
func (c *Core) Room(q RoomQuestion) RoomAnswer {
	a := RoomAnswer{Fits: make([]Fit, len(q.Needs))}
	for i, needs := range q.Needs {
		a.Fits[i] = c.fit(q.Service, needs, nil)
	}
	for _, s := range c.servers {
		if s.info.Service == q.Service && s.stored && s.usable(c.now) {
			a.FreeCPU += max(s.free.Minus(c.heldForGangs[s]).CPU, 0)
		}
	}
	return a
}

// fit returns whether this shard can run the needs of a submission. Own holds the steps
// that have these needs, if the submission is this shard's; nil otherwise.
func (c *Core) fit(service string, needs []Need, own []*step) Fit {
	worst := FitNow
	for i, n := range needs {
		var st *step
		if own != nil {
			st = own[i]
		}
		now, later := 0, 0
		for _, s := range c.servers {
			if s.info.Service != service || !s.hasLabel(n.Label) || st != nil && st.authorization.denied[s.instanceKey()] {
				continue
			}
			if s.capable(c.now) {
				later += n.slots(s.info.Capacity)
			}
			if s.stored && s.trial == nil && s.usable(c.now) {
				now += n.slots(c.freeFor(st, s))
			}
		}
		worst = min(worst, n.fit(now, later))
	}
	return worst
}

// freeFor returns the free capacity of a server for a step, which is nil if it belongs to
// another shard. What is held for gangs may be held for that very step.
func (c *Core) freeFor(st *step, s *server) workload.Resources {
	if st != nil && st.spec.Gang {
		return s.free
	}
	return s.free.Minus(c.heldForGangs[s])
}

// fit judges a need by how many of its tasks fit now, and on empty servers.
func (n Need) fit(now, later int) Fit {
	enough := 1
	if n.Gang {
		enough = n.Count
	}
	switch {
	case now >= spareFactor*n.Count:
		return FitNow
	case later >= enough:
		return FitLater
	}
	return FitNever
}

// slots returns how many tasks fit on one server with the given capacity, as far as
// that matters.
func (n Need) slots(capacity workload.Resources) int {
	limit := spareFactor * n.Count
	if n.MaxPerServer > 0 {
		limit = min(limit, n.MaxPerServer)
	}
	return n.Task.FitCount(capacity, limit)
}

// capable reports whether the server may run tasks now or soon, once others have ended.
func (s *server) capable(now time.Time) bool {
	silent := !s.unresponsiveSince.IsZero() && now.Sub(s.unresponsiveSince) > silentGrace
	return s.listed && !s.rejected && !silent && !s.info.Draining && s.entryCurrent()
}

// stuckJob is a job that waits with nothing running.
type stuckJob struct {
	job   *job
	needs []Need
	// own is whether this shard can run it.
	own Fit
}

// SetSharded sets the function that reports whether a service has several shards.
func (c *Core) SetSharded(sharded func(service string) bool) { c.sharded = sharded }

// seekRoom asks the service's other shards about the jobs that this one cannot run, at
// intervals of roomInterval.
func (c *Core) seekRoom() {
	if !c.recovered || !c.listRead || c.config == nil || c.sharded == nil || c.roomAsked || c.now.Sub(c.roomAskedAt) < roomInterval || len(c.departures) >= maxDepartures {
		return
	}
	c.roomAskedAt = c.now
	c.roomCursor += maxStuckJobs
	c.markStuck()
	byService := make(map[string]*RoomQuestion)
	asked := make(map[string]bool)
	for _, j := range c.stuckJobs() {
		s, ok := c.assess(j)
		if !ok || s.own == FitNow {
			continue
		}
		q := byService[j.sub.Service]
		if q == nil {
			q = &RoomQuestion{Service: j.sub.Service}
			byService[j.sub.Service] = q
		}
		if key := j.sub.Service + needsKey(s.needs); !asked[key] && len(q.Needs) < maxNeedsPerQuestion {
			asked[key] = true
			q.Needs = append(q.Needs, s.needs)
		}
	}
	for _, q := range byService {
		c.roomAsked = true
		c.emit(AskRoom{*q})
		return
	}
}

// markStuck notes since when each job with waiting tasks has had nothing running.
func (c *Core) markStuck() {
	for _, st := range c.queued {
		j := st.job()
		switch {
		case j.live > 0 || j.ending != "":
			j.stuckSince = time.Time{}
		case j.stuckSince.IsZero():
			j.stuckSince = c.now
		}
	}
}

// stuckJobs lists the jobs of sharded services that have waited long enough, in placement
// order. Where there are more than maxStuckJobs, each question is about others.
func (c *Core) stuckJobs() []*job {
	var out []*job
	seen := make(map[*job]bool)
	for _, st := range c.queued {
		j := st.job()
		if seen[j] || j.ending != "" || !c.sharded(j.sub.Service) || j.stuckSince.IsZero() || c.now.Sub(j.stuckSince) < j.stuckTime() || j.handoverRejected || !c.mayStart(st) {
			continue
		}
		seen[j] = true
		out = append(out, j)
	}
	if len(out) <= maxStuckJobs {
		return out
	}
	c.roomCursor %= len(out)
	return append(out[c.roomCursor:len(out):len(out)], out[:c.roomCursor]...)[:maxStuckJobs]
}

// stuckTime returns how long the job waits before other shards are asked.
func (j *job) stuckTime() time.Duration {
	return min(stuckTime<<max(j.handoverNumber()-freeHandovers, 0), maxStuckTime)
}

// assess returns the needs of a job's waiting steps and whether this shard can run them.
// It reports false for a job that waits for something else: a trial, or tickets for
// capacity that is reserved.
func (c *Core) assess(j *job) (stuckJob, bool) {
	s := stuckJob{job: j}
	var steps []*step
	for _, o := range j.occurrences {
		for _, st := range o.steps {
			if !st.ready() || st.unplacedTasks() == 0 {
				continue
			}
			if st.trial != nil || st.reserved != nil {
				return s, false
			}
			steps = append(steps, st)
			s.needs = append(s.needs, needOf(st))
		}
	}
	if len(steps) == 0 || j.live > 0 {
		return s, false
	}
	s.own = c.fit(j.sub.Service, s.needs, steps)
	return s, true
}

func needOf(st *step) Need {
	return Need{Label: st.spec.Label, Task: st.spec.Reserved(), Count: st.unplacedTasks(), Gang: st.spec.Gang, MaxPerServer: st.spec.MaxPerServer}
}

func needsKey(needs []Need) string { return fmt.Sprint(needs) }

// RoomAnswered handles the answers to a question: it hands over the jobs for which
// another shard has room. One that this shard can run later goes only where there is
// room now.
func (c *Core) RoomAnswered(q RoomQuestion, answers []RoomAnswer) {
	c.roomAsked = false
	answers = slices.DeleteFunc(answers, func(a RoomAnswer) bool { return len(a.Fits) != len(q.Needs) })
	index := make(map[string]int, len(q.Needs))
	for i, needs := range q.Needs {
		index[needsKey(needs)] = i
	}
	left := maxHandoversPerAnswer
	for _, j := range c.stuckJobs() {
		if left == 0 || len(c.departures) >= maxDepartures {
			return
		}
		s, ok := c.assess(j)
		if !ok || s.own == FitNow || j.sub.Service != q.Service {
			continue
		}
		i, known := index[needsKey(s.needs)]
		if !known {
			continue
		}
		if to, reason := chooseShard(s, i, answers); to != nil {
			to.FreeCPU -= spareFactor * s.cpu()
			c.handOver(j, to.Partition, reason)
			left--
		}
	}
}

// cpu returns the CPU of the waiting tasks, in thousandths of a core.
func (s stuckJob) cpu() int64 {
	var sum int64
	for _, n := range s.needs {
		sum += int64(n.Count) * n.Task.CPU
	}
	return sum
}

// chooseShard returns the answer of the shard that should run the job, or nil: among
// those that can, the one with the most free CPU.
func chooseShard(s stuckJob, need int, answers []RoomAnswer) (*RoomAnswer, handoverReason) {
	var now, later *RoomAnswer
	for i := range answers {
		a := &answers[i]
		if a.Fits[need] == FitNow && a.FreeCPU >= spareFactor*s.cpu() && (now == nil || a.FreeCPU > now.FreeCPU) {
			now = a
		}
		if a.Fits[need] >= FitLater && (later == nil || a.FreeCPU > later.FreeCPU) {
			later = a
		}
	}
	switch {
	case s.own == FitNever && now != nil:
		return now, handoverIncapable
	case s.own == FitNever && later != nil:
		return later, handoverIncapable
	case now != nil:
		return now, handoverLoad
	}
	return nil, ""
}
