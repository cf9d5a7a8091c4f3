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

// maxKeysPerIssue bounds the keys issued by one request.
const maxKeysPerIssue = 1000

// keyOwner holds the idempotency tables of the key shares that this daemon owns.
type keyOwner struct {
	self   billWriterID
	now    func() time.Time
	owners roles.Owners
	config idempotency.Config
	// onOutcomeLost is called with the bill of an attempt whose outcome was
	// lost, and onBillReported with a bill that another daemon reports with the
	// end of its attempt.
	onOutcomeLost  func(record.Bill)
	onBillReported func(bill record.Bill, writer billWriterID) bool

	mu       sync.Mutex
	received map[cluster.Share]*receivedSnapshot
	// frozenEpochs holds the epochs whose table was handed over.
	frozenEpochs map[cluster.Share]uint64
	tables       map[cluster.Share]*idempotency.Table[attemptMetadata]
	random       *rand.Rand
}

// attemptMetadata is what a table keeps with an attempt in progress.
type attemptMetadata struct {
	Daemon string       `json:"daemon,omitempty"`
	Bill   *record.Bill `json:"bill,omitempty"`
}

func newKeyOwner(o Options, config idempotency.Config, onOutcomeLost func(record.Bill), onBillReported func(record.Bill, billWriterID) bool) *keyOwner {
	return &keyOwner{
		self: writerOf(o.Self), now: o.Now, owners: o.Owners, config: config, onOutcomeLost: onOutcomeLost, onBillReported: onBillReported,
		received: make(map[cluster.Share]*receivedSnapshot), frozenEpochs: make(map[cluster.Share]uint64),
		tables: make(map[cluster.Share]*idempotency.Table[attemptMetadata]),
		random: rand.New(rand.NewPCG(o.Seed, keyRandomStream)),
	}
}

// keyRandomStream separates the key owner's pseudo-random sequence from others of
// the same seed.
const keyRandomStream = 0x6b6579

// table returns the share's table if this daemon may act for it now. The
// caller holds the lock.
func (k *keyOwner) table(share cluster.Share) (*idempotency.Table[attemptMetadata], error) {
	right, ok := k.owners.Lease(share)
	if !ok {
		return nil, verdict.New(verdict.NotRun, reasonNotOwner, "no right to act for %s", share)
	}
	if k.frozenEpochs[share] == right.Epoch {
		return nil, verdict.New(verdict.NotRun, reasonNotOwner, "%s is being handed over", share)
	}
	t, ok := k.tables[share]
	if !ok || t.Epoch() != right.Epoch {
		t = idempotency.NewTable[attemptMetadata](k.config, share, right.Epoch, k.now())
		k.tables[share] = t
		k.importReceived(share, t)
	}
	t.RenewClaim(right.ClaimEpoch)
	return t, nil
}

// renewClaim records in a table the newest epoch of this daemon's claim on its
// share. The caller holds the lock.
func (k *keyOwner) renewClaim(share cluster.Share, t *idempotency.Table[attemptMetadata]) {
	if right, ok := k.owners.Lease(share); ok && right.Epoch == t.Epoch() {
		t.RenewClaim(right.ClaimEpoch)
	}
}

// issue returns new keys of the shares that this daemon owns, or an error if it
// owns none.
func (k *keyOwner) issue(count int) ([]string, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	var shares []cluster.Share
	for _, r := range k.owners.Leases() {
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

func (k *keyOwner) begin(from string, p keyBeginRequest) (idempotency.Decision, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	t, err := k.table(cluster.KeyShare(p.Key))
	if err != nil {
		return idempotency.Decision{}, err
	}
	now := k.now()
	d := t.Begin(now, idempotency.Attempt[attemptMetadata]{
		Key: p.Key, Holder: p.Holder, Fingerprint: p.Fingerprint, OutcomeDeadline: now.Add(p.Remaining + settleGrace),
		Metadata: attemptMetadata{Daemon: from, Bill: p.Bill},
	})
	return k.deferAwaited(t, d)
}

// deferAwaited returns d, or an error that makes the caller retry while the
// predecessor's snapshot may still change the decision.
func (k *keyOwner) deferAwaited(t *idempotency.Table[attemptMetadata], d idempotency.Decision) (idempotency.Decision, error) {
	if k.awaitsSnapshot(t, d) {
		return idempotency.Decision{}, verdict.New(verdict.NotRun, reasonNotOwner, "the former owner's memory has not come yet")
	}
	return d, nil
}

func (k *keyOwner) lookup(p keyLookupRequest) (idempotency.Decision, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	t, err := k.table(cluster.KeyShare(p.Key))
	if err != nil {
		return idempotency.Decision{}, err
	}
	return k.deferAwaited(t, t.Lookup(k.now(), p.Key, p.Fingerprint))
}

// settle records the ends of attempts. It requires no right to act for their
// shares, because a late outcome is still true. It fails if a key's table is not
// here, so that the sender reports the attempt to the next owner.
func (k *keyOwner) settle(from billWriterID, items []keySettlement) error {
	var missingErr error
	for _, item := range items {
		if item.Bill != nil && from != k.self {
			k.onBillReported(*item.Bill, from)
		}
		if !k.settleAttempt(item) {
			missingErr = verdict.New(verdict.NotRun, reasonNotOwner, "no memory of %s here", cluster.KeyShare(item.Key))
		}
	}
	return missingErr
}

func (k *keyOwner) settleAttempt(item keySettlement) bool {
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

// expire expires overdue attempts and forgets old keys in all tables, and passes
// on the bills of the attempts whose outcome was lost.
func (k *keyOwner) expire() {
	k.mu.Lock()
	var lost []idempotency.LostAttempt[attemptMetadata]
	for share, t := range k.tables {
		k.renewClaim(share, t)
		lost = append(lost, t.Expire(k.now())...)
	}
	k.mu.Unlock()
	for _, attempt := range lost {
		if attempt.Metadata.Bill != nil {
			k.onOutcomeLost(*attempt.Metadata.Bill)
		}
	}
}

// register registers the methods that concern idempotency keys.
func (k *keyOwner) register(peers roles.Peers) {
	peers.Handle(methodKeyIssue, handle(func(_ context.Context, _ string, p keyIssueRequest) (any, error) {
		keys, err := k.issue(min(max(p.Count, 1), maxKeysPerIssue))
		return keyIssueResponse{Keys: keys}, err
	}))
	peers.Handle(methodKeyBegin, handle(func(_ context.Context, from string, p keyBeginRequest) (any, error) {
		d, err := k.begin(from, p)
		return encodeDecision(d), err
	}))
	peers.Handle(methodKeyLookup, handle(func(_ context.Context, _ string, p keyLookupRequest) (any, error) {
		d, err := k.lookup(p)
		return encodeDecision(d), err
	}))
	peers.Handle(methodKeySettle, handle(func(_ context.Context, from string, p keySettleRequest) (any, error) {
		return struct{}{}, k.settle(billWriterID{from, p.Incarnation}, p.Items)
	}))
	peers.Handle(methodKeyHandover, handle(func(_ context.Context, _ string, h keyHandover) (any, error) {
		return struct{}{}, k.receiveHandover(h)
	}))
}

// handle returns a handler that decodes a method's parameters for f. It refuses
// malformed ones with the verdict NotRun.
func handle[P any](f func(ctx context.Context, from string, params P) (any, error)) roles.PeerHandler {
	return func(ctx context.Context, from string, raw json.RawMessage) (any, error) {
		var params P
		if err := json.Unmarshal(raw, &params); err != nil {
			return nil, verdict.Wrap(err, verdict.NotRun, reasonMalformedMessage)
		}
		return f(ctx, from, params)
	}
}
