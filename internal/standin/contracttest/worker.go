// Package contracttest holds one suite for each interface to the platform.
// A suite runs against the stand-in directly and through the HTTP adapter, and
// can run against the platform itself.
package contracttest

import (
	"context"
	"testing"
	"time"

	"github.com/currantwinch/currantwinch/cluster"
	"github.com/currantwinch/currantwinch/internal/placer"
	"github.com/currantwinch/currantwinch/verdict"
)

// WorkerSubject is one worker under test with its faults.
type WorkerSubject struct {
	Workers placer.Workers
	VM      cluster.VM
	// Advance lets time pass for the worker.
	Advance          func(time.Duration)
	LoseNextResponse func()
	MakeUnreachable  func()
	Reboot           func()
	// RestartAgent starts the worker's agent anew; tasks and boot stay.
	RestartAgent func()
	// NewReader returns workers that have read nothing yet.
	NewReader func() placer.Workers
}

type workerCase struct {
	name string
	run  func(t *testing.T, s WorkerSubject)
}

// Workers checks that a worker keeps what placement relies on. Each case gets
// a fresh subject.
func Workers(t *testing.T, subject func(t *testing.T) WorkerSubject) {
	cases := []workerCase{
		{"started task is in the inventory", startedIsListed},
		{"second start has no effect", secondStart},
		{"expired start is refused", expiredStart},
		{"start for another boot is refused", otherBoot},
		{"lease ends the task unless renewed", leaseEnds},
		{"a renewal never shortens a lease", renewalNeverShortens},
		{"exit stays until acknowledged", exitStays},
		{"lost answer may have run", lostAnswer},
		{"unreachable worker", unreachable},
		{"stop and checkpoint", stopAndCheckpoint},
		{"a reader that knows much sees what a fresh one sees", readersAgree},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) { c.run(t, subject(t)) })
	}
}

const contractLease = 10 * time.Second

func (s WorkerSubject) inventory(t *testing.T) placer.Inventory {
	t.Helper()
	inv, err := s.Workers.Inventory(context.Background(), s.VM)
	if err != nil {
		t.Fatalf("inventory: %v", err)
	}
	return inv
}

func (s WorkerSubject) request(t *testing.T) placer.StartRequest {
	inv := s.inventory(t)
	return placer.StartRequest{
		Task: placer.TaskRef{JobID: "j", Index: 1, Attempt: 2}, BootID: inv.BootID,
		NotAfter: inv.Clock + placer.WorkerTime(time.Second), LeaseUntil: inv.Clock + placer.WorkerTime(contractLease),
		Resources: cluster.Resources{CPU: 500, Memory: 1 << 20},
		Labels:    placer.TaskLabels{Service: "s", Team: "t", Checkpoints: true, Epoch: 3},
	}
}

func (s WorkerSubject) start(t *testing.T) placer.StartRequest {
	t.Helper()
	r := s.request(t)
	if err := s.Workers.Start(context.Background(), s.VM, r); err != nil {
		t.Fatalf("start: %v", err)
	}
	return r
}

func startedIsListed(t *testing.T, s WorkerSubject) {
	r := s.start(t)
	inv := s.inventory(t)
	if len(inv.Tasks) != 1 {
		t.Fatalf("tasks %+v", inv.Tasks)
	}
	got := inv.Tasks[0]
	if got.Task != r.Task || got.Labels != r.Labels || got.Resources != r.Resources || got.LeaseUntil != r.LeaseUntil {
		t.Errorf("listed %+v", got)
	}
}

func secondStart(t *testing.T, s WorkerSubject) {
	r := s.start(t)
	if err := s.Workers.Start(context.Background(), s.VM, r); err != nil {
		t.Errorf("second start: %v", err)
	}
	if n := len(s.inventory(t).Tasks); n != 1 {
		t.Errorf("%d tasks", n)
	}
}

func expiredStart(t *testing.T, s WorkerSubject) {
	r := s.request(t)
	s.Advance(2 * time.Second)
	s.refused(t, r)
}

func otherBoot(t *testing.T, s WorkerSubject) {
	r := s.request(t)
	s.Reboot()
	s.refused(t, r)
}

func (s WorkerSubject) refused(t *testing.T, r placer.StartRequest) {
	t.Helper()
	if err := s.Workers.Start(context.Background(), s.VM, r); verdict.Of(err) != verdict.NotRun {
		t.Errorf("start: %v", err)
	}
	if n := len(s.inventory(t).Tasks); n != 0 {
		t.Errorf("%d tasks", n)
	}
}

func (s WorkerSubject) renew(t *testing.T, r placer.StartRequest, until placer.WorkerTime) placer.Inventory {
	t.Helper()
	inv, err := s.Workers.Renew(context.Background(), s.VM, placer.RenewRequest{BootID: r.BootID, LeaseUntil: until, Tasks: []placer.TaskRef{r.Task}})
	if err != nil {
		t.Fatalf("renew: %v", err)
	}
	return inv
}

func leaseEnds(t *testing.T, s WorkerSubject) {
	r := s.start(t)
	s.Advance(contractLease / 2)
	s.renew(t, r, r.LeaseUntil+placer.WorkerTime(contractLease))
	s.Advance(contractLease)
	if st := s.inventory(t).Tasks[0].State; st != placer.TaskRunning {
		t.Errorf("renewed task is %s", st)
	}
	s.Advance(contractLease)
	if st := s.inventory(t).Tasks[0].State; st != placer.TaskExited {
		t.Errorf("task without a lease is %s", st)
	}
}

func renewalNeverShortens(t *testing.T, s WorkerSubject) {
	r := s.start(t)
	inv := s.renew(t, r, r.LeaseUntil-placer.WorkerTime(time.Second))
	if got := inv.Tasks[0].LeaseUntil; got != r.LeaseUntil {
		t.Errorf("lease until %v, want %v", got, r.LeaseUntil)
	}
}

func exitStays(t *testing.T, s WorkerSubject) {
	r := s.start(t)
	s.Advance(2 * contractLease)
	if got := s.inventory(t).Tasks; len(got) != 1 || got[0].State != placer.TaskExited {
		t.Fatalf("tasks %+v", got)
	}
	inv, err := s.Workers.Renew(context.Background(), s.VM, placer.RenewRequest{BootID: r.BootID, Acknowledged: []placer.TaskRef{r.Task}})
	if err != nil || len(inv.Tasks) != 0 {
		t.Errorf("after acknowledgement %+v, %v", inv.Tasks, err)
	}
}

func lostAnswer(t *testing.T, s WorkerSubject) {
	r := s.request(t)
	s.LoseNextResponse()
	if err := s.Workers.Start(context.Background(), s.VM, r); verdict.Of(err) != verdict.MayHaveRun {
		t.Errorf("start: %v", err)
	}
	if n := len(s.inventory(t).Tasks); n != 1 {
		t.Errorf("%d tasks", n)
	}
}

func unreachable(t *testing.T, s WorkerSubject) {
	r := s.request(t)
	s.MakeUnreachable()
	if err := s.Workers.Start(context.Background(), s.VM, r); err == nil || verdict.Of(err) == verdict.Ran {
		t.Errorf("start: %v", err)
	}
}

func stopAndCheckpoint(t *testing.T, s WorkerSubject) {
	r := s.start(t)
	for _, a := range []placer.Action{placer.ActionThrottle, placer.ActionCheckpoint} {
		if err := s.Workers.Command(context.Background(), s.VM, placer.CommandRequest{Task: r.Task, Action: a}); err != nil {
			t.Fatalf("%s: %v", a, err)
		}
	}
	s.Advance(time.Second)
	if got := s.inventory(t).Tasks[0]; got.Checkpoint == "" || !got.Throttled {
		t.Errorf("after checkpoint %+v", got)
	}
	if err := s.Workers.Command(context.Background(), s.VM, placer.CommandRequest{Task: r.Task, Action: placer.ActionStop}); err != nil {
		t.Fatal(err)
	}
	s.Advance(time.Second)
	if got := s.inventory(t).Tasks[0]; got.State != placer.TaskExited || got.Checkpoint == "" {
		t.Errorf("after stop %+v", got)
	}
	err := s.Workers.Command(context.Background(), s.VM, placer.CommandRequest{Task: r.Task, Action: placer.ActionStop})
	if verdict.Of(err) != verdict.NotRun {
		t.Errorf("stop of an exited task: %v", err)
	}
}
