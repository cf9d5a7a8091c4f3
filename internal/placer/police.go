package placer

import (
	"time"

	"github.com/currantwinch/currantwinch/internal/events"
	"github.com/currantwinch/currantwinch/placement/usage"
)

// police looks for tasks of one worker that use more than they asked for.
func (r *rack) police(w *worker, now time.Time) {
	tasks := make([]usage.Task, 0, len(w.attempts))
	over := false
	for _, a := range sortedAttempts(w.attempts) {
		if a.state != attemptRunning || a.stopAsked || !a.stopAt.IsZero() {
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
		r.apply(r.attempts[action.ID], action.Kind, now)
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
		a.overSince = time.Time{}
	case a.overSince.IsZero():
		a.overSince = now
	}
	t.ExceededSince = a.overSince
	return t
}

func (r *rack) apply(a *attempt, step usage.ActionKind, now time.Time) {
	switch step {
	case usage.Throttle:
		a.throttle = ActionThrottle
		r.hurry(a, now)
	case usage.Unthrottle:
		a.throttle = ActionUnthrottle
		r.hurry(a, now)
	case usage.Stop:
		r.rs.p.o.Events.Log(events.TaskOversize, "job", a.ref.JobID, "index", a.ref.Index, "attempt", a.ref.Attempt, "worker", a.worker)
		a.oversize = true
		r.stop(a, true, now)
	}
}

// throttleCommand repeats a throttle until the worker's report shows it.
func (a *attempt) throttleCommand() (CommandRequest, bool) {
	if a.throttle == "" {
		return CommandRequest{}, false
	}
	if a.report.Throttled == (a.throttle == ActionThrottle) {
		a.throttle = ""
		return CommandRequest{}, false
	}
	return CommandRequest{Task: a.ref, Action: a.throttle}, true
}
