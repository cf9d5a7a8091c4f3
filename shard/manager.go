package shard

import (
	"context"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/currantwinch/currantwinch/partition"
	"github.com/currantwinch/currantwinch/workload"
	"github.com/pkg/errors"
)

// LayoutPartition holds the layouts, keyed by service.
var LayoutPartition = partition.ID{Topic: "keyed.shards"}

const (
	// settleWait is how long the number of a service's servers must stay
	// constant before its first layout is decided. It spans several versions of
	// the platform's server list.
	settleWait = 2 * time.Second
	// maxSettleWait limits the wait for a constant number, since servers may
	// come and go all the time.
	maxSettleWait = 6 * time.Second
	// watchWait is the wait of one read. It is long, since layouts hardly ever
	// change.
	watchWait = 8 * time.Second
	// appendTimeout limits one attempt to store a layout.
	appendTimeout = 2 * time.Second
)

// Table maps services to their layouts. A published Table is never modified.
type Table map[string]Layout

// Options configures a Manager.
type Options struct {
	Log partition.Log
	// MaxShards is the largest number of shards of a service.
	MaxShards int
	Now       func() time.Time
	// Applied is called for each layout that takes effect.
	Applied func(service string, l Layout)
	// Rejected is called for each record that is skipped.
	Rejected func(service string, err error)
	// OnResult is called with the outcome of every call that reads layouts.
	OnResult func(error)
}

// Manager follows the stored layouts. The owner of a service's first shard uses
// it to decide and extend the service's layout. A layout is appended at the
// offset up to which the log was read, so that of two concurrent owners one
// fails.
type Manager struct {
	o     Options
	table atomic.Pointer[Table]
	homes atomic.Pointer[homes]
	// capHolder is the first holder of the tenants' caps; nil if none is known.
	capHolder atomic.Pointer[int]
	// storingHome is set while a home is being stored.
	storingHome atomic.Bool

	// version counts the changes of the table.
	version atomic.Uint64

	mu sync.Mutex
	// endOffset is the offset at which the next layout must be appended.
	endOffset uint64
	loaded    bool
	observed  map[string]observation
}

// observation tracks the server count of a service without a layout.
type observation struct {
	servers      int
	first, since time.Time
}

// NewManager returns a Manager. It knows no layouts before Run.
func NewManager(o Options) *Manager {
	k := &Manager{o: o, observed: make(map[string]observation)}
	k.table.Store(&Table{})
	k.homes.Store(&homes{})
	return k
}

// Layout returns a service's layout, or false if none is known yet.
func (k *Manager) Layout(service string) (Layout, bool) {
	l, ok := (*k.table.Load())[service]
	return l, ok
}

// Services returns the sorted names of all services with a layout.
func (k *Manager) Services() []string { return slices.Sorted(maps.Keys(*k.table.Load())) }

// Count returns the number of shards of all services.
func (k *Manager) Count() int {
	n := 0
	for _, l := range *k.table.Load() {
		n += l.Shards
	}
	return n
}

// Version rises whenever a layout may have changed. It is 0 until the layouts
// have been read.
func (k *Manager) Version() uint64 { return k.version.Load() }

// Run follows the layouts until ctx ends.
func (k *Manager) Run(ctx context.Context) error {
	w := &partition.Watcher{Log: k.o.Log, ID: LayoutPartition, Wait: watchWait, OnSnapshot: k.apply, OnUpdate: k.apply, OnResult: k.o.OnResult}
	return w.Run(ctx)
}

// apply applies records. It skips a layout that contradicts the one in force.
func (k *Manager) apply(records []partition.Record) {
	k.mu.Lock()
	next, nextHomes := maps.Clone(*k.table.Load()), maps.Clone(*k.homes.Load())
	for _, r := range records {
		if home, isHome, err := nextHomes.decode(r); isHome {
			if err != nil {
				k.o.Rejected(r.Key, err)
				continue
			}
			nextHomes[r.Key] = home
			continue
		}
		if isHolder, err := k.applyCapHolder(r); isHolder {
			if err != nil {
				k.o.Rejected(r.Key, err)
			}
			continue
		}
		var l Layout
		if err := workload.Decode(r.Value, &l); err != nil {
			k.o.Rejected(r.Key, err)
			continue
		}
		if old, ok := next[r.Key]; !l.valid() || ok && !l.extends(old) {
			k.o.Rejected(r.Key, errors.Errorf("layout of %d shards contradicts the layout of %d shards in force", l.Shards, old.Shards))
			continue
		}
		next[r.Key] = l
	}
	k.table.Store(&next)
	k.homes.Store(&nextHomes)
	k.version.Add(1)
	k.loaded = true
	for _, r := range records {
		k.endOffset = max(k.endOffset, r.Offset+1)
	}
	k.mu.Unlock()
	for _, r := range records {
		if l, ok := next[r.Key]; ok {
			k.o.Applied(r.Key, l)
		}
	}
}

// extends reports whether l keeps the shard count and the shard of every rack
// of old.
func (l Layout) extends(old Layout) bool {
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

// Reconcile passes the number of servers in each rack of a service, as seen by
// the owner of its first shard, and stores a new layout if one is needed. The
// owner calls it repeatedly, and the next call makes up for a failed one.
func (k *Manager) Reconcile(ctx context.Context, service string, racks map[string]int) error {
	l, due := k.pendingLayout(service, racks)
	if !due {
		return nil
	}
	value, err := workload.Encode(l)
	if err != nil {
		return err
	}
	k.mu.Lock()
	end := k.endOffset
	k.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	err = k.o.Log.Append(ctx, LayoutPartition, partition.Fence{At: &end}, []partition.Record{{Key: service, Value: value}})
	return errors.Wrap(err, "store layout")
}

// pendingLayout returns the layout to store: an extension if the one in force
// lacks a rack, or the first one if there is none and the number of servers has
// settled.
func (k *Manager) pendingLayout(service string, racks map[string]int) (Layout, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if !k.loaded {
		return Layout{}, false
	}
	if l, ok := k.Layout(service); ok {
		delete(k.observed, service)
		return l.Extend(racks)
	}
	servers := 0
	for _, n := range racks {
		servers += n
	}
	now := k.o.Now()
	s, ok := k.observed[service]
	if !ok {
		s = observation{servers: servers, first: now, since: now}
	}
	if s.servers != servers {
		s.servers, s.since = servers, now
	}
	k.observed[service] = s
	settled := servers > 0 && now.Sub(s.since) >= settleWait
	if !settled && now.Sub(s.first) < maxSettleWait {
		return Layout{}, false
	}
	return NewLayout(racks, k.o.MaxShards), true
}
