package contracttest

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/currantwinch/currantwinch/internal/placer"
	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
)

const (
	feedSeeds = 20
	feedSteps = 100
)

// incrementalEqualsFull applies random operations to a worker, among them restarts,
// reboots and lost responses. After each it checks that a client which reads
// the inventory incrementally sees the same state as one that reads it in full.
func incrementalEqualsFull(t *testing.T, s WorkerSubject) {
	for seed := range uint64(feedSeeds) {
		r := &feedRun{s: s, rng: rand.New(rand.NewPCG(seed, 1)), job: fmt.Sprintf("j%d", seed)}
		for step := range feedSteps {
			name := r.step(t)
			warm := s.inventory(t)
			cold, err := s.NewReader().Inventory(context.Background(), s.VM)
			if err != nil {
				t.Fatal(err)
			}
			if diff := cmp.Diff(cold, warm, cmpopts.EquateEmpty()); diff != "" {
				t.Fatalf("seed %d step %d, after %s: -full +incremental\n%s", seed, step, name, diff)
			}
		}
	}
}

type feedRun struct {
	s     WorkerSubject
	rng   *rand.Rand
	job   string
	tasks int
}

// step applies one random operation and returns its name.
func (r *feedRun) step(t *testing.T) string {
	steps := []struct {
		name string
		do   func(t *testing.T)
	}{
		{"start", r.start},
		{"renewal", func(t *testing.T) { r.renew(t, 1, false) }},
		{"renewal of some", func(t *testing.T) { r.renew(t, 0.7, false) }},
		{"lost renewal", func(t *testing.T) { r.renew(t, 1, true) }},
		{"wait", func(*testing.T) { r.s.Advance(3 * time.Second) }},
		{"throttle", func(t *testing.T) { r.command(t, placer.ActionThrottle) }},
		{"stop", func(t *testing.T) { r.command(t, placer.ActionStop) }},
		{"restart", func(*testing.T) { r.s.RestartAgent() }},
		{"reboot", func(*testing.T) {
			if r.rng.IntN(4) == 0 {
				r.s.Reboot()
			}
		}},
	}
	step := steps[r.rng.IntN(len(steps))]
	step.do(t)
	return step.name
}

func (r *feedRun) start(t *testing.T) {
	q := r.s.request(t)
	r.tasks++
	q.Task = placer.TaskRef{JobID: r.job, Index: r.tasks, Attempt: 1}
	if err := r.s.Workers.Start(context.Background(), r.s.VM, q); err != nil {
		t.Fatalf("start: %v", err)
	}
}

// renew renews each lease with the given probability, acknowledges every
// exited task, and checks the response unless it is to be lost.
func (r *feedRun) renew(t *testing.T, probability float64, lose bool) {
	inv := r.s.inventory(t)
	q := placer.RenewRequest{BootID: inv.BootID, LeaseUntil: inv.Clock + placer.WorkerTime(contractLease)}
	renewed := make(map[placer.TaskRef]bool)
	for _, task := range inv.Tasks {
		switch {
		case task.State == placer.TaskExited:
			q.Acknowledged = append(q.Acknowledged, task.Task)
		case r.rng.Float64() < probability:
			q.Tasks = append(q.Tasks, task.Task)
			renewed[task.Task] = true
		}
	}
	if lose {
		r.s.LoseNextResponse()
	}
	out, err := r.s.Workers.Renew(context.Background(), r.s.VM, q)
	if lose != (err != nil) {
		t.Fatalf("renew: %v", err)
	}
	was := make(map[placer.TaskRef]placer.WorkerTime)
	for _, task := range inv.Tasks {
		was[task.Task] = task.LeaseUntil
	}
	for _, task := range out.Tasks {
		want := was[task.Task]
		if renewed[task.Task] {
			want = max(want, q.LeaseUntil)
		}
		if task.LeaseUntil != want {
			t.Fatalf("task %v: lease until %v, want %v", task.Task, task.LeaseUntil, want)
		}
	}
}

func (r *feedRun) command(t *testing.T, action placer.Action) {
	for _, task := range r.s.inventory(t).Tasks {
		if task.State != placer.TaskExited && r.rng.IntN(2) == 0 {
			if err := r.s.Workers.Command(context.Background(), r.s.VM, placer.CommandRequest{Task: task.Task, Action: action}); err != nil {
				t.Fatalf("%s: %v", action, err)
			}
		}
	}
}
