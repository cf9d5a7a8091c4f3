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

// snapshotTurn is how often a daemon looks whether a snapshot is due.
const snapshotTurn = 5 * time.Second

// partsPerAppend keeps an append of parts within the client's byte bound.
const partsPerAppend = 3

// SnapshotInfo is the newest whole snapshot that passed by in the log.
type SnapshotInfo struct {
	// Offset is the first offset that it does not cover.
	Offset uint64 `json:"offset"`
	// Position is where its first part stands.
	Position uint64 `json:"position"`
	// Time is the log's time of its last part.
	Time  time.Time `json:"time"`
	Whole bool      `json:"whole"`
}

// snapshotTracker notices whole snapshots as their parts pass by.
type snapshotTracker struct {
	newest SnapshotInfo
	// seenAt is when the newest was seen, by the daemon's clock.
	seenAt  time.Time
	logTime time.Time
	current partial
}

// partial is the snapshot whose parts are passing by. Parts of one snapshot
// come in order, since one daemon writes them one after the other.
type partial struct {
	id       string
	position uint64
	next     int
}

func (t *snapshotTracker) see(stored logclient.StoredRecord, part record.SnapshotPart, now time.Time) {
	if part.Index == 0 {
		t.current = partial{id: part.ID, position: stored.Offset}
	}
	if part.ID != t.current.id || part.Index != t.current.next {
		return
	}
	t.current.next++
	if t.current.next < part.Count || part.Offset < t.newest.Offset {
		return
	}
	t.newest = SnapshotInfo{Offset: part.Offset, Position: t.current.position, Time: stored.Time, Whole: true}
	t.seenAt = now
}

// SnapshotStatus is what decides whether a snapshot is due.
type SnapshotStatus struct {
	Newest SnapshotInfo
	// Next is the first offset not in the state; Oldest and Head are the
	// log's.
	Next, Oldest, Head uint64
	// Age is the time since the newest snapshot, or since the start.
	Age time.Duration
	// SinceLastAttempt is the time since this daemon last tried.
	SinceLastAttempt time.Duration
}

// due reports whether a snapshot should be written now: when many records
// followed the newest, when that is old, or, at once, when the log's oldest
// record comes near it.
func (o Options) due(n SnapshotStatus) bool {
	kept := n.Head - min(n.Head, n.Oldest)
	endangered := n.Oldest > 0 && (!n.Newest.Whole || n.Newest.Position < n.Oldest+kept/4)
	if endangered {
		return n.SinceLastAttempt >= snapshotTurn
	}
	if n.SinceLastAttempt < o.MinSnapshotInterval && n.Newest.Whole {
		return false
	}
	return n.Next >= n.Newest.Offset+o.MaxRecordsBetweenSnapshots || (n.Age >= o.MaxSnapshotAge && n.Next > 0)
}

func (s *Store) snapshotDuty(ctx context.Context, turn duty.Heartbeat) error {
	started := s.options.Now()
	tried := started
	for ctx.Err() == nil {
		turn()
		duty.Sleep(ctx, snapshotTurn)
		if ctx.Err() != nil || s.options.WritesSnapshots == nil || !s.options.WritesSnapshots() {
			continue
		}
		if !s.options.due(s.need(started, tried)) {
			continue
		}
		tried = s.options.Now()
		if err := s.writeSnapshot(ctx); err != nil {
			s.options.Events.Log(events.SnapshotFailed, "offset", s.view.Load().Offset(), "error", err)
		}
	}
	return nil
}

func (s *Store) need(started, tried time.Time) SnapshotStatus {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.options.Now()
	since := started
	if s.snapshots.seenAt.After(since) {
		since = s.snapshots.seenAt
	}
	age := now.Sub(since)
	if s.snapshots.newest.Whole {
		age = max(age, s.snapshots.logTime.Sub(s.snapshots.newest.Time))
	}
	return SnapshotStatus{
		Newest: s.snapshots.newest, Next: s.state.Next(), Oldest: s.oldest, Head: s.head,
		Age: age, SinceLastAttempt: now.Sub(tried),
	}
}

// writeSnapshot appends the parts of a snapshot of the newest view.
func (s *Store) writeSnapshot(ctx context.Context) error {
	if _, _, err := s.ReadNow(ctx); err != nil {
		return errors.Wrap(err, "read to the head first")
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
