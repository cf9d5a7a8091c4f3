package placer

import (
	"time"

	"github.com/currantwinch/currantwinch/chart"
	"github.com/currantwinch/currantwinch/charts"
	"github.com/currantwinch/currantwinch/cluster"
	"github.com/currantwinch/currantwinch/document"
	"github.com/currantwinch/currantwinch/internal/roles"
	"github.com/currantwinch/currantwinch/placement/health"
	"github.com/currantwinch/currantwinch/placement/pipeline"
	"github.com/currantwinch/currantwinch/placement/queue"
)

const (
	defaultMaxAttempts = 3
	// maxTasksPerJob bounds the tasks of one job.
	maxTasksPerJob = 20_000
)

// The states and triggers of charts.Task used in this package.
const (
	taskWaiting   chart.State = "waiting"
	taskReserved  chart.State = "reserved"
	taskStarting  chart.State = "starting"
	taskRunning   chart.State = "running"
	taskStopping  chart.State = "stopping"
	taskUnknown   chart.State = "unknown"
	taskEnded     chart.State = "ended"
	taskSucceeded chart.State = "succeeded"
	taskFailed    chart.State = "failed"

	onReserve chart.Trigger = "reserve"
	onAdopt   chart.Trigger = "adopt"
	onGiveUp  chart.Trigger = "give_up"
	onStart   chart.Trigger = "start"
	onRelease chart.Trigger = "release"
	onRun     chart.Trigger = "run"
	onRefuse  chart.Trigger = "refuse"
	onLose    chart.Trigger = "lose"
	onExit    chart.Trigger = "exit"
	onStop    chart.Trigger = "stop"
	onLapse   chart.Trigger = "lapse"
	onRetry   chart.Trigger = "retry"
	onSucceed chart.Trigger = "succeed"
)

// job is a job whose home is this daemon.
type job struct {
	entry  roles.JobEntry
	home   *home
	tasks  []*task
	placed pipeline.TopologyCounts
	demand pipeline.Demand
	shape  queue.Shape
	rank   uint64
	// isNew is set if no earlier home can have placed the job.
	isNew bool
	// startable is set once tasks without a reported attempt may start. Until
	// recovery is complete, an earlier attempt may still run.
	startable bool

	unschedulable      string
	unschedulableSince time.Time
	finishing          bool
	// everPlaced is set once a task was placed, which shows that the job is
	// schedulable.
	everPlaced bool
	health     health.Job
	gang       *gangRound
	// preemptAfter is the earliest time of the next preemption round for the
	// job.
	preemptAfter time.Time
	// gangRetries counts the failed rounds of a gang in a row.
	gangRetries int
}

// task is one task of a job. The attempt fields describe its latest attempt.
type task struct {
	job     *job
	index   int
	state   chart.State
	attempt int
	worker  string
	rack    cluster.Share
	// counted is set while the task is counted in job.placed, at location.
	counted  bool
	location cluster.Location
	stopping bool
	// inPack is set while the task waits in the pack group.
	inPack bool
	// accepted is set once a rack's owner has accepted the current attempt;
	// acceptedSeq is the number of the newest sync sent by then.
	accepted    bool
	acceptedSeq uint64
	// lastConfirmed is when the current attempt was last accepted or reported.
	lastConfirmed time.Time
	checkpoint    string
	// revision is the document revision of the current attempt.
	revision uint64
	// raisedSize replaces the job's size for the next attempt if the last one
	// was stopped for using more than that. It is zero otherwise.
	raisedSize cluster.Resources
	// retries counts the attempts that ended without success since the task was
	// last seen running.
	retries int
	// failedWorkers lists the workers on which attempts failed, once per
	// failure.
	failedWorkers []string
	// reboots counts the workers that rebooted under the task, since it last ran for
	// provenRunTime.
	reboots int
	// runningSince is when the current attempt was first seen running.
	runningSince time.Time
	// evictionUntil is until when a granted eviction counts against the job's
	// disruption budget.
	evictionUntil time.Time
	notBefore     time.Time
	waitingSince  time.Time
	score         int64
	reason        string
	// deadAttempts are terminated attempts that the racks' owners have not been
	// told to forget.
	deadAttempts []deadAttempt
}

type deadAttempt struct {
	rack cluster.Share
	ref  TaskRef
}

func (t *task) ref() TaskRef {
	return TaskRef{JobID: t.job.entry.ID, Index: t.index, Attempt: t.attempt}
}

func (t *task) live() bool {
	switch t.state {
	case taskStarting, taskRunning, taskStopping, taskUnknown:
		return true
	}
	return false
}

func (t *task) final() bool { return charts.Task.IsFinal(t.state) }

// refreshJobs applies the newest view to the jobs of this daemon's homes. It
// skips a view that was already applied.
func (sc *scheduler) refreshJobs(now time.Time) {
	view := sc.p.o.State.View()
	if view.Offset() == sc.viewOffset && sc.viewOffset != 0 {
		return
	}
	sc.viewOffset, sc.viewTime = view.Offset(), now
	open := make(map[string]bool, len(sc.jobs))
	for _, hm := range sc.homes {
		for _, e := range view.OpenJobs(hm.share) {
			if e.Phase != roles.JobAccepted {
				continue
			}
			open[e.ID] = true
			sc.applyJob(hm, e, now)
		}
	}
	for id, j := range sc.jobs {
		if !open[id] {
			sc.retireJob(j, now)
		}
	}
}

// applyJob adds an open job, or applies a new revision of a known one.
func (sc *scheduler) applyJob(hm *home, e roles.JobEntry, now time.Time) {
	j, ok := sc.jobs[e.ID]
	switch {
	case !ok:
		sc.addJob(hm, e, now)
	case j.entry.Revision != e.Revision:
		sc.revise(j, e, now)
	}
}

func (sc *scheduler) addJob(hm *home, e roles.JobEntry, now time.Time) {
	j := &job{home: hm, isNew: e.Offset >= hm.firstNewOffset}
	sc.applyEntry(j, e, now)
	sc.jobs[e.ID] = j
	j.startable = j.isNew || hm.recovered
	sc.checkSchedulable(j, now)
	sc.updateQueue(j, now)
}

// applyEntry sets the fields derived from a job's entry and adds missing tasks.
func (sc *scheduler) applyEntry(j *job, e roles.JobEntry, now time.Time) {
	w := e.Workload
	j.entry, j.rank = e, jobRank(e)
	j.demand = pipeline.Demand{
		Class: w.Class, Resources: sc.estimatedSize(e), AcceleratorKind: w.AcceleratorKind,
		Regions: w.Regions, Spread: w.Spread, Placed: &j.placed,
	}
	j.shape = queue.Shape{Resources: j.demand.Resources, AcceleratorKind: w.AcceleratorKind}
	if len(w.Regions) == 1 {
		j.shape.Region = w.Regions[0]
	}
	for i := len(j.tasks); i < j.taskCount(); i++ {
		j.tasks = append(j.tasks, &task{job: j, index: i, state: charts.Task.Initial(), waitingSince: now})
	}
}

// taskCount returns the number of tasks of a job.
func (j *job) taskCount() int { return min(max(j.entry.Workload.Count, 1), maxTasksPerJob) }

// jobRank orders jobs by priority band, then by age. Lower ranks come first.
func jobRank(e roles.JobEntry) uint64 {
	const offsetBits = 60
	return uint64(queue.PriorityBand(e.Workload.Priority))<<offsetBits | e.Offset&(1<<offsetBits-1)
}

// placeable reports whether a task waits, is not in the pack group and is past
// its retry delay.
func (t *task) placeable(now time.Time) bool {
	return t.state == taskWaiting && !t.inPack && !now.Before(t.notBefore)
}

// waitingTasks counts the tasks that may be placed now.
func (j *job) waitingTasks(now time.Time) int {
	n := 0
	for _, t := range j.tasks {
		if t.placeable(now) {
			n++
		}
	}
	if j.health.Poison() {
		// A poison job runs one task at a time, to test whether it still fails.
		return min(n, 1)
	}
	return n
}

// earliestRetry returns the earliest time at which a delayed task may be
// placed, and false if none is delayed.
func (j *job) earliestRetry(now time.Time) (time.Time, bool) {
	var at time.Time
	for _, t := range j.tasks {
		if t.state == taskWaiting && now.Before(t.notBefore) && (at.IsZero() || t.notBefore.Before(at)) {
			at = t.notBefore
		}
	}
	return at, !at.IsZero()
}

// updateQueue updates a job's queue entry from its waiting tasks, or removes
// it.
func (sc *scheduler) updateQueue(j *job, now time.Time) {
	if !j.startable || j.unschedulable != "" || j.gang != nil || j.finishing {
		sc.queue.Remove(j.entry.ID)
		return
	}
	n := j.waitingTasks(now)
	at, delayed := j.earliestRetry(now)
	if j.entry.Workload.Class == document.ClassGang && !j.allWaiting(now) {
		n = 0
	}
	entry := queue.Job{
		ID: j.entry.ID, Team: j.entry.Team, Priority: j.entry.Workload.Priority, AcceptedOffset: j.entry.Offset,
		Shape: j.shape, Tasks: n,
	}
	if n > 0 || !delayed {
		sc.queue.Put(entry, now)
		sc.unblock(j, now)
		return
	}
	entry.Tasks = 1
	sc.queue.Put(entry, now)
	sc.queue.Block(j.entry.ID, queue.Deferred, now, at)
}

// unblock clears the block of a job that was deferred for delayed tasks when
// other tasks are ready.
func (sc *scheduler) unblock(j *job, now time.Time) {
	if reason, _, ok := sc.queue.Reason(j.entry.ID); ok && reason == queue.Deferred {
		sc.queue.Block(j.entry.ID, queue.Ready, now, now)
	}
}

// retireJob removes a job that the log shows as ended. Its live attempts are
// stopped, and all its attempts are forgotten once they have ended.
func (sc *scheduler) retireJob(j *job, now time.Time) {
	sc.queue.Remove(j.entry.ID)
	if j.gang != nil {
		sc.abandonGang(j, now)
	}
	for _, t := range j.tasks {
		if t.live() {
			sc.terminateAttempt(t.rack, j.home, t.ref(), false)
		}
		if t.live() || t.state == taskSucceeded || t.state == taskFailed || t.state == taskEnded {
			sc.terminateAttempt(t.rack, j.home, t.ref(), true)
		}
		for _, r := range t.deadAttempts {
			sc.terminateAttempt(r.rack, j.home, r.ref, true)
		}
	}
	sc.removeJob(j)
}

func (sc *scheduler) removeJob(j *job) {
	sc.queue.Remove(j.entry.ID)
	sc.dropPlacements(j)
	sc.completions.remove(j.entry.ID)
	delete(sc.jobs, j.entry.ID)
}
