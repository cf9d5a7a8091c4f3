package scheduler

import (
	"fmt"
	"slices"
	"time"

	"github.com/currantwinch/currantwinch/verdict"
	"github.com/currantwinch/currantwinch/workload"
)

// worldServer is a server of a shardWorld.
type worldServer struct {
	info  ServerInfo
	shard int
	// goneAt is when the server was lost for good, and cutUntil when its owner reaches
	// it again.
	goneAt   time.Time
	cutUntil time.Time
	token    uint64
	runs     map[runKey]time.Time
	ends     []RunEnd
	// endedAt is when each end came to be whose server's lease has not expired since.
	endedAt map[uint64]time.Time
	lastEnd uint64
	// forbidden is the highest run of each task that was stopped or has ended.
	forbidden  map[workload.TaskID]int
	leaseUntil int64
}

// stepServer ends the runs of a server that are over.
func (w *shardWorld) stepServer(v *worldServer) {
	if !v.goneAt.IsZero() {
		return
	}
	if w.wall > v.leaseUntil {
		clear(v.endedAt)
	}
	for _, key := range sortedRuns(v.runs) {
		switch {
		case w.wall > v.leaseUntil:
			w.endRun(v, key, workload.EndLeaseExpired)
		case w.now.Sub(v.runs[key]) >= w.runTime:
			w.endRun(v, key, workload.EndDone)
		}
	}
}

func sortedRuns(runs map[runKey]time.Time) []runKey {
	keys := make([]runKey, 0, len(runs))
	for key := range runs {
		keys = append(keys, key)
	}
	slices.SortFunc(keys, func(x, y runKey) int {
		return slices.Compare([]byte(x.task.String()), []byte(y.task.String()))
	})
	return keys
}

func (w *shardWorld) endRun(v *worldServer, key runKey, kind workload.EndKind) {
	delete(v.runs, key)
	v.forbidden[key.task] = max(v.forbidden[key.task], key.run)
	v.lastEnd++
	v.endedAt[v.lastEnd] = w.now
	v.ends = append(v.ends, RunEnd{Number: v.lastEnd, Task: key.task, Run: key.run, Kind: kind})
}

var errNoAnswer = verdict.New(verdict.MayHaveRun, ReasonNoAnswer, "no answer")

// reach returns the server that answers an order, or the error that its sender gets.
func (w *shardWorld) reach(to Instance, epoch uint64) (*worldServer, error) {
	for _, v := range w.servers {
		if v.info.ID != to.ID {
			continue
		}
		if !v.goneAt.IsZero() || w.now.Before(v.cutUntil) {
			return nil, errNoAnswer
		}
		if epoch < v.token {
			return nil, verdict.New(verdict.NotRun, ReasonFenced, "token %d, seen %d", epoch, v.token)
		}
		v.token = epoch
		return v, nil
	}
	return nil, errNoAnswer
}

func (w *shardWorld) start(c shardCall, a StartTask) {
	v, err := w.reach(a.To, a.Order.Epoch)
	if err == nil {
		err = w.begin(v, a.Order)
	}
	w.answer(c, func(core *Core) { core.StartCompleted(a.To, a.Order, w.wall, err) })
}

func (w *shardWorld) begin(v *worldServer, o Order) error {
	key := runKey{o.Task, o.Run}
	if _, there := v.runs[key]; there {
		return nil
	}
	if o.Run <= v.forbidden[o.Task] {
		return verdict.New(verdict.NotRun, ReasonStaleRun, "run %d, ended %d", o.Run, v.forbidden[o.Task])
	}
	if o.LeaseDeadlineMS < w.wall {
		return verdict.New(verdict.NotRun, ReasonDeadlinePassed, "late")
	}
	w.checkStart(v, o)
	v.leaseUntil = max(v.leaseUntil, o.LeaseDeadlineMS)
	v.runs[key] = w.now
	return nil
}

// checkStart records what a start violates.
func (w *shardWorld) checkStart(v *worldServer, o Order) {
	for _, other := range w.servers {
		if !other.goneAt.IsZero() {
			continue
		}
		for key := range other.runs {
			if key.task == o.Task {
				w.violate("%v runs as %d on %s and is started as %d on %s", o.Task, key.run, other.info.ID, o.Run, v.info.ID)
			}
		}
	}
	w.lastStart[o.Task] = w.now
	if w.noted[o.Task] {
		w.violate("%v has ended done and is started as %d on %s", o.Task, o.Run, v.info.ID)
	}
	if at, cancelled := w.cancelledAt[o.Task.Submission]; cancelled && w.now.Sub(at) > 3*time.Second {
		w.violate("%v is started on %s %s after its cancel was acknowledged", o.Task, v.info.ID, w.now.Sub(at))
	}
}

func (w *shardWorld) violate(format string, args ...any) {
	w.violations = append(w.violations, fmt.Sprintf("seed %d, step %d: ", w.seed, w.steps)+fmt.Sprintf(format, args...))
}

func (w *shardWorld) stop(c shardCall, a StopTask) {
	v, err := w.reach(a.To, a.Order.Epoch)
	if err == nil {
		key := runKey{a.Order.Task, a.Order.Run}
		if _, there := v.runs[key]; there {
			w.endRun(v, key, workload.EndStopped)
		}
		v.forbidden[key.task] = max(v.forbidden[key.task], key.run)
	}
	w.answer(c, func(core *Core) { core.StopCompleted(a.To, a.Order, err) })
}

func (w *shardWorld) poll(c shardCall, a PollServer) {
	v, err := w.reach(a.To, a.Request.Epoch)
	list := PollResponse{ClockMS: w.wall, StartedAtMS: 1000}
	if err == nil {
		v.leaseUntil = max(v.leaseUntil, a.Request.LeaseDeadlineMS)
		w.note(v, a.Request.AckedEnd)
		list.Ended = slices.Clone(v.ends)
		for _, key := range sortedRuns(v.runs) {
			list.Running = append(list.Running, ActiveRun{Task: key.task, Run: key.run})
		}
		if len(v.ends) == 0 && w.now.Before(c.due.Add(a.Request.Wait)) {
			w.calls = append(w.calls, c)
			return
		}
	}
	w.answer(c, func(core *Core) { core.PollCompleted(a.To, c.due, list, err) })
}

// note drops the ends that an owner acknowledges.
func (w *shardWorld) note(v *worldServer, acked uint64) {
	for len(v.ends) > 0 && v.ends[0].Number <= acked {
		e := v.ends[0]
		v.ends = v.ends[1:]
		at, counts := v.endedAt[e.Number]
		if !counts || e.Kind != workload.EndDone {
			continue
		}
		w.noted[e.Task] = true
		if w.lastStart[e.Task].After(at) {
			w.violate("%v was started after it had ended done on %s, which was acknowledged", e.Task, v.info.ID)
		}
	}
}
