package statelog

import (
	"context"
	"fmt"
	"time"

	"github.com/currantwinch/currantwinch/duty"
	"github.com/currantwinch/currantwinch/internal/events"
	"github.com/currantwinch/currantwinch/logclient"
	"github.com/currantwinch/currantwinch/record"
	"github.com/currantwinch/currantwinch/state"
	"github.com/pkg/errors"
)

// snapshotCheckInterval is the interval at which a daemon checks whether a
// snapshot is due.
const snapshotCheckInterval = 5 * time.Second

// partsPerAppend keeps an append of parts within the client's limit of bytes
// per append.
const partsPerAppend = 3

// SnapshotInfo describes the newest complete snapshot that was read from the
// log.
type SnapshotInfo struct {
	// Offset is the first offset that it does not cover.
	Offset uint64 `json:"offset"`
	// Position is the offset of its first part.
	Position uint64 `json:"position"`
	// Time is the log's time of its last part.
	Time     time.Time `json:"time"`
	Complete bool      `json:"whole"`
}

// snapshotTracker detects complete snapshots as their parts are read.
type snapshotTracker struct {
	newest SnapshotInfo
	// observedAt is when the newest one was read, by the daemon's clock.
	observedAt time.Time
	logTime    time.Time
	current    partialSnapshot
}

// partialSnapshot is the snapshot whose parts are being read. The parts of one
// snapshot are in order, since one daemon writes them one after the other.
type partialSnapshot struct {
	id       string
	position uint64
	next     int
}

func (t *snapshotTracker) observe(stored logclient.StoredRecord, part record.SnapshotPart, now time.Time) {
	if part.Index == 0 {
		t.current = partialSnapshot{id: part.ID, position: stored.Offset}
	}
	if part.ID != t.current.id || part.Index != t.current.next {
		return
	}
	t.current.next++
	if t.current.next < part.Count || part.Offset < t.newest.Offset {
		return
	}
	t.newest = SnapshotInfo{Offset: part.Offset, Position: t.current.position, Time: stored.Time, Complete: true}
	t.observedAt = now
}

// SnapshotStatus is what decides whether a snapshot is due.
type SnapshotStatus struct {
	Newest SnapshotInfo
	// Next is the first offset that is not in the state; Oldest and Head are
	// those of the log.
	Next, Oldest, Head uint64
	// Age is the time since the newest snapshot, or since the start of the
	// daemon if there is none.
	Age time.Duration
	// SinceLastAttempt is the time since this daemon last tried to write a
	// snapshot.
	SinceLastAttempt time.Duration
}

// snapshotDue reports whether a snapshot should be written now: when many
// records follow the newest one or it is old, but not more often than
// MinSnapshotInterval; or at once when the log is about to drop the newest
// snapshot.
func (o Options) snapshotDue(n SnapshotStatus) bool {
	recordsKept := n.Head - min(n.Head, n.Oldest)
	nearRetention := n.Oldest > 0 && (!n.Newest.Complete || n.Newest.Position < n.Oldest+recordsKept/4)
	if nearRetention {
		return n.SinceLastAttempt >= snapshotCheckInterval
	}
	if n.SinceLastAttempt < o.MinSnapshotInterval && n.Newest.Complete {
		return false
	}
	return n.Next >= n.Newest.Offset+o.MaxRecordsBetweenSnapshots || (n.Age >= o.MaxSnapshotAge && n.Next > 0)
}

func (s *Store) snapshotDuty(ctx context.Context, turn duty.Heartbeat) error {
	started := s.options.Now()
	lastAttempt := started
	for ctx.Err() == nil {
		turn()
		duty.Sleep(ctx, snapshotCheckInterval)
		if ctx.Err() != nil || s.options.WritesSnapshots == nil || !s.options.WritesSnapshots() {
			continue
		}
		if !s.options.snapshotDue(s.snapshotStatus(started, lastAttempt)) {
			continue
		}
		lastAttempt = s.options.Now()
		if err := s.writeSnapshot(ctx); err != nil {
			s.options.Events.Log(events.SnapshotFailed, "offset", s.view.Load().Offset(), "error", err)
		}
	}
	return nil
}

func (s *Store) snapshotStatus(started, lastAttempt time.Time) SnapshotStatus {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.options.Now()
	since := started
	if s.snapshots.observedAt.After(since) {
		since = s.snapshots.observedAt
	}
	age := now.Sub(since)
	if s.snapshots.newest.Complete {
		age = max(age, s.snapshots.logTime.Sub(s.snapshots.newest.Time))
	}
	return SnapshotStatus{
		Newest: s.snapshots.newest, Next: s.state.Next(), Oldest: s.oldest, Head: s.head,
		Age: age, SinceLastAttempt: now.Sub(lastAttempt),
	}
}

// writeSnapshot appends a snapshot of the newest view in parts.
func (s *Store) writeSnapshot(ctx context.Context) error {
	if _, _, err := s.ReadNow(ctx); err != nil {
		return errors.Wrap(err, "read to the head before the snapshot")
	}
	view := s.view.Load()
	data, err := view.EncodeSnapshot()
	if err != nil {
		return err
	}
	id := fmt.Sprintf("%s/%d", s.options.Self.Incarnation, view.Offset())
	parts := state.SplitSnapshot(id, view.Offset(), data)
	count := len(parts)
	for len(parts) > 0 {
		n := min(partsPerAppend, len(parts))
		if _, err := s.Append(ctx, s.options.SystemCredential, recordsOf(parts[:n])...); err != nil {
			return err
		}
		parts = parts[n:]
	}
	s.options.Events.Log(events.SnapshotWritten, "offset", view.Offset(), "parts", count, "bytes", len(data))
	return nil
}

func recordsOf(parts []record.SnapshotPart) []record.Record {
	records := make([]record.Record, len(parts))
	for i, p := range parts {
		records[i] = record.Record{
			Key: fmt.Sprintf("snapshot/%s/%d", p.ID, p.Index), Kind: record.KindSnapshot, Snapshot: &p,
		}
	}
	return records
}
