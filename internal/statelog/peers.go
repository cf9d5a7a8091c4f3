package statelog

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"time"

	"github.com/currantwinch/currantwinch/duty"
	"github.com/currantwinch/currantwinch/internal/roles"
	"github.com/currantwinch/currantwinch/logclient"
	"github.com/currantwinch/currantwinch/record"
	"github.com/currantwinch/currantwinch/state"
	"github.com/currantwinch/currantwinch/verdict"
)

// The methods between daemons.
const (
	MethodOffset   = "statelog.offset"
	MethodRecords  = "statelog.records"
	MethodSnapshot = "statelog.snapshot"
)

const (
	// peersTurn is how often peers are asked while the log is down.
	peersTurn = 2 * time.Second
	// peerTimeout bounds one call.
	peerTimeout = time.Second
	// exportKept is how long a snapshot made for a peer is kept.
	exportKept = 30 * time.Second
	// recordsPerAnswer and bytesPerAnswer bound an answer.
	recordsPerAnswer = 256
	bytesPerAnswer   = 256 << 10
)

// OffsetResponse says how far a daemon's state goes.
type OffsetResponse struct {
	Recovered bool   `json:"recovered"`
	Offset    uint64 `json:"offset"`
}

// RecordsRequest asks for the records from an offset on.
type RecordsRequest struct {
	From uint64 `json:"from"`
	// Sum is of the record before From, or zero if the asker does not keep it.
	Sum uint64 `json:"sum"`
}

// RecordsResponse holds consecutive records. Found is false where From is older
// than what the daemon keeps, or where it has read another record before From.
type RecordsResponse struct {
	Found   bool                     `json:"found"`
	Records []logclient.StoredRecord `json:"records"`
}

// SnapshotRequest asks for one part of a snapshot. An empty ID and index zero
// ask for the first part of a new one.
type SnapshotRequest struct {
	ID    string `json:"id"`
	Index int    `json:"index"`
}

// exports keeps the snapshot that is being read by peers.
type exports struct {
	mu    sync.Mutex
	parts []record.SnapshotPart
	made  time.Time
}

func (s *Store) handlePeers() {
	s.options.Peers.Handle(MethodOffset, func(context.Context, string, json.RawMessage) (any, error) {
		source := s.Source()
		return OffsetResponse{Recovered: source.Recovered, Offset: s.view.Load().Offset()}, nil
	})
	s.options.Peers.Handle(MethodRecords, roles.TypedHandler("bad_params", func(_ context.Context, _ string, request RecordsRequest) (any, error) {
		s.mu.Lock()
		defer s.mu.Unlock()
		if !s.recent.agrees(request.From, request.Sum) {
			return RecordsResponse{}, nil
		}
		records, found := s.recent.from(request.From, recordsPerAnswer, bytesPerAnswer)
		return RecordsResponse{Found: found, Records: records}, nil
	}))
	s.options.Peers.Handle(MethodSnapshot, roles.TypedHandler("bad_params", func(_ context.Context, _ string, request SnapshotRequest) (any, error) {
		return s.exportPart(request)
	}))
}

func (s *Store) exportPart(request SnapshotRequest) (record.SnapshotPart, error) {
	s.exports.mu.Lock()
	defer s.exports.mu.Unlock()
	if request.ID == "" {
		if err := s.export(); err != nil {
			return record.SnapshotPart{}, verdict.Wrap(err, verdict.NotRun, "no_snapshot")
		}
	}
	for _, p := range s.exports.parts {
		if p.Index == request.Index && (request.ID == "" || p.ID == request.ID) {
			return p, nil
		}
	}
	return record.SnapshotPart{}, verdict.New(verdict.NotRun, "no_snapshot", "no part %d of %s", request.Index, request.ID)
}

// export makes a snapshot of the view, unless a recent one is at hand.
func (s *Store) export() error {
	now := s.options.Now()
	if s.exports.parts != nil && now.Sub(s.exports.made) < exportKept {
		return nil
	}
	if !s.Source().Recovered {
		return verdict.New(verdict.NotRun, "no_state", "no state yet")
	}
	view := s.view.Load()
	data, err := view.EncodeSnapshot()
	if err != nil {
		return err
	}
	id := fmt.Sprintf("%s/%d", s.options.Self.Incarnation, view.Offset())
	s.exports.parts, s.exports.made = state.SplitSnapshot(id, view.Offset(), data), now
	return nil
}

// peersDuty takes newer state from peers while this daemon cannot read the
// log, or can no longer read on.
func (s *Store) peersDuty(ctx context.Context, turn duty.Turn) error {
	for ctx.Err() == nil {
		turn()
		duty.Sleep(ctx, peersTurn)
		s.expireExport()
		if ctx.Err() == nil && s.needsPeers() {
			s.recoverFromPeers(ctx)
		}
	}
	return nil
}

func (s *Store) needsPeers() bool {
	return s.client.Health() == logclient.HealthDown || s.behind.Load() || !s.Source().Recovered
}

// expireExport frees a snapshot that no peer reads any more.
func (s *Store) expireExport() {
	s.exports.mu.Lock()
	defer s.exports.mu.Unlock()
	if s.options.Now().Sub(s.exports.made) >= exportKept {
		s.exports.parts = nil
	}
}

// recoverFromPeers takes the state that goes furthest among the peers, if
// that is further than this daemon's own. It reports whether this daemon is
// then as far as any peer that answered.
func (s *Store) recoverFromPeers(ctx context.Context) bool {
	peer, offset, ok := s.furthestPeer(ctx)
	if !ok {
		return false
	}
	next, based := s.cursor()
	if (!based || next < offset) && !s.takeFrom(ctx, peer, based) {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.state.Next() < offset {
		return false
	}
	s.show()
	return true
}

func (s *Store) takeFrom(ctx context.Context, peer string, based bool) bool {
	if based && s.takeRecords(ctx, peer) {
		return true
	}
	taken, err := s.takeSnapshot(ctx, peer)
	return err == nil && s.adopt(taken, peer)
}

// furthestPeer asks all peers how far their states go.
func (s *Store) furthestPeer(ctx context.Context) (name string, offset uint64, ok bool) {
	if s.options.Peers == nil || s.options.PeerNames == nil {
		return "", 0, false
	}
	for _, peer := range s.options.PeerNames() {
		var answer OffsetResponse
		if peer == s.options.Self.Name || s.call(ctx, peer, MethodOffset, struct{}{}, &answer) != nil {
			continue
		}
		if answer.Recovered && (!ok || answer.Offset > offset) {
			name, offset, ok = peer, answer.Offset, true
		}
	}
	return name, offset, ok
}

func (s *Store) call(ctx context.Context, peer, method string, params, result any) error {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	return s.options.Peers.Call(ctx, peer, method, params, result)
}

// takeRecords folds a peer's newest records, if they continue the state.
func (s *Store) takeRecords(ctx context.Context, peer string) bool {
	took := false
	for {
		var answer RecordsResponse
		request := s.recordsRequest()
		if err := s.call(ctx, peer, MethodRecords, request, &answer); err != nil || !answer.Found {
			return took
		}
		if len(answer.Records) == 0 {
			return took
		}
		s.mu.Lock()
		err := s.applyAll(answer.Records)
		s.source.From, s.source.Offset, s.source.Confirmed = peer, s.state.Next(), false
		s.mu.Unlock()
		if err != nil {
			return took
		}
		took = true
	}
}

func (s *Store) recordsRequest() RecordsRequest {
	s.mu.Lock()
	defer s.mu.Unlock()
	request := RecordsRequest{From: s.state.Next()}
	if last, ok := s.recent.last(); ok {
		request.Sum = sumOf(last)
	}
	return request
}

func (s *Store) takeSnapshot(ctx context.Context, peer string) (*state.State, error) {
	var assembly state.SnapshotAssembly
	request := SnapshotRequest{}
	for !assembly.Complete() {
		var part record.SnapshotPart
		if err := s.call(ctx, peer, MethodSnapshot, request, &part); err != nil {
			return nil, err
		}
		if part.Index != request.Index {
			return nil, verdict.New(verdict.NotRun, "bad_answer", "part %d in place of %d", part.Index, request.Index)
		}
		if err := assembly.Add(part); err != nil {
			return nil, err
		}
		request = SnapshotRequest{ID: part.ID, Index: part.Index + 1}
	}
	return assembly.State()
}
