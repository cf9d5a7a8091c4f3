package scheduler

import (
	"time"

	"github.com/currantwinch/currantwinch/routing"
	"github.com/currantwinch/currantwinch/workload"
)

// job is a submission that has not ended.
type job struct {
	sub   *workload.Submission
	queue routing.Queue
	// stored says that the submission is in the log; nothing of it starts before.
	stored bool
	// inherited submissions may have runs that an earlier owner started.
	inherited bool
	// started says that a task of it has begun.
	started bool
	// ending is the final state that is being stored.
	ending workload.Status
	// waiting are callers who want to hear that the submission is stored.
	waiting     []func(Reply)
	occurrences []*occurrence
	// open counts occurrences that are not done.
	open int
	// accepted is when the submission arrived, on this daemon's clock.
	accepted time.Time
	// chain is the declared time of the longest chain of steps.
	chain time.Duration
	// depth is the number of steps of that chain.
	depth int
	// runs are the measured run times of the queue.
	runs *runTimes
	// dirty says that its progress waits to be stored.
	dirty bool
}

// occurrence is one run of all steps.
type occurrence struct {
	job   *job
	index int
	steps []*step
	// open counts steps that are not done.
	open int
	// due says that its time has come.
	due bool
}

// step is one step of an occurrence.
type step struct {
	occurrence *occurrence
	index      int
	spec       *workload.Step
	tasks      []task
	done       int
	// queued says that the step is among the Core's ready steps.
	queued bool
	advice advice
	// reserved is the room that waits for a gang's tickets; nil if none does.
	reserved *reservation
	// readyAt is when the last dependency was done.
	readyAt time.Time
	// endedRun is the last run of a gang of which a member ended or was lost.
	endedRun int
	// gatherUntil is when an incomplete gang is given up.
	gatherUntil time.Time
	// onServer counts attempts by server.
	onServer map[*server]int
}

// task is one task of a step.
type task struct {
	step  *step
	index int
	done  bool
	run   int
	// failedRuns are the runs that failed. Those of a gang are kept at its first
	// member.
	failedRuns []int
	// failedOn holds the servers on which it failed under this owner.
	failedOn   map[string]bool
	checkpoint string
	cur        *attempt
	// retryAt keeps a task from being placed again at once.
	retryAt time.Time
}

func newJob(sub *workload.Submission, now time.Time) *job {
	j := &job{sub: sub, accepted: now}
	for k := range sub.Occurrences() {
		j.occurrences = append(j.occurrences, newOccurrence(j, k))
	}
	j.open = len(j.occurrences)
	j.chain, j.depth = longestChain(sub.Steps)
	return j
}

func newOccurrence(j *job, index int) *occurrence {
	o := &occurrence{job: j, index: index, open: len(j.sub.Steps)}
	for i := range j.sub.Steps {
		spec := &j.sub.Steps[i]
		s := &step{occurrence: o, index: i, spec: spec, tasks: make([]task, spec.Count), onServer: make(map[*server]int)}
		for n := range s.tasks {
			s.tasks[n].step = s
			s.tasks[n].index = n
		}
		o.steps = append(o.steps, s)
	}
	return o
}

// longestChain returns the declared time of the longest chain of dependent
// steps, and the number of its steps.
func longestChain(steps []workload.Step) (longest time.Duration, depth int) {
	ends := make([]time.Duration, len(steps))
	depths := make([]int, len(steps))
	for i := range steps {
		var begin time.Duration
		before := 0
		for _, d := range steps[i].After {
			if ends[d] >= begin {
				begin, before = ends[d], max(before, depths[d])
			}
		}
		ends[i], depths[i] = begin+steps[i].Estimate, before+1
		if ends[i] >= longest {
			longest, depth = ends[i], depths[i]
		}
	}
	return longest, depth
}

func (t *task) id() workload.TaskID {
	o := t.step.occurrence
	return workload.TaskID{Submission: o.job.sub.ID, Occurrence: o.index, Step: t.step.index, Index: t.index}
}

func (s *step) id() workload.TaskID { return s.tasks[0].id() }

func (s *step) job() *job { return s.occurrence.job }

// ready reports whether all steps that s depends on are done and its time has
// come.
func (s *step) ready() bool {
	if !s.occurrence.due {
		return false
	}
	for _, d := range s.spec.After {
		earlier := s.occurrence.steps[d]
		if earlier.done < len(earlier.tasks) {
			return false
		}
	}
	return true
}

// waiting returns the number of tasks that are not done and have no attempt.
func (s *step) waiting() int {
	n := 0
	for i := range s.tasks {
		if s.tasks[i].waits() {
			n++
		}
	}
	return n
}

// waits reports whether the task is to be placed.
func (t *task) waits() bool { return !t.done && t.cur == nil }

// gangRun returns the number for the next run of a gang.
func (s *step) gangRun() int {
	run := 0
	for i := range s.tasks {
		run = max(run, s.tasks[i].run)
	}
	return run + 1
}

// target is when the submission should be completed. Declared times are far off
// both ways, so that the queue's measured ones count as much.
func (j *job) target() time.Time {
	stretch := max(j.queue.Stretch, 1)
	return j.accepted.Add(time.Duration(stretch*float64(j.expectedChain())) + j.queue.TargetLatency)
}

func (j *job) expectedChain() time.Duration {
	if j.runs == nil || j.runs.mean == 0 {
		return j.chain
	}
	return (j.chain + time.Duration(j.depth)*j.runs.mean) / 2
}

// expected is how long a task of the step is likely to run.
func (s *step) expected() time.Duration {
	if runs := s.job().runs; runs != nil && runs.mean > 0 {
		return (s.spec.Estimate + runs.mean) / 2
	}
	return s.spec.Estimate
}

// runTimes is the measured run time of a queue's tasks.
type runTimes struct{ mean time.Duration }

// runWeight is the weight of the newest run in the mean.
const runWeight = 0.05

func (r *runTimes) learn(took time.Duration) {
	if r.mean == 0 {
		r.mean = took
		return
	}
	r.mean += time.Duration(runWeight * float64(took-r.mean))
}

// progress returns what must last of the job's tasks.
func (j *job) progress() workload.Progress {
	var p workload.Progress
	for _, o := range j.occurrences {
		for _, s := range o.steps {
			if s.done > 0 {
				p.Steps = append(p.Steps, workload.StepProgress{Occurrence: o.index, Step: s.index, Done: s.doneBits()})
			}
			p.Tasks = s.marks(p.Tasks)
		}
	}
	return p
}

func (s *step) doneBits() []byte {
	bits := make([]byte, (len(s.tasks)+7)/8)
	for i := range s.tasks {
		if s.tasks[i].done {
			bits[i/8] |= 1 << (i % 8)
		}
	}
	return bits
}

// marks appends the tasks that have ended without being done.
func (s *step) marks(to []workload.TaskProgress) []workload.TaskProgress {
	for i := range s.tasks {
		t := &s.tasks[i]
		if t.done || len(t.failedRuns) == 0 && t.checkpoint == "" {
			continue
		}
		to = append(to, workload.TaskProgress{
			Occurrence: s.occurrence.index, Step: s.index, Index: i, Run: t.run, FailedRuns: t.failedRuns, Checkpoint: t.checkpoint,
		})
	}
	return to
}

// restore takes in stored progress.
func (j *job) restore(p workload.Progress) {
	for _, m := range p.Steps {
		s := j.step(m.Occurrence, m.Step)
		if s == nil {
			continue
		}
		for i := range s.tasks {
			if i/8 < len(m.Done) && m.Done[i/8]&(1<<(i%8)) != 0 {
				s.markDone(&s.tasks[i])
			}
		}
	}
	for _, m := range p.Tasks {
		s := j.step(m.Occurrence, m.Step)
		if s == nil || m.Index >= len(s.tasks) {
			continue
		}
		t := &s.tasks[m.Index]
		t.run, t.failedRuns, t.checkpoint = m.Run, m.FailedRuns, m.Checkpoint
	}
}

// skipRuns has the next runs of all tasks be numbered above n.
func (j *job) skipRuns(n int) {
	for _, o := range j.occurrences {
		for _, s := range o.steps {
			for i := range s.tasks {
				s.tasks[i].run = max(s.tasks[i].run, n)
			}
		}
	}
}

func (j *job) step(occurrence, index int) *step {
	if occurrence >= len(j.occurrences) || index >= len(j.sub.Steps) {
		return nil
	}
	return j.occurrences[occurrence].steps[index]
}

// task returns the task that id names, or nil.
func (j *job) task(id workload.TaskID) *task {
	s := j.step(id.Occurrence, id.Step)
	if s == nil || id.Index >= len(s.tasks) {
		return nil
	}
	return &s.tasks[id.Index]
}

// markDone counts a task as done, once.
func (s *step) markDone(t *task) {
	if t.done {
		return
	}
	t.done = true
	s.done++
	if s.done < len(s.tasks) {
		return
	}
	s.occurrence.open--
	if s.occurrence.open == 0 {
		s.occurrence.job.open--
	}
}
