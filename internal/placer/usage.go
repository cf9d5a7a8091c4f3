package placer

import (
	"time"

	"github.com/currantwinch/currantwinch/internal/events"
	"github.com/currantwinch/currantwinch/placement/usage"
)

// enforceUsage throttles or stops tasks of one worker that use more than they
// requested.
func (r *rack) enforceUsage(w *worker, now time.Time) {
	tasks := make([]usage.Task, 0, len(w.attempts))
	over := false
	for _, a := range sortedAttempts(w.attempts) {
		if a.state != attemptRunning || a.stopRequested || !a.checkpointDeadline.IsZero() {
			continue
		}
		t := a.usage(now)
		over = over || t.ExceedsDeclared() || t.Throttled
		tasks = append(tasks, t)
	}
	if !over {
		return
	}
	for _, action := range usage.Decide(w.vm.Capacity, tasks, now) {
		r.applyUsageAction(r.attempts[action.ID], action.Kind, now)
	}
}

func (a *attempt) usage(now time.Time) usage.Task {
	l := a.request.Labels
	t := usage.Task{
		ID: a.id, Class: classOf(l), Priority: priorityOf(l), Declared: a.request.Resources,
		Used: a.report.Usage, ReportAge: a.report.UsageAge, RunTime: a.report.RunTime, Throttled: a.report.Throttled,
	}
	switch {
	case !t.ExceedsDeclared():
		a.overUsageSince = time.Time{}
	case a.overUsageSince.IsZero():
		a.overUsageSince = now
	}
	t.ExceededSince = a.overUsageSince
	return t
}

func (r *rack) applyUsageAction(a *attempt, kind usage.ActionKind, now time.Time) {
	switch kind {
	case usage.Throttle:
		a.pendingThrottle = ActionThrottle
		r.pollSoon(a, now)
	case usage.Unthrottle:
		a.pendingThrottle = ActionUnthrottle
		r.pollSoon(a, now)
	case usage.Stop:
		r.alloc.p.o.Events.Log(events.TaskExceedsRequest, "job", a.ref.JobID, "index", a.ref.Index, "attempt", a.ref.Attempt, "worker", a.worker)
		a.oversize = true
		r.stop(a, true, now)
	}
}

// throttleCommand returns the pending throttle action, which is repeated until
// the worker's report confirms it.
func (a *attempt) throttleCommand() (CommandRequest, bool) {
	if a.pendingThrottle == "" {
		return CommandRequest{}, false
	}
	if a.report.Throttled == (a.pendingThrottle == ActionThrottle) {
		a.pendingThrottle = ""
		return CommandRequest{}, false
	}
	return CommandRequest{Task: a.ref, Action: a.pendingThrottle}, true
}
