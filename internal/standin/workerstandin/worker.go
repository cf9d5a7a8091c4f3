// Package workerstandin is a small stand-in for the platform's workers. It
// honours leases, expiry times and boots, but does not guard its capacity: it
// records what it was given, so that an observer can tell afterwards whether
// any VM held more than it can or a task ran in two places.
//
// It has no goroutines. A VM's state is brought up to the present whenever it
// is asked, with the exact times of what happened since.
package workerstandin

import (
	"fmt"
	"sync"
	"time"

	"github.com/currantwinch/currantwinch/cluster"
	"github.com/currantwinch/currantwinch/internal/placer"
)

// Times of what a worker does, unless Options say otherwise.
const (
	DefaultStartTime      = 100 * time.Millisecond
	DefaultCheckpointTime = 200 * time.Millisecond
	DefaultStopTime       = 100 * time.Millisecond
	DefaultRunTime        = time.Minute
	failTime              = 50 * time.Millisecond
)

// throttledDivisor slows a throttled task.
const throttledDivisor = 2

// Options say how the workers behave.
type Options struct {
	VMs []cluster.VM
	Now func() time.Time
	// RunTime is how long a task runs before it exits with code 0; zero runs
	// for ever. Nil is DefaultRunTime for all.
	RunTime func(placer.StartRequest) time.Duration
	// Usage is what a task really uses; nil is its declared size.
	Usage func(placer.StartRequest) cluster.Resources
	// ExitCode is what a task exits with; nil is zero.
	ExitCode func(vm string, r placer.StartRequest) int
	// UsageLag is the age of reported usage.
	UsageLag time.Duration
	// ClockRate scales the named VM's clock; nil is 1 for all.
	ClockRate func(vm string) float64
}

// Fault is what is wrong with one VM.
type Fault struct {
	// Unreachable refuses every call before it takes effect.
	Unreachable bool
	// Hung answers no call until its context ends, and does nothing.
	Hung bool
	// FailStarts makes every task exit with code 1 soon after its start.
	FailStarts bool
	// LoseResponses is how many answers are lost after the call took effect.
	LoseResponses int
	// UnreachableAfterStart makes the VM unreachable once the next start has taken
	// effect, before its answer.
	UnreachableAfterStart bool
}

// Workers stands in for any number of VMs.
type Workers struct {
	options Options

	mu          sync.Mutex
	vms         map[string]*machine
	checkpoints map[string]time.Duration
	events      []Event
	calls       map[string]int
}

type machine struct {
	vm     cluster.VM
	boot   int
	booted time.Time
	rate   float64
	fault  Fault
	tasks  map[placer.TaskRef]*task
	feed   feed
}

// New returns workers that have just booted.
func New(options Options) *Workers {
	w := &Workers{
		options:     options,
		vms:         make(map[string]*machine),
		checkpoints: make(map[string]time.Duration),
		calls:       make(map[string]int),
	}
	for _, v := range options.VMs {
		w.Add(v)
	}
	return w
}

// Add boots another VM.
func (w *Workers) Add(v cluster.VM) {
	w.mu.Lock()
	defer w.mu.Unlock()
	rate := 1.0
	if w.options.ClockRate != nil {
		rate = w.options.ClockRate(v.Name)
	}
	m := &machine{vm: v, boot: 1, booted: w.options.Now(), rate: rate, tasks: make(map[placer.TaskRef]*task)}
	m.feed.begin(m.booted)
	w.vms[v.Name] = m
}

// SetFault replaces what is wrong with a VM.
func (w *Workers) SetFault(name string, f Fault) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if v, ok := w.vms[name]; ok {
		v.fault = f
	}
}

// Reboot ends everything on a VM and starts its clock anew.
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
	v.feed.begin(now)
	v.tasks = make(map[placer.TaskRef]*task)
}

// RestartAgent starts a VM's agent anew: tasks and boot stay, and revisions begin
// again.
func (w *Workers) RestartAgent(name string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if v, ok := w.vms[name]; ok {
		v.feed.begin(v.booted)
	}
}

// CallCounts returns how many calls of each method were made.
func (w *Workers) CallCounts() map[string]int {
	w.mu.Lock()
	defer w.mu.Unlock()
	out := make(map[string]int, len(w.calls))
	for k, n := range w.calls {
		out[k] = n
	}
	return out
}

func (v *machine) bootName() string { return fmt.Sprintf("%s-boot-%d", v.vm.Name, v.boot) }

func (v *machine) clock(now time.Time) placer.WorkerTime {
	return placer.WorkerTime(float64(now.Sub(v.booted)) * v.rate)
}

// at is when the VM's clock reads c.
func (v *machine) at(c placer.WorkerTime) time.Time {
	return v.booted.Add(time.Duration(float64(c) / v.rate))
}
