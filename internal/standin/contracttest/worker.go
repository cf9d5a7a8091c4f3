package contracttest

import (
	"context"
	"testing"
	"time"

	"github.com/currantwinch/currantwinch/cluster"
	"github.com/currantwinch/currantwinch/internal/placer"
	"github.com/currantwinch/currantwinch/verdict"
)

// WorkerSubject is a worker under test with control over its faults.
type WorkerSubject struct {
	Workers placer.Workers
	VM      cluster.VM
	// Advance advances the worker's clock.
	Advance          func(time.Duration)
	LoseNextResponse func()
	MakeUnreachable  func()
	Reboot           func()
	// RestartAgent restarts the worker's agent. Tasks and boot ID stay.
	RestartAgent func()
	// NewReader returns a client without a cached inventory.
	NewReader func() placer.Workers
}

type workerCase struct {
	name string
	run  func(t *testing.T, s WorkerSubject)
}

// Workers checks the properties of a worker that placement relies on. Each case
// gets a new subject.
func Workers(t *testing.T, subject func(t *testing.T) WorkerSubject) {
	cases := []workerCase{
		{"inventory lists a started task", inventoryListsStarted},
		{"start is idempotent", startIdempotent},
		{"expired start is refused", expiredStart},
		{"start with another boot ID is refused", otherBoot},
		{"lease ends the task unless renewed", leaseEnds},
		{"a renewal never shortens a lease", renewalNeverShortens},
		{"exited task is listed until acknowledged", exitListedUntilAcknowledged},
		{"start with a lost response may have run", lostStartResponse},
		{"unreachable worker", unreachable},
		{"stop and checkpoint", stopAndCheckpoint},
		{"incremental and full inventories are equal", incrementalEqualsFull},
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

func inventoryListsStarted(t *testing.T, s WorkerSubject) {
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

func startIdempotent(t *testing.T, s WorkerSubject) {
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
		t.Errorf("renewed task is %s, want running", st)
	}
	s.Advance(contractLease)
	if st := s.inventory(t).Tasks[0].State; st != placer.TaskExited {
		t.Errorf("task with an expired lease is %s, want exited", st)
	}
}

func renewalNeverShortens(t *testing.T, s WorkerSubject) {
	r := s.start(t)
	inv := s.renew(t, r, r.LeaseUntil-placer.WorkerTime(time.Second))
	if got := inv.Tasks[0].LeaseUntil; got != r.LeaseUntil {
		t.Errorf("lease until %v, want %v", got, r.LeaseUntil)
	}
}

func exitListedUntilAcknowledged(t *testing.T, s WorkerSubject) {
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

func lostStartResponse(t *testing.T, s WorkerSubject) {
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
