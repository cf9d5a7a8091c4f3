package failure_test

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/currantwinch/currantwinch/internal/roles"
	"github.com/currantwinch/currantwinch/internal/standin/backendstandin"
	"github.com/currantwinch/currantwinch/verdict"
)

// violation is a property that did not hold, and how.
type violation struct {
	property string
	detail   string
}

// The properties that every run checks.
const (
	noOverCommit    = "no VM is allocated beyond its capacity"
	singlePlacement = "no task runs in two places"
	ownResponse     = "every caller gets the complete response to its own request"
	notRunCorrect   = "a request reported as not run did not run"
	atMostOnce      = "a request that is not repeatable runs at most once"
	leavingUnused   = "a leaving backend server gets no new work after 2 s"
	gracefulStop    = "a graceful stop interrupts no request"
	documentOrder   = "a document comes into force within its deadline and never reverts"
	durability      = "no accepted work is lost"
	recovery        = "work of every kind runs again after the fault ends"
)

const leavingGracePeriod = 2 * time.Second

// violations returns the properties that did not hold, from the records of the
// stand-ins and the callers.
func (sim *simulation) violations() []violation {
	var out []violation
	for _, b := range sim.cell.Workers.Violations() {
		out = append(out, violation{noOverCommit, b.Description})
	}
	runs, view := sim.runs(), sim.anyView()
	out = append(out, slotViolations(runs)...)
	for _, c := range sim.requests {
		out = append(out, checkRequest(c, runs[c.caller], view)...)
	}
	for _, c := range sim.duplicates {
		out = append(out, bodyViolations(c)...)
	}
	out = append(out, sim.linearizabilityViolations(runs)...)
	out = append(out, sim.leavingViolations()...)
	out = append(out, sim.stopViolations()...)
	out = append(out, sim.jobViolations()...)
	return out
}

func (sim *simulation) runs() map[string][]backendstandin.Run {
	byCaller := make(map[string][]backendstandin.Run)
	for _, server := range sim.cell.Backends {
		for _, r := range server.Runs() {
			byCaller[r.Caller] = append(byCaller[r.Caller], r)
		}
	}
	return byCaller
}

func slotViolations(runs map[string][]backendstandin.Run) []violation {
	var out []violation
	for _, list := range runs {
		for _, r := range list {
			if r.ExceedsSlots {
				out = append(out, violation{noOverCommit, fmt.Sprintf("backend server %s ran %d requests at once, more than its slots", r.Server, r.Running)})
			}
		}
	}
	return out
}

func checkRequest(c *clientRequest, runs []backendstandin.Run, view roles.View) []violation {
	if len(c.attempts) == 0 {
		return nil
	}
	var out []violation
	if c.kind == "check" && len(runs) > 1 {
		out = append(out, violation{atMostOnce, fmt.Sprintf("%s ran %d times, key %s", c.caller, len(runs), c.key)})
	}
	if c.notRun() && len(runs) > 0 {
		out = append(out, violation{notRunCorrect, fmt.Sprintf("%s ran and every response said not run (%s)", c.caller, c.lastAttempt().reason)})
	}
	out = append(out, bodyViolations(c)...)
	if c.ran() && c.kind == "check" && view != nil {
		if _, ok := view.Bill(c.key); !ok {
			out = append(out, violation{durability, fmt.Sprintf("%s ran and was not billed, key %s, attempts %+v, runs %+v", c.caller, c.key, c.attempts, runs)})
		}
	}
	if c.ran() && len(runs) == 0 {
		out = append(out, violation{ownResponse, c.caller + " got the verdict ran and did not run"})
	}
	return out
}

func bodyViolations(c *clientRequest) []violation {
	var out []violation
	for _, a := range c.attempts {
		if a.answered && a.verdict == verdict.Ran && a.body != "body of "+c.caller {
			out = append(out, violation{ownResponse, fmt.Sprintf("%s got the body %q", c.caller, a.body)})
		}
	}
	return out
}

func (sim *simulation) leavingViolations() []violation {
	var out []violation
	for name, left := range sim.leavingSince {
		for _, at := range sim.cell.Backends[name].ArrivalTimes() {
			if at.After(left.Add(leavingGracePeriod)) {
				out = append(out, violation{leavingUnused, fmt.Sprintf("backend server %s was offered work %v after it began to leave", name, at.Sub(left))})
				break
			}
		}
	}
	return out
}

// stopViolations returns the attempts that a daemon accepted before the end of
// its graceful stop and never answered. A refused connection is no violation,
// since the caller knows from it that the request did not run.
func (sim *simulation) stopViolations() []violation {
	var out []violation
	for _, c := range sim.requests {
		for _, a := range c.attempts {
			for _, s := range sim.stops {
				during := a.daemon == s.daemon && a.start.After(s.start.Add(-attemptTimeout)) && a.start.Before(s.end)
				if during && !a.answered && a.end.After(s.start) && !strings.Contains(a.reason, "refused") {
					out = append(out, violation{gracefulStop, fmt.Sprintf("request of %s to daemon %d was not answered: %s", c.caller, a.daemon, a.reason)})
				}
			}
		}
	}
	return out
}

// lateDocuments returns the publications that are not in force on every ready
// daemon within publishDeadline. It checks none during a fault and for the same
// time after it.
func (sim *simulation) lateDocuments(checked map[uint64]bool) []violation {
	sim.mu.Lock()
	pubs, active, endedAt := sim.publications, sim.faultActive, sim.faultEndedAt
	sim.mu.Unlock()
	if active || time.Since(endedAt) < publishDeadline {
		return nil
	}
	var out []violation
	for _, p := range pubs {
		if checked[p.offset] || time.Since(p.acceptedAt) < publishDeadline {
			continue
		}
		checked[p.offset] = true
		for i := range daemons {
			if d := sim.cell.Daemon(i); d != nil && d.Ready() && d.View().Offset() <= p.offset {
				out = append(out, violation{documentOrder, fmt.Sprintf("the publication at offset %d is not in force on daemon %d after %v", p.offset, i, time.Since(p.acceptedAt))})
			}
		}
	}
	return out
}

// jobViolations returns the accepted jobs that the state doesn't contain, that
// have not ended, or that failed.
func (sim *simulation) jobViolations() []violation {
	view := sim.anyView()
	if view == nil {
		return []violation{{durability, "no daemon is running"}}
	}
	var out []violation
	for _, id := range sim.jobs {
		job, ok := view.Job(id)
		switch {
		case !ok:
			out = append(out, violation{durability, "job " + id + " is not in the state"})
		case job.Phase == roles.JobAccepted:
			out = append(out, violation{recovery, "job " + id + " has not ended: " + sim.explainJob(id)})
		case job.Done != nil && job.Done.Failed > 0:
			out = append(out, violation{durability, fmt.Sprintf("job %s failed: %s", id, job.Done.Reason)})
		}
	}
	return out
}

// explainJob returns the daemons' explanation of why a job's tasks wait.
func (sim *simulation) explainJob(id string) string {
	answer, err := sim.operator(0).Explain(context.Background(), id)
	if err != nil {
		return err.Error()
	}
	return fmt.Sprintf("%+v", answer)
}

func (sim *simulation) anyView() roles.View {
	for i := range daemons {
		if d := sim.cell.Daemon(i); d != nil {
			return d.View()
		}
	}
	return nil
}

// watchDocuments checks every requestInterval until stop is closed that no
// daemon's document reverts to an older revision, and that publications come
// into force within their deadline.
func (sim *simulation) watchDocuments(stop <-chan struct{}) []violation {
	var out []violation
	latest := make(map[string]uint64)
	checked := make(map[uint64]bool)
	for {
		select {
		case <-stop:
			return out
		case <-time.After(requestInterval):
		}
		out = append(out, sim.lateDocuments(checked)...)
		for i := range daemons {
			d := sim.cell.Daemon(i)
			if d == nil || !d.Ready() {
				continue
			}
			entry, ok := d.View().Document("desk")
			if !ok {
				continue
			}
			key := d.Incarnation()
			if entry.Revision < latest[key] {
				out = append(out, violation{documentOrder, fmt.Sprintf("daemon %d went from revision %d to %d", i, latest[key], entry.Revision)})
			}
			latest[key] = entry.Revision
		}
	}
}
