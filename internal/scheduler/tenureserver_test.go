package scheduler

import (
	"fmt"
	"slices"

	"github.com/currantwinch/currantwinch/verdict"
	"github.com/currantwinch/currantwinch/workload"
)

// deliver carries out what is due. What a paused owner had ready leaves once it wakes.
func (w *tenureWorld) deliver() {
	calls := w.calls
	w.calls = nil
	for _, c := range calls {
		switch {
		case w.now.Before(c.due) || w.daemons[c.from.daemon].paused:
			w.calls = append(w.calls, c)
		case !c.from.running:
		case c.answer != nil:
			w.do(c.from, c.answer)
		default:
			w.handle(c)
		}
	}
}

func (w *tenureWorld) expire(v *tenureServer) {
	if w.clock(v) <= v.leaseUntil {
		return
	}
	for key := range v.runs {
		w.endRun(v, key, workload.EndLeaseExpired)
	}
}

func (w *tenureWorld) endRun(v *tenureServer, key runKey, kind workload.EndKind) {
	delete(v.runs, key)
	v.forbidden[key.task] = max(v.forbidden[key.task], key.run)
	v.lastEnd++
	v.ends = append(v.ends, RunEnd{Number: v.lastEnd, Task: key.task, Run: key.run, Kind: kind})
}

var errFenced = verdict.New(verdict.NotRun, ReasonFenced, "fenced")

// answerLost reports whether a server's answer is lost after it has done what it was told.
func (w *tenureWorld) answerLost() bool { return w.lossy && w.rng.IntN(6) == 0 }

// handle lets a server carry out an order, and answers it.
func (w *tenureWorld) handle(c tenureCall) {
	v, o, sent := c.server, c.from, w.now
	index := slices.Index(w.servers, v)
	err := error(nil)
	switch {
	case w.daemons[o.daemon].cutServer[index] || !v.downUntil.IsZero():
		err = errNoAnswer
		c.due = w.now
		v.late = append(v.late, c)
	case o.epoch < v.token:
		err = errFenced
	default:
		v.token = o.epoch
	}
	told := func() {
		if err == nil {
			v.told[o.epoch] = true
		}
	}
	switch a := c.action.(type) {
	case StartTask:
		key := runKey{a.Order.Task, a.Order.Run}
		if _, there := v.runs[key]; err == nil && !there {
			err = w.begin(v, o, a.Order)
		}
		clock := w.clock(v)
		if err == nil && w.answerLost() {
			err = errNoAnswer
		}
		w.reply(o, func(c *Core) { told(); c.StartCompleted(a.To, a.Order, clock, err) })
	case StopTask:
		if key := (runKey{a.Order.Task, a.Order.Run}); err == nil {
			if _, there := v.runs[key]; there {
				w.endRun(v, key, workload.EndStopped)
			}
			v.forbidden[key.task] = max(v.forbidden[key.task], key.run)
		}
		w.reply(o, func(c *Core) { c.StopCompleted(a.To, a.Order, err) })
	case PollServer:
		list := PollResponse{ClockMS: w.clock(v), StartedAtMS: v.startedMS}
		if err == nil {
			w.renew(v, a.Request.LeaseDeadlineMS, o.epoch)
			v.ends = slices.DeleteFunc(v.ends, func(e RunEnd) bool { return e.Number <= a.Request.AckedEnd })
			list.Ended = slices.Clone(v.ends)
			for key := range v.runs {
				list.Running = append(list.Running, ActiveRun{Task: key.task, Run: key.run})
			}
			if w.answerLost() {
				err = errNoAnswer
			}
		}
		w.calls = append(w.calls, tenureCall{due: w.now.Add(tenureStep + w.delay()), from: o, answer: func(c *Core) {
			told()
			c.PollCompleted(a.To, sent, list, err)
		}})
	}
}

// startedTwice records that a task starts while a run of it lasts on another server.
func (w *tenureWorld) startedTwice(o *tenureOwner, order Order, v, other *tenureServer, run int) {
	what := fmt.Sprintf("owner %d starts %v as run %d on %s while run %d lasts on %s, where owner %d has renewed it last",
		o.epoch, order.Task, order.Run, v.info.ID, run, other.info.ID, other.renewedBy)
	if other.renewedBy <= o.epoch {
		w.violate("%s", what)
	} else if w.besideLater == "" {
		w.besideLater = what
		w.note("%s", what)
	}
}

// renew grants a lease, which is shortened to the longest one.
func (w *tenureWorld) renew(v *tenureServer, deadline int64, epoch uint64) {
	deadline = min(deadline, w.clock(v)+w.bounds.MaxLease.Milliseconds())
	if deadline > v.leaseUntil {
		v.leaseUntil, v.renewedBy = deadline, epoch
	}
}

func (w *tenureWorld) begin(v *tenureServer, o *tenureOwner, order Order) error {
	switch {
	case order.Run <= v.forbidden[order.Task]:
		return verdict.New(verdict.NotRun, ReasonStaleRun, "stale")
	case order.LeaseDeadlineMS < w.clock(v):
		return verdict.New(verdict.NotRun, ReasonDeadlinePassed, "late")
	}
	for _, other := range w.servers {
		for key := range other.runs {
			if key.task == order.Task && w.clock(other) <= other.leaseUntil {
				w.startedTwice(o, order, v, other, key.run)
			}
		}
	}
	w.renew(v, order.LeaseDeadlineMS, o.epoch)
	v.runs[runKey{order.Task, order.Run}] = o.epoch
	w.note("run %d of %v begins on %s for owner %d", order.Run, order.Task, v.info.ID, o.epoch)
	if w.begun != nil {
		w.begun(o, v, order)
	}
	return nil
}
