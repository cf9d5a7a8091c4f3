package scheduler

import (
	"time"

	"github.com/currantwinch/currantwinch/internal/events"
	"github.com/currantwinch/currantwinch/partition"
	"github.com/currantwinch/currantwinch/workload"
)

func msDuration(ms int64) time.Duration { return time.Duration(ms) * time.Millisecond }

func (c *Core) answer(reply func(Reply), r Reply) {
	c.act(Answer{Reply: reply, Answer: r})
}

// Submit accepts a submission and replies once it is stored. A submission that
// was accepted before is accepted again without effect. A new one is turned away
// if the oldest write has waited too long for the log.
func (c *Core) Submit(sub *workload.Submission, behind time.Duration, reply func(Reply)) {
	if _, ended := c.finals[sub.ID]; ended {
		c.answer(reply, Reply{})
		return
	}
	if j := c.jobs[sub.ID]; j != nil {
		if j.stored {
			c.answer(reply, Reply{})
			return
		}
		j.waiting = append(j.waiting, reply)
		return
	}
	if r, refused := c.refuse(sub, behind); refused {
		c.metric.refused(r.Reason)
		c.log.Log(events.SubmissionRefused, "id", sub.ID, "queue", sub.Queue, "reason", r.Reason, "retryAfterMS", r.RetryAfterMS, "jobs", len(c.jobs))
		c.answer(reply, r)
		return
	}
	j := newJob(sub, c.now)
	j.waiting = []func(Reply){reply}
	c.jobs[sub.ID] = j
	if q, ok := c.config.Queue(sub.Queue); ok {
		j.queue = *q
	}
	c.write([]partition.Record{recordOf(keyAccepted, sub.ID, sub)}, func() { c.accepted(j) })
	c.admit(j)
}

// accepted is called once a submission is in the log.
func (c *Core) accepted(j *job) {
	j.stored = true
	c.metric.accepted.Inc()
	c.metric.stored.Update(c.now.Sub(j.accepted).Seconds())
	c.log.Log(events.SubmissionAccepted, "id", j.sub.ID, "queue", j.sub.Queue, "steps", len(j.sub.Steps), "took", c.now.Sub(j.accepted).Milliseconds())
	for _, reply := range j.waiting {
		c.answer(reply, Reply{})
	}
	j.waiting = nil
	c.place = true
}

// admit queues the steps of a job whose time has come.
func (c *Core) admit(j *job) {
	if c.runs[j.sub.Queue] == nil {
		c.runs[j.sub.Queue] = &runTimes{}
	}
	j.runs = c.runs[j.sub.Queue]
	if c.config != nil {
		if q, ok := c.config.Queue(j.sub.Queue); ok {
			j.queue = *q
		}
	}
	for _, o := range j.occurrences {
		if o.open == 0 {
			continue
		}
		if due := j.sub.Due(o.index); due > c.wall {
			c.timed = append(c.timed, o)
			continue
		}
		c.begin(o)
	}
	c.settle(j)
}

// begin queues an occurrence's steps that can run.
func (c *Core) begin(o *occurrence) {
	o.due = true
	for _, s := range o.steps {
		c.enqueue(s)
	}
}

// enqueue puts a step among those with tasks to place.
func (c *Core) enqueue(s *step) {
	if s.queued || s.done == len(s.tasks) || s.job().ending != "" || !s.ready() {
		return
	}
	if s.readyAt.IsZero() {
		s.readyAt = c.now
	}
	s.queued = true
	c.queued = append(c.queued, s)
	c.place = true
}

// Status replies with a submission's state.
func (c *Core) Status(id string, reply func(Reply)) {
	if f, ok := c.finals[id]; ok {
		c.answer(reply, Reply{Status: f.Status})
		return
	}
	j := c.jobs[id]
	if j == nil {
		c.answer(reply, Reply{Outcome: OutcomeNotFound})
		return
	}
	status := workload.StatusQueued
	if j.started {
		status = workload.StatusRunning
	}
	c.answer(reply, Reply{Status: status})
}

// Cancel ends a submission and replies once that is stored.
func (c *Core) Cancel(id string, reply func(Reply)) {
	if _, ok := c.finals[id]; ok {
		c.answer(reply, Reply{})
		return
	}
	j := c.jobs[id]
	if j == nil {
		c.answer(reply, Reply{Outcome: OutcomeNotFound})
		return
	}
	if j.ending == "" {
		c.log.Log(events.SubmissionCancelled, "id", id, "queue", j.sub.Queue, "age", c.now.Sub(j.accepted).Milliseconds())
		c.end(j, workload.StatusCancelled)
	}
	c.afterWrites(func() { c.answer(reply, Reply{}) })
}

// Pending replies with the number of a queue's submissions without due times
// of which nothing has started.
func (c *Core) Pending(queue string, reply func(Reply)) {
	n := 0
	for _, j := range c.jobs {
		if j.sub.Queue == queue && j.stored && !j.started && !j.sub.Timed() && j.ending == "" {
			n++
		}
	}
	c.answer(reply, Reply{Pending: n})
}

// settle ends a job whose tasks are all done.
func (c *Core) settle(j *job) {
	if j.open == 0 && j.ending == "" {
		c.end(j, workload.StatusCompleted)
	}
}

// end stores a job's final state, which callers see from then on, and stops
// what still runs of it.
func (c *Core) end(j *job, status workload.Status) {
	j.ending = status
	f := workload.FinalState{Status: status, Ended: c.wall, Queue: j.sub.Queue}
	id := j.sub.ID
	records := []partition.Record{recordOf(keyFinal, id, f), dropped(keyAccepted, id), dropped(keyProgress, id)}
	c.write(records, func() {
		delete(c.jobs, id)
		c.finals[id] = f
		c.expiring = append(c.expiring, id)
		c.metric.finished(status, c.now.Sub(j.accepted))
		c.log.Log(events.SubmissionEnded, "id", id, "queue", f.Queue, "status", string(status), "age", c.now.Sub(j.accepted).Milliseconds())
	})
	for _, o := range j.occurrences {
		for _, s := range o.steps {
			c.stopStep(s)
		}
	}
}

// stopStep stops all attempts of a step that are not being stopped.
func (c *Core) stopStep(s *step) {
	for i := range s.tasks {
		if a := s.tasks[i].cur; a != nil && !(s.tasks[i].done && s.spec.Gang) {
			c.stop(a)
		}
	}
}

// expire forgets the final states that nobody may ask for any more.
func (c *Core) expire() {
	kept := c.bounds.StatusRetention.Milliseconds()
	for len(c.expiring) > 0 {
		id := c.expiring[0]
		if f, ok := c.finals[id]; ok && c.wall-f.Ended < kept {
			return
		}
		c.expiring = c.expiring[1:]
		delete(c.finals, id)
		c.write([]partition.Record{dropped(keyFinal, id)}, nil)
	}
}
