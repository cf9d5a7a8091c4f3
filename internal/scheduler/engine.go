package scheduler

import (
	"context"
	"time"

	"github.com/currantwinch/currantwinch/duty"
	"github.com/currantwinch/currantwinch/internal/events"
	"github.com/currantwinch/currantwinch/partition"
	"github.com/currantwinch/currantwinch/ring"
	"github.com/currantwinch/currantwinch/routing"
	"github.com/currantwinch/currantwinch/verdict"
	"github.com/currantwinch/currantwinch/workload"
	"github.com/pkg/errors"
)

const (
	// orderTimeout is the longest wait for a server's answer to an order, which is
	// sent again after it without harm.
	orderTimeout = 400 * time.Millisecond
	// lookSlack is the longest wait beyond what a look asks for.
	lookSlack = 500 * time.Millisecond
	// adviceTimeout is the longest wait for the policy service, its queue
	// included. One that takes adviceTimes as long as expected and adviceSlack, for
	// the way through another daemon, will not answer.
	adviceTimeout = 4 * time.Second
	adviceTimes   = 2
	adviceSlack   = 600 * time.Millisecond
	// tickInterval is the time between two checks of what only time brings.
	tickInterval = 50 * time.Millisecond
	// eventCapacity bounds the events that wait for the Core.
	eventCapacity = 4096
	// placeShare is how many times the time of one round of placements passes
	// before the next: rounds of a long queue leave most of the processor to
	// the orders and answers that they need.
	placeShare = 4
	// maxBurst bounds the events taken before actions are carried out.
	maxBurst = 64
)

// Reasons of the errors that an Engine returns.
const (
	// ReasonNotOwner means that this daemon does not own the partition.
	ReasonNotOwner verdict.Reason = "not_owner"
	// ReasonTimeout means that the caller's time ended first.
	ReasonTimeout verdict.Reason = "timeout"
)

// PolicyClients gives the daemons that can put questions to the policy service.
type PolicyClients interface {
	// Count returns how many there are.
	Count() int
	// Acquire returns the one that is free soonest, given how long the answer
	// takes, when that is expected, and what to call with the outcome.
	Acquire(cost time.Duration) (PolicyClient, time.Duration, func(error))
}

// EngineOptions is what an Engine is built from.
type EngineOptions struct {
	Log       partition.Log
	Partition partition.ID
	// Daemon names this daemon in the claim.
	Daemon  string
	Bounds  Bounds
	Servers ServerClient
	Policy  PolicyClients
	// Config returns the configuration in force, which may be nil.
	Config func() *routing.Configuration
	// LeaseValid reports whether no other daemon can own the partition.
	LeaseValid func() bool
	// Watch follows the platform's list of servers until its context ends.
	Watch   func(ctx context.Context, whole func([]ServerInfo)) error
	Events  *events.Logger
	Metrics *Metrics
	Now     func() time.Time
	Wall    func() int64
}

// Engine runs a Core: it claims the partition, feeds the Core with events and
// carries out its actions.
type Engine struct {
	o      EngineOptions
	core   *Core
	writer *partition.Writer
	events *ring.Ring[event]
	// claimed is closed once the partition is this Engine's.
	claimed chan struct{}
	done    chan struct{}
	ctx     context.Context
}

// event is something that the Core is told.
type event interface{ apply(c *Core) }

// NewEngine returns an Engine that owns nothing before Run.
func NewEngine(o EngineOptions) *Engine {
	return &Engine{o: o, events: ring.New[event]("scheduler-events", eventCapacity, ring.Block), claimed: make(chan struct{}), done: make(chan struct{})}
}

// Run claims the partition and serves it until ctx ends or another owner is
// found, which is partition.ErrFenced.
func (e *Engine) Run(ctx context.Context, turn duty.Heartbeat) error {
	defer close(e.done)
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	e.ctx = ctx
	if err := e.claim(ctx); err != nil {
		return err
	}
	close(e.claimed)
	go func() {
		if err := e.writer.Run(ctx); err != nil {
			cancel(err)
		}
	}()
	go func() {
		if err := e.o.Watch(ctx, func(list []ServerInfo) { e.push(serversEvent{list}) }); err != nil {
			cancel(err)
		}
	}()
	return e.loop(ctx, turn)
}

// claim reads the partition and takes it with an epoch above all earlier ones.
func (e *Engine) claim(ctx context.Context) error {
	began := e.o.Now()
	records, end, err := partition.ReadAll(ctx, e.o.Log, e.o.Partition)
	if err != nil {
		return errors.Wrap(err, "read partition")
	}
	epoch := LastTenure(records).Epoch + 1
	claim := ClaimRecord(workload.PartitionOwner{Epoch: epoch, Daemon: e.o.Daemon, LeaseMS: e.o.Bounds.lease().Milliseconds()})
	written := func(ticket uint64) { e.push(storedEvent{ticket}) }
	e.writer, err = partition.Claim(ctx, e.o.Log, e.o.Partition, epoch, end, claim, e.o.Now, written)
	if err != nil {
		return errors.Wrap(err, "claim partition")
	}
	e.core = NewCore(epoch, e.o.Bounds, records, e.o.Events, e.o.Metrics, e.o.Now(), e.o.Wall())
	e.o.Events.Log(events.OwnerClaimed, "partition", e.o.Partition.Part, "epoch", epoch, "records", len(records), "took", e.o.Now().Sub(began).Milliseconds())
	return nil
}

func (e *Engine) loop(ctx context.Context, turn duty.Heartbeat) error {
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	config := e.o.Config()
	e.begin()
	if config != nil {
		e.core.Configure(config)
	}
	e.core.LookAtAll()
	e.carryOut(e.core.Finish(true))
	pacer := newPacer(e.o.Now)
	defer pacer.stop()
	for {
		turn()
		select {
		case <-pacer.wake():
			pacer.armed = false
			e.begin()
		case <-ctx.Done():
			return context.Cause(ctx)
		case ev := <-e.events.C():
			e.begin()
			ev.apply(e.core)
			e.drain()
		case <-tick.C:
			e.begin()
			if now := e.o.Config(); now != config {
				config = now
				e.core.Configure(now)
			}
			e.core.Askers(e.o.Policy.Count())
			e.core.Tick()
		}
		waits := e.core.Waits()
		mayPlace := pacer.open()
		actions := e.core.Finish(mayPlace)
		pacer.placed(waits, mayPlace)
		e.carryOut(actions)
		if e.core.Fenced() {
			return partition.ErrFenced
		}
	}
}

// drain applies the events that wait already, so that they share one pass of
// placements.
func (e *Engine) drain() {
	for range maxBurst {
		select {
		case ev := <-e.events.C():
			ev.apply(e.core)
		default:
			return
		}
	}
}

func (e *Engine) begin() { e.core.Begin(e.o.Now(), e.o.Wall()) }

func (e *Engine) push(ev event) { e.events.Push(e.ctx, ev) }

// carryOut starts what the Core wants done. Nothing here waits.
func (e *Engine) carryOut(actions []Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case Answer:
			a.Reply(a.Answer)
		case Store:
			e.writer.Enqueue(a.Ticket, a.Records)
		case StartTask:
			go e.start(a)
		case StopTask:
			go e.stop(a)
		case LookAt:
			go e.look(a)
		case AskAdvice:
			go e.ask(a)
		}
	}
}

// wait pauses for a number of milliseconds and reports whether the Engine still
// runs.
func (e *Engine) wait(ms int) bool {
	return duty.Sleep(e.ctx, msDuration(int64(ms)))
}

func (e *Engine) start(a StartTask) {
	if !e.wait(a.DelayMS) {
		return
	}
	ctx, cancel := context.WithTimeout(e.ctx, orderTimeout)
	defer cancel()
	clock, err := e.o.Servers.Start(ctx, a.To, a.Order)
	e.push(startedEvent{a, clock, err})
}

func (e *Engine) stop(a StopTask) {
	if !e.wait(a.DelayMS) {
		return
	}
	ctx, cancel := context.WithTimeout(e.ctx, orderTimeout)
	defer cancel()
	err := e.o.Servers.Stop(ctx, a.To, a.Order)
	e.push(stoppedEvent{a, err})
}

func (e *Engine) look(a LookAt) {
	if !e.wait(a.DelayMS) {
		return
	}
	ctx, cancel := context.WithTimeout(e.ctx, a.Look.Wait+lookSlack)
	defer cancel()
	sent := e.o.Now()
	list, err := e.o.Servers.Poll(ctx, a.To, a.Look)
	e.push(lookedEvent{a.To, sent, list, err})
}

func (e *Engine) ask(a AskAdvice) {
	advisor, expected, done := e.o.Policy.Acquire(a.Cost)
	ctx, cancel := context.WithTimeout(e.ctx, min(adviceTimes*expected+adviceSlack, adviceTimeout))
	defer cancel()
	began := e.o.Now()
	tickets, validity, err := advisor.Authorize(ctx, a.Step.StepName(), a.Servers)
	done(err)
	e.o.Metrics.advised.Update(e.o.Now().Sub(began).Seconds())
	e.push(advisedEvent{a, tickets, validity, err})
}

type storedEvent struct{ ticket uint64 }

func (ev storedEvent) apply(c *Core) { c.Stored(ev.ticket) }

type serversEvent struct{ list []ServerInfo }

func (ev serversEvent) apply(c *Core) { c.SetServers(ev.list) }

type startedEvent struct {
	action StartTask
	clock  int64
	err    error
}

func (ev startedEvent) apply(c *Core) { c.Started(ev.action.To, ev.action.Order, ev.clock, ev.err) }

type stoppedEvent struct {
	action StopTask
	err    error
}

func (ev stoppedEvent) apply(c *Core) { c.Stopped(ev.action.To, ev.action.Order, ev.err) }

type lookedEvent struct {
	to   Instance
	sent time.Time
	list PollResponse
	err  error
}

func (ev lookedEvent) apply(c *Core) { c.Looked(ev.to, ev.sent, ev.list, ev.err) }

type advisedEvent struct {
	action   AskAdvice
	tickets  []Ticket
	validity time.Duration
	err      error
}

func (ev advisedEvent) apply(c *Core) {
	c.Advised(ev.action.Step, ev.action.Servers, ev.tickets, ev.validity, ev.err)
}

// Epoch returns the Engine's epoch, or 0 before it has claimed the partition.
func (e *Engine) Epoch() uint64 {
	select {
	case <-e.claimed:
		return e.core.epoch
	default:
		return 0
	}
}
