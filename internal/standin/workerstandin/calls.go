package workerstandin

import (
	"context"
	"sort"
	"time"

	"github.com/currantwinch/currantwinch/cluster"
	"github.com/currantwinch/currantwinch/internal/placer"
	"github.com/currantwinch/currantwinch/verdict"
)

// Reasons of the errors that calls return.
const (
	ReasonUnreachable  verdict.Reason = "worker_unreachable"
	ReasonResponseLost verdict.Reason = "answer_lost"
	ReasonNoResponse   verdict.Reason = "no_answer"
	ReasonBootMismatch verdict.Reason = "other_boot"
	ReasonExpired      verdict.Reason = "request_expired"
	ReasonNoTask       verdict.Reason = "no_such_task"
)

// methodStart is the method name of Start.
const methodStart = "start"

var _ placer.Workers = (*Workers)(nil)

// call brings the VM's state up to date and runs f on it, unless the VM's fault
// prevents the call or loses its response.
func (w *Workers) call(ctx context.Context, name, method string, f func(v *workerVM, now time.Time) error) error {
	w.mu.Lock()
	v, ok := w.vms[name]
	if !ok || v.fault.Unreachable {
		w.mu.Unlock()
		return verdict.New(verdict.NotRun, ReasonUnreachable, "worker %s is unreachable", name)
	}
	if v.fault.Hung {
		w.mu.Unlock()
		<-ctx.Done()
		return verdict.Wrap(ctx.Err(), verdict.MayHaveRun, ReasonNoResponse)
	}
	defer w.mu.Unlock()
	now := w.options.Now()
	w.calls[method]++
	w.advance(v, now)
	if err := f(v, now); err != nil {
		return err
	}
	if v.fault.UnreachableAfterStart && method == methodStart {
		v.fault = Fault{Unreachable: true}
		return verdict.New(verdict.MayHaveRun, ReasonResponseLost, "worker %s was lost", name)
	}
	if v.fault.LoseResponses > 0 {
		v.fault.LoseResponses--
		return verdict.New(verdict.MayHaveRun, ReasonResponseLost, "answer of worker %s was lost", name)
	}
	return nil
}

// Inventory returns all tasks of a VM, including exited ones not yet
// acknowledged.
func (w *Workers) Inventory(ctx context.Context, vm cluster.VM) (placer.Inventory, error) {
	var out placer.Inventory
	err := w.call(ctx, vm.Name, "inventory", func(v *workerVM, now time.Time) error {
		out = w.inventory(v, now)
		return nil
	})
	return out, err
}

// Start starts one attempt. It is idempotent, and fails with verdict.NotRun if
// the request has expired or has another boot ID.
func (w *Workers) Start(ctx context.Context, vm cluster.VM, r placer.StartRequest) error {
	return w.call(ctx, vm.Name, methodStart, func(v *workerVM, now time.Time) error {
		if r.BootID != v.bootID() {
			return verdict.New(verdict.NotRun, ReasonBootMismatch, "boot is %s", v.bootID())
		}
		if _, ok := v.tasks[r.Task]; ok {
			return nil
		}
		if v.clock(now) >= r.NotAfter {
			return verdict.New(verdict.NotRun, ReasonExpired, "request expired")
		}
		v.tasks[r.Task] = w.newTask(v, r, now)
		w.record(Event{At: now, Kind: EventStart, VM: v.vm.Name, Task: r.Task, Resources: r.Resources, Labels: r.Labels})
		return nil
	})
}

// Renew extends the leases of running tasks, never shortens one, and removes
// acknowledged tasks that have exited.
func (w *Workers) Renew(ctx context.Context, vm cluster.VM, r placer.RenewRequest) (placer.Inventory, error) {
	var out placer.Inventory
	err := w.call(ctx, vm.Name, "renew", func(v *workerVM, now time.Time) error {
		if r.BootID != v.bootID() {
			return verdict.New(verdict.NotRun, ReasonBootMismatch, "boot is %s", v.bootID())
		}
		v.renew(r.Tasks, r.LeaseUntil)
		v.acknowledge(r.Acknowledged)
		out = w.inventory(v, now)
		return nil
	})
	return out, err
}

func (v *workerVM) renew(refs []placer.TaskRef, until placer.WorkerTime) {
	for _, ref := range refs {
		if t, ok := v.tasks[ref]; ok && t.live() {
			t.lease = max(t.lease, until)
		}
	}
}

func (v *workerVM) acknowledge(refs []placer.TaskRef) {
	for _, ref := range refs {
		if t, ok := v.tasks[ref]; ok && !t.live() {
			delete(v.tasks, ref)
			v.feed.remove(ref)
		}
	}
}

// Command applies an action to a live task. It fails with verdict.NotRun if the
// task is not live on this VM.
func (w *Workers) Command(ctx context.Context, vm cluster.VM, r placer.CommandRequest) error {
	return w.call(ctx, vm.Name, string(r.Action), func(v *workerVM, now time.Time) error {
		t, ok := v.tasks[r.Task]
		if !ok || !t.live() {
			return verdict.New(verdict.NotRun, ReasonNoTask, "task does not run here")
		}
		t.apply(r.Action, now)
		return nil
	})
}

func (t *task) apply(action placer.Action, now time.Time) {
	switch action {
	case placer.ActionCheckpoint:
		if t.checkpointAt.IsZero() && t.request.Labels.Checkpoints {
			t.checkpointAt = now.Add(DefaultCheckpointTime)
		}
	case placer.ActionThrottle:
		t.throttled = true
	case placer.ActionUnthrottle:
		t.throttled = false
	case placer.ActionStop:
		if t.stopAt.IsZero() {
			t.state = placer.TaskStopping
			t.stopAt = now.Add(DefaultStopTime)
		}
	}
}

func sortReports(reports []placer.TaskReport) {
	sort.Slice(reports, func(i, j int) bool { return reports[i].Task.Less(reports[j].Task) })
}
