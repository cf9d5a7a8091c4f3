package gateway

import (
	"context"
	"time"

	"github.com/currantwinch/currantwinch/cluster"
	"github.com/currantwinch/currantwinch/idempotency"
	"github.com/currantwinch/currantwinch/verdict"
	"golang.org/x/sync/errgroup"
)

const (
	methodKeyHandover = "gateway.key.handover"

	handoverTimeout = 2 * time.Second
	// handoverGrace: a new owner waits this long for its predecessor's snapshot
	// before it answers for keys of earlier epochs.
	handoverGrace = 500 * time.Millisecond
	// snapshotTTL: a daemon keeps a snapshot of a share that it does not own yet
	// for this long.
	snapshotTTL = 30 * time.Second
	// maxHandoverBytes bounds the bodies of the outcomes in one message, but for
	// a single larger one.
	maxHandoverBytes = 256 << 10
	// maxHandoverKeys bounds the keys of one message.
	maxHandoverKeys = 1024
)

// keyHandover is a part of the snapshot of a share's table, from its previous
// owner.
type keyHandover struct {
	Share    cluster.Share                         `json:"share"`
	Snapshot idempotency.Snapshot[attemptMetadata] `json:"snapshot"`
	// Part counts from zero; Last marks the part that completes the snapshot.
	Part int  `json:"part"`
	Last bool `json:"last"`
}

// receivedSnapshot is a snapshot from a previous owner, complete or in part.
type receivedSnapshot struct {
	snapshot idempotency.Snapshot[attemptMetadata]
	parts    int
	complete bool
	arrived  time.Time
}

// receiveHandover adds a part to the snapshot of a share. Parts must arrive in
// order; part 0 starts a new snapshot.
func (k *keyOwner) receiveHandover(h keyHandover) error {
	k.mu.Lock()
	defer k.mu.Unlock()
	received, ok := k.received[h.Share]
	if h.Part == 0 {
		received = &receivedSnapshot{snapshot: h.Snapshot, arrived: k.now()}
		k.received[h.Share] = received
	} else if !ok || received.parts != h.Part || received.snapshot.Epoch != h.Snapshot.Epoch {
		return verdict.New(verdict.NotRun, reasonMalformedMessage, "part %d of %s came out of order", h.Part, h.Share)
	} else {
		received.snapshot.Keys = append(received.snapshot.Keys, h.Snapshot.Keys...)
	}
	received.parts++
	received.complete = h.Last
	if t, ok := k.tables[h.Share]; ok {
		k.importReceived(h.Share, t)
	}
	return nil
}

// importReceived imports the predecessor's snapshot into a table, if it is
// complete. The caller holds the lock.
func (k *keyOwner) importReceived(share cluster.Share, t *idempotency.Table[attemptMetadata]) {
	received, ok := k.received[share]
	if ok && received.complete && t.ImportSnapshot(k.now(), received.snapshot) {
		delete(k.received, share)
	}
}

// awaitsSnapshot reports whether a decision may change because the predecessor's
// snapshot can still arrive.
func (k *keyOwner) awaitsSnapshot(t *idempotency.Table[attemptMetadata], d idempotency.Decision) bool {
	return d.Err != nil && d.Err.Reason == idempotency.ReasonEarlierEpoch && t.Age(k.now()) < handoverGrace
}

// freeze removes the table of a share and returns its snapshot. No attempt can
// begin here in the share's epoch after that.
func (k *keyOwner) freeze(share cluster.Share) (idempotency.Snapshot[attemptMetadata], bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	t, ok := k.tables[share]
	if !ok {
		return idempotency.Snapshot[attemptMetadata]{}, false
	}
	k.renewClaim(share, t)
	delete(k.tables, share)
	k.frozenEpochs[share] = t.Epoch()
	return t.Snapshot(k.now()), true
}

// claimEpochs returns the shares that have a table here, each with the newest
// epoch of its claim.
func (k *keyOwner) claimEpochs() map[cluster.Share]uint64 {
	k.mu.Lock()
	defer k.mu.Unlock()
	all := make(map[cluster.Share]uint64, len(k.tables))
	for share, t := range k.tables {
		k.renewClaim(share, t)
		all[share] = t.ClaimEpoch()
	}
	return all
}

// dropStaleSnapshots drops snapshots whose shares this daemon has not come to own
// within snapshotTTL.
func (k *keyOwner) dropStaleSnapshots() {
	k.mu.Lock()
	defer k.mu.Unlock()
	for share, in := range k.received {
		if k.now().Sub(in.arrived) > snapshotTTL {
			delete(k.received, share)
		}
	}
}

// handOverMovedShares sends the tables of shares that other daemons own now to
// their owners. That is safe at any time: the table holds every attempt that began
// before this daemon's right ended, and none has begun here since.
func (g *Gateway) handOverMovedShares(ctx context.Context) {
	for share, claim := range g.keys.claimEpochs() {
		entry, ok := g.o.State.View().Share(share)
		if !ok || entry.Epoch != claim+1 || entry.Name == g.o.Self.Name {
			continue
		}
		if s, ok := g.keys.freeze(share); ok {
			g.sendHandover(ctx, entry.Name, share, s)
		}
	}
}

// handOverAllShares freezes the table of every share when the daemon stops, and
// sends it to every daemon that may own the share next.
func (g *Gateway) handOverAllShares(ctx context.Context) {
	var calls errgroup.Group
	for share := range g.keys.claimEpochs() {
		s, ok := g.keys.freeze(share)
		if !ok {
			continue
		}
		for _, m := range g.o.Members.Live() {
			if m.Daemon.Name == g.o.Self.Name || m.Leaving {
				continue
			}
			calls.Go(func() error { g.sendHandover(ctx, m.Daemon.Name, share, s); return nil })
		}
	}
	_ = calls.Wait()
}

// sendHandover sends a snapshot in parts. If a part is lost, the next owner answers
// MayHaveRun for the keys of earlier epochs.
func (g *Gateway) sendHandover(ctx context.Context, daemon string, share cluster.Share, s idempotency.Snapshot[attemptMetadata]) {
	ctx, cancel := context.WithTimeout(ctx, handoverTimeout)
	defer cancel()
	keys := s.Keys
	for part := 0; ; part++ {
		n := handoverBatchLen(keys)
		s.Keys = keys[:n]
		keys = keys[n:]
		h := keyHandover{Share: share, Snapshot: s, Part: part, Last: len(keys) == 0}
		if err := g.o.Peers.Call(ctx, daemon, methodKeyHandover, h, nil); err != nil || h.Last {
			return
		}
	}
}

func handoverBatchLen(keys []idempotency.SnapshotKey[attemptMetadata]) int {
	bytes := 0
	for i, k := range keys {
		bytes += len(k.Outcome.Body)
		if i > 0 && bytes > maxHandoverBytes || i == maxHandoverKeys {
			return i
		}
	}
	return len(keys)
}
