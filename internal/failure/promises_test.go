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

// breach is one promise that did not hold.
type breach struct {
	promise string
	what    string
}

// The eight promises, by the names that breaches carry.
const (
	noOverCommit   = "no VM holds more than it can"
	oneplace       = "no task runs in two places"
	wholeAnswers   = "every caller gets the whole answer to its own request"
	notRunIsTrue   = "what was said not to have run did not run"
	atMostOnce     = "what may not be repeated runs at most once"
	leavingIsLeft  = "a leaving backend server gets nothing new after 2 s"
	stopCutsNobody = "a planned stop cuts off no request"
	neverOlder     = "a document is in force in time and never reverts"
	nothingLost    = "nothing accepted is lost"
	flowsAgain     = "work flows again once the fault is over"
)

const leaveLimit = 2 * time.Second

// breaches asks the stand-ins and the callers what they saw.
func (w *world) breaches() []breach {
	var out []breach
	for _, b := range w.cell.Workers.Violations() {
		out = append(out, breach{noOverCommit, b.Description})
	}
	runs, view := w.runs(), w.anyView()
	out = append(out, overSlots(runs)...)
	for _, c := range w.calls {
		out = append(out, checkCall(c, runs[c.caller], view)...)
	}
	for _, c := range w.twins {
		out = append(out, wrongBodies(c)...)
	}
	out = append(out, w.notOneOrder(runs)...)
	out = append(out, w.leavingBreaches()...)
	out = append(out, w.stopBreaches()...)
	out = append(out, w.lostJobs()...)
	return out
}

func (w *world) runs() map[string][]backendstandin.Run {
	byCaller := make(map[string][]backendstandin.Run)
	for _, server := range w.cell.Backends {
		for _, r := range server.Runs() {
			byCaller[r.Caller] = append(byCaller[r.Caller], r)
		}
	}
	return byCaller
}

func overSlots(runs map[string][]backendstandin.Run) []breach {
	var out []breach
	for _, list := range runs {
		for _, r := range list {
			if r.ExceedsSlots {
				out = append(out, breach{noOverCommit, fmt.Sprintf("%s ran %d at once", r.Server, r.Running)})
			}
		}
	}
	return out
}

func checkCall(c *call, runs []backendstandin.Run, view roles.View) []breach {
	if len(c.attempts) == 0 {
		return nil
	}
	var out []breach
	if c.kind == "check" && len(runs) > 1 {
		out = append(out, breach{atMostOnce, fmt.Sprintf("%s ran %d times, key %s", c.caller, len(runs), c.key)})
	}
	if c.notRun() && len(runs) > 0 {
		out = append(out, breach{notRunIsTrue, fmt.Sprintf("%s ran, its answers were not run (%s)", c.caller, c.last().reason)})
	}
	out = append(out, wrongBodies(c)...)
	if c.ran() && c.kind == "check" && view != nil {
		if _, ok := view.Bill(c.key); !ok {
			out = append(out, breach{nothingLost, fmt.Sprintf("%s ran and was not billed, key %s, attempts %+v, runs %+v", c.caller, c.key, c.attempts, runs)})
		}
	}
	if c.ran() && len(runs) == 0 {
		out = append(out, breach{wholeAnswers, c.caller + " was told that it ran, and it did not"})
	}
	return out
}

func wrongBodies(c *call) []breach {
	var out []breach
	for _, a := range c.attempts {
		if a.answered && a.verdict == verdict.Ran && a.body != "body of "+c.caller {
			out = append(out, breach{wholeAnswers, fmt.Sprintf("%s got %q", c.caller, a.body)})
		}
	}
	return out
}

func (w *world) leavingBreaches() []breach {
	var out []breach
	for name, left := range w.leaves {
		for _, at := range w.cell.Backends[name].ArrivalTimes() {
			if at.After(left.Add(leaveLimit)) {
				out = append(out, breach{leavingIsLeft, fmt.Sprintf("%s was offered work %v after it began to leave", name, at.Sub(left))})
				break
			}
		}
	}
	return out
}

// stopBreaches looks for attempts that a daemon took before the end of its
// planned stop and never answered. One that found the door closed was told so.
func (w *world) stopBreaches() []breach {
	var out []breach
	for _, c := range w.calls {
		for _, a := range c.attempts {
			for _, s := range w.stops {
				during := a.daemon == s.daemon && a.at.After(s.begin.Add(-attemptLimit)) && a.at.Before(s.end)
				if during && !a.answered && a.ended.After(s.begin) && !strings.Contains(a.reason, "refused") {
					out = append(out, breach{stopCutsNobody, fmt.Sprintf("%s on daemon %d: %s", c.caller, a.daemon, a.reason)})
				}
			}
		}
	}
	return out
}

// lateDocuments looks for publications that are not in force everywhere in
// time, leaving out the time of a fault and right after it.
func (w *world) lateDocuments(checked map[uint64]bool) []breach {
	w.mu.Lock()
	pubs, broken, mended := w.pubs, w.broken, w.mendedAt
	w.mu.Unlock()
	if broken || time.Since(mended) < publishTo {
		return nil
	}
	var out []breach
	for _, p := range pubs {
		if checked[p.offset] || time.Since(p.at) < publishTo {
			continue
		}
		checked[p.offset] = true
		for i := range daemons {
			if d := w.cell.Daemon(i); d != nil && d.Ready() && d.View().Offset() <= p.offset {
				out = append(out, breach{neverOlder, fmt.Sprintf("offset %d is not in force on daemon %d after %v", p.offset, i, time.Since(p.at))})
			}
		}
	}
	return out
}

// lostJobs looks for accepted jobs that no daemon knows, or that never ended.
func (w *world) lostJobs() []breach {
	view := w.anyView()
	if view == nil {
		return []breach{{nothingLost, "no daemon is left"}}
	}
	var out []breach
	for _, id := range w.jobs {
		job, ok := view.Job(id)
		switch {
		case !ok:
			out = append(out, breach{nothingLost, "job " + id + " is not known"})
		case job.Phase == roles.JobAccepted:
			out = append(out, breach{flowsAgain, "job " + id + " has not ended: " + w.why(id)})
		case job.Done != nil && job.Done.Failed > 0:
			out = append(out, breach{nothingLost, fmt.Sprintf("job %s failed: %s", id, job.Done.Reason)})
		}
	}
	return out
}

// why asks the daemons why a job's tasks wait.
func (w *world) why(id string) string {
	answer, err := w.operator(0).Explain(context.Background(), id)
	if err != nil {
		return err.Error()
	}
	return fmt.Sprintf("%+v", answer)
}

func (w *world) anyView() roles.View {
	for i := range daemons {
		if d := w.cell.Daemon(i); d != nil {
			return d.View()
		}
	}
	return nil
}

// watchDocuments checks at short intervals that no daemon's state goes back,
// until stop is closed.
func (w *world) watchDocuments(stop <-chan struct{}) []breach {
	var out []breach
	newest := make(map[string]uint64)
	checked := make(map[uint64]bool)
	for {
		select {
		case <-stop:
			return out
		case <-time.After(callGap):
		}
		out = append(out, w.lateDocuments(checked)...)
		for i := range daemons {
			d := w.cell.Daemon(i)
			if d == nil || !d.Ready() {
				continue
			}
			entry, ok := d.View().Document("desk")
			if !ok {
				continue
			}
			key := d.Incarnation()
			if entry.Revision < newest[key] {
				out = append(out, breach{neverOlder, fmt.Sprintf("daemon %d went from revision %d to %d", i, newest[key], entry.Revision)})
			}
			newest[key] = entry.Revision
		}
	}
}
