package configuration

import (
	"context"
	"time"

	"github.com/currantwinch/currantwinch/antientropy"
	"github.com/currantwinch/currantwinch/duty"
	"github.com/currantwinch/currantwinch/internal/events"
	"github.com/currantwinch/currantwinch/internal/roles"
	"github.com/currantwinch/currantwinch/partition"
	"github.com/currantwinch/currantwinch/verdict"
)

const (
	// methodNewest asks a daemon for its version of the configuration if that is later.
	methodNewest = "configuration.newest"
	// queryTimeout limits the wait for its answer. It is well above a round trip between regions.
	queryTimeout = 500 * time.Millisecond
	// exchangeInterval is the time between two looks at whom to ask while somebody may have to
	// be, and idleInterval that at other times.
	exchangeInterval = 50 * time.Millisecond
	idleInterval     = 250 * time.Millisecond
)

// reasonBadCall means that another daemon's call could not be parsed.
const reasonBadCall verdict.Reason = "bad_call"

// query is the call of methodNewest.
type query struct {
	// Version is that of the daemon that asks; 0 if it has none.
	Version uint64 `json:"version"`
	// Fetch asks for the configuration itself if it is later.
	Fetch bool `json:"fetch,omitempty"`
}

// answer is the answer to methodNewest.
type answer struct {
	// Version is that of the daemon that answers; 0 if it has none.
	Version uint64 `json:"version"`
	// UnconfirmedMS is the time in milliseconds since the store confirmed that version; negative if
	// it never did.
	UnconfirmedMS int64 `json:"unconfirmedMS"`
	// Record holds the configuration; nil if the query did not ask for it, or its version is not
	// later than that of the query.
	Record *partition.Record `json:"record,omitempty"`
}

// Run asks other daemons for later versions until ctx ends, and logs changes of what View says of
// the configuration.
func (k *Keeper) Run(ctx context.Context, turn duty.Heartbeat) error {
	mayBeOutdated := false
	interval := idleInterval
	for duty.SleepOrWake(ctx, interval, k.ahead) {
		turn()
		if view := k.View(); view.MayBeOutdated != mayBeOutdated {
			mayBeOutdated = view.MayBeOutdated
			k.o.Events.Log(events.ConfigurationUnconfirmed, "unconfirmed", mayBeOutdated, "version", k.version(), "age", view.Unconfirmed.Milliseconds())
		}
		if k.due() {
			for _, q := range k.next() {
				go k.ask(ctx, q)
			}
		}
		interval = k.pause()
	}
	return nil
}

// pause returns the time until the next look at whom to ask.
func (k *Keeper) pause() time.Duration {
	k.mu.Lock()
	defer k.mu.Unlock()
	return min(max(k.replica.DueIn(k.o.Now()), exchangeInterval), idleInterval)
}

// next returns the queries to send now.
func (k *Keeper) next() []antientropy.Query {
	daemons := k.o.Daemons()
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.replica.Next(k.o.Now(), daemons)
}

func (k *Keeper) due() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.replica.Due(k.o.Now())
}

// Hear records that a daemon has a version of the configuration, which its call or its answer named.
// If it is later, that daemon is asked for it, unless the store delivers it first.
func (k *Keeper) Hear(daemon string, version uint64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if version <= k.replica.Version() {
		return
	}
	k.replica.Hear(daemon, version, k.o.Now())
	k.wake()
}

// wake lets Run look at once whom to ask.
func (k *Keeper) wake() {
	select {
	case k.ahead <- struct{}{}:
	default:
	}
}

// ask sends one query and applies the version that it fetches.
func (k *Keeper) ask(ctx context.Context, q antientropy.Query) {
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	began := k.o.Now()
	var got answer
	if err := k.o.Peers.Call(ctx, q.Daemon, methodNewest, query{k.version(), q.Fetch}, &got); err != nil {
		k.queries.unanswered.Inc()
		k.mu.Lock()
		defer k.mu.Unlock()
		k.replica.Failed(q.Daemon, k.o.Now())
		return
	}
	k.queries.answered.Inc()
	if got.Record != nil {
		k.apply([]partition.Record{*got.Record}, q.Daemon)
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.replica.Answered(q.Daemon, began, antientropy.Answer{
		Version: got.Version, Age: time.Duration(got.UnconfirmedMS) * time.Millisecond, Confirmed: got.UnconfirmedMS >= 0,
	})
	if got.Version > k.replica.Version() {
		k.wake()
	}
}

func (k *Keeper) version() uint64 {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.replica.Version()
}

// handleNewest answers another daemon's query.
func (k *Keeper) handleNewest(_ context.Context, from string, q query) (any, error) {
	k.Hear(from, q.Version)
	k.mu.Lock()
	defer k.mu.Unlock()
	a := answer{Version: k.replica.Version(), UnconfirmedMS: -1}
	if age, confirmed := k.replica.Age(k.o.Now()); confirmed {
		a.UnconfirmedMS = age.Milliseconds()
	}
	if q.Fetch && a.Version > q.Version {
		a.Record = &k.newest.Load().Record
	}
	return a, nil
}

func (k *Keeper) register() {
	k.o.Peers.Handle(methodNewest, roles.TypedHandler(reasonBadCall, k.handleNewest))
}
