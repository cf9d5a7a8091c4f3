package statelog

import (
	"context"
	"sync"

	"github.com/currantwinch/currantwinch/logclient"
	"github.com/currantwinch/currantwinch/record"
	"github.com/currantwinch/currantwinch/verdict"
)

// Append implements roles.Appender. The view need not have reached the
// returned offset yet: WaitFor waits for that, and the view's Outcome then
// says whether the record took effect.
//
// Records without CreatedAfter get the offset that this daemon had applied
// when they were first passed to Append. They keep it if they are passed again
// after their outcome was left unknown.
func (s *Store) Append(ctx context.Context, credential logclient.Credential, records ...record.Record) (uint64, error) {
	withOffsets := s.creationOffsets.withCreationOffsets(records, s.view.Load().Offset())
	offset, err := s.client.Append(ctx, credential, withOffsets...)
	switch verdict.Of(err) {
	case verdict.MayHaveRun:
		s.creationOffsets.remember(withOffsets)
	case verdict.Ran:
		s.creationOffsets.forget(withOffsets)
	}
	return offset, err
}

// maxCreationOffsets limits the remembered records of unknown outcome.
const maxCreationOffsets = 8192

// creationOffsets remembers the creation offsets of records of unknown
// outcome.
type creationOffsets struct {
	mu    sync.Mutex
	byKey map[string]uint64
	// order holds the keys in the order in which they were remembered; some
	// may have been dropped from byKey.
	order []string
}

// withCreationOffsets returns copies of the records with CreatedAfter set.
func (f *creationOffsets) withCreationOffsets(records []record.Record, now uint64) []record.Record {
	f.mu.Lock()
	defer f.mu.Unlock()
	stamped := make([]record.Record, len(records))
	for i, r := range records {
		if first, ok := f.byKey[r.Key]; ok && r.CreatedAfter == 0 {
			r.CreatedAfter = first
		}
		if r.CreatedAfter == 0 {
			r.CreatedAfter = now
		}
		stamped[i] = r
	}
	return stamped
}

func (f *creationOffsets) remember(records []record.Record) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.byKey == nil {
		f.byKey = make(map[string]uint64)
	}
	for _, r := range records {
		if _, ok := f.byKey[r.Key]; !ok {
			f.order = append(f.order, r.Key)
		}
		f.byKey[r.Key] = r.CreatedAfter
	}
	for len(f.order) > maxCreationOffsets {
		delete(f.byKey, f.order[0])
		f.order = f.order[1:]
	}
}

func (f *creationOffsets) forget(records []record.Record) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, r := range records {
		delete(f.byKey, r.Key)
	}
	if len(f.byKey) == 0 {
		f.order = nil
	}
}
