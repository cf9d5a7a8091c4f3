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

// Methods of the protocol between daemons.
const (
	MethodOffset   = "statelog.offset"
	MethodRecords  = "statelog.records"
	MethodSnapshot = "statelog.snapshot"
)

const (
	// peersInterval is the interval at which peers are asked for newer state
	// while the log can't be read.
	peersInterval = 2 * time.Second
	// peerTimeout limits one call to a peer.
	peerTimeout = time.Second
	// exportRetention is how long a snapshot made for peers is kept.
	exportRetention = 30 * time.Second
	// maxRecordsPerResponse and maxBytesPerResponse limit a RecordsResponse.
	maxRecordsPerResponse = 256
	maxBytesPerResponse   = 256 << 10
)

// OffsetResponse says up to which offset a daemon has applied the log.
type OffsetResponse struct {
	Recovered bool   `json:"recovered"`
	Offset    uint64 `json:"offset"`
}

// RecordsRequest asks for the records from an offset on.
type RecordsRequest struct {
	From uint64 `json:"from"`
	// Sum is the checksum of the record before From, or zero if the sender
	// does not have it.
	Sum uint64 `json:"sum"`
}

// RecordsResponse holds consecutive records. Found is false if From is older
// than what the daemon keeps, or if it has read another record before From.
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

// snapshotExport caches the snapshot that peers are reading.
type snapshotExport struct {
	mu    sync.Mutex
	parts []record.SnapshotPart
	made  time.Time
}

func (s *Store) registerHandlers() {
	s.options.Peers.Handle(MethodOffset, func(context.Context, string, json.RawMessage) (any, error) {
		source := s.Source()
		return OffsetResponse{Recovered: source.Recovered, Offset: s.view.Load().Offset()}, nil
	})
	s.options.Peers.Handle(MethodRecords, roles.TypedHandler("bad_params", func(_ context.Context, _ string, request RecordsRequest) (any, error) {
		s.mu.Lock()
		defer s.mu.Unlock()
		if !s.recent.matches(request.From, request.Sum) {
			return RecordsResponse{}, nil
		}
		records, found := s.recent.from(request.From, maxRecordsPerResponse, maxBytesPerResponse)
		return RecordsResponse{Found: found, Records: records}, nil
	}))
	s.options.Peers.Handle(MethodSnapshot, roles.TypedHandler("bad_params", func(_ context.Context, _ string, request SnapshotRequest) (any, error) {
		return s.exportedPart(request)
	}))
}

func (s *Store) exportedPart(request SnapshotRequest) (record.SnapshotPart, error) {
	s.snapshotExport.mu.Lock()
	defer s.snapshotExport.mu.Unlock()
	if request.ID == "" {
		if err := s.exportSnapshot(); err != nil {
			return record.SnapshotPart{}, verdict.Wrap(err, verdict.NotRun, "no_snapshot")
		}
	}
	for _, p := range s.snapshotExport.parts {
		if p.Index == request.Index && (request.ID == "" || p.ID == request.ID) {
			return p, nil
		}
	}
	return record.SnapshotPart{}, verdict.New(verdict.NotRun, "no_snapshot", "no part %d of %s", request.Index, request.ID)
}

// exportSnapshot makes a snapshot of the view, unless the cached one is
// recent.
func (s *Store) exportSnapshot() error {
	now := s.options.Now()
	if s.snapshotExport.parts != nil && now.Sub(s.snapshotExport.made) < exportRetention {
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
	s.snapshotExport.parts, s.snapshotExport.made = state.SplitSnapshot(id, view.Offset(), data), now
	return nil
}

// peersDuty fetches newer state from peers while this daemon can't read the
// log, or the log no longer has the next record.
func (s *Store) peersDuty(ctx context.Context, turn duty.Heartbeat) error {
	for ctx.Err() == nil {
		turn()
		duty.Sleep(ctx, peersInterval)
		s.expireExport()
		if ctx.Err() == nil && s.needsPeers() {
			s.recoverFromPeers(ctx)
		}
	}
	return nil
}

func (s *Store) needsPeers() bool {
	return s.client.Health() == logclient.HealthDown || s.nextDropped.Load() || !s.Source().Recovered
}

// expireExport drops a cached snapshot older than exportRetention.
func (s *Store) expireExport() {
	s.snapshotExport.mu.Lock()
	defer s.snapshotExport.mu.Unlock()
	if s.options.Now().Sub(s.snapshotExport.made) >= exportRetention {
		s.snapshotExport.parts = nil
	}
}

// recoverFromPeers fetches the state of the peer that has applied most of the
// log, if that is more than this daemon has. It reports whether this daemon's
// state then reaches that of every peer that answered.
func (s *Store) recoverFromPeers(ctx context.Context) bool {
	peer, offset, ok := s.furthestPeer(ctx)
	if !ok {
		return false
	}
	next, hasBase := s.cursor()
	if (!hasBase || next < offset) && !s.recoverFromPeer(ctx, peer, hasBase) {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.state.Next() < offset {
		return false
	}
	s.markRecovered()
	return true
}

// recoverFromPeer fetches the records that follow the state from a peer, or
// else its snapshot.
func (s *Store) recoverFromPeer(ctx context.Context, peer string, hasBase bool) bool {
	if hasBase && s.fetchRecords(ctx, peer) {
		return true
	}
	fetched, err := s.fetchSnapshot(ctx, peer)
	return err == nil && s.replaceState(fetched, peer)
}

// furthestPeer asks all peers up to which offset they have applied the log,
// and returns the one with the highest.
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

// fetchRecords applies a peer's newest records, if they continue the state. It
// reports whether it applied any.
func (s *Store) fetchRecords(ctx context.Context, peer string) bool {
	applied := false
	for {
		var answer RecordsResponse
		request := s.recordsRequest()
		if err := s.call(ctx, peer, MethodRecords, request, &answer); err != nil || !answer.Found {
			return applied
		}
		if len(answer.Records) == 0 {
			return applied
		}
		s.mu.Lock()
		err := s.applyRecords(answer.Records)
		s.source.From, s.source.Offset, s.source.Confirmed = peer, s.state.Next(), false
		s.mu.Unlock()
		if err != nil {
			return applied
		}
		applied = true
	}
}

func (s *Store) recordsRequest() RecordsRequest {
	s.mu.Lock()
	defer s.mu.Unlock()
	request := RecordsRequest{From: s.state.Next()}
	if last, ok := s.recent.last(); ok {
		request.Sum = checksumOf(last)
	}
	return request
}

func (s *Store) fetchSnapshot(ctx context.Context, peer string) (*state.State, error) {
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
