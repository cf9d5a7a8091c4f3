// Package duty runs the long-lived goroutines of a process, called duties, as a
// group. A duty that panics, or returns an error before the group is stopped,
// stops the whole group, so that a process does not keep running with some of
// its duties missing. Each duty sends a heartbeat on every iteration of its
// loop; Stats reports the duties whose heartbeats have stopped.
package duty

import (
	"context"
	"fmt"
	"runtime/debug"
	"sort"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

// Heartbeat records that a duty's loop has completed another iteration.
type Heartbeat func()

// Func is a duty's loop. It calls heartbeat on every iteration and returns when
// ctx ends.
type Func func(ctx context.Context, heartbeat Heartbeat) error

// Group runs duties and stops them together.
type Group struct {
	now    func() time.Time
	ctx    context.Context
	cancel context.CancelCauseFunc
	wg     sync.WaitGroup

	mu     sync.Mutex
	duties map[string]*dutyState
}

type dutyState struct {
	started       time.Time
	lastHeartbeat atomic.Int64
	heartbeats    atomic.Uint64
	stuckAfter    time.Duration
	done          atomic.Bool
}

// New returns an empty group. Now is the clock that heartbeats are timed with.
func New(now func() time.Time) *Group {
	ctx, cancel := context.WithCancelCause(context.Background())
	return &Group{now: now, ctx: ctx, cancel: cancel, duties: make(map[string]*dutyState)}
}

// Go starts a duty under a name that must be unique in the group. The duty is
// reported as stuck if it sends no heartbeat for longer than stuckAfter; zero
// disables the check.
func (g *Group) Go(name string, stuckAfter time.Duration, f Func) {
	e := &dutyState{started: g.now(), stuckAfter: stuckAfter}
	e.lastHeartbeat.Store(g.now().UnixNano())
	g.mu.Lock()
	g.duties[name] = e
	g.mu.Unlock()
	g.wg.Add(1)
	go g.run(name, e, f)
}

func (g *Group) run(name string, e *dutyState, f Func) {
	defer g.wg.Done()
	defer e.done.Store(true)
	defer func() {
		if p := recover(); p != nil {
			g.cancel(&PanicError{Duty: name, Value: p, Stack: debug.Stack()})
		}
	}()
	err := f(g.ctx, func() {
		e.heartbeats.Add(1)
		e.lastHeartbeat.Store(g.now().UnixNano())
	})
	if err != nil && g.ctx.Err() == nil {
		g.cancel(errors.Wrapf(err, "duty %s", name))
	}
}

// PanicError is the error that Err returns after a duty panicked.
type PanicError struct {
	Duty  string
	Value any
	Stack []byte
}

// Error returns a message with the duty's name and the panic value.
func (e *PanicError) Error() string { return fmt.Sprintf("duty %s panicked: %v", e.Duty, e.Value) }

// Context returns the context of the group, which is cancelled when the group
// stops.
func (g *Group) Context() context.Context { return g.ctx }

// Done returns a channel that is closed when the group stops, by Stop or by a
// failed duty.
func (g *Group) Done() <-chan struct{} { return g.ctx.Done() }

// Err returns the error that stopped the group: that of the first duty that
// failed, or nil while the group runs and after a Stop that no failure preceded.
func (g *Group) Err() error {
	cause := context.Cause(g.ctx)
	if cause == nil || errors.Is(cause, context.Canceled) {
		return nil
	}
	return cause
}

// Stop cancels the duties' context and waits for them to return, at most until
// ctx ends. The error names the duties that did not return.
func (g *Group) Stop(ctx context.Context) error {
	g.cancel(nil)
	done := make(chan struct{})
	go func() { g.wg.Wait(); close(done) }()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return errors.Errorf("duties still running: %v", g.running())
	}
}

func (g *Group) running() []string {
	var names []string
	for _, s := range g.Stats() {
		if !s.Done {
			names = append(names, s.Name)
		}
	}
	return names
}

// Stats is a snapshot of a duty's state. Idle is the time since the last
// heartbeat.
type Stats struct {
	Name       string        `json:"name"`
	Heartbeats uint64        `json:"turns"`
	Idle       time.Duration `json:"idleNanoseconds"`
	Stuck      bool          `json:"stuck"`
	Done       bool          `json:"done"`
}

// Stats returns the state of all duties, sorted by name. A duty is stuck if it
// has not returned and its last heartbeat is older than the stuckAfter of Go.
func (g *Group) Stats() []Stats {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.now()
	out := make([]Stats, 0, len(g.duties))
	for name, e := range g.duties {
		idle := now.Sub(time.Unix(0, e.lastHeartbeat.Load()))
		done := e.done.Load()
		out = append(out, Stats{
			Name: name, Heartbeats: e.heartbeats.Load(), Idle: idle, Done: done,
			Stuck: !done && e.stuckAfter > 0 && idle > e.stuckAfter,
		})
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Name < out[j].Name })
	return out
}
