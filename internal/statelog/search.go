package statelog

import (
	"context"

	"github.com/currantwinch/currantwinch/duty"
	"github.com/currantwinch/currantwinch/internal/events"
	"github.com/currantwinch/currantwinch/logclient"
	"github.com/currantwinch/currantwinch/record"
	"github.com/currantwinch/currantwinch/state"
	"github.com/pkg/errors"
)

const (
	// scanWindow is the number of records that one step of the search reads.
	scanWindow = 2048
	// maxScannedBytes limits the record bytes that the search keeps for
	// applyScanned.
	maxScannedBytes = 8 << 20
)

// snapshotSearch scans the log backwards, window by window, for the newest
// complete snapshot that the rest of the log continues.
type snapshotSearch struct {
	store        *Store
	turn         duty.Heartbeat
	oldest, head uint64
	candidates   map[string]*candidate
	// windows holds the records read, newest window first. It is emptied when
	// the records exceed maxScannedBytes.
	windows [][]logclient.StoredRecord
	bytes   int
}

// candidate is a snapshot of which some parts were found.
type candidate struct {
	assembly state.SnapshotAssembly
	rejected bool
}

func newSearch(s *Store, turn duty.Heartbeat, oldest, head uint64) *snapshotSearch {
	return &snapshotSearch{store: s, turn: turn, oldest: oldest, head: head, candidates: make(map[string]*candidate)}
}

// run returns the state of the newest usable snapshot, or nil if there is
// none.
func (x *snapshotSearch) run(ctx context.Context) (*state.State, error) {
	for end := x.head; end > x.oldest; {
		start := max(x.oldest, end-min(end, scanWindow))
		if err := x.scan(ctx, start, end); err != nil {
			return nil, err
		}
		if best := x.newestComplete(); best != nil {
			return best, nil
		}
		end = start
	}
	return nil, nil
}

// scan collects the snapshot parts between two offsets.
func (x *snapshotSearch) scan(ctx context.Context, start, end uint64) error {
	var window []logclient.StoredRecord
	for next := start; next < end; {
		x.turn()
		batch, err := x.store.client.Read(ctx, next, 0)
		if err != nil {
			return err
		}
		if batch.Next == next {
			return errors.Errorf("the log returned no record at offset %d, below its head %d", next, batch.Head)
		}
		for _, stored := range batch.Records {
			if stored.Offset >= end {
				break
			}
			x.collect(stored)
			x.bytes += len(stored.Data)
			window = append(window, stored)
		}
		next = batch.Next
	}
	x.keep(window)
	return nil
}

func (x *snapshotSearch) keep(window []logclient.StoredRecord) {
	x.windows = append(x.windows, window)
	if x.bytes > maxScannedBytes {
		x.windows, x.bytes = nil, 0
	}
}

func (x *snapshotSearch) collect(stored logclient.StoredRecord) {
	r, err := record.Decode(stored.Data)
	if err != nil || r.Kind != record.KindSnapshot || !state.BySystem(stored) {
		return
	}
	c := x.candidates[r.Snapshot.ID]
	if c == nil {
		c = new(candidate)
		x.candidates[r.Snapshot.ID] = c
	}
	if err := c.assembly.Add(*r.Snapshot); err != nil {
		x.reject(r.Snapshot.ID, c, err)
	}
}

// newestComplete returns the state of the complete snapshot with the highest
// offset, among those that cover everything the log has dropped; nil if there
// is none.
func (x *snapshotSearch) newestComplete() *state.State {
	var best *state.State
	for id, c := range x.candidates {
		if c.rejected || !c.assembly.Complete() || c.assembly.Offset() < x.oldest {
			continue
		}
		if best != nil && c.assembly.Offset() <= best.Next() {
			continue
		}
		whole, err := c.assembly.State()
		if err != nil {
			x.reject(id, c, err)
			continue
		}
		best = whole
	}
	return best
}

// reject excludes a snapshot that is malformed, and logs that once.
func (x *snapshotSearch) reject(id string, c *candidate, err error) {
	if !c.rejected {
		x.store.options.Events.Log(events.SnapshotSkipped, "id", id, "error", err)
	}
	c.rejected = true
}
