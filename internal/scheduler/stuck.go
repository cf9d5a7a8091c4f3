package scheduler

import (
	"fmt"
	"slices"
	"time"
)

// A submission belongs to a shard by its ID and a rack by the number of its servers, so
// that a shard may lack what a submission needs while another one has it at rest. The
// owner of a shard in which a submission waits with nothing running asks the owners of
// the service's other shards, at the moment of use, whether they have room for it.

const (
	// stuckTime is how long a submission waits with nothing running before other shards
	// are asked. After freeHandovers it doubles with each handover, maxStuckDoublings
	// times, so that a submission is passed on rarely where policies deny the servers of
	// each shard in turn.
	stuckTime         = time.Second
	freeHandovers     = 3
	maxStuckDoublings = 2
	// roomInterval is the time between two questions.
	roomInterval = 500 * time.Millisecond
	// maxNeedsPerQuestion bounds the different needs that one question names, and
	// maxHandoversPerAnswer the submissions that leave on its answers.
	maxNeedsPerQuestion   = 32
	maxHandoversPerAnswer = 32
	// maxStuckJobs bounds the submissions that are looked at for one question.
	maxStuckJobs = 64
)

// handoverReason says why a submission is handed over.
type handoverReason string

const (
	// handoverIncapable: no servers of the shard can run it.
	handoverIncapable handoverReason = "incapable"
	// handoverLoad: the shard is full, and another one has room.
	handoverLoad handoverReason = "load"
	// handoverSplit: some of its tasks can run here, and all of them in another shard.
	handoverSplit handoverReason = "split"
	// handoverRerouted: the queue leads to another service.
	handoverRerouted handoverReason = "rerouted"
)

// stuckJob is a job that may leave for another shard: nothing of it runs, or it is split
// (relocate.go).
type stuckJob struct {
	job *job
	// needs are those of the steps that another shard would have to run.
	needs []Need
	// own is whether this shard can run them; FitLater for a split job.
	own Fit
}

// SetSharded sets the function that reports whether a service has several shards.
func (c *Core) SetSharded(sharded func(service string) bool) { c.sharded = sharded }

// seekRoom asks the service's other shards about the jobs that this one cannot run, at
// intervals of roomInterval.
func (c *Core) seekRoom() {
	if !c.knowsOwnRoom() || c.roomAsked || c.now.Sub(c.roomAskedAt) < roomInterval || len(c.departures) >= maxDepartures {
		return
	}
	c.roomAskedAt = c.now
	c.roomCursor += maxStuckJobs
	c.markStuck()
	questions := make(roomQuestions)
	for _, j := range c.stuckJobs() {
		if s, ok := c.assess(j); ok && s.own != FitNow {
			questions.add(s)
		}
	}
	for _, j := range c.splitJobs() {
		if s, ok := c.assessSplit(j); ok {
			questions.add(s)
		}
	}
	for _, q := range questions {
		// One service at a time; the order of a map is random.
		c.roomAsked = true
		c.emit(AskRoom{*q})
		return
	}
}

// roomQuestions holds a question for each service.
type roomQuestions map[string]*RoomQuestion

// add adds the needs of a job, unless the question names them already or is full.
func (r roomQuestions) add(s stuckJob) {
	service := s.job.sub.Service
	q := r[service]
	if q == nil {
		q = &RoomQuestion{Service: service}
		r[service] = q
	}
	same := func(needs []Need) bool { return slices.Equal(needs, s.needs) }
	if len(q.Needs) < maxNeedsPerQuestion && !slices.ContainsFunc(q.Needs, same) {
		q.Needs = append(q.Needs, s.needs)
	}
}

// knowsOwnRoom reports whether this owner knows what its own shard can run.
func (c *Core) knowsOwnRoom() bool {
	return c.recovered && c.listRead && c.config != nil && c.sharded != nil
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
		if seen[j] || j.ending != "" || !c.sharded(j.sub.Service) || j.stuckSince.IsZero() || c.now.Sub(j.stuckSince) < j.stuckTime() || j.handoverRejected || !c.mayStartOrLeave(j) {
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

// stuckTime returns how long the job waits before other shards are asked. One that was stopped to be
// handed over has waited before.
func (j *job) stuckTime() time.Duration {
	if j.relocation.underWay {
		return 0
	}
	return stuckTime << min(max(j.handoverNumber()-freeHandovers, 0), maxStuckDoublings)
}

// assess returns the needs of a job's waiting steps and whether this shard can run them.
// It reports false for a job that waits for something else: a trial, or tickets for
// capacity that is reserved.
func (c *Core) assess(j *job) (stuckJob, bool) {
	s := stuckJob{job: j}
	var steps []*step
	for _, st := range j.openSteps() {
		if st.unplacedTasks() == 0 {
			continue
		}
		if st.trial != nil || st.reserved != nil {
			return s, false
		}
		need := needOf(st)
		need.Exact = j.relocation.underWay
		steps = append(steps, st)
		s.needs = append(s.needs, need)
	}
	if len(steps) == 0 || j.live > 0 {
		return s, false
	}
	if j.relocation.underWay {
		// Part of it can run here, so that it leaves only for room that is free now.
		s.own = FitLater
		return s, true
	}
	s.own = c.fit(j.sub.Service, s.needs, steps)
	return s, true
}

func needOf(st *step) Need {
	return Need{Label: st.spec.Label, Task: st.spec.Reserved(), Count: st.unplacedTasks(), Gang: st.spec.Gang, MaxPerServer: st.spec.MaxPerServer}
}

func needsKey(needs []Need) string { return fmt.Sprint(needs) }

// RoomAnswered handles the answers to a question: it hands over the jobs for which
// another shard has room, and stops split jobs that can be handed over then. One that this
// shard can run later goes only where there is room now.
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
			break
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
			to.FreeCPU -= s.wantedCPU()
			if j.relocation.underWay {
				reason = handoverSplit
			}
			c.handOver(j, to.Partition, j.sub.Service, reason)
			left--
		}
	}
	c.relocate(q, index, answers)
}

// wantedCPU returns the free CPU that another shard must have now, in thousandths of a core.
func (s stuckJob) wantedCPU() int64 {
	var sum int64
	for _, n := range s.needs {
		sum += int64(n.wanted()) * n.Task.CPU
	}
	return sum
}

// chooseShard returns the answer of the shard that should run the job, or nil: among
// those that can, the one with the most free CPU.
func chooseShard(s stuckJob, need int, answers []RoomAnswer) (*RoomAnswer, handoverReason) {
	var now, later *RoomAnswer
	for i := range answers {
		a := &answers[i]
		if a.Fits[need] == FitNow && a.FreeCPU >= s.wantedCPU() && (now == nil || a.FreeCPU > now.FreeCPU) {
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
