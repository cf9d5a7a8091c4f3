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
	settleEvery   = 50 * time.Millisecond
	settleQuiet   = 10 * time.Second
	settleTimeout = time.Second
	// maxSettleBytes bounds the outcomes of one message.
	maxSettleBytes = 256 << 10
	// maxUnsettled bounds the attempts whose end the owner has not heard.
	maxUnsettled = 8192
)

// settler tells key owners what became of attempts. It repeats until the
// owner has heard or has given the attempt up.
type settler struct {
	o     Options
	owner *keyOwner

	mu    sync.Mutex
	items []unsettled
	// sending counts the items that are on their way.
	sending int
	wake    chan struct{}
}

type unsettled struct {
	item  keySettlement
	until time.Time
}

func newSettler(o Options, owner *keyOwner) *settler {
	return &settler{o: o, owner: owner, wake: make(chan struct{}, 1)}
}

// add delivers an item, at once where this daemon owns the key.
func (s *settler) add(item keySettlement, until time.Time) {
	owner, ok := s.o.Owners.Owner(cluster.KeyShare(item.Key))
	if ok && owner.Name == s.o.Self.Name && s.owner.settle(writerOf(s.o.Self), []keySettlement{item}) == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.items) >= maxUnsettled {
		// The key's owner counts the oldest as lost, which is true for it.
		s.items = s.items[1:]
	}
	s.items = append(s.items, unsettled{item, until})
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// run delivers what was added, in batches.
func (s *settler) run(ctx context.Context, turn duty.Turn) error {
	idle := time.NewTicker(settleQuiet / 4)
	defer idle.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-s.wake:
			s.deliver(ctx)
			if !duty.Sleep(ctx, settleEvery) {
				return nil
			}
		case <-idle.C:
		}
		turn()
	}
}

// deliver sends every item once. What fails is kept for the next time.
func (s *settler) deliver(ctx context.Context) {
	s.mu.Lock()
	items := s.items
	s.items = nil
	s.sending = len(items)
	s.mu.Unlock()
	var failed []unsettled
	var mu sync.Mutex
	var calls errgroup.Group
	for daemon, batch := range s.byOwner(items) {
		calls.Go(func() error {
			if left := s.send(ctx, daemon, batch); len(left) > 0 {
				mu.Lock()
				failed = append(failed, left...)
				mu.Unlock()
			}
			return nil
		})
	}
	_ = calls.Wait()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sending = 0
	s.items = append(failed, s.items...)
	if len(s.items) > 0 {
		select {
		case s.wake <- struct{}{}:
		default:
		}
	}
}

// byOwner sorts items by the daemon that owns their keys now and drops those
// that the owner has given up.
func (s *settler) byOwner(items []unsettled) map[string][]unsettled {
	batches := make(map[string][]unsettled)
	for _, u := range items {
		if !s.o.Now().Before(u.until) {
			continue
		}
		owner, _ := s.o.Owners.Owner(cluster.KeyShare(u.item.Key))
		batches[owner.Name] = append(batches[owner.Name], u)
	}
	return batches
}

// send delivers one owner's items and returns those not delivered.
func (s *settler) send(ctx context.Context, daemon string, batch []unsettled) []unsettled {
	for len(batch) > 0 {
		n := batchLen(batch)
		if err := s.sendBatch(ctx, daemon, batch[:n]); err != nil {
			return batch
		}
		batch = batch[n:]
	}
	return nil
}

func batchLen(batch []unsettled) int {
	bytes := 0
	for i, u := range batch {
		bytes += len(u.item.Outcome.Body)
		if i > 0 && bytes > maxSettleBytes {
			return i
		}
	}
	return len(batch)
}

func (s *settler) sendBatch(ctx context.Context, daemon string, batch []unsettled) error {
	items := make([]keySettlement, len(batch))
	for i, u := range batch {
		items[i] = u.item
	}
	if daemon == s.o.Self.Name {
		return s.owner.settle(writerOf(s.o.Self), items)
	}
	ctx, cancel := context.WithTimeout(ctx, settleTimeout)
	defer cancel()
	return s.o.Peers.Call(ctx, daemon, methodKeySettle, keySettle{Items: items, Incarnation: s.o.Self.Incarnation}, nil)
}

// flush waits until nothing is left to deliver, at most until ctx ends.
func (s *settler) flush(ctx context.Context) error {
	for s.depth() > 0 {
		if !duty.Sleep(ctx, settleEvery) {
			return verdict.Wrap(ctx.Err(), verdict.MayHaveRun, ReasonStopping)
		}
	}
	return nil
}

func (s *settler) depth() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.items) + s.sending
}
