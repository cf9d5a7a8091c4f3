// Package duty runs the long-lived goroutines of a process, one for each duty.
// A duty that panics or returns an error before it was told to stop ends the
// whole group, so that a process is never half alive. A duty marks each turn
// of its loop, and a duty that has stopped turning can be named.
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

// Heartbeat marks that a duty's loop has come round once more.
type Heartbeat func()

// Func is a duty's loop. It returns when ctx ends.
type Func func(ctx context.Context, turn Heartbeat) error

// Group runs duties and ends them together.
type Group struct {
	now    func() time.Time
	ctx    context.Context
	cancel context.CancelCauseFunc
	wg     sync.WaitGroup

	mu     sync.Mutex
	duties map[string]*entry
}

type entry struct {
	started time.Time
	last    atomic.Int64
	turns   atomic.Uint64
	quiet   time.Duration
	done    atomic.Bool
}

// New returns an empty group. Now gives the time of a turn.
func New(now func() time.Time) *Group {
	ctx, cancel := context.WithCancelCause(context.Background())
	return &Group{now: now, ctx: ctx, cancel: cancel, duties: make(map[string]*entry)}
}

// Go starts a duty under a name unique in the group. Quiet is the longest
// time between two turns that is still healthy; zero means that the duty is
// not watched.
func (g *Group) Go(name string, quiet time.Duration, f Func) {
	e := &entry{started: g.now(), quiet: quiet}
	e.last.Store(g.now().UnixNano())
	g.mu.Lock()
	g.duties[name] = e
	g.mu.Unlock()
	g.wg.Add(1)
	go g.run(name, e, f)
}

func (g *Group) run(name string, e *entry, f Func) {
	defer g.wg.Done()
	defer e.done.Store(true)
	defer func() {
		if p := recover(); p != nil {
			g.cancel(&PanicError{Duty: name, Value: p, Stack: debug.Stack()})
		}
	}()
	err := f(g.ctx, func() {
		e.turns.Add(1)
		e.last.Store(g.now().UnixNano())
	})
	if err != nil && g.ctx.Err() == nil {
		g.cancel(errors.Wrapf(err, "duty %s", name))
	}
}

// PanicError is the cause of a group's end when a duty panicked.
type PanicError struct {
	Duty  string
	Value any
	Stack []byte
}

// Error names the duty and the value it panicked with.
func (e *PanicError) Error() string { return fmt.Sprintf("duty %s panicked: %v", e.Duty, e.Value) }

// Context ends when the group ends.
func (g *Group) Context() context.Context { return g.ctx }

// Done is closed when the group ends, by Stop or by a failed duty.
func (g *Group) Done() <-chan struct{} { return g.ctx.Done() }

// Err returns why the group ended: nil while it runs or after a plain Stop.
func (g *Group) Err() error {
	cause := context.Cause(g.ctx)
	if cause == nil || errors.Is(cause, context.Canceled) {
		return nil
	}
	return cause
}

// Stop ends every duty and waits for them, at most until ctx ends. The error
// names the duties that did not return.
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

// Stats is a duty's state at one moment.
type Stats struct {
	Name       string        `json:"name"`
	Heartbeats uint64        `json:"turns"`
	Idle       time.Duration `json:"idleNanoseconds"`
	Stuck      bool          `json:"stuck"`
	Done       bool          `json:"done"`
}

// Stats lists the duties by name. A duty is stuck when it has not turned for
// longer than its quiet time.
func (g *Group) Stats() []Stats {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.now()
	out := make([]Stats, 0, len(g.duties))
	for name, e := range g.duties {
		idle := now.Sub(time.Unix(0, e.last.Load()))
		done := e.done.Load()
		out = append(out, Stats{
			Name: name, Heartbeats: e.turns.Load(), Idle: idle, Done: done,
			Stuck: !done && e.quiet > 0 && idle > e.quiet,
		})
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Name < out[j].Name })
	return out
}
