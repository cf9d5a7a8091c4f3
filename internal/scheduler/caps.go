package scheduler

import (
	"context"
	"time"

	"github.com/currantwinch/currantwinch/duty"
	"github.com/currantwinch/currantwinch/tenant"
	"github.com/currantwinch/currantwinch/verdict"
)

const (
	// capTimeout limits one attempt to send a transfer to the owner of another partition.
	capTimeout = 1500 * time.Millisecond
	// storeHolderPause is the time from the end of an attempt to store the first holder to
	// the next one.
	storeHolderPause = 200 * time.Millisecond
)

// CapTransfer is a part of a tenant's cap that is sent from one partition to another.
type CapTransfer struct {
	// From is the sending partition, Number counts its transfers of this tenant's cap, and
	// Amount is in millionths of the cap.
	Tenant string `json:"tenant"`
	From   int    `json:"from"`
	Number uint64 `json:"number"`
	Amount int64  `json:"amount"`
}

// CapHolder says which partition held the whole of all caps at first.
type CapHolder struct {
	// Known is set if one is stored, and First if it is this partition.
	Known, First bool
	// Loaded is set once the records that name it have been read.
	Loaded bool
}

// Caps reaches the owners of the other partitions, with which the tenants' caps are shared.
type Caps interface {
	// Holder returns what is known of the first holder. It does no I/O.
	Holder() CapHolder
	// StoreHolder stores this partition as the first holder, unless there is one.
	StoreHolder(ctx context.Context) error
	// Others lists the other partitions that hold shards of any service. It does no I/O.
	Others() []int
	// Ask passes a request to the owner of a partition. A grant arrives as a transfer, not
	// as a result.
	Ask(ctx context.Context, partition int, q tenant.Question) error
	// Send returns nil once the owner of the partition has stored the transfer.
	Send(ctx context.Context, partition int, t CapTransfer) error
}

// AskCap asks the owners of all other partitions for a part of a tenant's cap.
type AskCap struct{ Question tenant.Question }

// SendCap sends a stored transfer.
type SendCap struct {
	Tenant   string
	Transfer tenant.Transfer
	// Delay is the time before it is sent.
	Delay time.Duration
}

func (AskCap) action()  {}
func (SendCap) action() {}

// updateCaps tells the Core whether its partition is the first holder, and stores it as that
// if none is stored.
func (e *Engine) updateCaps() {
	if e.o.Caps == nil {
		return
	}
	holder := e.o.Caps.Holder()
	e.core.SetCapHolder(holder, len(e.o.Caps.Others()))
	if holder.Loaded && !holder.Known && e.core.tenants.ledger.Active() && e.storingHolder.CompareAndSwap(false, true) {
		go func() {
			defer e.storingHolder.Store(false)
			// The outcome shows in Holder; a failed attempt is repeated.
			_ = e.o.Caps.StoreHolder(e.ctx)
			duty.Sleep(e.ctx, storeHolderPause)
		}()
	}
}

// askCap sends a request to the owners of all other partitions. A grant arrives as a
// transfer.
func (e *Engine) askCap(a AskCap) {
	a.Question.From = e.o.Partition.Part
	for _, part := range e.o.Caps.Others() {
		go func() {
			ctx, cancel := context.WithTimeout(e.ctx, askTimeout)
			defer cancel()
			// An error counts as no grant. The Core asks again after capAskInterval.
			_ = e.o.Caps.Ask(ctx, part, a.Question)
		}()
	}
}

// sendCap sends a transfer once its delay is over.
func (e *Engine) sendCap(a SendCap) {
	if a.Delay > 0 && !duty.Sleep(e.ctx, a.Delay) {
		return
	}
	ctx, cancel := context.WithTimeout(e.ctx, capTimeout)
	defer cancel()
	t := CapTransfer{Tenant: a.Tenant, From: e.o.Partition.Part, Number: a.Transfer.Number, Amount: a.Transfer.Amount}
	e.push(capSentEvent{a, e.o.Caps.Send(ctx, a.Transfer.To, t)})
}

type capSentEvent struct {
	action SendCap
	err    error
}

func (ev capSentEvent) apply(c *Core) {
	c.CapSent(ev.action.Tenant, ev.action.Transfer.Number, ev.err)
}

type capAskedEvent struct{ question tenant.Question }

func (ev capAskedEvent) apply(c *Core) { c.CapAsked(ev.question) }

// AskCap handles the request of another partition's owner for a part of a tenant's cap.
func (e *Engine) AskCap(ctx context.Context, q tenant.Question) error {
	if err := e.awaitClaim(ctx); err != nil {
		return err
	}
	q.Precedes = q.From < e.o.Partition.Part
	if !e.events.Push(ctx, capAskedEvent{q}) {
		return verdict.Wrap(ctx.Err(), verdict.NotRun, ReasonTimeout)
	}
	return nil
}

// TakeCap takes a transfer from another partition, and returns once it is stored. It is
// idempotent.
func (e *Engine) TakeCap(ctx context.Context, t CapTransfer) error {
	if err := e.awaitClaim(ctx); err != nil {
		return err
	}
	_, err := e.call(ctx, func(c *Core, reply func(Reply)) { c.TakeCap(t, reply) })
	return err
}
