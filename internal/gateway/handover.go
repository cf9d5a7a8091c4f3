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
	// handoverGrace is how long a new owner waits for its predecessor's
	// memory before it answers for keys of earlier epochs.
	handoverGrace = 500 * time.Millisecond
	// handoverKept is how long a daemon keeps a memory that it was sent for a
	// share that it does not own yet.
	handoverKept = 30 * time.Second
	// maxHandoverBytes bounds the outcomes of one message.
	maxHandoverBytes = 256 << 10
	// maxHandoverKeys bounds the keys of one message.
	maxHandoverKeys = 1024
)

// keyHandover is a part of the memory of a share, from its former owner.
type keyHandover struct {
	Share    cluster.Share                     `json:"share"`
	Snapshot idempotency.Snapshot[attemptNote] `json:"snapshot"`
	// Part counts from zero; the last part completes the memory.
	Part int  `json:"part"`
	Last bool `json:"last"`
}

// incoming is a memory that a former owner has sent.
type incoming struct {
	snapshot idempotency.Snapshot[attemptNote]
	parts    int
	complete bool
	arrived  time.Time
}

// handedOver takes in a part of a memory. Parts come in order; a first part
// begins anew.
func (k *keyOwner) handedOver(h keyHandover) error {
	k.mu.Lock()
	defer k.mu.Unlock()
	in, ok := k.incoming[h.Share]
	if h.Part == 0 {
		in = &incoming{snapshot: h.Snapshot, arrived: k.now()}
		k.incoming[h.Share] = in
	} else if !ok || in.parts != h.Part || in.snapshot.Epoch != h.Snapshot.Epoch {
		return verdict.New(verdict.NotRun, reasonBadMessage, "part %d of %s came out of order", h.Part, h.Share)
	} else {
		in.snapshot.Keys = append(in.snapshot.Keys, h.Snapshot.Keys...)
	}
	in.parts++
	in.complete = h.Last
	if t, ok := k.tables[h.Share]; ok {
		k.inherit(h.Share, t)
	}
	return nil
}

// inherit gives a table the memory that its predecessor sent, if it is there.
// The caller holds the lock.
func (k *keyOwner) inherit(share cluster.Share, t *idempotency.Table[attemptNote]) {
	in, ok := k.incoming[share]
	if ok && in.complete && t.ImportSnapshot(k.now(), in.snapshot) {
		delete(k.incoming, share)
	}
}

// awaits reports whether a table may still get its predecessor's memory.
func (k *keyOwner) awaits(t *idempotency.Table[attemptNote], d idempotency.Decision) bool {
	return d.Err != nil && d.Err.Reason == idempotency.ReasonEarlierEpoch && t.Age(k.now()) < handoverGrace
}

// freeze ends the table of a share and returns its memory. Nothing begins
// here in the share's epoch after that.
func (k *keyOwner) freeze(share cluster.Share) (idempotency.Snapshot[attemptNote], bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	t, ok := k.tables[share]
	if !ok {
		return idempotency.Snapshot[attemptNote]{}, false
	}
	k.renew(share, t)
	delete(k.tables, share)
	k.frozen[share] = t.Epoch()
	return t.Snapshot(k.now()), true
}

// shares lists the shares with a memory here, each with the newest epoch of
// its claim.
func (k *keyOwner) shares() map[cluster.Share]uint64 {
	k.mu.Lock()
	defer k.mu.Unlock()
	all := make(map[cluster.Share]uint64, len(k.tables))
	for share, t := range k.tables {
		k.renew(share, t)
		all[share] = t.ClaimEpoch()
	}
	return all
}

// forgetIncoming drops memories whose shares this daemon did not get.
func (k *keyOwner) forgetIncoming() {
	k.mu.Lock()
	defer k.mu.Unlock()
	for share, in := range k.incoming {
		if k.now().Sub(in.arrived) > handoverKept {
			delete(k.incoming, share)
		}
	}
}

// handOverLost sends the memories of shares that others own now to their
// owners. That is safe at any time: nothing has begun here since the right
// ended, and before that everything was remembered.
func (g *Gateway) handOverLost(ctx context.Context) {
	for share, claim := range g.keys.shares() {
		entry, ok := g.o.State.View().Share(share)
		if !ok || entry.Epoch != claim+1 || entry.Name == g.o.Self.Name {
			continue
		}
		if s, ok := g.keys.freeze(share); ok {
			g.sendHandover(ctx, entry.Name, share, s)
		}
	}
}

// handOverAll ends the memory of every share when the daemon stops, and sends
// it to every daemon that may own the share next.
func (g *Gateway) handOverAll(ctx context.Context) {
	var calls errgroup.Group
	for share := range g.keys.shares() {
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

// sendHandover sends a memory in parts. What is lost is answered as may have
// run by the next owner.
func (g *Gateway) sendHandover(ctx context.Context, daemon string, share cluster.Share, s idempotency.Snapshot[attemptNote]) {
	ctx, cancel := context.WithTimeout(ctx, handoverTimeout)
	defer cancel()
	keys := s.Keys
	for part := 0; ; part++ {
		n := handoverLen(keys)
		s.Keys = keys[:n]
		keys = keys[n:]
		h := keyHandover{Share: share, Snapshot: s, Part: part, Last: len(keys) == 0}
		if err := g.o.Peers.Call(ctx, daemon, methodKeyHandover, h, nil); err != nil || h.Last {
			return
		}
	}
}

func handoverLen(keys []idempotency.SnapshotKey[attemptNote]) int {
	bytes := 0
	for i, k := range keys {
		bytes += len(k.Outcome.Body)
		if i > 0 && bytes > maxHandoverBytes || i == maxHandoverKeys {
			return i
		}
	}
	return len(keys)
}
