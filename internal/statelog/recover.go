package statelog

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/currantwinch/currantwinch/duty"
	"github.com/currantwinch/currantwinch/internal/events"
	"github.com/currantwinch/currantwinch/state"
	"github.com/pkg/errors"
)

// recoverAtStart tries to recover from the log and then from peers, with
// backoff, until one succeeds or ctx ends.
func (s *Store) recoverAtStart(ctx context.Context) {
	random := rand.New(rand.NewPCG(s.options.Seed, 0x57a7))
	for attempt := 1; ctx.Err() == nil; attempt++ {
		if s.recoverFromLog(ctx, func() {}) == nil && s.catchUp(ctx) == nil {
			return
		}
		if s.recoverFromPeers(ctx) {
			return
		}
		duty.Sleep(ctx, readBackoff.Wait(attempt, random))
	}
}

// catchUp applies the records after a recovered snapshot.
func (s *Store) catchUp(ctx context.Context) error {
	_, _, err := s.ReadNow(ctx)
	return err
}

// recoverFromLog recovers the state from the newest complete snapshot in the
// log, or from the beginning of a log that has dropped nothing.
func (s *Store) recoverFromLog(ctx context.Context, turn duty.Heartbeat) error {
	if wait := s.nextSearch().Sub(s.options.Now()); wait > 0 {
		return errors.Errorf("the log was searched for a snapshot recently; next search in %s", wait)
	}
	oldest, head, err := s.client.Bounds(ctx)
	if err != nil {
		return err
	}
	search := newSearch(s, turn, oldest, head)
	found, err := search.run(ctx)
	if err != nil {
		return err
	}
	switch {
	case found != nil:
		s.replaceState(found, "log")
		return s.applyScanned(search)
	case oldest == 0:
		s.replaceState(state.New(), "log")
		return s.applyScanned(search)
	case s.options.AllowDataLoss:
		s.replaceState(state.NewAt(oldest), "log, with loss")
		return nil
	}
	s.mu.Lock()
	s.searchAfter = s.options.Now().Add(searchRetryDelay)
	s.mu.Unlock()
	if _, hasBase := s.cursor(); !hasBase {
		s.options.Events.Log(events.StateMissing, "oldest", oldest, "head", head)
	}
	return errors.Errorf("the log has no snapshot that reaches its oldest offset %d", oldest)
}

// searchRetryDelay is the delay after a search of the whole log that found no
// usable snapshot.
const searchRetryDelay = 30 * time.Second

func (s *Store) nextSearch() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.searchAfter
}

// applyScanned applies the records that the search has already read, as far as
// they continue the state. The tail duty reads the rest.
func (s *Store) applyScanned(search *snapshotSearch) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, window := range slices.Backward(search.windows) {
		if len(window) == 0 || window[0].Offset > s.state.Next() {
			continue
		}
		if err := s.applyRecords(window); err != nil {
			return err
		}
	}
	return nil
}
