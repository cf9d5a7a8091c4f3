// Package idempotency makes requests with an idempotency key run at most once. The
// daemon that owns a share of the key space has a Table for each epoch of its
// ownership. The table issues keys, records the attempt that runs under each key and
// its outcome, and refuses a key that it cannot know with the verdict MayHaveRun.
//
// A Table does no I/O and starts no goroutines. Its caller serialises the calls and
// makes them only while it has the right to act for the share.
package idempotency

import (
	"slices"
	"strings"
	"time"

	"github.com/currantwinch/currantwinch/cluster"
	"github.com/currantwinch/currantwinch/verdict"
)

// The reasons for which a key is refused.
const (
	ReasonKeyInvalid       verdict.Reason = "key_invalid"
	ReasonKeyReused        verdict.Reason = "key_reused"
	ReasonKeyExpired       verdict.Reason = "key_expired"
	ReasonEarlierEpoch     verdict.Reason = "key_from_earlier_epoch"
	ReasonLaterEpoch       verdict.Reason = "key_from_later_epoch"
	ReasonTableFull        verdict.Reason = "keys_full"
	ReasonOutcomeLost      verdict.Reason = "outcome_lost"
	ReasonOutcomeForgotten verdict.Reason = "outcome_forgotten"
)

// fullRetryAfter is the Retry-After while the table is full.
const fullRetryAfter = time.Second

// Config bounds a Table.
type Config struct {
	// GenerationPeriod is the time during which issued keys have the same
	// generation.
	GenerationPeriod time.Duration
	// ValidityWindow: a key can be used for this long after its generation
	// period ended.
	ValidityWindow time.Duration
	// MaxKeys bounds the number of keys in the table.
	MaxKeys int
	// MaxOutcomeBytes bounds the bodies of the retained outcomes. The oldest
	// outcomes are dropped first; that their requests ran stays known.
	MaxOutcomeBytes int
}

// DefaultConfig returns the configuration that daemons use for each share.
func DefaultConfig() Config {
	return Config{GenerationPeriod: time.Minute, ValidityWindow: 10 * time.Minute, MaxKeys: 8192, MaxOutcomeBytes: 1 << 20}
}

// Outcome is the outcome of a request that ended, with its response if it ran.
type Outcome struct {
	Verdict     verdict.Verdict `json:"verdict"`
	Status      int             `json:"status,omitempty"`
	ContentType string          `json:"contentType,omitempty"`
	Backend     string          `json:"backend,omitempty"`
	Revision    uint64          `json:"revision,omitempty"`
	Body        []byte          `json:"body,omitempty"`
}

// State is the state of a key in a Table.
type State uint8

// The states of a key.
const (
	// Refused means that no attempt may run; Decision.Err says why.
	Refused State = iota
	// Fresh means that the request has not run. If Begin returns it, the caller
	// must run the request.
	Fresh
	// InProgress means that another attempt runs the request.
	InProgress
	// Done means that the request ran and its outcome is retained.
	Done
)

// Decision is the result of Begin and Lookup.
type Decision struct {
	State State `json:"state"`
	// Holder is the attempt that may run the request or that runs or ran it.
	Holder  string  `json:"holder,omitempty"`
	Outcome Outcome `json:"outcome,omitzero"`
	// Err is set if the state is Refused.
	Err *verdict.Error `json:"-"`
}

// Attempt is an attempt to run a request.
type Attempt[N any] struct {
	Key string
	// Holder is the unique ID of the attempt. Begin is idempotent: a second call
	// for the same holder returns the same decision.
	Holder string
	// Fingerprint is a hash of the request, which detects different requests with
	// the same key.
	Fingerprint uint64
	// OutcomeDeadline is when the outcome counts as lost if the attempt has not
	// ended.
	OutcomeDeadline time.Time
	// Metadata is kept with the attempt and returned if its outcome is lost.
	Metadata N
}

type phase uint8

const (
	phaseReleased phase = iota
	phaseRunning
	phaseDone
	phaseLost
)

type entry[N any] struct {
	key              string
	generation       uint64
	fingerprint      uint64
	holder           string
	phase            phase
	outcomeDeadline  time.Time
	metadata         N
	outcome          Outcome
	outcomeForgotten bool
}

// Table holds the keys of one share during one epoch, and metadata of type N with
// each attempt in progress.
type Table[N any] struct {
	config Config
	share  cluster.Share
	epoch  uint64
	// claim is the newest epoch of the owner's claim.
	claim uint64
	start time.Time
	// epochStarts holds the starts of the epochs whose keys are all known here:
	// the table's own and those of the imported snapshot.
	epochStarts map[uint64]time.Time

	entries          map[string]*entry[N]
	generations      map[uint64][]*entry[N]
	oldestGeneration uint64
	running          map[*entry[N]]struct{}
	retained         []*entry[N]
	retainedBytes    int
}

// NewTable returns an empty table for a share's epoch that begins at start.
func NewTable[N any](config Config, share cluster.Share, epoch uint64, start time.Time) *Table[N] {
	return &Table[N]{
		config: config, share: share, epoch: epoch, claim: epoch, start: start,
		epochStarts: map[uint64]time.Time{epoch: start},
		entries:     make(map[string]*entry[N]),
		generations: make(map[uint64][]*entry[N]),
		running:     make(map[*entry[N]]struct{}),
	}
}

// Epoch returns the epoch that the table belongs to.
func (t *Table[N]) Epoch() uint64 { return t.epoch }

// RenewClaim records that the owner has renewed its claim under a later epoch. No
// other daemon owned the share in between, so the table stays valid.
func (t *Table[N]) RenewClaim(claim uint64) { t.claim = max(t.claim, claim) }

// ClaimEpoch returns the newest epoch of the owner's claim.
func (t *Table[N]) ClaimEpoch() uint64 { return t.claim }

// Age returns the time since the epoch began.
func (t *Table[N]) Age(now time.Time) time.Duration { return now.Sub(t.start) }

// Len returns the number of keys in the table.
func (t *Table[N]) Len() int { return len(t.entries) }

// Running returns the number of attempts in progress.
func (t *Table[N]) Running() int { return len(t.running) }

// Issue returns a new key of the table's share and epoch.
func (t *Table[N]) Issue(now time.Time, random func() uint64) string {
	return newKey(t.share, t.epoch, t.generationAt(now, t.start), random)
}

// generationAt returns the current generation of an epoch that began at start.
func (t *Table[N]) generationAt(now, start time.Time) uint64 {
	return uint64(max(0, now.Sub(start)) / t.config.GenerationPeriod)
}

// usable reports whether keys of a generation of an epoch that began at start can
// still be used.
func (t *Table[N]) usable(now, start time.Time, generation uint64) bool {
	age := now.Sub(start) - time.Duration(generation+1)*t.config.GenerationPeriod
	return age < t.config.ValidityWindow
}

// Begin starts the attempt if the request has not run and no other attempt is in
// progress. The verdict of a refusal is NotRun only if the request certainly did not
// run under the key.
func (t *Table[N]) Begin(now time.Time, a Attempt[N]) Decision {
	d := t.Lookup(now, a.Key, a.Fingerprint)
	if d.State == InProgress && d.Holder == a.Holder {
		return Decision{State: Fresh, Holder: a.Holder}
	}
	if d.State != Fresh {
		return d
	}
	e, ok := t.entries[a.Key]
	if !ok {
		if len(t.entries) >= t.config.MaxKeys {
			return refuse(verdict.NotRun, ReasonTableFull, "%d keys are remembered", len(t.entries)).withRetryAfter(fullRetryAfter)
		}
		e = t.addEntry(now, a.Key, a.Fingerprint)
	}
	t.startAttempt(e, a.Holder, a.OutcomeDeadline, a.Metadata)
	return Decision{State: Fresh, Holder: a.Holder}
}

func (t *Table[N]) startAttempt(e *entry[N], holder string, outcomeDeadline time.Time, metadata N) {
	e.holder, e.phase, e.outcomeDeadline, e.metadata = holder, phaseRunning, outcomeDeadline, metadata
	t.running[e] = struct{}{}
}

// addEntry adds a key for at least as long as it can be used. A key of an earlier
// epoch was issued by now, so its own generation ends at most one period from now;
// the table's current generation may end sooner, its next one does not.
func (t *Table[N]) addEntry(now time.Time, text string, fingerprint uint64) *entry[N] {
	generation := t.generationAt(now, t.start) + 1
	if key, err := ParseKey(text); err == nil && key.Epoch == t.epoch {
		generation = key.Generation
	}
	e := &entry[N]{key: text, generation: generation, fingerprint: fingerprint}
	t.entries[text] = e
	t.generations[generation] = append(t.generations[generation], e)
	return e
}

// Lookup returns the state of a key without changing it.
func (t *Table[N]) Lookup(now time.Time, key string, fingerprint uint64) Decision {
	if e, ok := t.entries[key]; ok {
		return t.lookupEntry(e, fingerprint)
	}
	return t.lookupUnknown(now, key)
}

func (t *Table[N]) lookupEntry(e *entry[N], fingerprint uint64) Decision {
	switch {
	case e.fingerprint != fingerprint:
		return refuse(verdict.NotRun, ReasonKeyReused, "key %s belongs to another request", e.key)
	case e.phase == phaseReleased:
		return Decision{State: Fresh}
	case e.phase == phaseRunning:
		return Decision{State: InProgress, Holder: e.holder}
	case e.phase == phaseLost:
		return refuse(verdict.MayHaveRun, ReasonOutcomeLost, "the outcome of key %s was lost", e.key)
	case e.outcomeForgotten:
		return refuse(verdict.MayHaveRun, ReasonOutcomeForgotten, "key %s ran; its answer is no longer kept", e.key)
	default:
		return Decision{State: Done, Holder: e.holder, Outcome: e.outcome}
	}
}

func (t *Table[N]) lookupUnknown(now time.Time, text string) Decision {
	key, err := ParseKey(text)
	start, epochKnown := t.epochStarts[key.Epoch]
	switch {
	case err != nil:
		return refuse(verdict.NotRun, ReasonKeyInvalid, "%v", err)
	case cluster.KeyShare(text) != t.share:
		return refuse(verdict.NotRun, ReasonKeyInvalid, "key %s is not of share %s", text, t.share)
	case key.Epoch > t.epoch:
		return refuse(verdict.MayHaveRun, ReasonLaterEpoch, "key %s is from epoch %d, later than %d", text, key.Epoch, t.epoch)
	case !epochKnown:
		return refuse(verdict.MayHaveRun, ReasonEarlierEpoch, "key %s is from epoch %d, before %d", text, key.Epoch, t.epoch)
	case key.Generation > t.generationAt(now, start):
		return refuse(verdict.NotRun, ReasonKeyInvalid, "key %s was never issued", text)
	case !t.usable(now, start, key.Generation):
		return refuse(verdict.MayHaveRun, ReasonKeyExpired, "key %s has expired", text)
	default:
		return Decision{State: Fresh}
	}
}

// Finish records the outcome of an attempt. It returns false if the attempt does not
// hold the key, or was released or finished before. It accepts the outcome of an
// attempt that counts as lost. An outcome with a verdict other than Ran counts as
// lost itself.
func (t *Table[N]) Finish(key string, holder string, outcome Outcome) bool {
	e, ok := t.entries[key]
	if !ok || e.holder != holder || e.phase == phaseReleased || e.phase == phaseDone {
		return false
	}
	delete(t.running, e)
	e.metadata = zero[N]()
	if outcome.Verdict != verdict.Ran {
		e.phase = phaseLost
		return true
	}
	e.phase, e.outcome = phaseDone, outcome
	t.retain(e)
	return true
}

func (t *Table[N]) retain(e *entry[N]) {
	t.retained = append(t.retained, e)
	t.retainedBytes += len(e.outcome.Body)
	for t.retainedBytes > t.config.MaxOutcomeBytes && len(t.retained) > 0 {
		t.forgetOutcome(t.retained[0])
		t.retained = t.retained[1:]
	}
}

func (t *Table[N]) forgetOutcome(e *entry[N]) {
	if e.outcomeForgotten {
		return
	}
	t.retainedBytes -= len(e.outcome.Body)
	e.outcomeForgotten, e.outcome = true, Outcome{Verdict: verdict.Ran}
}

// Release records that an attempt certainly did not run, so that another may begin.
// It returns false if the attempt does not hold the key or is not in progress.
func (t *Table[N]) Release(key string, holder string) bool {
	e, ok := t.entries[key]
	if !ok || e.holder != holder || e.phase != phaseRunning {
		return false
	}
	delete(t.running, e)
	e.phase, e.metadata = phaseReleased, zero[N]()
	return true
}

// LostAttempt is an attempt whose outcome was not reported by its deadline.
type LostAttempt[N any] struct {
	Key      string
	Metadata N
}

// Expire counts the outcomes of overdue attempts as lost, removes keys that can no
// longer be used, and returns the lost attempts, sorted by key.
func (t *Table[N]) Expire(now time.Time) []LostAttempt[N] {
	var lost []LostAttempt[N]
	for e := range t.running {
		if now.Before(e.outcomeDeadline) {
			continue
		}
		lost = append(lost, t.markLost(e))
	}
	for t.oldestGeneration < t.generationAt(now, t.start) && !t.usable(now, t.start, t.oldestGeneration) {
		lost = append(lost, t.dropGeneration(t.oldestGeneration)...)
		t.oldestGeneration++
	}
	slices.SortFunc(lost, func(a, b LostAttempt[N]) int { return strings.Compare(a.Key, b.Key) })
	return lost
}

func (t *Table[N]) markLost(e *entry[N]) LostAttempt[N] {
	delete(t.running, e)
	l := LostAttempt[N]{Key: e.key, Metadata: e.metadata}
	e.phase, e.metadata = phaseLost, zero[N]()
	return l
}

func (t *Table[N]) dropGeneration(generation uint64) []LostAttempt[N] {
	var lost []LostAttempt[N]
	for _, e := range t.generations[generation] {
		if e.phase == phaseRunning {
			lost = append(lost, t.markLost(e))
		}
		if e.phase == phaseDone {
			t.forgetOutcome(e)
		}
		delete(t.entries, e.key)
	}
	delete(t.generations, generation)
	return lost
}

func zero[N any]() N {
	var zero N
	return zero
}

func refuse(v verdict.Verdict, reason verdict.Reason, format string, args ...any) Decision {
	return Decision{State: Refused, Err: verdict.New(v, reason, format, args...)}
}

func (d Decision) withRetryAfter(wait time.Duration) Decision {
	d.Err = d.Err.WithRetryAfter(wait)
	return d
}
