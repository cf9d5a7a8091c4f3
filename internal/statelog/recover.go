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

// recoverAtStart tries the log and then the peers until one gives state or
// ctx ends.
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

// catchUp folds the tail after a recovery.
func (s *Store) catchUp(ctx context.Context) error {
	_, _, err := s.ReadNow(ctx)
	return err
}

// recoverFromLog takes the state from the newest whole snapshot in the log,
// or from the beginning of a log that is still whole.
func (s *Store) recoverFromLog(ctx context.Context, turn duty.Heartbeat) error {
	if wait := s.nextSearch().Sub(s.options.Now()); wait > 0 {
		return errors.Errorf("log was searched for a snapshot lately, next time in %s", wait)
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
		s.adopt(found, "log")
		return s.foldScanned(search)
	case oldest == 0:
		s.adopt(state.New(), "log")
		return s.foldScanned(search)
	case s.options.AllowDataLoss:
		s.adopt(state.NewAt(oldest), "log, with loss")
		return nil
	}
	s.mu.Lock()
	s.searchAfter = s.options.Now().Add(searchPause)
	s.mu.Unlock()
	if _, based := s.cursor(); !based {
		s.options.Events.Log(events.StateMissing, "oldest", oldest, "head", head)
	}
	return errors.Errorf("log keeps no snapshot that reaches its oldest offset %d", oldest)
}

// searchPause is the wait after a search of the whole log that found nothing.
const searchPause = 30 * time.Second

func (s *Store) nextSearch() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.searchAfter
}

// foldScanned folds what the search has read already, as far as it continues
// the state. The tail reads the rest.
func (s *Store) foldScanned(search *search) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, window := range slices.Backward(search.windows) {
		if len(window) == 0 || window[0].Offset > s.state.Next() {
			continue
		}
		if err := s.applyAll(window); err != nil {
			return err
		}
	}
	return nil
}
