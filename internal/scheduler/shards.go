package scheduler

import (
	"context"
	"time"

	"github.com/currantwinch/currantwinch/duty"
	"github.com/currantwinch/currantwinch/verdict"
)

const (
	// askTimeout limits the wait for the answers of the owners of other shards and
	// partitions.
	askTimeout = 700 * time.Millisecond
	// handoverTimeout limits one attempt of a handover, which the other owner stores.
	handoverTimeout = 1500 * time.Millisecond
)

// askRoom asks the owners of the other shards.
func (e *Engine) askRoom(a AskRoom) {
	ctx, cancel := context.WithTimeout(e.ctx, askTimeout)
	defer cancel()
	e.push(roomEvent{a.Question, e.o.Shards.Ask(ctx, a.Question)})
}

// handOver sends a handover once its delay is over.
func (e *Engine) handOver(a SendHandover) {
	if a.Delay > 0 && !duty.Sleep(e.ctx, a.Delay) {
		return
	}
	ctx, cancel := context.WithTimeout(e.ctx, handoverTimeout)
	defer cancel()
	a.Handover.From = e.o.Partition.Part
	err := e.o.Shards.HandOver(ctx, a.To, a.Handover)
	e.push(handoverEvent{a.Handover.Submission.ID, a.Handover.Number, err})
}

func (e *Engine) queryHeld(a QueryHeld) {
	ctx, cancel := context.WithTimeout(e.ctx, askTimeout)
	defer cancel()
	held, err := e.o.Shards.Held(ctx, a.Partition, a.IDs)
	e.push(heldEvent{a, held, err})
}

type roomEvent struct {
	question RoomQuestion
	answers  []RoomAnswer
}

func (ev roomEvent) apply(c *Core) { c.RoomAnswered(ev.question, ev.answers) }

type handoverEvent struct {
	id     string
	number int
	err    error
}

func (ev handoverEvent) apply(c *Core) { c.HandoverCompleted(ev.id, ev.number, ev.err) }

type heldEvent struct {
	action QueryHeld
	held   []bool
	err    error
}

func (ev heldEvent) apply(c *Core) {
	c.HeldCompleted(ev.action.Partition, ev.action.IDs, ev.held, ev.err)
}

// TakeOver accepts a submission that another partition hands over, and returns once it
// is stored. It is idempotent.
func (e *Engine) TakeOver(ctx context.Context, h Handover) error {
	if err := h.Submission.Validate(); err != nil {
		return verdict.Wrap(err, verdict.NotRun, ReasonBadOrder)
	}
	if err := e.awaitClaim(ctx); err != nil {
		return err
	}
	r, err := e.call(ctx, func(c *Core, reply func(Reply)) { c.TakeOver(h, reply) })
	if err == nil && r.Outcome != OutcomeDone {
		return verdict.New(verdict.NotRun, verdict.Reason(r.Reason), "not taken over: %s", r.Detail)
	}
	return err
}

// Room answers the question of another shard's owner.
func (e *Engine) Room(ctx context.Context, q RoomQuestion) (RoomAnswer, error) {
	return query(ctx, e, func(c *Core) RoomAnswer { return c.Room(q) })
}

// Held returns, for each submission, whether this partition knows it. It fails unless
// this daemon still owned the partition then.
func (e *Engine) Held(ctx context.Context, ids []string) ([]bool, error) {
	held, err := query(ctx, e, func(c *Core) []bool { return c.Held(ids) })
	if err != nil {
		return nil, err
	}
	if err := e.writer.ConfirmOwnership(ctx); err != nil {
		return nil, verdict.Wrap(err, verdict.NotRun, ReasonNotOwner)
	}
	return held, nil
}

// queryEvent asks the Core for a T.
type queryEvent[T any] struct {
	ask   func(c *Core) T
	reply chan T
}

func (ev queryEvent[T]) apply(c *Core) { ev.reply <- ev.ask(c) }

// query asks the Engine's Core and waits for the answer.
func query[T any](ctx context.Context, e *Engine, ask func(c *Core) T) (T, error) {
	var none T
	if err := e.awaitClaim(ctx); err != nil {
		return none, err
	}
	ev := queryEvent[T]{ask, make(chan T, 1)}
	if !e.events.Push(ctx, ev) {
		return none, verdict.Wrap(ctx.Err(), verdict.NotRun, ReasonTimeout)
	}
	select {
	case answer := <-ev.reply:
		return answer, nil
	case <-ctx.Done():
		return none, verdict.Wrap(ctx.Err(), verdict.NotRun, ReasonTimeout)
	case <-e.done:
		return none, verdict.New(verdict.NotRun, ReasonNotOwner, "the partition went to another owner")
	}
}

// noShards stands for the other shards of a service that has one.
type noShards struct{}

func (noShards) Several(string) bool { return false }

func (noShards) Locate(string, string) (Location, int) { return LocationUnknown, 0 }

func (noShards) MayHandOver() bool { return false }

func (noShards) Ask(context.Context, RoomQuestion) []RoomAnswer { return nil }

func (noShards) HandOver(context.Context, int, Handover) error {
	return verdict.New(verdict.NotRun, ReasonNotOwner, "there is no other shard")
}

func (noShards) Held(context.Context, int, []string) ([]bool, error) {
	return nil, verdict.New(verdict.NotRun, ReasonNotOwner, "there is no other shard")
}
