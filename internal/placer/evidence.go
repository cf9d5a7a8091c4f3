package placer

import (
	"slices"
	"time"

	"github.com/currantwinch/currantwinch/internal/events"
)

const (
	closedAside = "put_aside"
	closedTrial = "on_trial"
	// longRun is how long a task runs before it proves its worker and its job
	// able.
	longRun = 10 * time.Second
)

// noteEnd takes an attempt's end as evidence for or against its worker.
func (r *rack) noteEnd(w *worker, a *attempt, now time.Time) {
	switch {
	case a.stopAsked || a.reason == exitLease || a.reason == exitReboot:
		return
	case a.report.ExitCode == 0:
		w.health.RecordSuccess()
	default:
		w.health.RecordFailure(a.ref.JobID, a.item.Doubt, a.item.Proven, now)
	}
	r.judge(w, now)
}

// noteRun takes an attempt that has run for long as evidence for its worker.
func (r *rack) noteRun(w *worker, a *attempt, now time.Time) {
	if a.ranLong || a.report.RunTime < longRun {
		return
	}
	a.ranLong = true
	w.health.RecordSuccess()
	r.judge(w, now)
}

// judge brings a worker's account in line with the evidence.
func (r *rack) judge(w *worker, now time.Time) {
	before, _ := r.book.Worker(w.vm.Name)
	r.setClosed(w, now)
	after, _ := r.book.Worker(w.vm.Name)
	if before.Closed != closedAside && after.Closed == closedAside {
		r.rs.p.o.Events.Log(events.WorkerAside, "worker", w.vm.Name, "share", r.share.String())
	}
	if s := w.health.Suspicion(now); s != w.suspicion {
		w.suspicion = s
		r.book.MarkChanged(w.vm.Name)
	}
}

// pardon forgets what jobs that fail everywhere said against workers.
func (rs *racks) pardon(jobs []string, now time.Time) {
	for _, r := range rs.shares {
		for _, w := range r.workers {
			if w.suspicion == 0 {
				continue
			}
			for _, id := range jobs {
				w.health.ForgetJob(id)
			}
			r.judge(w, now)
		}
	}
}

// failed handles an attempt that ended with an error. One on a worker that
// was put aside is not held against its task.
func (h *homes) failed(t *task, s taskStatus, now time.Time) {
	h.p.o.Events.Log(events.TaskFailed, "job", t.job.entry.ID, "index", t.index, "attempt", t.attempt, "worker", t.worker, "code", s.ExitCode, "reason", s.Reason)
	j := t.job
	if h.closed(t.worker) == closedAside {
		h.again(t, 0, now)
		return
	}
	poison := j.health.Poison()
	j.health.RecordFailure(t.worker)
	t.failedOn = append(t.failedOn, t.worker)
	if !poison && j.health.Poison() {
		h.p.o.Events.Log(events.JobHeldBack, "job", j.entry.ID, "team", j.entry.Team)
	}
	if !j.isService() && len(t.failedOn) >= j.maxAttempts() {
		t.fire(onGiveUp)
		h.taskDone(j, now)
		return
	}
	delay := backoff(len(t.failedOn))
	if j.health.Poison() {
		delay = longBackoff
	}
	h.again(t, delay, now)
}

func (h *homes) closed(worker string) string {
	for _, r := range h.racks {
		if w, ok := r.workers[worker]; ok {
			return w.view.Closed
		}
	}
	return ""
}

// pardonWorker takes back what jobs were charged with on a worker that turned
// out to fail everything.
func (h *homes) pardonWorker(name string, now time.Time) {
	for _, j := range h.jobs {
		if j.health.HasNoFailures() {
			continue
		}
		j.health.ForgetWorker(name)
		for _, t := range j.tasks {
			n := len(t.failedOn)
			t.failedOn = slices.DeleteFunc(t.failedOn, func(w string) bool { return w == name })
			if len(t.failedOn) < n && t.state == taskWaiting {
				t.notBefore = now.Add(pauseAfter(t.tries))
			}
		}
		h.enqueue(j, now)
	}
}

// noteRuns takes tasks that have run for long as evidence for their jobs.
func (h *homes) noteRuns(now time.Time) {
	for _, j := range h.jobs {
		if j.health.HasRun() {
			continue
		}
		for _, t := range j.tasks {
			if t.state == taskRunning && now.Sub(t.runsSince) >= longRun {
				j.health.RecordSuccess()
				h.enqueue(j, now)
				break
			}
		}
	}
}

// poison lists the jobs that fail wherever they are started.
func (h *homes) poison() []string {
	var out []string
	for id, j := range h.jobs {
		if j.health.Poison() {
			out = append(out, id)
		}
	}
	slices.Sort(out)
	return out
}

// avoided lists the workers that a task must not go to.
func (t *task) avoided() []string {
	if t.job.health.HasNoFailures() {
		return nil
	}
	return append(t.job.health.AvoidedWorkers(), t.failedOn...)
}
