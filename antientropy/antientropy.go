// Package antientropy keeps the copies of one versioned value on many daemons up to date. Each
// daemon reads the value from its source, and beside that asks others: some at random for their
// versions once the source has confirmed nothing for a while, and one that was heard to have a later
// version for its value. What one daemon knows reaches all within a few rounds, since the number of
// those that know multiplies with each (epidemic algorithms, Demers et al., 1987).
//
// A Replica decides whom to ask and when, and for how long the copy counts as recent. It does no
// I/O and reads no clock: times are arguments. Its methods must not be called concurrently.
package antientropy

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// hintDelay is the time from hearing of a later version to asking for it. The source
	// delivers it to most daemons by then.
	hintDelay = 60 * time.Millisecond
	// fanout is the number of daemons asked for their versions in one round.
	fanout = 3
	// maxPending bounds the queries that are not answered.
	maxPending = 8
	// quickRounds is the number of rounds, quickInterval apart, after which they are
	// slowInterval apart: by then the source answers nobody, or the others do not hear this
	// daemon.
	quickRounds   = 6
	quickInterval = 250 * time.Millisecond
	slowInterval  = time.Second
	// failureBackoff is the time for which a daemon that did not answer is asked only if
	// there are too few others.
	failureBackoff = 2 * time.Second
)

// Options configures a Replica.
type Options struct {
	// ConfirmInterval is the longest time between two confirmations by a source that answers.
	// Others are asked once it has passed.
	ConfirmInterval time.Duration
	// Rand chooses the daemons to ask.
	Rand *rand.Rand
}

// Replica is what one daemon knows of its copy.
type Replica struct {
	o Options
	// version is that of the copy; 0 if there is none.
	version uint64
	// confirmedAt is the latest time as of which the copy is known to have been the newest, or
	// the time of the start before that is known of any copy.
	confirmedAt time.Time
	confirmed   bool
	// comparedAt is the latest time as of which some other daemon is known to have had no
	// later version.
	comparedAt time.Time
	// ahead holds the daemons that were heard to have a later version.
	ahead map[string]hint
	// pending holds the queries that are not answered, and failedAt the daemons that did not
	// answer.
	pending  map[string]Query
	failedAt map[string]time.Time
	// rounds counts the rounds since the last confirmation; the next begins at nextRound.
	rounds    int
	nextRound time.Time
}

// hint is a later version that a daemon was heard to have. It may be fetched from fetchAt on.
type hint struct {
	version uint64
	fetchAt time.Time
}

// Query asks one daemon.
type Query struct {
	Daemon string
	// Fetch asks for the value if the daemon has a later version. Without it the answer names the
	// version alone.
	Fetch bool
}

// New returns the Replica of a daemon that starts now and has no copy.
func New(o Options, now time.Time) *Replica {
	return &Replica{o: o, confirmedAt: now, ahead: make(map[string]hint), pending: make(map[string]Query), failedAt: make(map[string]time.Time)}
}

// Version returns the version of the copy; 0 if there is none.
func (r *Replica) Version() uint64 { return r.version }

// Age returns the time since the copy was known to be the newest. It is false if that has never
// been known.
func (r *Replica) Age(now time.Time) (time.Duration, bool) {
	return now.Sub(r.confirmedAt), r.confirmed
}

// Unconfirmed returns the time since anything is known about later versions: since the copy was
// confirmed, or compared with that of another daemon. While the source answers nobody, daemons
// that hear each other keep it short.
func (r *Replica) Unconfirmed(now time.Time) time.Duration {
	return now.Sub(latest(r.confirmedAt, r.comparedAt))
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// Apply replaces the copy by a later version. It reports false, and changes nothing, if the version
// is not later.
func (r *Replica) Apply(version uint64) bool {
	if version <= r.version {
		return false
	}
	r.version, r.rounds = version, 0
	for daemon, h := range r.ahead {
		if h.version <= version {
			delete(r.ahead, daemon)
		}
	}
	return true
}

// Confirm records that a version was the newest as of a time. It changes nothing if the copy is
// of another version.
func (r *Replica) Confirm(version uint64, asOf time.Time) {
	if version != r.version || version == 0 {
		return
	}
	if r.confirmed && !asOf.After(r.confirmedAt) {
		return
	}
	r.confirmedAt, r.confirmed, r.rounds = asOf, true, 0
}

// Hear records that a daemon has a version.
func (r *Replica) Hear(daemon string, version uint64, now time.Time) {
	if version <= r.version {
		return
	}
	fetchAt := now.Add(hintDelay)
	if known, ok := r.ahead[daemon]; ok {
		fetchAt = known.fetchAt
	}
	r.ahead[daemon] = hint{version, fetchAt}
}

// Answer is another daemon's answer to a query.
type Answer struct {
	// Version is that of its copy; 0 if it has none.
	Version uint64
	// Age is the time since that copy was known to be the newest, if Confirmed is set.
	Age       time.Duration
	Confirmed bool
}

// Answered records the answer of a daemon to a query that began at began. If it brought the value
// of a later version, that must have been applied before.
func (r *Replica) Answered(daemon string, began time.Time, a Answer) {
	fetched := r.pending[daemon].Fetch
	delete(r.pending, daemon)
	delete(r.failedAt, daemon)
	delete(r.ahead, daemon)
	if a.Version > r.version {
		if !fetched {
			r.ahead[daemon] = hint{a.Version, began}
		}
		// A value that was fetched, and not applied, cannot be used.
		return
	}
	if r.version > 0 {
		r.comparedAt = latest(r.comparedAt, began)
	}
	if a.Confirmed {
		r.Confirm(a.Version, began.Add(-a.Age))
	}
}

// Failed records that a daemon did not answer a query.
func (r *Replica) Failed(daemon string, now time.Time) {
	delete(r.pending, daemon)
	delete(r.ahead, daemon)
	r.failedAt[daemon] = now
}

// Due reports whether Next may name daemons to ask.
func (r *Replica) Due(now time.Time) bool { return len(r.ahead) > 0 || r.roundDue(now) }

// DueIn returns the time until Due reports true, if nothing is heard or confirmed before.
func (r *Replica) DueIn(now time.Time) time.Duration {
	if len(r.ahead) > 0 {
		return 0
	}
	at := latest(r.confirmedAt.Add(r.o.ConfirmInterval), r.nextRound)
	return max(at.Sub(now), 0)
}

// Next returns the queries to send now, at most one to a daemon. The caller must report the outcome
// of each by Answered or Failed.
func (r *Replica) Next(now time.Time, daemons []string) []Query {
	queries := r.fetch(now)
	if r.roundDue(now) {
		r.rounds++
		interval := quickInterval
		if r.rounds >= quickRounds {
			interval = slowInterval
		}
		r.nextRound = now.Add(interval)
		queries = append(queries, r.sample(now, daemons, queries)...)
	}
	queries = queries[:min(len(queries), max(maxPending-len(r.pending), 0))]
	for _, q := range queries {
		r.pending[q.Daemon] = q
	}
	r.forget(daemons)
	return queries
}

// fetch returns the query that fetches a later version, if one is due. One is sent at a time, since
// its answer is as large as the value.
func (r *Replica) fetch(now time.Time) []Query {
	for _, q := range r.pending {
		if q.Fetch {
			return nil
		}
	}
	var due []string
	for daemon, h := range r.ahead {
		if _, asked := r.pending[daemon]; !asked && !now.Before(h.fetchAt) {
			due = append(due, daemon)
		}
	}
	if len(due) == 0 {
		return nil
	}
	best := slices.MinFunc(due, func(a, b string) int { return r.compareSources(a, b, now) })
	return []Query{{Daemon: best, Fetch: true}}
}

// compareSources orders daemons that were heard to be ahead: those first that have not failed
// lately, and among them those with later versions.
func (r *Replica) compareSources(a, b string, now time.Time) int {
	aFailed, bFailed := r.failedLately(a, now), r.failedLately(b, now)
	switch {
	case aFailed && !bFailed:
		return 1
	case bFailed && !aFailed:
		return -1
	}
	return cmp.Or(cmp.Compare(r.ahead[b].version, r.ahead[a].version), cmp.Compare(a, b))
}

func (r *Replica) roundDue(now time.Time) bool {
	return now.Sub(r.confirmedAt) > r.o.ConfirmInterval && !now.Before(r.nextRound)
}

// sample chooses daemons at random, those first that have not failed lately.
func (r *Replica) sample(now time.Time, daemons []string, chosen []Query) []Query {
	var sound, failed []Query
	for _, i := range r.o.Rand.Perm(len(daemons)) {
		q := Query{Daemon: daemons[i]}
		_, asked := r.pending[q.Daemon]
		isChosen := slices.ContainsFunc(chosen, func(c Query) bool { return c.Daemon == q.Daemon })
		switch {
		case asked || isChosen:
		case r.failedLately(q.Daemon, now):
			failed = append(failed, q)
		default:
			sound = append(sound, q)
		}
	}
	out := append(sound, failed...)
	return out[:min(fanout, len(out))]
}

func (r *Replica) failedLately(daemon string, now time.Time) bool {
	at, ok := r.failedAt[daemon]
	return ok && now.Sub(at) < failureBackoff
}

// forget drops what is known of daemons that are gone.
func (r *Replica) forget(daemons []string) {
	for daemon := range r.failedAt {
		if !slices.Contains(daemons, daemon) {
			delete(r.failedAt, daemon)
		}
	}
}
