// Package tenure runs a scheduler for each partition that the partition group
// assigns to this daemon, and stops it when the partition is assigned to
// another daemon.
package tenure

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/currantwinch/currantwinch/duty"
	"github.com/currantwinch/currantwinch/internal/events"
	"github.com/currantwinch/currantwinch/internal/roles"
	"github.com/currantwinch/currantwinch/internal/scheduler"
	"github.com/currantwinch/currantwinch/partition"
	"github.com/currantwinch/currantwinch/routing"
	"github.com/currantwinch/currantwinch/shard"
)

// Topic holds the submissions of all services.
const Topic = "keyed.submissions"

const (
	// restartDelay is the delay before a scheduler that ended is restarted
	// while the partition is still assigned to this daemon. It is also the
	// interval between reconciliations.
	restartDelay = 200 * time.Millisecond
	// StopTimeout bounds how long StopAll waits for the schedulers to store
	// their state.
	StopTimeout = time.Second
)

// PartitionOf returns the partition that holds the submissions of a service's
// shard, out of parts partitions.
func PartitionOf(service string, number, parts int) partition.ID {
	return partition.ID{Topic: Topic, Part: shard.PartitionOf(service, number, parts)}
}

// Options configures a Manager.
type Options struct {
	Member *partition.Member
	// Daemon is this daemon's name, and OtherDaemons lists those of the others.
	Daemon       string
	OtherDaemons func() []string
	Now          func() time.Time
	// PartitionCount is the number of partitions of the topic.
	PartitionCount int
	Config         func() *routing.Configuration
	// Layout returns how a service is divided into shards, and false if that
	// is unknown.
	Layout func(service string) (shard.Layout, bool)
	// Services lists the services that ever had a layout.
	Services func() []string
	// New creates a scheduler for a partition.
	New    func(id partition.ID) *scheduler.Engine
	Peers  roles.Peers
	Events *events.Logger
}

// Manager starts and stops this daemon's schedulers. Its methods are safe for
// concurrent use.
type Manager struct {
	o         Options
	witness   *Witness
	reconcile chan struct{}

	mu      sync.Mutex
	running map[partition.ID]*runningEngine
	// stopped is set once no scheduler may be started any more.
	stopped bool
}

type runningEngine struct {
	engine *scheduler.Engine
	cancel context.CancelFunc
	done   chan struct{}
}

// New returns a Manager that runs no scheduler yet, and registers its methods with the
// peers.
func New(o Options) *Manager {
	t := &Manager{o: o, witness: NewWitness(o.Now), reconcile: make(chan struct{}, 1), running: make(map[partition.ID]*runningEngine)}
	o.Peers.Handle(methodSuperseded, roles.TypedHandler(reasonBadCall, t.handleSuperseded))
	o.Peers.Handle(methodAttest, roles.TypedHandler(reasonBadCall, t.handleAttest))
	return t
}

// TriggerReconcile makes Run compare the assigned partitions with the running
// schedulers at once.
func (t *Manager) TriggerReconcile() {
	select {
	case t.reconcile <- struct{}{}:
	default:
	}
}

// Engine returns the scheduler of a partition, and false if it doesn't run on
// this daemon.
func (t *Manager) Engine(id partition.ID) (*scheduler.Engine, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if running, ok := t.running[id]; ok {
		return running.engine, true
	}
	return nil, false
}

// Run starts and stops schedulers until ctx ends, and then stops all of them.
func (t *Manager) Run(ctx context.Context, turn duty.Heartbeat) error {
	tick := time.NewTicker(restartDelay)
	defer tick.Stop()
	for {
		turn()
		t.reconcilePartitions(ctx)
		select {
		case <-ctx.Done():
			t.StopAll()
			return nil
		case <-t.reconcile:
		case <-tick.C:
		}
	}
}

// reconcilePartitions starts schedulers for assigned partitions that serve a
// service, and cancels those whose partition is no longer assigned. While the
// assignment is uncertain it starts none.
func (t *Manager) reconcilePartitions(ctx context.Context) {
	held := t.o.Member.Held()
	needed := t.servingPartitions()
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, running := range t.running {
		select {
		case <-running.done:
			delete(t.running, id)
			continue
		default:
		}
		if !slices.Contains(held, id) {
			running.cancel()
		}
	}
	if t.stopped || !t.o.Member.LeaseValid() {
		// This daemon stops, or another one may hold the partitions by now. Running
		// schedulers continue until they are fenced, but no new one is started.
		return
	}
	for _, id := range held {
		if _, ok := t.running[id]; !ok && needed[id] && ctx.Err() == nil {
			t.running[id] = t.start(ctx, id)
		}
	}
}

// servingPartitions returns the partitions of the services in the configuration, and of
// those before: they may hold submissions that were accepted then.
func (t *Manager) servingPartitions() map[partition.ID]bool {
	ids := make(map[partition.ID]bool)
	config := t.o.Config()
	if config == nil {
		return ids
	}
	for _, service := range slices.Concat(config.ServiceNames(), t.o.Services()) {
		// The owner of the first shard decides the layout, so the first shard
		// is served while the layout is unknown.
		layout, _ := t.o.Layout(service)
		for number := range max(layout.Shards, 1) {
			ids[PartitionOf(service, number, t.o.PartitionCount)] = true
		}
	}
	return ids
}

// Position returns the index of a partition among those that serve a service,
// and their number.
func (t *Manager) Position(id partition.ID) (place, of int) {
	ids := t.servingPartitions()
	for other := range ids {
		if other.Part < id.Part {
			place++
		}
	}
	return place, len(ids)
}

func (t *Manager) start(ctx context.Context, id partition.ID) *runningEngine {
	ctx, cancel := context.WithCancel(ctx)
	running := &runningEngine{engine: t.o.New(id), cancel: cancel, done: make(chan struct{})}
	go func() {
		defer close(running.done)
		defer cancel()
		err := running.engine.Run(ctx, func() {})
		t.o.Events.Log(events.OwnerEnded, "partition", id.Part, "epoch", running.engine.Epoch(), "why", events.ErrorText(err))
	}()
	return running
}

// StopAll stops all schedulers and waits for them, for at most StopTimeout. None is started
// after it, although this daemon holds its partitions until it has left the group.
func (t *Manager) StopAll() {
	t.mu.Lock()
	t.stopped = true
	running := make([]*runningEngine, 0, len(t.running))
	for _, r := range t.running {
		r.cancel()
		running = append(running, r)
	}
	t.mu.Unlock()
	deadline := time.After(StopTimeout)
	for _, r := range running {
		select {
		case <-r.done:
		case <-deadline:
			return
		}
	}
}

// Dump returns the state of all schedulers by partition number. A scheduler
// that does not answer is left out.
func (t *Manager) Dump(ctx context.Context) map[int]scheduler.Dump {
	t.mu.Lock()
	engines := make(map[int]*scheduler.Engine, len(t.running))
	for id, r := range t.running {
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
