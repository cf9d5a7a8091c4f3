package scheduler

import (
	"time"

	"github.com/currantwinch/currantwinch/internal/events"
	"github.com/currantwinch/currantwinch/workload"
)

// A submission leaves for another shard as a whole, while none of its tasks runs. Where some run
// until it is cancelled and others can run in another shard alone, that moment does not come by
// itself. The owner then asks the other shards about all of its tasks and, if one has free
// capacity for them, stops those that run. The submission is handed over once they have ended.

const (
	// splitFactor: tasks beside others that go on wait for so many times stuckTime before other
	// shards are asked, since to stop what runs costs more than to move what does not.
	splitFactor = 2
	// relocationTimeout bounds the time until the submission has left. Its tasks start here
	// again after that.
	relocationTimeout = 5 * time.Second
	// minRelocationDelay is the time from a relocation that did not succeed to the next one
	// of the same submission, and that before one of a submission that was handed over more than
	// freeHandovers times. It doubles each time, maxRelocationDoublings times.
	minRelocationDelay     = 10 * time.Second
	maxRelocationDoublings = 5
)

// relocation is the state of a job's move to a shard that can run all of it.
type relocation struct {
	// underWay is set from the stop of the job's runs on, until it is handed over or deadline
	// has passed. No task of the job starts here meanwhile.
	underWay bool
	deadline time.Time
	// attempts counts the relocations of this owner, and notBefore is when the next may begin.
	attempts  int
	notBefore time.Time
}

// begin begins a relocation.
func (r *relocation) begin(now time.Time) {
	r.underWay, r.deadline = true, now.Add(relocationTimeout)
	r.notBefore = r.deadline.Add(relocationDelay(r.attempts))
	r.attempts++
}

// relocationDelay returns the delay of the next relocation after a number of earlier ones.
func relocationDelay(earlier int) time.Duration {
	return minRelocationDelay << min(earlier, maxRelocationDoublings)
}

// splitTime returns how long tasks wait beside others that go on before other shards are asked.
func (j *job) splitTime() time.Duration {
	if beyond := j.handoverNumber() - freeHandovers; beyond > 0 {
		return relocationDelay(beyond - 1)
	}
	return splitFactor * stuckTime
}

// splitJobs lists the split jobs of sharded services in placement order: tasks have waited for long
// enough beside others that run. assessSplit decides whether they wait in vain.
func (c *Core) splitJobs() []*job {
	var out []*job
	seen := make(map[*job]bool)
	for _, st := range c.queued {
		j := st.job()
		if seen[j] || len(out) == maxStuckJobs {
			continue
		}
		if j.live > 0 && j.longRunning() && c.waitedFor(st) >= j.splitTime() && c.mayRelocate(j) {
			seen[j] = true
			out = append(out, j)
		}
	}
	return out
}

// waitedFor returns how long tasks of a step have waited; 0 if none do.
func (c *Core) waitedFor(st *step) time.Duration {
	if st.unplacedTasks() == 0 || st.waitingSince.IsZero() {
		return 0
	}
	return c.now.Sub(st.waitingSince)
}

// mayRelocate reports whether a relocation of the job may begin.
func (c *Core) mayRelocate(j *job) bool {
	return j.ending == "" && c.sharded(j.sub.Service) && !j.handoverRejected && c.mayStartOrLeave(j) &&
		!j.relocation.underWay && !c.now.Before(j.relocation.notBefore)
}

// assessSplit returns the needs of all tasks of a job that are not done. It reports false if the job
// need not be relocated: all of its tasks may start here at some time, or some of those that run
// end by themselves.
func (c *Core) assessSplit(j *job) (stuckJob, bool) {
	s := stuckJob{job: j, own: FitLater}
	blocked := false
	for _, st := range j.openSteps() {
		waiting := st.unplacedTasks()
		if st.trial != nil || st.reserved != nil || waiting < len(st.tasks)-st.done && !st.spec.LongRunning {
			return s, false
		}
		need := needOf(st)
		need.Count, need.Exact = len(st.tasks)-st.done, true
		s.needs = append(s.needs, need)
		blocked = blocked || waiting > 0 && !c.canEverStart(st)
	}
	return s, blocked
}

// canEverStart reports whether this shard can start waiting tasks of a step once all tasks that end
// by themselves have ended: one task, or all members of a gang.
func (c *Core) canEverStart(st *step) bool {
	need, slots := needOf(st), 0
	for _, s := range c.servers {
		if s.info.Service != st.job().sub.Service || !s.hasLabel(need.Label) || st.authorization.decisionOn(s) == denied || !s.capable(c.now) {
			continue
		}
		n := need.slots(s.info.Capacity.Minus(s.longRunningUse()))
		if need.MaxPerServer > 0 {
			n = min(n, need.MaxPerServer-st.attemptsPerServer[s])
		}
		slots += max(n, 0)
	}
	if need.Gang {
		return slots >= need.Count
	}
	return slots > 0
}

// longRunningUse returns what tasks that run until their submission is cancelled use on the server.
func (s *server) longRunningUse() workload.Resources {
	var sum workload.Resources
	for _, a := range s.attempts {
		if a.task.step.spec.LongRunning {
			sum = sum.Plus(a.need)
		}
	}
	return sum
}

// relocate stops the runs of split jobs for all of whose tasks another shard has free capacity, by
// the answers to a question. Index holds the places of needs in the question.
func (c *Core) relocate(q RoomQuestion, index map[string]int, answers []RoomAnswer) {
	for _, j := range c.splitJobs() {
		s, ok := c.assessSplit(j)
		i, known := index[needsKey(s.needs)]
		if !ok || !known || j.sub.Service != q.Service {
			continue
		}
		if to, _ := chooseShard(s, i, answers); to != nil {
			to.FreeCPU -= s.wantedCPU()
			c.stopForRelocation(j, to.Partition)
		}
	}
}

// stopForRelocation stops a job's runs, so that it can be handed over. That it goes to the shard to
// is not settled: the others are asked again once the runs have ended, since room may be taken.
func (c *Core) stopForRelocation(j *job, to int) {
	j.relocation.begin(c.now)
	c.log.Log(events.SubmissionRelocated, "id", j.sub.ID, "queue", j.sub.Queue, "to", to, "runs", j.live)
	c.stopJob(j)
}

// endRelocations lets tasks of jobs that have not left in time start here again.
func (c *Core) endRelocations() {
	for _, st := range c.queued {
		r := &st.job().relocation
		if r.underWay && c.now.After(r.deadline) {
			r.underWay = false
			c.wakeJob(st.job())
		}
	}
}
