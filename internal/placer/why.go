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

// Explanation says of each task of a job where it runs and why there, or why it
// waits.
type Explanation struct {
	JobID string `json:"jobId"`
	// Known is false where this daemon is not the job's home.
	Known bool `json:"known"`
	// Home is the daemon to ask instead, if known.
	Home string `json:"home,omitempty"`
	// Unschedulable is the constraint that keeps the job from ever running.
	Unschedulable string            `json:"never,omitempty"`
	Tasks         []TaskExplanation `json:"tasks,omitempty"`
	// Filtering says how many workers were dropped by which filter, for a job that
	// waits.
	Filtering *pipeline.Explanation `json:"room,omitempty"`
	// Resources is what one task asks for.
	Resources cluster.Resources `json:"needs"`
}

// TaskExplanation is one task's part of the answer.
type TaskExplanation struct {
	Index   int    `json:"index"`
	State   string `json:"state"`
	Attempt int    `json:"attempt,omitempty"`
	Worker  string `json:"worker,omitempty"`
	// Reason is why it runs there or why it waits.
	Reason   string        `json:"reason"`
	WaitTime time.Duration `json:"waitsNanoseconds,omitempty"`
	Failures int           `json:"failures,omitempty"`
}

// maxWhyTasks bounds the tasks of an answer.
const maxWhyTasks = 500

// Why explains a job whose home is this daemon.
func (p *Placer) Why(jobID string) Explanation {
	ctx, cancel := context.WithTimeout(context.Background(), statusTimeout)
	defer cancel()
	w, err := query(ctx, p.homes.loop, func() Explanation { return p.homes.why(jobID) })
	if err != nil {
		return Explanation{JobID: jobID}
	}
	return w
}

func (h *homes) why(id string) Explanation {
	w := Explanation{JobID: id}
	share := cluster.KeyShare(id)
	if _, ours := h.homes[share]; !ours {
		if d, ok := h.p.o.Owners.Owner(share); ok {
			w.Home = d.Name
		}
		return w
	}
	j, ok := h.jobs[id]
	if !ok {
		return w
	}
	w.Known, w.Unschedulable, w.Resources = true, j.never, j.entry.Workload.Resources
	now := h.p.o.Now()
	waits := false
	for _, t := range j.tasks[:min(len(j.tasks), maxWhyTasks)] {
		wt := TaskExplanation{Index: t.index, State: string(t.state), Attempt: t.attempt, Failures: len(t.failedOn)}
		if t.state == taskWaiting {
			waits = true
			wt.WaitTime = now.Sub(t.waitsSince)
			wt.Reason = h.waitReason(j, t, now)
		} else {
			wt.Worker = t.worker
			wt.Reason = h.placeReason(j, t)
		}
		w.Tasks = append(w.Tasks, wt)
	}
	if waits {
		e := h.pipe.Explain(&j.demand)
		w.Filtering = &e
	}
	return w
}

// waitReason says why a task waits.
func (h *homes) waitReason(j *job, t *task, now time.Time) string {
	if j.never != "" {
		return "can never run: " + j.never
	}
	if !j.startable {
		return fmt.Sprintf("an earlier attempt may still run: racks not yet read: %v", h.homeStatus(j.home).PendingRacks)
	}
	if now.Before(t.notBefore) {
		return fmt.Sprintf("held back for %v after %s", t.notBefore.Sub(now).Round(time.Millisecond), h.heldFor(t))
	}
	reason, since, ok := h.queue.Reason(j.entry.ID)
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
	r := h.ledger.Rank(j.entry.Team)
	return fmt.Sprintf("in the queue; the team's share is %.2f%% of the cell", float64(r.Share)/1e7)
}

func (h *homes) heldFor(t *task) string {
	if t.job.health.Poison() {
		return "failures on several workers: the job fails wherever it is started"
	}
	if n := len(t.failedOn); n > 0 {
		return fmt.Sprintf("%d failures", n)
	}
	if t.reason != "" {
		return t.reason
	}
	return "another attempt"
}

// placeReason says why a task runs where it does.
func (h *homes) placeReason(j *job, t *task) string {
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
