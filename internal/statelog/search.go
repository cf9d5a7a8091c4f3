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
	// scanWindow is how many records a step of the search reads.
	scanWindow = 2048
	// maxScanned bounds the bytes that the search keeps for the fold.
	maxScanned = 8 << 20
)

// search looks through the log backwards, window by window, for the newest
// whole snapshot from which the rest of the log can be folded.
type search struct {
	store        *Store
	turn         duty.Turn
	oldest, head uint64
	found        map[string]*candidate
	// windows are the records read, newest window first, until they take too
	// much room.
	windows [][]logclient.StoredRecord
	bytes   int
}

// candidate is a snapshot of which some parts were found.
type candidate struct {
	assembly state.SnapshotAssembly
	bad      bool
}

func newSearch(s *Store, turn duty.Turn, oldest, head uint64) *search {
	return &search{store: s, turn: turn, oldest: oldest, head: head, found: make(map[string]*candidate)}
}

// run returns nil where there is no such snapshot.
func (x *search) run(ctx context.Context) (*state.State, error) {
	for end := x.head; end > x.oldest; {
		start := max(x.oldest, end-min(end, scanWindow))
		if err := x.scan(ctx, start, end); err != nil {
			return nil, err
		}
		if best := x.newestWhole(); best != nil {
			return best, nil
		}
		end = start
	}
	return nil, nil
}

// scan collects the snapshot parts between two offsets.
func (x *search) scan(ctx context.Context, start, end uint64) error {
	var window []logclient.StoredRecord
	for next := start; next < end; {
		x.turn()
		batch, err := x.store.client.Read(ctx, next, 0)
		if err != nil {
			return err
		}
		if batch.Next == next {
			return errors.Errorf("log answers no record at %d, below its head %d", next, batch.Head)
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

func (x *search) keep(window []logclient.StoredRecord) {
	x.windows = append(x.windows, window)
	if x.bytes > maxScanned {
		x.windows, x.bytes = nil, 0
	}
}

func (x *search) collect(stored logclient.StoredRecord) {
	r, err := record.Decode(stored.Data)
	if err != nil || r.Kind != record.KindSnapshot || !state.BySystem(stored) {
		return
	}
	c := x.found[r.Snapshot.ID]
	if c == nil {
		c = new(candidate)
		x.found[r.Snapshot.ID] = c
	}
	if err := c.assembly.Add(*r.Snapshot); err != nil {
		x.passOver(r.Snapshot.ID, c, err)
	}
}

// newestWhole returns the whole snapshot that covers most, if any covers all
// that the log has dropped.
func (x *search) newestWhole() *state.State {
	var best *state.State
	for id, c := range x.found {
		if c.bad || !c.assembly.Complete() || c.assembly.Offset() < x.oldest {
			continue
		}
		if best != nil && c.assembly.Offset() <= best.Next() {
			continue
		}
		whole, err := c.assembly.State()
		if err != nil {
			x.passOver(id, c, err)
			continue
		}
		best = whole
	}
	return best
}

func (x *search) passOver(id string, c *candidate, err error) {
	if !c.bad {
		x.store.options.Events.Log(events.SnapshotSkipped, "id", id, "error", err)
	}
	c.bad = true
}
