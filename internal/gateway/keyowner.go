package gateway

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/currantwinch/currantwinch/cluster"
	"github.com/currantwinch/currantwinch/idempotency"
	"github.com/currantwinch/currantwinch/internal/roles"
	"github.com/currantwinch/currantwinch/record"
	"github.com/currantwinch/currantwinch/verdict"
)

// maxIssue bounds the keys issued by one request.
const maxIssue = 1000

// keyOwner is the memory of the key shares that this daemon owns.
type keyOwner struct {
	self   billWriter
	now    func() time.Time
	owners roles.Owners
	config idempotency.Config
	// lost receives the bills of attempts whose outcome was lost, and runs
	// the bills of those that ended here.
	lost func(record.Bill)
	ran  func(bill record.Bill, writer billWriter) bool

	mu       sync.Mutex
	incoming map[cluster.Share]*incoming
	// frozen are the epochs whose memory was handed over.
	frozen map[cluster.Share]uint64
	tables map[cluster.Share]*idempotency.Table[attemptNote]
	random *rand.Rand
}

// attemptNote is what a table keeps with an attempt.
type attemptNote struct {
	Daemon string       `json:"daemon,omitempty"`
	Bill   *record.Bill `json:"bill,omitempty"`
}

func newKeyOwner(o Options, config idempotency.Config, lost func(record.Bill), ran func(record.Bill, billWriter) bool) *keyOwner {
	return &keyOwner{
		self: writerOf(o.Self), now: o.Now, owners: o.Owners, config: config, lost: lost, ran: ran,
		incoming: make(map[cluster.Share]*incoming), frozen: make(map[cluster.Share]uint64),
		tables: make(map[cluster.Share]*idempotency.Table[attemptNote]),
		random: rand.New(rand.NewPCG(o.Seed, keyStream)),
	}
}

// keyStream tells the key owner's pseudo-random sequence from others.
const keyStream = 0x6b6579

// table returns the share's table if this daemon may act for it now. The
// caller holds the lock.
func (k *keyOwner) table(share cluster.Share) (*idempotency.Table[attemptNote], error) {
	right, ok := k.owners.Right(share)
	if !ok {
		return nil, verdict.New(verdict.NotRun, reasonNotOwner, "no right to act for %s", share)
	}
	if k.frozen[share] == right.Epoch {
		return nil, verdict.New(verdict.NotRun, reasonNotOwner, "%s is being handed over", share)
	}
	t, ok := k.tables[share]
	if !ok || t.Epoch() != right.Epoch {
		t = idempotency.NewTable[attemptNote](k.config, share, right.Epoch, k.now())
		k.tables[share] = t
		k.inherit(share, t)
	}
	t.RenewClaim(right.Claim)
	return t, nil
}

// renew takes in how far the claim on a table's share has been renewed. The
// caller holds the lock.
func (k *keyOwner) renew(share cluster.Share, t *idempotency.Table[attemptNote]) {
	if right, ok := k.owners.Right(share); ok && right.Epoch == t.Epoch() {
		t.RenewClaim(right.Claim)
	}
}

// issue returns new keys of the shares that this daemon owns, or an error
// where it owns none.
func (k *keyOwner) issue(count int) ([]string, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	var shares []cluster.Share
	for _, r := range k.owners.Rights() {
		if r.Share.Kind == cluster.ShareKey {
			shares = append(shares, r.Share)
		}
	}
	if len(shares) == 0 {
		return nil, verdict.New(verdict.NotRun, reasonNotOwner, "no key share is owned here")
	}
	keys := make([]string, 0, count)
	for i := range count {
		t, err := k.table(shares[(i+k.random.IntN(len(shares)))%len(shares)])
		if err != nil {
			return nil, err
		}
		keys = append(keys, t.Issue(k.now(), k.random.Uint64))
	}
	return keys, nil
}

func (k *keyOwner) begin(from string, p keyBegin) (idempotency.Decision, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	t, err := k.table(cluster.KeyShare(p.Key))
	if err != nil {
		return idempotency.Decision{}, err
	}
	now := k.now()
	d := t.Begin(now, idempotency.Attempt[attemptNote]{
		Key: p.Key, Holder: p.Holder, Fingerprint: p.Fingerprint, OutcomeDeadline: now.Add(p.Left + settleGrace),
		Metadata: attemptNote{Daemon: from, Bill: p.Bill},
	})
	return k.unlessAwaited(t, d)
}

// unlessAwaited puts off a decision that the predecessor's memory may change.
func (k *keyOwner) unlessAwaited(t *idempotency.Table[attemptNote], d idempotency.Decision) (idempotency.Decision, error) {
	if k.awaits(t, d) {
		return idempotency.Decision{}, verdict.New(verdict.NotRun, reasonNotOwner, "the former owner's memory has not come yet")
	}
	return d, nil
}

func (k *keyOwner) lookup(p keyLookup) (idempotency.Decision, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	t, err := k.table(cluster.KeyShare(p.Key))
	if err != nil {
		return idempotency.Decision{}, err
	}
	return k.unlessAwaited(t, t.Lookup(k.now(), p.Key, p.Fingerprint))
}

// settle records the end of attempts. It needs no right: an outcome that
// comes late is still true. It fails where a memory is not here, so that the
// attempt's end is told to the next owner.
func (k *keyOwner) settle(from billWriter, items []keySettlement) error {
	var missing error
	for _, item := range items {
		if item.Bill != nil && from != k.self {
			k.ran(*item.Bill, from)
		}
		if !k.settleOne(item) {
			missing = verdict.New(verdict.NotRun, reasonNotOwner, "no memory of %s here", cluster.KeyShare(item.Key))
		}
	}
	return missing
}

func (k *keyOwner) settleOne(item keySettlement) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	t, ok := k.tables[cluster.KeyShare(item.Key)]
	if !ok {
		return false
	}
	if item.Outcome.Verdict == verdict.NotRun {
		t.Release(item.Key, item.Holder)
	} else {
		t.Finish(item.Key, item.Holder, item.Outcome)
	}
	return true
}

// expire ends overdue attempts and drops tables of shares that were lost.
func (k *keyOwner) expire() {
	k.mu.Lock()
	var lost []idempotency.LostAttempt[attemptNote]
	for share, t := range k.tables {
		k.renew(share, t)
		lost = append(lost, t.Expire(k.now())...)
	}
	k.mu.Unlock()
	for _, l := range lost {
		if l.Metadata.Bill != nil {
			k.lost(*l.Metadata.Bill)
		}
	}
}

// register serves the key methods to other daemons.
func (k *keyOwner) register(peers roles.Peers) {
	peers.Handle(methodKeyIssue, handle(func(_ context.Context, _ string, p keyIssue) (any, error) {
		keys, err := k.issue(min(max(p.Count, 1), maxIssue))
		return keyIssued{Keys: keys}, err
	}))
	peers.Handle(methodKeyBegin, handle(func(_ context.Context, from string, p keyBegin) (any, error) {
		d, err := k.begin(from, p)
		return toWire(d), err
	}))
	peers.Handle(methodKeyLookup, handle(func(_ context.Context, _ string, p keyLookup) (any, error) {
		d, err := k.lookup(p)
		return toWire(d), err
	}))
	peers.Handle(methodKeySettle, handle(func(_ context.Context, from string, p keySettle) (any, error) {
		return struct{}{}, k.settle(billWriter{from, p.Incarnation}, p.Items)
	}))
	peers.Handle(methodKeyHandover, handle(func(_ context.Context, _ string, h keyHandover) (any, error) {
		return struct{}{}, k.handedOver(h)
	}))
}

// handle decodes a method's parameters. Malformed ones are refused.
func handle[P any](f func(ctx context.Context, from string, params P) (any, error)) roles.PeerHandler {
	return func(ctx context.Context, from string, raw json.RawMessage) (any, error) {
		var params P
		if err := json.Unmarshal(raw, &params); err != nil {
			return nil, verdict.Wrap(err, verdict.NotRun, reasonBadMessage)
		}
		return f(ctx, from, params)
	}
}
