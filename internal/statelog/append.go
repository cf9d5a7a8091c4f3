package statelog

import (
	"context"
	"sync"

	"github.com/currantwinch/currantwinch/logclient"
	"github.com/currantwinch/currantwinch/record"
	"github.com/currantwinch/currantwinch/verdict"
)

// Append implements roles.Appender. The state need not have reached the
// returned offset yet; WaitFor waits for that, and the view's Outcome then
// tells whether the record took effect.
//
// Records without After get the offset that this daemon had folded when they
// were first handed in, also if they are handed in again after their fate was
// left unknown.
func (s *Store) Append(ctx context.Context, credential logclient.Credential, records ...record.Record) (uint64, error) {
	stamped := s.firsts.stamp(records, s.view.Load().Offset())
	offset, err := s.client.Append(ctx, credential, stamped...)
	switch verdict.Of(err) {
	case verdict.MayHaveRun:
		s.firsts.remember(stamped)
	case verdict.Ran:
		s.firsts.forget(stamped)
	}
	return offset, err
}

// maxFirsts bounds the records of unknown fate that are remembered.
const maxFirsts = 8192

// firsts remembers when records of unknown fate were first made.
type firsts struct {
	mu    sync.Mutex
	after map[string]uint64
	// order holds the keys as they were remembered; some may be forgotten.
	order []string
}

// stamp returns copies of the records that state when they were first made.
func (f *firsts) stamp(records []record.Record, now uint64) []record.Record {
	f.mu.Lock()
	defer f.mu.Unlock()
	stamped := make([]record.Record, len(records))
	for i, r := range records {
		if first, ok := f.after[r.Key]; ok && r.CreatedAfter == 0 {
			r.CreatedAfter = first
		}
		if r.CreatedAfter == 0 {
			r.CreatedAfter = now
		}
		stamped[i] = r
	}
	return stamped
}

func (f *firsts) remember(records []record.Record) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.after == nil {
		f.after = make(map[string]uint64)
	}
	for _, r := range records {
		if _, ok := f.after[r.Key]; !ok {
			f.order = append(f.order, r.Key)
		}
		f.after[r.Key] = r.CreatedAfter
	}
	for len(f.order) > maxFirsts {
		delete(f.after, f.order[0])
		f.order = f.order[1:]
	}
}

func (f *firsts) forget(records []record.Record) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, r := range records {
		delete(f.after, r.Key)
	}
	if len(f.after) == 0 {
		f.order = nil
	}
}
