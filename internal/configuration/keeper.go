// Package configuration keeps the newest version of the operators' configuration on a daemon,
// and knows how recent that is. Versions come from the log, and from other daemons while the log
// does not answer this one.
package configuration

import (
	"bytes"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/currantwinch/currantwinch/antientropy"
	"github.com/currantwinch/currantwinch/internal/events"
	"github.com/currantwinch/currantwinch/internal/roles"
	"github.com/currantwinch/currantwinch/partition"
	"github.com/currantwinch/currantwinch/routing"
)

// confirmInterval is the longest time between two confirmations by a log that answers. It exceeds
// the wait of one read for a record.
const confirmInterval = 1300 * time.Millisecond

// Published is a version of the configuration with the record that holds it.
type Published struct {
	*routing.Configuration
	Record partition.Record
}

// Decode returns the newest version that can be read among records of the log; nil if there is
// none. The error is that of the newest record that cannot be read.
type Decode func(records []partition.Record) (*Published, error)

// Options configures a Keeper.
type Options struct {
	Decode Decode
	// OnApply is called after a version has come into force.
	OnApply func()
	Peers   roles.Peers
	// Daemons lists the other daemons.
	Daemons func() []string
	// ApplyTime is the time in which a version must be in force on all daemons; 0 means that there
	// is no bound.
	ApplyTime time.Duration
	Events    *events.Logger
	Metrics   *metrics.Set
	Now       func() time.Time
}

// Keeper holds the configuration in force on a daemon. Its methods are safe for concurrent use.
type Keeper struct {
	o      Options
	newest atomic.Pointer[Published]

	mu      sync.Mutex
	replica *antientropy.Replica
	// ahead wakes Run when another daemon was heard to have a later version.
	ahead chan struct{}

	queries queryCounters
}

// queryCounters count the queries to other daemons by outcome.
type queryCounters struct{ answered, unanswered *metrics.Counter }

// New returns a Keeper without a configuration, and registers its method with the peers.
func New(o Options) *Keeper {
	seed := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	k := &Keeper{o: o, replica: antientropy.New(antientropy.Options{ConfirmInterval: confirmInterval, Rand: seed}, o.Now()), ahead: make(chan struct{}, 1)}
	k.registerMetrics()
	k.register()
	return k
}

// Newest returns the configuration in force; nil before the first one.
func (k *Keeper) Newest() *routing.Configuration {
	if p := k.newest.Load(); p != nil {
		return p.Configuration
	}
	return nil
}

// View returns the configuration in force with what is known of how recent it is.
func (k *Keeper) View() routing.View {
	k.mu.Lock()
	defer k.mu.Unlock()
	unconfirmed := k.replica.Unconfirmed(k.o.Now())
	return routing.View{
		Configuration: k.Newest(), Unconfirmed: unconfirmed, MayBeOutdated: k.o.ApplyTime > 0 && unconfirmed > k.o.ApplyTime,
	}
}

// Read applies the newest version among records that were read from the log.
func (k *Keeper) Read(records []partition.Record) { k.apply(records, "") }

// Confirm records that Read has got all records that the log had as of a time.
func (k *Keeper) Confirm(asOf time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.replica.Confirm(k.replica.Version(), asOf)
}

// apply applies the newest version among records. Daemon names the one that sent them; it is empty for
// records that were read from the log.
func (k *Keeper) apply(records []partition.Record, daemon string) {
	if k.isInForce(records) {
		return
	}
	published, err := k.o.Decode(records)
	if err != nil {
		k.o.Events.Log(events.ConfigurationUnreadable, "offset", records[len(records)-1].Offset, "from", daemon, "error", err.Error())
	}
	if published == nil || !k.replace(published) {
		return
	}
	k.o.Events.Log(events.ConfigurationApplied, "version", published.Version, "queues", len(published.Queues), "services", len(published.Services),
		"from", daemon, "offset", published.Record.Offset)
	k.o.OnApply()
}

// isInForce reports whether the last of records is the one in force, which the log and other daemons
// deliver again and again.
func (k *Keeper) isInForce(records []partition.Record) bool {
	p := k.newest.Load()
	if p == nil || len(records) == 0 {
		return false
	}
	newest := records[len(records)-1]
	return newest.Offset == p.Record.Offset && newest.Key == p.Record.Key && bytes.Equal(newest.Value, p.Record.Value)
}

// replace puts a version into force. It reports false if that is not later than the one in force:
// a delayed read must not replace a newer version.
func (k *Keeper) replace(p *Published) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if !k.replica.Apply(p.Version) {
		return false
	}
	k.newest.Store(p)
	return true
}

func (k *Keeper) registerMetrics() {
	k.o.Metrics.NewGauge("currantwinch_configuration_version", func() float64 {
		if config := k.Newest(); config != nil {
			return float64(config.Version)
		}
		return 0
	})
	k.queries = queryCounters{
		answered:   k.o.Metrics.NewCounter(`currantwinch_configuration_queries_total{outcome="answered"}`),
		unanswered: k.o.Metrics.NewCounter(`currantwinch_configuration_queries_total{outcome="unanswered"}`),
	}
	k.o.Metrics.NewGauge("currantwinch_configuration_unconfirmed_seconds", func() float64 { return k.View().Unconfirmed.Seconds() })
}
