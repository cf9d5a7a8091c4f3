package scheduler

import (
	"context"
	"sync/atomic"
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
	// authorizationTimeout limits the wait for the policy service, including
	// the time in its queue. An answer that takes longer than
	// authorizationTimeFactor times the expected time plus authorizationSlack,
	// which covers the hop through another daemon, is not going to come.
	authorizationTimeout    = 4 * time.Second
	authorizationTimeFactor = 2
	authorizationSlack      = 600 * time.Millisecond
	// tickInterval is the time between two calls of Core.Tick.
	tickInterval = 50 * time.Millisecond
	// eventCapacity limits the events queued for the Core.
	eventCapacity = 4096
	// candidatesInterval is the time between two looks at the candidates for witnesses.
	candidatesInterval = time.Second
	// maxEventBurst limits the events applied before actions are carried out.
	maxEventBurst = 64
)

// Reasons of the errors that an Engine returns.
const (
	// ReasonNotOwner: this daemon does not own the partition.
	ReasonNotOwner verdict.Reason = "not_owner"
	// ReasonTimeout: the caller's context ended first.
	ReasonTimeout verdict.Reason = "timeout"
)

// PolicyClients provides the daemons through which the policy service can be
// asked.
type PolicyClients interface {
	// Count returns the number of daemons.
	Count() int
	// Acquire returns the client that is expected to be free first, for a
	// request that takes cost, and the expected time to its answer. The caller
	// must call done with the outcome.
	Acquire(cost time.Duration) (PolicyClient, time.Duration, func(error))
}

// EngineOptions configures an Engine.
type EngineOptions struct {
	Log       partition.Log
	Partition partition.ID
	// Daemon is this daemon's name in the claim record.
	Daemon string
	// Bounds holds for as long as the Engine runs, but for the memory's.
	Bounds Bounds
	// MemoryBudget returns how many bytes the partition's submissions may take now; 0
	// means that there is no bound. It may be nil.
	MemoryBudget func() int64
	Servers      ServerClient
	// Forwarder is used while this daemon's link is the bottleneck. It may be
	// nil.
	Forwarder StartForwarder
	Policy    PolicyClients
	// Shards reaches the owners of the other shards; nil if there are none.
	Shards Shards
	// Caps reaches the owners with which the tenants' caps are shared; nil if there are
	// none.
	Caps Caps
	// Config returns the configuration in force, or nil.
	Config func() *routing.Configuration
	// LeaseValid reports whether this daemon's group lease is valid, so that no
	// other daemon can own the partition.
	LeaseValid func() bool
	// Witnesses are the daemons that can witness the claim; nil if other daemons cannot
	// be called.
	Witnesses Witnesses
	// Watch follows the platform's server list until its context ends, and
	// passes the complete list at each change.
	Watch   func(ctx context.Context, whole func([]ServerInfo)) error
	Events  *events.Logger
	Metrics *Metrics
	Now     func() time.Time
	Wall    func() int64
}

// Engine runs a Core: it claims the partition, feeds events to the Core and
// carries out its actions.
type Engine struct {
	o      EngineOptions
	core   *Core
	writer *partition.Writer
	events *ring.Ring[event]
	orders *orderSender
	// claimed is closed once the claim is in the log.
	claimed chan struct{}
	done    chan struct{}
	ctx     context.Context
	// end ends Run with an error.
	end context.CancelCauseFunc
	// superseded holds the epoch of a later owner once that is known.
	superseded chan uint64
	// priorExpired is closed once the leases of all earlier owners have expired.
	priorExpired chan struct{}
	// witnesses are the daemons to ask for attestations.
	witnesses atomic.Pointer[[]string]
	// confirmedAt is the confirmation of the ownership that the Core was told of last.
	confirmedAt time.Time
	// evidenceWanted is set if the ownership is to be confirmed at once.
	evidenceWanted atomic.Bool
	// storingHolder is set while the first holder of the caps is being stored.
	storingHolder atomic.Bool
	// config is the configuration that the Core has.
	config *routing.Configuration
	// candidatesAt is when the candidates for witnesses were last looked at.
	candidatesAt time.Time
}

// event is an input of the Core.
type event interface{ apply(c *Core) }

// NewEngine returns an Engine. It owns nothing before Run.
func NewEngine(o EngineOptions) *Engine {
	if o.Shards == nil {
		o.Shards = noShards{}
	}
	if o.MemoryBudget == nil {
		o.MemoryBudget = func() int64 { return 0 }
	}
	if o.Witnesses == nil {
		o.Witnesses = noWitnesses{}
	}
	e := &Engine{
		o: o, events: ring.New[event]("scheduler-events", eventCapacity, ring.Block), claimed: make(chan struct{}), done: make(chan struct{}),
		superseded: make(chan uint64, 1), priorExpired: make(chan struct{}),
	}
	e.orders = newOrderSender(e)
	return e
}

// Run claims the partition and serves it until ctx ends. It returns
// partition.ErrFenced once another owner has written or sent orders.
func (e *Engine) Run(ctx context.Context, turn duty.Heartbeat) error {
	defer close(e.done)
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	e.ctx, e.end = ctx, cancel
	claim, err := e.claim(ctx)
	if err != nil {
		return err
	}
	defer e.o.Metrics.withdrawTenants(e.core)
	close(e.claimed)
	e.requestPromises(ctx, claim)
	go func() {
		if err := e.writer.Run(ctx); err != nil {
			cancel(err)
		}
	}()
	go e.gatherEvidence(ctx)
	go func() {
		if err := e.o.Watch(ctx, func(list []ServerInfo) { e.push(serversEvent{list}) }); err != nil {
			cancel(err)
		}
	}()
	defer e.refuseUnsent()
	return e.loop(ctx, turn)
}

// claim reads the partition and claims it with an epoch above all earlier ones.
func (e *Engine) claim(ctx context.Context) (workload.PartitionOwner, error) {
	began, wallBegan := e.o.Now(), e.o.Wall()
	records, end, err := partition.ReadAll(ctx, e.o.Log, e.o.Partition)
	if err != nil {
		return workload.PartitionOwner{}, errors.Wrap(err, "read partition")
	}
	before := LastClaim(records)
	claim := nextClaim(records, e.o.Daemon, e.o.Bounds, chooseWitnesses(e.o.Partition, e.o.Daemon, e.o.Witnesses.Candidates()))
	epoch := claim.Epoch
	written := func(writeID uint64) { e.push(storedEvent{writeID}) }
	e.writer, err = partition.Claim(ctx, e.o.Log, e.o.Partition, epoch, end, ClaimRecord(claim), e.o.Now, written)
	if err != nil {
		return claim, errors.Wrapf(err, "claim partition %d after epoch %d of %q", e.o.Partition.Part, before.Epoch, before.Daemon)
	}
	e.writer.OnRejected(func(writeID uint64, err error) { e.push(rejectedEvent{writeID, err}) })
	bounds := e.o.Bounds
	bounds.MemoryBytes = e.o.MemoryBudget()
	e.core = NewCore(epoch, bounds, records, e.o.Events, e.o.Metrics, e.o.Now(), e.o.Wall())
	e.o.Events.Log(events.OwnerClaimed, "partition", e.o.Partition.Part, "epoch", epoch, "offset", end, "before", before.Daemon,
		"records", len(records), "took", e.o.Now().Sub(began).Milliseconds())
	e.core.SetClaim(claim, e.writer.ConfirmedAt(), wallBegan+e.writer.ConfirmedAt().Sub(began).Milliseconds())
	return claim, nil
}

func (e *Engine) loop(ctx context.Context, turn duty.Heartbeat) error {
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	e.setTime()
	e.updateEvidence()
	e.core.SetLocate(e.o.Shards.Locate)
	e.updateCaps()
	e.configure()
	e.core.PollAll()
	e.core.ResumeHandovers()
	e.execute(e.core.Finish(true))
	pacer := newPacer(e.o.Now)
	defer pacer.stop()
	for {
		turn()
		select {
		case <-pacer.ready():
			pacer.armed = false
			e.setTime()
		case <-ctx.Done():
			return context.Cause(ctx)
		case later := <-e.superseded:
			if later > e.core.epoch {
				e.o.Events.Log(events.OwnerSuperseded, "partition", e.o.Partition.Part, "epoch", e.core.epoch, "later", later)
				return partition.ErrFenced
			}
		case ev := <-e.events.C():
			e.applyBatch(ev)
		case <-tick.C:
			e.setTime()
			e.configure()
			e.core.SetPolicyClientCount(e.o.Policy.Count())
			e.core.SetSharded(e.o.Shards.Several)
			e.core.SetMemoryLimit(e.o.MemoryBudget())
			e.core.SetMayHandOver(e.core.Misrouted() && e.o.Shards.MayHandOver())
			e.orders.observe()
			e.updateEvidence()
			e.updateCaps()
			e.core.Tick()
			e.withdrawUnstored()
		}
		e.core.SetStartRoom(e.orders.room())
		mayPlace := pacer.mayPlace()
		made := mayPlace && e.core.PlacementPending()
		actions := e.core.Finish(mayPlace)
		pacer.roundDone(made, e.core.PlacementPending())
		e.execute(actions)
		if e.core.Fenced() {
			return partition.ErrFenced
		}
	}
}

// configure passes the configuration in force on this daemon to the Core if that has another one.
func (e *Engine) configure() {
	if now := e.o.Config(); now != nil && now != e.config {
		e.config = now
		e.core.Configure(now)
	}
}

// withdrawUnstored refuses the submissions that wait for a log that stores
// nothing, as far as they were not sent to it. Their callers can try again in
// time, instead of learning later that the submission may have been stored.
func (e *Engine) withdrawUnstored() {
	delay := e.writer.OldestWait()
	if delay <= maxStoreDelay {
		return
	}
	if ids := e.core.UnstoredWrites(); len(ids) > 0 {
		e.core.WritesWithdrawn(e.writer.Withdraw(ids), delay)
	}
}

// applyBatch applies an event and those that are already queued, so that they share one
// placement pass. Each gets a time of its own: what an event reports has happened by the
// time at which it is applied, so that a poll that was sent later must show it.
func (e *Engine) applyBatch(ev event) {
	e.setTime()
	ev.apply(e.core)
	for range maxEventBurst {
		select {
		case ev = <-e.events.C():
			e.setTime()
			ev.apply(e.core)
		default:
			return
		}
	}
}

func (e *Engine) setTime() {
	now := e.o.Now()
	e.core.SetTime(now, e.o.Wall())
	if at := e.writer.ConfirmedAt(); at != e.confirmedAt {
		e.confirmedAt = at
		e.core.SetOwnershipConfirmed(at)
	}
}

// updateEvidence tells the goroutines that gather evidence what the Core needs now.
func (e *Engine) updateEvidence() {
	if e.core.PriorLeasesExpired() {
		select {
		case <-e.priorExpired:
		default:
			close(e.priorExpired)
		}
	}
	if now := e.o.Now(); now.Sub(e.candidatesAt) >= candidatesInterval {
		e.candidatesAt = now
		candidates := e.o.Witnesses.Candidates()
		e.core.UpdateWitnesses(chooseWitnesses(e.o.Partition, e.o.Daemon, candidates), candidates)
	}
	witnesses := e.core.tenure.witnesses()
	e.witnesses.Store(&witnesses)
	if e.core.TakeConfirmationDue() || !e.core.mayStartTasks() {
		e.evidenceWanted.Store(true)
	}
}

func (e *Engine) push(ev event) { e.events.Push(e.ctx, ev) }

// execute starts the actions that the Core returned. It does not block on their
// outcome.
func (e *Engine) execute(actions []Action) {
	var orders []Action
	for _, a := range actions {
		switch a := a.(type) {
		case SendReply:
			a.Reply(a.Answer)
		case Store:
			e.writer.Enqueue(a.WriteID, a.Records)
		case StartTask, StopTask, PollServer:
			orders = append(orders, a)
		case RequestAuthorization:
			go e.authorize(a)
		case AskRoom:
			go e.askRoom(a)
		case SendHandover:
			go e.handOver(a)
		case AskCap:
			e.askCap(a)
		case SendCap:
			go e.sendCap(a)
		case QueryHeld:
			go e.queryHeld(a)
		}
	}
	e.orders.add(orders)
	e.orders.pump()
}

func (e *Engine) authorize(a RequestAuthorization) {
	client, expected, done := e.o.Policy.Acquire(a.Cost)
	ctx, cancel := context.WithTimeout(e.ctx, min(authorizationTimeFactor*expected+authorizationSlack, authorizationTimeout))
	defer cancel()
	began := e.o.Now()
	tickets, validity, err := client.Authorize(ctx, a.Step.StepName(), a.Servers)
	done(err)
	e.o.Metrics.authorizationTime.Update(e.o.Now().Sub(began).Seconds())
	e.push(authorizedEvent{a, tickets, e.o.Now().Add(validity), err})
}

type storedEvent struct{ writeID uint64 }

func (ev storedEvent) apply(c *Core) { c.WritesStored(ev.writeID) }

type rejectedEvent struct {
	writeID uint64
	err     error
}

func (ev rejectedEvent) apply(c *Core) { c.WriteRejected(ev.writeID, ev.err) }

type serversEvent struct{ list []ServerInfo }

func (ev serversEvent) apply(c *Core) { c.SetServers(ev.list) }

type startedEvent struct {
	action StartTask
	clock  int64
	err    error
}

func (ev startedEvent) apply(c *Core) {
	c.StartCompleted(ev.action.To, ev.action.Order, ev.clock, ev.err)
}

type stoppedEvent struct {
	action StopTask
	err    error
}

func (ev stoppedEvent) apply(c *Core) { c.StopCompleted(ev.action.To, ev.action.Order, ev.err) }

type polledEvent struct {
	to   Instance
	sent time.Time
	list PollResponse
	err  error
}

func (ev polledEvent) apply(c *Core) { c.PollCompleted(ev.to, ev.sent, ev.list, ev.err) }

type authorizedEvent struct {
	action     RequestAuthorization
	tickets    []Ticket
	validUntil time.Time
	err        error
}

func (ev authorizedEvent) apply(c *Core) {
	c.AuthorizationCompleted(ev.action.Step, ev.action.Servers, ev.tickets, ev.validUntil.Sub(c.now), ev.err)
}

// Epoch returns the Engine's epoch, or 0 before the claim.
func (e *Engine) Epoch() uint64 {
	select {
	case <-e.claimed:
		return e.core.epoch
	default:
		return 0
	}
}
