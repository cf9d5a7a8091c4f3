// Package tenure runs a scheduler for each partition that the group gives to
// this daemon, and ends it when the partition goes elsewhere.
package tenure

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/currantwinch/currantwinch/duty"
	"github.com/currantwinch/currantwinch/internal/events"
	"github.com/currantwinch/currantwinch/internal/scheduler"
	"github.com/currantwinch/currantwinch/partition"
	"github.com/currantwinch/currantwinch/routing"
	"github.com/currantwinch/currantwinch/shard"
)

// Topic holds the submissions of all services.
const Topic = "keyed.submissions"

const (
	// restartPause is the time before a scheduler that ended is started again,
	// if the partition is still this daemon's.
	restartPause = 200 * time.Millisecond
	// stopTimeout bounds the storing of what a scheduler knew when it ended.
	stopTimeout = time.Second
)

// PartitionOf returns the partition of a shard's submissions.
func PartitionOf(service string, number, parts int) partition.ID {
	return partition.ID{Topic: Topic, Part: shard.PartitionOf(service, number, parts)}
}

// Options is what Tenures are built from.
type Options struct {
	Member *partition.Member
	// PartitionCount is the number of partitions.
	PartitionCount int
	Config         func() *routing.Configuration
	// Layout returns how a service is cut into shards, if that is known.
	Layout func(service string) (shard.Layout, bool)
	// New returns a scheduler for a partition.
	New    func(id partition.ID) *scheduler.Engine
	Events *events.Logger
}

// Manager are this daemon's schedulers.
type Manager struct {
	o    Options
	wake chan struct{}

	mu      sync.Mutex
	engines map[partition.ID]*tenure
}

type tenure struct {
	engine *scheduler.Engine
	cancel context.CancelFunc
	done   chan struct{}
}

// New returns Tenures without a scheduler.
func New(o Options) *Manager {
	return &Manager{o: o, wake: make(chan struct{}, 1), engines: make(map[partition.ID]*tenure)}
}

// TriggerReconcile makes the Tenures compare what is held with what runs.
func (t *Manager) TriggerReconcile() {
	select {
	case t.wake <- struct{}{}:
	default:
	}
}

// Engine returns the scheduler of a partition, if it runs here.
func (t *Manager) Engine(id partition.ID) (*scheduler.Engine, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if running, ok := t.engines[id]; ok {
		return running.engine, true
	}
	return nil, false
}

// Run starts and ends schedulers until ctx ends.
func (t *Manager) Run(ctx context.Context, turn duty.Heartbeat) error {
	tick := time.NewTicker(restartPause)
	defer tick.Stop()
	for {
		turn()
		t.align(ctx)
		select {
		case <-ctx.Done():
			t.StopAll()
			return nil
		case <-t.wake:
		case <-tick.C:
		}
	}
}

// align starts what is held and serves a service, and ends what is not held.
func (t *Manager) align(ctx context.Context) {
	held := t.o.Member.Held()
	needed := t.needed()
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, running := range t.engines {
		select {
		case <-running.done:
			delete(t.engines, id)
			continue
		default:
		}
		if !slices.Contains(held, id) {
			running.cancel()
		}
	}
	if !t.o.Member.LeaseValid() {
		// Another daemon may hold them by now. What runs goes on until it is
		// fenced, but nothing is claimed anew.
		return
	}
	for _, id := range held {
		if _, ok := t.engines[id]; !ok && needed[id] && ctx.Err() == nil {
			t.engines[id] = t.start(ctx, id)
		}
	}
}

// needed returns the partitions of the services in the configuration.
func (t *Manager) needed() map[partition.ID]bool {
	ids := make(map[partition.ID]bool)
	config := t.o.Config()
	if config == nil {
		return ids
	}
	for _, service := range config.ServiceNames() {
		// The owner of the first shard decides the layout.
		layout, _ := t.o.Layout(service)
		for number := range max(layout.Shards, 1) {
			ids[PartitionOf(service, number, t.o.PartitionCount)] = true
		}
	}
	return ids
}

// Position returns a partition's place among those that serve a service, and their
// number.
func (t *Manager) Position(id partition.ID) (place, of int) {
	ids := t.needed()
	for other := range ids {
		if other.Part < id.Part {
			place++
		}
	}
	return place, len(ids)
}

func (t *Manager) start(ctx context.Context, id partition.ID) *tenure {
	ctx, cancel := context.WithCancel(ctx)
	running := &tenure{engine: t.o.New(id), cancel: cancel, done: make(chan struct{})}
	go func() {
		defer close(running.done)
		defer cancel()
		err := running.engine.Run(ctx, func() {})
		t.o.Events.Log(events.OwnerEnded, "partition", id.Part, "epoch", running.engine.Epoch(), "why", events.ErrorText(err))
	}()
	return running
}

// StopAll ends all schedulers and waits for them.
func (t *Manager) StopAll() {
	t.mu.Lock()
	running := make([]*tenure, 0, len(t.engines))
	for _, r := range t.engines {
		r.cancel()
		running = append(running, r)
	}
	t.mu.Unlock()
	deadline := time.After(stopTimeout)
	for _, r := range running {
		select {
		case <-r.done:
		case <-deadline:
			return
		}
	}
}

// Dump returns the state of all schedulers, by partition.
func (t *Manager) Dump(ctx context.Context) map[int]scheduler.Dump {
	t.mu.Lock()
	engines := make(map[int]*scheduler.Engine, len(t.engines))
	for id, r := range t.engines {
		engines[id.Part] = r.engine
	}
	t.mu.Unlock()
	out := make(map[int]scheduler.Dump, len(engines))
	for part, engine := range engines {
		if d, ok := engine.Dump(ctx); ok {
			out[part] = d
		}
	}
	return out
}
