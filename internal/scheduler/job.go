package scheduler

import (
	"maps"
	"slices"
	"time"

	"github.com/currantwinch/currantwinch/crashloop"
	"github.com/currantwinch/currantwinch/placement/speed"
	"github.com/currantwinch/currantwinch/routing"
	"github.com/currantwinch/currantwinch/workload"
)

// job is a submission that has not ended.
type job struct {
	sub   *workload.Submission
	queue routing.Queue
	// queueKnown is set once a configuration, or the submission's record, has told queue.
	queueKnown bool
	// stored is set once the submission is in the log. No task starts before.
	stored bool
	// acceptWriteID is the write that stores the submission, and withdrawn is set
	// if that write was withdrawn.
	acceptWriteID uint64
	withdrawn     bool
	// checkpointsRejected is set once the log has rejected the job's progress. It is stored
	// without checkpoints from then on.
	checkpointsRejected bool
	// progressParts is the number of records that hold the job's progress.
	progressParts int
	// inherited marks a submission that an earlier owner accepted, whose runs
	// may still be in progress.
	inherited bool
	// started is set once a task has started.
	started bool
	// ending is the final state that is being stored.
	ending workload.Status
	// waiters are callers that wait for the submission to be stored.
	waiters []func(Reply)
	// occurrences holds, by index, those that are due or that a server has listed, and
	// that are not done. The others are built once they are due.
	occurrences map[int]*occurrence
	// done holds the occurrences that are done.
	done workload.OccurrenceSet
	// saved holds the stored progress of occurrences that are not built.
	saved map[int]workload.Progress
	// nextDue is the first occurrence that was not activated yet.
	nextDue int
	// dueIndex is the job's index in the dueQueue, or notScheduled.
	dueIndex int
	// minRun is a run number that all runs under earlier owners are at most.
	minRun int
	// recordBytes is the length of the submission's record.
	recordBytes int
	// accepted is when the submission arrived, on this daemon's clock.
	accepted time.Time
	// firstArrival is when the submission came for the first time, if it was refused
	// before; zero if that is not known.
	firstArrival time.Time
	// criticalPath is the declared time of the longest chain of dependent
	// steps.
	criticalPath time.Duration
	// criticalPathSteps is the number of steps in that chain.
	criticalPathSteps int
	// runs holds the mean run time of the queue.
	runs *runTimes
	// dirty is set while changed progress is not stored.
	dirty bool
	// live counts the attempts of the job's tasks, also those that are being stopped.
	live int
	// stuckSince is since when tasks wait and nothing runs; zero if that is not so.
	stuckSince time.Time
	// handoverRejected is set if the log does not accept the record of a handover.
	handoverRejected bool
	// relocation is the job's move to a shard that can run all of it.
	relocation relocation
}

// step is one step of an occurrence.
type step struct {
	occurrence *occurrence
	index      int
	spec       *workload.Step
	tasks      []task
	done       int
	// queued is set while the step is in the Core's queue, and entry is its place there.
	queued        bool
	entry         queueEntry
	authorization authorization
	// reserved is the capacity reserved while a gang's tickets are requested,
	// or nil.
	reserved *reservation
	// held is the capacity that is held for a gang, or nil. holdRefused is set if too much
	// is held for others.
	held        *gangHold
	holdRefused bool
	// wakeAt is when a delayed step is examined again.
	wakeAt time.Time
	// readyAt is when the last dependency was done.
	readyAt time.Time
	// waitingSince is when the step was queued first since all its tasks ran last.
	waitingSince time.Time
	// lastEndedRun is the last run of the gang in which a member ended or was
	// lost.
	lastEndedRun int
	// formationDeadline is when an incomplete gang is stopped.
	formationDeadline time.Time
	// trial is the trial under way, or nil.
	trial *trial
	// number is unique among the steps of which tasks have run under this owner, and
	// siblings is what their run times tell about the others; nil before the first has ended.
	number   uint64
	siblings *speed.Siblings
	// groupRack is the rack of the step's first run, if its tasks should run in one rack.
	groupRack string
	// localityWaitSince is since when tasks wait for local slots; zero if none do.
	localityWaitSince time.Time
	// localityTasks counts them as of the last look at the step, and inLocalityWaits is set
	// while the step is in the Core's localityWaits.
	localityTasks   int
	inLocalityWaits bool
	// attemptsPerServer counts the step's attempts on each server.
	attemptsPerServer map[*server]int
}

// task is one task of a step.
type task struct {
	step  *step
	index int
	done  bool
	run   int
	// failedRuns are the numbers of the failed runs. Those of a gang are kept
	// at its first member.
	failedRuns []int
	// failedOn holds the servers on which the task failed under this owner.
	failedOn   map[string]bool
	checkpoint string
	attempt    *attempt
	// copy is a second run of the task beside attempt, which is not nil then; nil if there
	// is none.
	copy *attempt
	// crashes is the evidence that the task crashes its servers. That of a gang is
	// kept at its first member.
	crashes crashloop.History
	// exposure is the task's run whose server may have crashed, or its run in a
	// trial; nil if there is none.
	exposure *workload.Exposure
	// retryAt is the earliest time of the next placement.
	retryAt time.Time
}

func newJob(sub *workload.Submission, now time.Time) *job {
	j := &job{
		sub: sub, accepted: now, started: sub.Transfer != nil && sub.Transfer.Started, occurrences: make(map[int]*occurrence), dueIndex: notScheduled,
	}
	j.criticalPath, j.criticalPathSteps = criticalPathOf(sub.Steps, oneWave)
	return j
}

// oneWave is for steps whose tasks may all run at the same time.
func oneWave(*workload.Step) int { return 1 }

// criticalPathOf returns the declared time and the number of steps of the
// longest chain of dependent steps. A step counts once for each of its waves.
func criticalPathOf(steps []workload.Step, waves func(*workload.Step) int) (longest time.Duration, depth int) {
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
		n := waves(&steps[i])
		ends[i], depths[i] = begin+time.Duration(n)*steps[i].Estimate, before+n
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

// ready reports whether the occurrence is due and all dependencies are done.
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

// openSteps lists the steps that are ready and not done, those of earlier occurrences first.
func (j *job) openSteps() []*step {
	var out []*step
	for _, index := range slices.Sorted(maps.Keys(j.occurrences)) {
		for _, st := range j.occurrences[index].steps {
			if st.ready() && st.done < len(st.tasks) {
				out = append(out, st)
			}
		}
	}
	return out
}

// unplacedTasks returns the number of tasks that are not done and have no
// attempt.
func (s *step) unplacedTasks() int {
	n := 0
	for i := range s.tasks {
		if s.tasks[i].needsPlacement() {
			n++
		}
	}
	return n
}

func (t *task) needsPlacement() bool { return !t.done && t.attempt == nil }

// nextGangRun returns the number of the gang's next run.
func (s *step) nextGangRun() int {
	run := 0
	for i := range s.tasks {
		run = max(run, s.tasks[i].run)
	}
	return run + 1
}

// longRunning reports whether the job has tasks that run until it is cancelled.
func (j *job) longRunning() bool {
	return slices.ContainsFunc(j.sub.Steps, func(s workload.Step) bool { return s.LongRunning })
}

// taskCount returns the number of tasks of one occurrence.
func (j *job) taskCount() int {
	n := 0
	for i := range j.sub.Steps {
		n += j.sub.Steps[i].Count
	}
	return n
}

// targetTime returns when the submission should be completed. Declared run
// times deviate widely in both directions, so that the queue's measured mean
// weighs as much.
func (j *job) targetTime() time.Time {
	stretch := max(j.queue.Stretch, 1)
	return j.accepted.Add(time.Duration(stretch*float64(j.expectedCriticalPath())) + j.queue.TargetLatency)
}

// returnedAfter returns how long before its present arrival the submission came for the first
// time, if it was refused then. It is ordered as if it had been accepted, so that one that
// returns is not placed behind those that came meanwhile. It is late only by targetTime, or
// its return would put it behind all of them.
func (j *job) returnedAfter() time.Duration {
	if j.firstArrival.IsZero() {
		return 0
	}
	return j.accepted.Sub(j.firstArrival)
}

func (j *job) expectedCriticalPath() time.Duration {
	if j.runs == nil || j.runs.mean == 0 {
		return j.criticalPath
	}
	return (j.criticalPath + time.Duration(j.criticalPathSteps)*j.runs.mean) / 2
}

// expectedRunTime estimates the run time of a task of the step.
func (s *step) expectedRunTime() time.Duration {
	if runs := s.job().runs; runs != nil && runs.mean > 0 {
		return (s.spec.Estimate + runs.mean) / 2
	}
	return s.spec.Estimate
}

// runTimes is the measured mean run time of a queue's tasks, and their usual work.
type runTimes struct {
	mean  time.Duration
	usual speed.UsualWork
}

// runTimeWeight is the weight of the newest run in the moving average.
const runTimeWeight = 0.05

func (r *runTimes) observe(took time.Duration) {
	if r.mean == 0 {
		r.mean = took
		return
	}
	r.mean += time.Duration(runTimeWeight * float64(took-r.mean))
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

// taskProgress appends the tasks that have ended a run without being done.
func (s *step) taskProgress(to []workload.TaskProgress) []workload.TaskProgress {
	for i := range s.tasks {
		t := &s.tasks[i]
		if t.done || len(t.failedRuns) == 0 && t.checkpoint == "" && t.crashes.Empty() && t.exposure == nil {
			continue
		}
		p := workload.TaskProgress{
			Occurrence: s.occurrence.index, Step: s.index, Index: i, Run: t.run, FailedRuns: t.failedRuns, Checkpoint: t.checkpoint, Exposure: t.exposure,
		}
		if !t.crashes.Empty() {
			p.Crashes = &t.crashes
		}
		to = append(to, p)
	}
	return to
}

// markDone marks a task as done. It does nothing if the task already is.
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
		s.occurrence.finished()
	}
}
