package placer

import (
	"context"
	"fmt"
	"time"

	"github.com/currantwinch/currantwinch/cluster"
	"github.com/currantwinch/currantwinch/document"
	"github.com/currantwinch/currantwinch/placement/pipeline"
	"github.com/currantwinch/currantwinch/placement/queue"
)

// Explanation tells, for each task of a job, where it runs and why it was
// placed there, or why it waits.
type Explanation struct {
	JobID string `json:"jobId"`
	// Known is false if this daemon is not the job's home or does not know the
	// job.
	Known bool `json:"known"`
	// Home is the daemon that owns the job's key share, if this daemon does not
	// and the owner is known.
	Home string `json:"home,omitempty"`
	// Unschedulable is the constraint that no set of workers can meet, if any.
	Unschedulable string            `json:"never,omitempty"`
	Tasks         []TaskExplanation `json:"tasks,omitempty"`
	// Filtering counts the workers that each filter rejected. It is set while a
	// task waits.
	Filtering *pipeline.Explanation `json:"room,omitempty"`
	// Resources is the request of one task.
	Resources cluster.Resources `json:"needs"`
}

// TaskExplanation is the explanation of one task.
type TaskExplanation struct {
	Index   int    `json:"index"`
	State   string `json:"state"`
	Attempt int    `json:"attempt,omitempty"`
	Worker  string `json:"worker,omitempty"`
	// Reason tells why the task runs on Worker, or why it waits.
	Reason   string        `json:"reason"`
	WaitTime time.Duration `json:"waitsNanoseconds,omitempty"`
	Failures int           `json:"failures,omitempty"`
}

// maxExplainedTasks bounds the tasks listed in an Explanation.
const maxExplainedTasks = 500

// Why explains a job whose home is this daemon. The operator API calls it. If
// placement does not answer within statusTimeout, the result has only JobID
// set.
func (p *Placer) Why(jobID string) Explanation {
	ctx, cancel := context.WithTimeout(context.Background(), statusTimeout)
	defer cancel()
	w, err := query(ctx, p.scheduler.executor, func() Explanation { return p.scheduler.explain(jobID) })
	if err != nil {
		return Explanation{JobID: jobID}
	}
	return w
}

func (sc *scheduler) explain(id string) Explanation {
	w := Explanation{JobID: id}
	share := cluster.KeyShare(id)
	if _, ours := sc.homes[share]; !ours {
		if d, ok := sc.p.o.Owners.Owner(share); ok {
			w.Home = d.Name
		}
		return w
	}
	j, ok := sc.jobs[id]
	if !ok {
		return w
	}
	w.Known, w.Unschedulable, w.Resources = true, j.unschedulable, j.entry.Workload.Resources
	now := sc.p.o.Now()
	waits := false
	for _, t := range j.tasks[:min(len(j.tasks), maxExplainedTasks)] {
		wt := TaskExplanation{Index: t.index, State: string(t.state), Attempt: t.attempt, Failures: len(t.failedWorkers)}
		if t.state == taskWaiting {
			waits = true
			wt.WaitTime = now.Sub(t.waitingSince)
			wt.Reason = sc.waitReason(j, t, now)
		} else {
			wt.Worker = t.worker
			wt.Reason = sc.placementReason(j, t)
		}
		w.Tasks = append(w.Tasks, wt)
	}
	if waits {
		e := sc.pipe.Explain(&j.demand)
		w.Filtering = &e
	}
	return w
}

// waitReason returns why a task waits, in words for operators.
func (sc *scheduler) waitReason(j *job, t *task, now time.Time) string {
	if j.unschedulable != "" {
		return "can never run: " + j.unschedulable
	}
	if !j.startable {
		return fmt.Sprintf("an earlier attempt may still run: racks not yet read: %v", sc.homeStatus(j.home).PendingRacks)
	}
	if now.Before(t.notBefore) {
		return fmt.Sprintf("held back for %v after %s", t.notBefore.Sub(now).Round(time.Millisecond), sc.delayReason(t))
	}
	reason, since, ok := sc.queue.Reason(j.entry.ID)
	switch {
	case !ok && j.entry.Workload.Class == document.ClassGang:
		return "the gang's other tasks have not ended yet"
	case !ok:
		return "about to be placed"
	case reason == queue.InsufficientCapacity:
		return fmt.Sprintf("no worker has room, since %v", now.Sub(since).Round(time.Millisecond))
	case reason == queue.OverLimit:
		return "the team is at its limit"
	case reason == queue.Deferred:
		return "held back"
	}
	r := sc.ledger.Rank(j.entry.Team)
	return fmt.Sprintf("in the queue; the team's share is %.2f%% of the cell", float64(r.Share)/1e7)
}

func (sc *scheduler) delayReason(t *task) string {
	if t.job.health.Poison() {
		return "failures on several workers: the job fails wherever it is started"
	}
	if n := len(t.failedWorkers); n > 0 {
		return fmt.Sprintf("%d failures", n)
	}
	if t.reason != "" {
		return t.reason
	}
	return "another attempt"
}

// placementReason returns why a task runs on its worker, in words for
// operators.
func (sc *scheduler) placementReason(j *job, t *task) string {
	if t.reason == "adopted" {
		return "found running when this daemon became the job's home"
	}
	switch j.entry.Workload.Class {
	case document.ClassService:
		return fmt.Sprintf("spread over failure domains and racks; score %d", t.score)
	case document.ClassGang:
		return fmt.Sprintf("placed with its whole gang; score %d", t.score)
	case document.ClassBatch:
		if t.score == 0 {
			return "packed with the tasks that waited beside it"
		}
	}
	return fmt.Sprintf("packed into the tightest room; score %d", t.score)
}
