// Package workerstandin implements the platform's workers in memory, for tests.
// It enforces leases, expiry times and boot IDs, but not capacity: it records all
// starts and ends, so that a test can check afterwards whether any VM was
// overcommitted or a task had more than one live attempt.
//
// It has no goroutines. Each call first brings the VM's state up to the present,
// with the exact times of the events since the last call.
package workerstandin

import (
	"fmt"
	"sync"
	"time"

	"github.com/currantwinch/currantwinch/cluster"
	"github.com/currantwinch/currantwinch/internal/placer"
)

// Default durations of the operations of a worker.
const (
	DefaultStartTime      = 100 * time.Millisecond
	DefaultCheckpointTime = 200 * time.Millisecond
	DefaultStopTime       = 100 * time.Millisecond
	DefaultRunTime        = time.Minute
	failTime              = 50 * time.Millisecond
)

// throttledDivisor is the factor by which throttling slows a task.
const throttledDivisor = 2

// Options configures the workers.
type Options struct {
	VMs []cluster.VM
	Now func() time.Time
	// RunTime returns the time that a task runs before it exits; zero means for
	// ever. Nil means DefaultRunTime for all.
	RunTime func(placer.StartRequest) time.Duration
	// Usage returns the resources that a task uses; nil means its declared size.
	Usage func(placer.StartRequest) cluster.Resources
	// ExitCode returns the exit code of a task; nil means 0 for all.
	ExitCode func(vm string, r placer.StartRequest) int
	// UsageLag is the age of the usage that workers report.
	UsageLag time.Duration
	// ClockRate returns the rate of the named VM's clock; nil means 1 for all.
	ClockRate func(vm string) float64
}

// Fault holds the faults of one VM.
type Fault struct {
	// Unreachable makes every call fail before it takes effect.
	Unreachable bool
	// Hung makes every call block without effect until its context ends.
	Hung bool
	// FailStarts makes every task that is started exit with code 1 after 50 ms of
	// run time.
	FailStarts bool
	// LoseResponses is the number of calls whose response is still to be lost after the
	// call took effect.
	LoseResponses int
	// UnreachableAfterStart makes the VM unreachable after the next start has
	// taken effect, before its response.
	UnreachableAfterStart bool
}

// Workers is a set of worker VMs. It is safe for concurrent use.
type Workers struct {
	options Options

	mu          sync.Mutex
	vms         map[string]*workerVM
	checkpoints map[string]time.Duration
	events      []Event
	calls       map[string]int
}

type workerVM struct {
	vm     cluster.VM
	boot   int
	booted time.Time
	rate   float64
	fault  Fault
	tasks  map[placer.TaskRef]*task
	feed   feed
}

// New returns the workers of Options.VMs, just booted.
func New(options Options) *Workers {
	w := &Workers{
		options:     options,
		vms:         make(map[string]*workerVM),
		checkpoints: make(map[string]time.Duration),
		calls:       make(map[string]int),
	}
	for _, v := range options.VMs {
		w.Add(v)
	}
	return w
}

// Add adds a VM, just booted.
func (w *Workers) Add(v cluster.VM) {
	w.mu.Lock()
	defer w.mu.Unlock()
	rate := 1.0
	if w.options.ClockRate != nil {
		rate = w.options.ClockRate(v.Name)
	}
	m := &workerVM{vm: v, boot: 1, booted: w.options.Now(), rate: rate, tasks: make(map[placer.TaskRef]*task)}
	m.feed.reset(m.booted)
	w.vms[v.Name] = m
}

// SetFault replaces the faults of a VM.
func (w *Workers) SetFault(name string, f Fault) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if v, ok := w.vms[name]; ok {
		v.fault = f
	}
}

// Reboot ends all tasks of a VM, changes its boot ID and resets its clock.
func (w *Workers) Reboot(name string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	v, ok := w.vms[name]
	if !ok {
		return
	}
	now := w.options.Now()
	w.advance(v, now)
	for _, t := range v.tasks {
		if t.live() {
			w.end(v, t, now, 137, "reboot")
		}
	}
	v.boot++
	v.booted = now
	v.feed.reset(now)
	v.tasks = make(map[placer.TaskRef]*task)
}

// RestartAgent restarts a VM's agent: tasks and boot ID stay, and a new sequence
// of revisions begins.
func (w *Workers) RestartAgent(name string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if v, ok := w.vms[name]; ok {
		v.feed.reset(v.booted)
	}
}

// CallCounts returns the number of calls that reached a VM, by method.
func (w *Workers) CallCounts() map[string]int {
	w.mu.Lock()
	defer w.mu.Unlock()
	out := make(map[string]int, len(w.calls))
	for k, n := range w.calls {
		out[k] = n
	}
	return out
}

func (v *workerVM) bootID() string { return fmt.Sprintf("%s-boot-%d", v.vm.Name, v.boot) }

func (v *workerVM) clock(now time.Time) placer.WorkerTime {
	return placer.WorkerTime(float64(now.Sub(v.booted)) * v.rate)
}

// timeAt returns the time timeAt which the VM's clock shows c.
func (v *workerVM) timeAt(c placer.WorkerTime) time.Time {
	return v.booted.Add(time.Duration(float64(c) / v.rate))
}
