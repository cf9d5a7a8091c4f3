package shard

import (
	"context"
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"github.com/currantwinch/currantwinch/partition"
	"github.com/currantwinch/currantwinch/workload"
	"github.com/pkg/errors"
)

// LayoutPartition is where layouts are kept, by service.
var LayoutPartition = partition.ID{Topic: "keyed.shards"}

const (
	// settleTime is how long the number of a service's servers must stay as it is
	// before its first layout is decided: several of the platform's lists.
	settleTime = 2 * time.Second
	// longestSettle bounds that, since some servers may come and go all the time.
	longestSettle = 6 * time.Second
	// watchWait is how long one read of the layouts waits, which hardly ever
	// change.
	watchWait = 8 * time.Second
	// appendTimeout bounds one attempt to store a layout.
	appendTimeout = 2 * time.Second
)

// Table holds the layouts of all services. It is never changed once published.
type Table map[string]Layout

// Options is what a Keeper is built from.
type Options struct {
	Log partition.Log
	// MaxShards is the largest number of shards of a service.
	MaxShards int
	Now       func() time.Time
	// Applied is called with a layout that came into force.
	Applied func(service string, l Layout)
	// Rejected is called with a record that is passed over.
	Rejected func(service string, err error)
	// Health is told the outcome of every call that follows the layouts.
	Health func(error)
}

// Manager follows the layouts, and has the owner of a service's first shard
// decide and extend its layout. A layout is appended only where nothing else was
// since it was read, so that of two owners one fails.
type Manager struct {
	o     Options
	table atomic.Pointer[Table]

	// version counts the changes of the table.
	version atomic.Uint64

	mu sync.Mutex
	// end is the offset at which the next layout must be appended.
	end     uint64
	read    bool
	sighted map[string]sighting
}

// sighting is what was seen of a service without a layout.
type sighting struct {
	servers      int
	first, since time.Time
}

// NewManager returns a Keeper that knows nothing before Run.
func NewManager(o Options) *Manager {
	k := &Manager{o: o, sighted: make(map[string]sighting)}
	k.table.Store(&Table{})
	return k
}

// Layout returns a service's layout; false if none is known yet.
func (k *Manager) Layout(service string) (Layout, bool) {
	l, ok := (*k.table.Load())[service]
	return l, ok
}

// Version changes whenever a layout may have. It is 0 until the layouts were read.
func (k *Manager) Version() uint64 { return k.version.Load() }

// Run follows the layouts until ctx ends.
func (k *Manager) Run(ctx context.Context) error {
	w := &partition.Watcher{Log: k.o.Log, ID: LayoutPartition, Wait: watchWait, OnSnapshot: k.take, OnUpdate: k.take, OnResult: k.o.Health}
	return w.Run(ctx)
}

// take takes in records. A layout that does not continue the one in force is
// passed over.
func (k *Manager) take(records []partition.Record) {
	next := maps.Clone(*k.table.Load())
	for _, r := range records {
		var l Layout
		if err := workload.Decode(r.Value, &l); err != nil {
			k.o.Rejected(r.Key, err)
			continue
		}
		if old, ok := next[r.Key]; !l.valid() || ok && !l.continues(old) {
			k.o.Rejected(r.Key, errors.Errorf("layout of %d shards does not continue that of %d", l.Shards, old.Shards))
			continue
		}
		next[r.Key] = l
	}
	k.table.Store(&next)
	k.version.Add(1)
	k.mu.Lock()
	k.read = true
	for _, r := range records {
		k.end = max(k.end, r.Offset+1)
	}
	k.mu.Unlock()
	for _, r := range records {
		if l, ok := next[r.Key]; ok {
			k.o.Applied(r.Key, l)
		}
	}
}

// continues reports whether l leaves everything as it was in old.
func (l Layout) continues(old Layout) bool {
	if l.Shards != old.Shards {
		return false
	}
	for rack, s := range old.Racks {
		if now, ok := l.Racks[rack]; !ok || now != s {
			return false
		}
	}
	return true
}

// Reconcile tells the servers of each of a service's racks, as its first shard's
// owner sees them. It stores a layout if one is due; a failure is repaired by
// the next offer.
func (k *Manager) Reconcile(ctx context.Context, service string, racks map[string]int) error {
	l, due := k.due(service, racks)
	if !due {
		return nil
	}
	value, err := workload.Encode(l)
	if err != nil {
		return err
	}
	k.mu.Lock()
	end := k.end
	k.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	err = k.o.Log.Append(ctx, LayoutPartition, partition.Fence{At: &end}, []partition.Record{{Key: service, Value: value}})
	return errors.Wrap(err, "store layout")
}

// due returns the layout to store, if the one in force leaves out a rack or
// there is none and the servers have settled.
func (k *Manager) due(service string, racks map[string]int) (Layout, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if !k.read {
		return Layout{}, false
	}
	if l, ok := k.Layout(service); ok {
		delete(k.sighted, service)
		return l.Extend(racks)
	}
	servers := 0
	for _, n := range racks {
		servers += n
	}
	now := k.o.Now()
	s, ok := k.sighted[service]
	if !ok {
		s = sighting{servers: servers, first: now, since: now}
	}
	if s.servers != servers {
		s.servers, s.since = servers, now
	}
	k.sighted[service] = s
	settled := servers > 0 && now.Sub(s.since) >= settleTime
	if !settled && now.Sub(s.first) < longestSettle {
		return Layout{}, false
	}
	return NewLayout(racks, k.o.MaxShards), true
}
