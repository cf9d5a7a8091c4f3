package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/currantwinch/currantwinch/cluster"
	"github.com/currantwinch/currantwinch/duty"
	"github.com/currantwinch/currantwinch/verdict"
	"golang.org/x/sync/errgroup"
)

const (
	settleInterval     = 50 * time.Millisecond
	settleStallTimeout = 10 * time.Second
	settleTimeout      = time.Second
	// maxSettleBytes bounds the bodies of the outcomes in one message, but for a
	// single larger one.
	maxSettleBytes = 256 << 10
	// maxPendingSettlements bounds the outcomes that are not yet delivered.
	maxPendingSettlements = 8192
)

// settler delivers the outcomes of attempts to key owners. It retries until the
// owner has confirmed the outcome or counts it as lost.
type settler struct {
	o     Options
	owner *keyOwner

	mu      sync.Mutex
	pending []pendingSettlement
	// sending counts the settlements that deliver is sending.
	sending int
	wake    chan struct{}
}

type pendingSettlement struct {
	item    keySettlement
	expires time.Time
}

func newSettler(o Options, owner *keyOwner) *settler {
	return &settler{o: o, owner: owner, wake: make(chan struct{}, 1)}
}

// add settles an attempt at once if this daemon owns its key, and else queues the
// settlement for delivery.
func (s *settler) add(item keySettlement, expires time.Time) {
	owner, ok := s.o.Owners.Owner(cluster.KeyShare(item.Key))
	if ok && owner.Name == s.o.Self.Name && s.owner.settle(writerOf(s.o.Self), []keySettlement{item}) == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.pending) >= maxPendingSettlements {
		// The key's owner counts the outcome of the dropped one as lost, with the
		// verdict MayHaveRun, which still holds.
		s.pending = s.pending[1:]
	}
	s.pending = append(s.pending, pendingSettlement{item, expires})
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// run delivers queued settlements in batches.
func (s *settler) run(ctx context.Context, turn duty.Heartbeat) error {
	idle := time.NewTicker(settleStallTimeout / 4)
	defer idle.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-s.wake:
			s.deliver(ctx)
			if !duty.Sleep(ctx, settleInterval) {
				return nil
			}
		case <-idle.C:
		}
		turn()
	}
}

// deliver sends every queued settlement once. Those that fail stay queued.
func (s *settler) deliver(ctx context.Context) {
	s.mu.Lock()
	items := s.pending
	s.pending = nil
	s.sending = len(items)
	s.mu.Unlock()
	var failed []pendingSettlement
	var mu sync.Mutex
	var calls errgroup.Group
	for daemon, batch := range s.groupByOwner(items) {
		calls.Go(func() error {
			if undelivered := s.send(ctx, daemon, batch); len(undelivered) > 0 {
				mu.Lock()
				failed = append(failed, undelivered...)
				mu.Unlock()
			}
			return nil
		})
	}
	_ = calls.Wait()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sending = 0
	s.pending = append(failed, s.pending...)
	if len(s.pending) > 0 {
		select {
		case s.wake <- struct{}{}:
		default:
		}
	}
}

// groupByOwner groups settlements by the daemon that owns their keys now and drops
// those whose outcome the owner counts as lost by now.
func (s *settler) groupByOwner(items []pendingSettlement) map[string][]pendingSettlement {
	batches := make(map[string][]pendingSettlement)
	for _, pending := range items {
		if !s.o.Now().Before(pending.expires) {
			continue
		}
		owner, _ := s.o.Owners.Owner(cluster.KeyShare(pending.item.Key))
		batches[owner.Name] = append(batches[owner.Name], pending)
	}
	return batches
}

// send delivers one owner's settlements and returns those not delivered.
func (s *settler) send(ctx context.Context, daemon string, batch []pendingSettlement) []pendingSettlement {
	for len(batch) > 0 {
		n := settleBatchLen(batch)
		if err := s.sendBatch(ctx, daemon, batch[:n]); err != nil {
			return batch
		}
		batch = batch[n:]
	}
	return nil
}

func settleBatchLen(batch []pendingSettlement) int {
	bytes := 0
	for i, pending := range batch {
		bytes += len(pending.item.Outcome.Body)
		if i > 0 && bytes > maxSettleBytes {
			return i
		}
	}
	return len(batch)
}

func (s *settler) sendBatch(ctx context.Context, daemon string, batch []pendingSettlement) error {
	items := make([]keySettlement, len(batch))
	for i, pending := range batch {
		items[i] = pending.item
	}
	if daemon == s.o.Self.Name {
		return s.owner.settle(writerOf(s.o.Self), items)
	}
	ctx, cancel := context.WithTimeout(ctx, settleTimeout)
	defer cancel()
	return s.o.Peers.Call(ctx, daemon, methodKeySettle, keySettleRequest{Items: items, Incarnation: s.o.Self.Incarnation}, nil)
}

// flush waits until every settlement is delivered. It fails if ctx ends first.
func (s *settler) flush(ctx context.Context) error {
	for s.pendingCount() > 0 {
		if !duty.Sleep(ctx, settleInterval) {
			return verdict.Wrap(ctx.Err(), verdict.MayHaveRun, ReasonStopping)
		}
	}
	return nil
}

func (s *settler) pendingCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.pending) + s.sending
}
