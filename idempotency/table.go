// Package idempotency lets a request that may not be repeated run at most
// once. A Table is the memory of one owner of a slice of the key space during
// one epoch. It issues keys, remembers what became of each, and says of a key
// that it cannot know that its request may have run.
//
// A Table does no I/O and starts nothing. Its caller serialises the calls and
// makes them only while it has the right to act for the share.
package idempotency

import (
	"slices"
	"strings"
	"time"

	"github.com/currantwinch/currantwinch/cluster"
	"github.com/currantwinch/currantwinch/verdict"
)

// The reasons why a key is refused.
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

// fullRetryAfter is the advice given while the table is full.
const fullRetryAfter = time.Second

// Config bounds a Table.
type Config struct {
	// GenerationPeriod is the time during which issued keys carry the same number.
	GenerationPeriod time.Duration
	// ValidityWindow is how long a key can be used after its generation ended.
	ValidityWindow time.Duration
	// MaxKeys bounds the keys remembered.
	MaxKeys int
	// MaxOutcomeBytes bounds the outcomes kept; the oldest are forgotten
	// first, the fact that their requests ran is not.
	MaxOutcomeBytes int
}

// DefaultConfig returns the bounds that daemons use for one share.
func DefaultConfig() Config {
	return Config{GenerationPeriod: time.Minute, ValidityWindow: 10 * time.Minute, MaxKeys: 8192, MaxOutcomeBytes: 1 << 20}
}

// Outcome is what is kept of a request that ended.
type Outcome struct {
	Verdict     verdict.Verdict `json:"verdict"`
	Status      int             `json:"status,omitempty"`
	ContentType string          `json:"contentType,omitempty"`
	Backend     string          `json:"backend,omitempty"`
	Revision    uint64          `json:"revision,omitempty"`
	Body        []byte          `json:"body,omitempty"`
}

// State is what a Table knows of a key.
type State uint8

// The states of a key.
const (
	// Refused means that Decision.Err says why nothing may run.
	Refused State = iota
	// Fresh means that the request has not run; after Begin, the caller is
	// the one that runs it.
	Fresh
	// InProgress means that another attempt runs it now.
	InProgress
	// Done means that it ran and its outcome is at hand.
	Done
)

// Decision answers Begin and Lookup.
type Decision struct {
	State State `json:"state"`
	// Holder is who may run it, or who runs it now.
	Holder  string  `json:"holder,omitempty"`
	Outcome Outcome `json:"outcome,omitzero"`
	// Err is set where the state is Refused.
	Err *verdict.Error `json:"-"`
}

// Attempt is one try to run a request.
type Attempt[N any] struct {
	Key string
	// Holder names the attempt and is unique to it. A second Begin of the
	// same holder is answered as the first was.
	Holder string
	// Fingerprint tells requests apart that use the same key wrongly.
	Fingerprint uint64
	// OutcomeDeadline is when the attempt's outcome counts as lost.
	OutcomeDeadline time.Time
	// Metadata is kept with the attempt and returned when it is lost.
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
	key         string
	generation  uint64
	fingerprint uint64
	holder      string
	phase       phase
	until       time.Time
	note        N
	outcome     Outcome
	forgotten   bool
}

// Table remembers the keys of one share during one epoch, and with each
// attempt in progress a note of type N.
type Table[N any] struct {
	config Config
	share  cluster.Share
	epoch  uint64
	// claim is the newest epoch of the owner's claim.
	claim uint64
	start time.Time
	// starts are when the epochs began whose keys are all known here: the
	// table's own and those inherited.
	starts map[uint64]time.Time

	entries     map[string]*entry[N]
	generations map[uint64][]*entry[N]
	oldest      uint64
	running     map[*entry[N]]struct{}
	kept        []*entry[N]
	bytes       int
}

// NewTable returns the empty table of a share's epoch that begins at start.
func NewTable[N any](config Config, share cluster.Share, epoch uint64, start time.Time) *Table[N] {
	return &Table[N]{
		config: config, share: share, epoch: epoch, claim: epoch, start: start,
		starts:      map[uint64]time.Time{epoch: start},
		entries:     make(map[string]*entry[N]),
		generations: make(map[uint64][]*entry[N]),
		running:     make(map[*entry[N]]struct{}),
	}
}

// Epoch returns the epoch that the table belongs to.
func (t *Table[N]) Epoch() uint64 { return t.epoch }

// RenewClaim notes that the owner has renewed its claim under a later epoch. Nobody
// else owned the share in between, so the table goes on.
func (t *Table[N]) RenewClaim(claim uint64) { t.claim = max(t.claim, claim) }

// ClaimEpoch returns the newest epoch of the owner's claim.
func (t *Table[N]) ClaimEpoch() uint64 { return t.claim }

// Age returns how long ago the epoch began.
func (t *Table[N]) Age(now time.Time) time.Duration { return now.Sub(t.start) }

// Len returns the number of keys remembered.
func (t *Table[N]) Len() int { return len(t.entries) }

// Running returns the number of attempts in progress.
func (t *Table[N]) Running() int { return len(t.running) }

// Issue returns a new key of the table's share and epoch.
func (t *Table[N]) Issue(now time.Time, random func() uint64) string {
	return newKey(t.share, t.epoch, t.generation(now, t.start), random)
}

// generation returns which generation of keys an epoch that began at start
// has come to.
func (t *Table[N]) generation(now, start time.Time) uint64 {
	return uint64(max(0, now.Sub(start)) / t.config.GenerationPeriod)
}

// usable reports whether keys of a generation of such an epoch can be used.
func (t *Table[N]) usable(now, start time.Time, generation uint64) bool {
	age := now.Sub(start) - time.Duration(generation+1)*t.config.GenerationPeriod
	return age < t.config.ValidityWindow
}

// Begin makes the caller the one that runs the request, if nobody ran it.
// A refusal's verdict is NotRun only where the request certainly did not run.
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
			return refused(verdict.NotRun, ReasonTableFull, "%d keys are remembered", len(t.entries)).retryAfter(fullRetryAfter)
		}
		e = t.add(now, a.Key, a.Fingerprint)
	}
	t.begin(e, a.Holder, a.OutcomeDeadline, a.Metadata)
	return Decision{State: Fresh, Holder: a.Holder}
}

func (t *Table[N]) begin(e *entry[N], holder string, until time.Time, note N) {
	e.holder, e.phase, e.until, e.note = holder, phaseRunning, until, note
	t.running[e] = struct{}{}
}

// add remembers a key for as long as it can be used, and a key of an earlier
// epoch for a whole window from now.
func (t *Table[N]) add(now time.Time, text string, fingerprint uint64) *entry[N] {
	generation := t.generation(now, t.start)
	if key, err := ParseKey(text); err == nil && key.Epoch == t.epoch {
		generation = key.Generation
	}
	e := &entry[N]{key: text, generation: generation, fingerprint: fingerprint}
	t.entries[text] = e
	t.generations[generation] = append(t.generations[generation], e)
	return e
}

// Lookup says what is known of a key and changes nothing.
func (t *Table[N]) Lookup(now time.Time, key string, fingerprint uint64) Decision {
	if e, ok := t.entries[key]; ok {
		return t.known(e, fingerprint)
	}
	return t.unknown(now, key)
}

func (t *Table[N]) known(e *entry[N], fingerprint uint64) Decision {
	switch {
	case e.fingerprint != fingerprint:
		return refused(verdict.NotRun, ReasonKeyReused, "key %s belongs to another request", e.key)
	case e.phase == phaseReleased:
		return Decision{State: Fresh}
	case e.phase == phaseRunning:
		return Decision{State: InProgress, Holder: e.holder}
	case e.phase == phaseLost:
		return refused(verdict.MayHaveRun, ReasonOutcomeLost, "the outcome of key %s was lost", e.key)
	case e.forgotten:
		return refused(verdict.MayHaveRun, ReasonOutcomeForgotten, "key %s ran; its answer is no longer kept", e.key)
	default:
		return Decision{State: Done, Holder: e.holder, Outcome: e.outcome}
	}
}

func (t *Table[N]) unknown(now time.Time, text string) Decision {
	key, err := ParseKey(text)
	start, known := t.starts[key.Epoch]
	switch {
	case err != nil:
		return refused(verdict.NotRun, ReasonKeyInvalid, "%v", err)
	case cluster.KeyShare(text) != t.share:
		return refused(verdict.NotRun, ReasonKeyInvalid, "key %s is not of share %s", text, t.share)
	case key.Epoch > t.epoch:
		return refused(verdict.MayHaveRun, ReasonLaterEpoch, "key %s is from epoch %d, later than %d", text, key.Epoch, t.epoch)
	case !known:
		return refused(verdict.MayHaveRun, ReasonEarlierEpoch, "key %s is from epoch %d, before %d", text, key.Epoch, t.epoch)
	case key.Generation > t.generation(now, start):
		return refused(verdict.NotRun, ReasonKeyInvalid, "key %s was never issued", text)
	case !t.usable(now, start, key.Generation):
		return refused(verdict.MayHaveRun, ReasonKeyExpired, "key %s has expired", text)
	default:
		return Decision{State: Fresh}
	}
}

// Finish records the outcome of an attempt and reports whether the attempt
// was the key's own. A MayHaveRun outcome makes the key's outcome lost.
func (t *Table[N]) Finish(key string, holder string, outcome Outcome) bool {
	e, ok := t.entries[key]
	if !ok || e.holder != holder || e.phase == phaseReleased || e.phase == phaseDone {
		return false
	}
	delete(t.running, e)
	e.note = none[N]()
	if outcome.Verdict != verdict.Ran {
		e.phase = phaseLost
		return true
	}
	e.phase, e.outcome = phaseDone, outcome
	t.keep(e)
	return true
}

func (t *Table[N]) keep(e *entry[N]) {
	t.kept = append(t.kept, e)
	t.bytes += len(e.outcome.Body)
	for t.bytes > t.config.MaxOutcomeBytes && len(t.kept) > 0 {
		t.forget(t.kept[0])
		t.kept = t.kept[1:]
	}
}

func (t *Table[N]) forget(e *entry[N]) {
	if e.forgotten {
		return
	}
	t.bytes -= len(e.outcome.Body)
	e.forgotten, e.outcome = true, Outcome{Verdict: verdict.Ran}
}

// Release says that an attempt certainly did not run, so that another may.
func (t *Table[N]) Release(key string, holder string) bool {
	e, ok := t.entries[key]
	if !ok || e.holder != holder || e.phase != phaseRunning {
		return false
	}
	delete(t.running, e)
	e.phase, e.note = phaseReleased, none[N]()
	return true
}

// LostAttempt is an attempt whose outcome did not come in time.
type LostAttempt[N any] struct {
	Key      string
	Metadata N
}

// Expire ends overdue attempts, forgets keys that can no longer be used, and
// returns the attempts that were lost.
func (t *Table[N]) Expire(now time.Time) []LostAttempt[N] {
	var lost []LostAttempt[N]
	for e := range t.running {
		if now.Before(e.until) {
			continue
		}
		lost = append(lost, t.lose(e))
	}
	for t.oldest < t.generation(now, t.start) && !t.usable(now, t.start, t.oldest) {
		lost = append(lost, t.drop(t.oldest)...)
		t.oldest++
	}
	slices.SortFunc(lost, func(a, b LostAttempt[N]) int { return strings.Compare(a.Key, b.Key) })
	return lost
}

func (t *Table[N]) lose(e *entry[N]) LostAttempt[N] {
	delete(t.running, e)
	l := LostAttempt[N]{Key: e.key, Metadata: e.note}
	e.phase, e.note = phaseLost, none[N]()
	return l
}

func (t *Table[N]) drop(generation uint64) []LostAttempt[N] {
	var lost []LostAttempt[N]
	for _, e := range t.generations[generation] {
		if e.phase == phaseRunning {
			lost = append(lost, t.lose(e))
		}
		if e.phase == phaseDone {
			t.forget(e)
		}
		delete(t.entries, e.key)
	}
	delete(t.generations, generation)
	return lost
}

func none[N any]() N {
	var none N
	return none
}

func refused(v verdict.Verdict, reason verdict.Reason, format string, args ...any) Decision {
	return Decision{State: Refused, Err: verdict.New(v, reason, format, args...)}
}

func (d Decision) retryAfter(wait time.Duration) Decision {
	d.Err = d.Err.WithRetryAfter(wait)
	return d
}
