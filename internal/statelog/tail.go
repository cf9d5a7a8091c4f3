package statelog

import (
	"bytes"
	"context"
	"math/rand/v2"
	"time"

	"github.com/currantwinch/currantwinch/duty"
	"github.com/currantwinch/currantwinch/internal/events"
	"github.com/currantwinch/currantwinch/logclient"
	"github.com/currantwinch/currantwinch/record"
	"github.com/currantwinch/currantwinch/state"
	"github.com/pkg/errors"
)

// readBackoff is short, since the right to act for shares lives on reads.
var readBackoff = logclient.Backoff{Initial: 100 * time.Millisecond, Max: 2 * time.Second}

// tail reads the log from the state's offset on, for ever.
func (s *Store) tail(ctx context.Context, turn duty.Heartbeat) error {
	random := rand.New(rand.NewPCG(s.options.Seed, 0x7a11))
	health := s.Health()
	failures := 0
	for ctx.Err() == nil {
		turn()
		err := s.readOnce(ctx, turn)
		health = s.reportHealth(health)
		if err == nil {
			failures = 0
			continue
		}
		failures++
		s.handleReadError(ctx, turn, err, failures)
		duty.Sleep(ctx, readBackoff.Wait(failures, random))
	}
	return nil
}

func (s *Store) reportHealth(before logclient.Health) logclient.Health {
	now := s.Health()
	if now != before {
		s.options.Events.Log(events.LogHealthChanged,
			"from", before.String(), "to", now.String(), "offset", s.view.Load().Offset())
	}
	return now
}

// readOnce reads one batch and folds it, or recovers if there is no state.
func (s *Store) readOnce(ctx context.Context, turn duty.Heartbeat) error {
	if _, based := s.cursor(); !based {
		return s.recoverFromLog(ctx, turn)
	}
	_, err := s.readOn(ctx, logclient.MaxReadWait)
	return err
}

// readOn reads one batch from the state's offset on and folds it. After a
// failure it first makes sure that the log is still the one that was read
// before.
func (s *Store) readOn(ctx context.Context, wait time.Duration) (batch logclient.ReadBatch, err error) {
	defer func() {
		if err != nil {
			s.failures.Add(1)
		}
	}()
	if failures := s.failures.Load(); failures != s.verified.Load() {
		if err := s.verifyLast(ctx); err != nil {
			return batch, err
		}
		s.verified.Store(failures)
	}
	next, _ := s.cursor()
	batch, err = s.client.Read(ctx, next, wait)
	if err != nil {
		return batch, err
	}
	s.behind.Store(false)
	return batch, s.fold(batch)
}

// verifyLast reads the last folded record again and compares it. It fails
// with RewrittenError where the log, say restored from a copy, has another.
func (s *Store) verifyLast(ctx context.Context) error {
	s.mu.Lock()
	last, ok := s.recent.last()
	s.mu.Unlock()
	if !ok {
		return nil
	}
	batch, err := s.client.Read(ctx, last.Offset, 0)
	var retention *logclient.RetentionError
	if errors.As(err, &retention) {
		return nil
	}
	if err != nil {
		return err
	}
	if len(batch.Records) == 0 || !bytes.Equal(batch.Records[0].Data, last.Data) {
		s.client.MarkTruncated()
		return &logclient.RewrittenError{Offset: last.Offset}
	}
	return s.fold(batch)
}

// handleReadError deals with a log that no longer has what is to be read.
func (s *Store) handleReadError(ctx context.Context, turn duty.Heartbeat, err error, failures int) {
	var retention *logclient.RetentionError
	var truncated *logclient.TruncatedError
	var gap *logclient.GapError
	var rewritten *logclient.RewrittenError
	switch {
	case errors.As(err, &retention):
		if failures == 1 {
			s.options.Events.Log(events.LogTruncated, "error", err)
		}
		s.behind.Store(s.recoverFromLog(ctx, turn) != nil)
	case errors.As(err, &truncated), errors.As(err, &gap), errors.As(err, &rewritten):
		if failures == 1 {
			s.options.Events.Log(events.LogTruncated, "error", err)
		}
	}
}

// fold applies a batch, makes the new view visible, and then passes on the
// evidence that the batch is.
func (s *Store) fold(batch logclient.ReadBatch) error {
	s.mu.Lock()
	s.oldest, s.head = batch.Oldest, max(s.head, batch.Head)
	err := s.applyAll(batch.Records)
	reached := err == nil && batch.ReachedHead() && s.state.Next() >= batch.Head
	if reached {
		s.show()
		s.source.Confirmed = true
	}
	s.mu.Unlock()
	if reached {
		for _, f := range s.onRead {
			f(batch.StartedAt, batch.Head)
		}
	}
	return err
}

// applyAll folds records that continue the state and publishes the view. The
// caller holds mu.
func (s *Store) applyAll(records []logclient.StoredRecord) error {
	before := s.state.Next()
	var err error
	for _, stored := range records {
		if err = s.applyOne(stored); err != nil {
			break
		}
	}
	if s.state.Next() != before && s.source.Recovered {
		s.publish()
	}
	return err
}

func (s *Store) applyOne(stored logclient.StoredRecord) error {
	applied, err := s.state.Apply(stored)
	if err != nil || applied.AlreadyApplied {
		return err
	}
	s.recent.add(stored)
	s.snapshots.logTime = stored.Time
	r := applied.Record
	if r.Key != "" {
		s.client.ObserveRecord(r.Key, stored)
	}
	if r.Kind == record.KindSnapshot && applied.RefusalReason == "" {
		s.snapshots.see(stored, *r.Snapshot, s.options.Now())
	}
	if applied.RefusalReason != "" {
		s.reportRefused(stored, applied)
	}
	return nil
}

// reportRefused logs what an author should hear of. Duplicates, and claims
// that lose against others, are ordinary.
func (s *Store) reportRefused(stored logclient.StoredRecord, applied state.Applied) {
	s.refused++
	if applied.Duplicate || !s.source.Recovered {
		return
	}
	switch applied.Record.Kind {
	case record.KindClaim, record.KindRelease, record.KindLeave, record.KindDone:
		if state.BySystem(stored) {
			return
		}
	}
	s.options.Events.Log(events.RecordRefused, "offset", stored.Offset, "author", stored.Author,
		"key", applied.Record.Key, "reason", applied.RefusalReason)
}

func (s *Store) publish() {
	s.view.Store(s.state.View())
	s.changedMu.Lock()
	defer s.changedMu.Unlock()
	close(s.changed)
	s.changed = make(chan struct{})
}

// cursor returns the next offset to read, and false while there is no state
// to read on from.
func (s *Store) cursor() (next uint64, based bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.Next(), s.based
}

// adopt replaces the state by one that is further on. It reports whether it
// did: an older state never replaces a newer one. A daemon that shows no state
// yet does not show this one before it has caught up.
func (s *Store) adopt(next *state.State, from string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.based && next.Next() <= s.state.Next() {
		return false
	}
	s.state, s.based = next, true
	s.recent.reset()
	s.source.From, s.source.Offset, s.source.Confirmed = from, next.Next(), false
	if s.source.Recovered {
		s.publish()
	}
	return true
}

// show makes the state visible once it has caught up. The caller holds mu.
func (s *Store) show() {
	if s.source.Recovered {
		return
	}
	s.source.Recovered = true
	s.publish()
	s.options.Events.Log(events.StateRecovered,
		"source", s.source.From, "offset", s.state.Next(), "digest", s.state.Digest())
}

// ReadNow reads the log to its head at once and folds what it finds. No
// record from head on existed at startedAt. It fails with the log's error,
// and while the daemon has no state.
func (s *Store) ReadNow(ctx context.Context) (startedAt time.Time, head uint64, err error) {
	for {
		if _, based := s.cursor(); !based {
			return time.Time{}, 0, errors.New("no state to read on from")
		}
		batch, err := s.readOn(ctx, 0)
		if err != nil {
			return time.Time{}, 0, err
		}
		if batch.ReachedHead() {
			return batch.StartedAt, batch.Head, nil
		}
	}
}
