package placer

import (
	"time"

	"github.com/currantwinch/currantwinch/chart"
	"github.com/currantwinch/currantwinch/charts"
	"github.com/currantwinch/currantwinch/cluster"
	"github.com/currantwinch/currantwinch/document"
	"github.com/currantwinch/currantwinch/internal/events"
	"github.com/currantwinch/currantwinch/internal/roles"
	"github.com/currantwinch/currantwinch/placement/health"
	"github.com/currantwinch/currantwinch/placement/pipeline"
	"github.com/currantwinch/currantwinch/placement/queue"
)

const (
	defaultMaxAttempts = 3
	// neverGrace is how long a job's constraint must fail before the job is
	// ended for it. It is told at once.
	neverGrace = 5 * time.Second
	// maxTasks bounds the tasks of one job.
	maxTasks = 20_000
)

// The states and triggers of charts.Task that the code names.
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

// job is one job at its home.
type job struct {
	entry  roles.JobEntry
	home   *home
	tasks  []*task
	placed pipeline.TopologyCounts
	demand pipeline.Demand
	shape  queue.Shape
	rank   uint64
	// fresh jobs cannot have been placed by an earlier home.
	fresh bool
	// startable is set once tasks that nobody reported may start.
	startable bool

	never      string
	neverSince time.Time
	finishing  bool
	// placedOnce is set once a task was placed: the job can run.
	placedOnce bool
	health     health.Job
	gang       *gangRun
	// pressAfter is when owners are asked again to make room.
	pressAfter time.Time
	// gangTries counts the rounds of a gang that came to nothing.
	gangTries int
}

// task is one task of a job.
type task struct {
	job     *job
	index   int
	state   chart.State
	attempt int
	worker  string
	rack    cluster.Share
	// counted is where the task counts for the job's spread.
	counted  bool
	location cluster.Location
	stopping bool
	// inWave is set while the task waits to be packed with others.
	inWave bool
	// accepted is set once a rack's owner has taken the current attempt, and
	// acceptedTick is the newest sync sent by then.
	accepted     bool
	acceptedTick uint64
	// evidence is when the current attempt was last accepted or reported.
	evidence   time.Time
	checkpoint string
	// revision is the document revision that the current attempt runs under.
	revision uint64
	// need is what the next attempt counts for, where the last one outgrew
	// the job's size.
	need cluster.Resources
	// tries counts the attempts that came to nothing since the task was last
	// seen running.
	tries int
	// failedOn lists the workers on which attempts failed.
	failedOn []string
	// runsSince is when the current attempt was first seen running.
	runsSince time.Time
	// leaveTill is until when leave to stop the task counts against the
	// job's budget.
	leaveTill  time.Time
	notBefore  time.Time
	waitsSince time.Time
	score      int64
	reason     string
	// remains are dead attempts that racks have not been told to forget.
	remains []remain
}

type remain struct {
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

func (t *task) final() bool { return charts.Task.Final(t.state) }

// refreshJobs takes in the jobs of this daemon's homes from the newest view.
func (h *homes) refreshJobs(now time.Time) {
	view := h.p.o.State.View()
	if view.Offset() == h.viewed && h.viewed != 0 {
		return
	}
	h.viewed, h.viewedAt = view.Offset(), now
	open := make(map[string]bool, len(h.jobs))
	for _, hm := range h.homes {
		for _, e := range view.OpenJobs(hm.share) {
			if e.Phase != roles.JobAccepted {
				continue
			}
			open[e.ID] = true
			h.takeJob(hm, e, now)
		}
	}
	for id, j := range h.jobs {
		if !open[id] {
			h.endJob(j, now)
		}
	}
}

// takeJob takes in an open job, new or changed.
func (h *homes) takeJob(hm *home, e roles.JobEntry, now time.Time) {
	j, ok := h.jobs[e.ID]
	switch {
	case !ok:
		h.addJob(hm, e, now)
	case j.entry.Revision != e.Revision:
		h.revise(j, e, now)
	}
}

func (h *homes) addJob(hm *home, e roles.JobEntry, now time.Time) {
	j := &job{home: hm, fresh: e.Offset >= hm.since}
	h.describe(j, e, now)
	h.jobs[e.ID] = j
	j.startable = j.fresh || hm.collected
	h.checkNever(j, now)
	h.enqueue(j, now)
}

// describe sets what a job's entry says of it, and adds the tasks that lack.
func (h *homes) describe(j *job, e roles.JobEntry, now time.Time) {
	w := e.Workload
	j.entry, j.rank = e, rankOf(e)
	j.demand = pipeline.Demand{
		Class: w.Class, Resources: h.learnedSize(e), AcceleratorKind: w.AcceleratorKind,
		Regions: w.Regions, Spread: w.Spread, Placed: &j.placed,
	}
	j.shape = queue.Shape{Resources: j.demand.Resources, AcceleratorKind: w.AcceleratorKind}
	if len(w.Regions) == 1 {
		j.shape.Region = w.Regions[0]
	}
	for i := len(j.tasks); i < j.wanted(); i++ {
		j.tasks = append(j.tasks, &task{job: j, index: i, state: charts.Task.Initial(), waitsSince: now})
	}
}

// wanted is how many tasks a job has.
func (j *job) wanted() int { return min(max(j.entry.Workload.Count, 1), maxTasks) }

// rankOf orders jobs by priority, then by age.
func rankOf(e roles.JobEntry) uint64 {
	const offsetBits = 60
	return uint64(queue.PriorityBand(e.Workload.Priority))<<offsetBits | e.Offset&(1<<offsetBits-1)
}

// waiting counts the tasks that may be placed now.
func (j *job) waiting(now time.Time) int {
	n := 0
	for _, t := range j.tasks {
		if t.state == taskWaiting && !t.inWave && !now.Before(t.notBefore) {
			n++
		}
	}
	if j.health.Poison() {
		// One task at a time shows whether the job still fails.
		return min(n, 1)
	}
	return n
}

// heldUntil is when the first held-back task may be placed.
func (j *job) heldUntil(now time.Time) (time.Time, bool) {
	var at time.Time
	for _, t := range j.tasks {
		if t.state == taskWaiting && now.Before(t.notBefore) && (at.IsZero() || t.notBefore.Before(at)) {
			at = t.notBefore
		}
	}
	return at, !at.IsZero()
}

// enqueue brings the queue in line with a job's waiting tasks.
func (h *homes) enqueue(j *job, now time.Time) {
	if !j.startable || j.never != "" || j.gang != nil || j.finishing {
		h.queue.Remove(j.entry.ID)
		return
	}
	n := j.waiting(now)
	at, held := j.heldUntil(now)
	if j.entry.Workload.Class == document.ClassGang && !j.allWait(now) {
		n = 0
	}
	entry := queue.Job{
		ID: j.entry.ID, Team: j.entry.Team, Priority: j.entry.Workload.Priority, AcceptedOffset: j.entry.Offset,
		Shape: j.shape, Tasks: n,
	}
	if n > 0 || !held {
		h.queue.Put(entry, now)
		h.release(j, now)
		return
	}
	entry.Tasks = 1
	h.queue.Put(entry, now)
	h.queue.Block(j.entry.ID, queue.Deferred, now, at)
}

// release lets a job be tried that was held back for tasks other than those
// that wait now.
func (h *homes) release(j *job, now time.Time) {
	if reason, _, ok := h.queue.Reason(j.entry.ID); ok && reason == queue.Deferred {
		h.queue.Block(j.entry.ID, queue.Ready, now, now)
	}
}

// endJob winds up a job that the log shows as ended: what still runs is
// stopped, and all attempts are forgotten once dead.
func (h *homes) endJob(j *job, now time.Time) {
	h.queue.Remove(j.entry.ID)
	if j.gang != nil {
		h.abandonGang(j, now)
	}
	for _, t := range j.tasks {
		if t.live() {
			h.orphan(t.rack, j.home, t.ref(), false)
		}
		if t.live() || t.state == taskSucceeded || t.state == taskFailed || t.state == taskEnded {
			h.orphan(t.rack, j.home, t.ref(), true)
		}
		for _, r := range t.remains {
			h.orphan(r.rack, j.home, r.ref, true)
		}
	}
	h.dropJob(j)
}

func (h *homes) dropJob(j *job) {
	h.queue.Remove(j.entry.ID)
	h.dropAsks(j)
	h.done.drop(j.entry.ID)
	delete(h.jobs, j.entry.ID)
}

// collect lets tasks start that no rack reported, once all have.
func (h *homes) collect(hm *home, now time.Time) {
	if hm.collected || len(h.racks) == 0 {
		return
	}
	for share := range h.racks {
		if !hm.seen[share] {
			return
		}
	}
	hm.collected = true
	found := 0
	for _, j := range h.jobs {
		if j.home != hm {
			continue
		}
		for _, t := range j.tasks {
			if t.attempt > 0 {
				found++
			}
		}
		j.startable = true
		h.restartBrokenGang(j, now)
		h.enqueue(j, now)
	}
	h.p.o.Events.Log(events.HomeCollected, "share", hm.share.String(), "epoch", hm.term.Epoch, "tasks", found)
}

// checkNever finds out whether a job can run at all. Service jobs wait for a
// worker that meets them; others are ended after a grace.
func (h *homes) checkNever(j *job, now time.Time) {
	reason := h.neverReason(j)
	if reason == j.never {
		return
	}
	j.never, j.neverSince = reason, now
	if reason != "" {
		h.p.o.Events.Log(events.JobNeverRuns, "job", j.entry.ID, "team", j.entry.Team, "constraint", reason)
	}
	h.enqueue(j, now)
}

// recheckNever looks again at the jobs that cannot run, and ends those that
// could not for long enough.
func (h *homes) recheckNever(now time.Time) {
	if now.Sub(h.neverChecked) < listEvery {
		return
	}
	h.neverChecked = now
	for _, j := range h.jobs {
		if j.never != "" || j.startable && !j.placedOnce {
			h.checkNever(j, now)
		}
		if j.never == "" || j.finishing || j.entry.Workload.Class == document.ClassService {
			continue
		}
		if now.Sub(j.neverSince) >= neverGrace {
			h.finish(j, 0, len(j.tasks), "can never run: "+j.never)
		}
	}
}

// overLimit is the constraint of a job whose single task passes its team's
// limit.
const overLimit = "one task is over the team's limit"

func (h *homes) neverReason(j *job) string {
	need := j.entry.Workload.Resources
	count := 1
	if j.entry.Workload.Class == document.ClassGang {
		count = len(j.tasks)
	}
	if !h.ledger.FitsLimit(j.entry.Team, times(need, count)) {
		return overLimit
	}
	if h.index.Len() == 0 || !h.allRead() {
		return ""
	}
	return h.pipe.Unschedulable(&j.demand, count)
}

// allRead reports whether every rack has been heard from, so that no worker
// is missing from the index.
func (h *homes) allRead() bool {
	for _, r := range h.racks {
		if !r.term.known() {
			return false
		}
	}
	return true
}

func times(r cluster.Resources, n int) cluster.Resources {
	k := int64(n)
	return cluster.Resources{CPU: r.CPU * k, Memory: r.Memory * k, Accelerators: r.Accelerators * k}
}
