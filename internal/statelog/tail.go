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

// readBackoff is the backoff between failed reads. It is short, since leases
// on shares are extended by reads.
var readBackoff = logclient.Backoff{Initial: 100 * time.Millisecond, Max: 2 * time.Second}

// tailDuty reads the log from the state's offset on, until ctx ends.
func (s *Store) tailDuty(ctx context.Context, turn duty.Heartbeat) error {
	random := rand.New(rand.NewPCG(s.options.Seed, 0x7a11))
	health := s.Health()
	failures := 0
	for ctx.Err() == nil {
		turn()
		err := s.readOnce(ctx, turn)
		health = s.logHealthChange(health)
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

func (s *Store) logHealthChange(before logclient.Health) logclient.Health {
	now := s.Health()
	if now != before {
		s.options.Events.Log(events.LogHealthChanged,
			"from", before.String(), "to", now.String(), "offset", s.view.Load().Offset())
	}
	return now
}

// readOnce reads one batch and applies it, or recovers if there is no state.
func (s *Store) readOnce(ctx context.Context, turn duty.Heartbeat) error {
	if _, hasBase := s.cursor(); !hasBase {
		return s.recoverFromLog(ctx, turn)
	}
	_, err := s.readNext(ctx, logclient.MaxReadWait)
	return err
}

// readNext reads one batch from the state's offset on and applies it. After a
// failed read it first verifies that the log is still the one that was read
// before.
func (s *Store) readNext(ctx context.Context, wait time.Duration) (batch logclient.ReadBatch, err error) {
	defer func() {
		if err != nil {
			s.readFailures.Add(1)
		}
	}()
	if failures := s.readFailures.Load(); failures != s.verifiedFailures.Load() {
		if err := s.verifyLast(ctx); err != nil {
			return batch, err
		}
		s.verifiedFailures.Store(failures)
	}
	next, _ := s.cursor()
	batch, err = s.client.Read(ctx, next, wait)
	if err != nil {
		return batch, err
	}
	s.nextDropped.Store(false)
	return batch, s.applyBatch(batch)
}

// verifyLast reads the last applied record again and compares it. It fails
// with *RewrittenError if the log has another record there, for example
// because it was restored from a backup.
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
	return s.applyBatch(batch)
}

// handleReadError handles a log that no longer has the next record, or that
// was truncated or rewritten.
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
		s.nextDropped.Store(s.recoverFromLog(ctx, turn) != nil)
	case errors.As(err, &truncated), errors.As(err, &gap), errors.As(err, &rewritten):
		if failures == 1 {
			s.options.Events.Log(events.LogTruncated, "error", err)
		}
	}
}

// applyBatch applies a batch and publishes the new view. If the batch reached
// the head, it then calls the OnRead functions.
func (s *Store) applyBatch(batch logclient.ReadBatch) error {
	s.mu.Lock()
	s.oldest, s.head = batch.Oldest, max(s.head, batch.Head)
	err := s.applyRecords(batch.Records)
	reached := err == nil && batch.ReachedHead() && s.state.Next() >= batch.Head
	if reached {
		s.markRecovered()
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

// applyRecords applies records that continue the state and publishes the view.
// The caller holds mu.
func (s *Store) applyRecords(records []logclient.StoredRecord) error {
	before := s.state.Next()
	var err error
	for _, stored := range records {
		if err = s.applyRecord(stored); err != nil {
			break
		}
	}
	if s.state.Next() != before && s.source.Recovered {
		s.publishView()
	}
	return err
}

func (s *Store) applyRecord(stored logclient.StoredRecord) error {
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
		s.snapshots.observe(stored, *r.Snapshot, s.options.Now())
	}
	if applied.RefusalReason != "" {
		s.logRefusal(stored, applied)
	}
	return nil
}

// logRefusal logs a refused record whose author should know of it. Duplicates,
// and claims that lost to other claims, are expected and not logged.
func (s *Store) logRefusal(stored logclient.StoredRecord, applied state.Applied) {
	s.refusedRecords++
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

func (s *Store) publishView() {
	s.view.Store(s.state.View())
	s.changedMu.Lock()
	defer s.changedMu.Unlock()
	close(s.changed)
	s.changed = make(chan struct{})
}

// cursor returns the next offset to read, and false if there is no state to
// extend.
func (s *Store) cursor() (next uint64, hasBase bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.Next(), s.hasBase
}

// replaceState replaces the state by one with a higher offset, and reports
// whether it did: an older state never replaces a newer one. The new state
// stays invisible until the daemon has caught up, if it hasn't before.
func (s *Store) replaceState(next *state.State, from string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.hasBase && next.Next() <= s.state.Next() {
		return false
	}
	s.state, s.hasBase = next, true
	s.recent.reset()
	s.source.From, s.source.Offset, s.source.Confirmed = from, next.Next(), false
	if s.source.Recovered {
		s.publishView()
	}
	return true
}

// markRecovered makes the state visible once it has caught up. The caller
// holds mu.
func (s *Store) markRecovered() {
	if s.source.Recovered {
		return
	}
	s.source.Recovered = true
	s.publishView()
	s.options.Events.Log(events.StateRecovered,
		"source", s.source.From, "offset", s.state.Next(), "digest", s.state.Digest())
}

// ReadNow reads the log to its head without waiting, and applies the records.
// The log held no record at or above head at startedAt. It fails with the
// log's error, or if the daemon has no state.
func (s *Store) ReadNow(ctx context.Context) (startedAt time.Time, head uint64, err error) {
	for {
		if _, hasBase := s.cursor(); !hasBase {
			return time.Time{}, 0, errors.New("no state to read on from")
		}
		batch, err := s.readNext(ctx, 0)
		if err != nil {
			return time.Time{}, 0, err
		}
		if batch.ReachedHead() {
			return batch.StartedAt, batch.Head, nil
		}
	}
}
