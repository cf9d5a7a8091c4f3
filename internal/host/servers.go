package host

import (
	"context"
	"sync"
	"time"

	"github.com/currantwinch/currantwinch/duty"
	"github.com/currantwinch/currantwinch/internal/events"
	"github.com/currantwinch/currantwinch/internal/scheduler"
	"github.com/currantwinch/currantwinch/partition"
	"github.com/currantwinch/currantwinch/platform"
	"github.com/currantwinch/currantwinch/shard"
)

const (
	// listPause gathers the entries of several servers in one read. It is small
	// against the time in which a draining server must get nothing more.
	listPause = 200 * time.Millisecond
	// layoutInterval is the time between two looks for racks without a shard.
	layoutInterval = 500 * time.Millisecond
)

// watchServers follows the platform's list of backend servers and tells those
// that belong to a partition.
func (h *Host) watchServers(ctx context.Context, id partition.ID, whole func([]scheduler.ServerInfo)) error {
	list := &serverList{
		host: h, part: id.Part, whole: whole, entries: make(map[string]scheduler.ServerInfo),
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go list.keepLayouts(ctx)
	w := &partition.Watcher{
		Log: h.store, ID: platform.ServerPartition, Pause: listPause, OnResult: h.health.report("servers"),
		OnSnapshot: func(records []partition.Record) { list.take(records, true) },
		OnUpdate:   func(records []partition.Record) { list.take(records, false) },
	}
	return w.Run(ctx)
}

// serverList is the platform's list as last read.
type serverList struct {
	host  *Host
	part  int
	whole func([]scheduler.ServerInfo)

	mu      sync.Mutex
	read    bool
	entries map[string]scheduler.ServerInfo
}

// take takes in records, which are all there are if anew is set.
func (l *serverList) take(records []partition.Record, anew bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if anew {
		clear(l.entries)
	}
	for _, r := range records {
		l.takeOne(r)
	}
	l.read = true
	if l.host.shards.Version() > 0 {
		l.tell()
	}
}

func (l *serverList) takeOne(r partition.Record) {
	if r.Value == nil {
		delete(l.entries, r.Key)
		return
	}
	info, err := platform.DecodeServer(r)
	if err != nil {
		delete(l.entries, r.Key)
		l.host.o.Events.Log(events.ServerEntryUnreadable, "server", r.Key, "error", err.Error())
		return
	}
	l.entries[r.Key] = info
}

// tell passes on the servers of the partition's shards.
func (l *serverList) tell() {
	var out []scheduler.ServerInfo
	for _, info := range l.entries {
		if l.host.partOf(info) == l.part {
			out = append(out, info)
		}
	}
	l.whole(out)
}

// partOf returns the partition that a server belongs to, or -1 while its rack
// has no shard.
func (h *Host) partOf(info scheduler.ServerInfo) int {
	layout, ok := h.shards.Layout(info.Service)
	if !ok {
		return -1
	}
	number, ok := layout.ShardOfRack(info.Rack())
	if !ok {
		return -1
	}
	return shard.PartitionOf(info.Service, number, h.o.Settings.StorePartitions)
}

// keepLayouts offers the racks of the services whose first shard is here, and
// tells the list anew when a layout has changed.
func (l *serverList) keepLayouts(ctx context.Context) {
	told := l.host.shards.Version()
	for duty.Sleep(ctx, layoutInterval) {
		for service, racks := range l.racks() {
			if err := l.host.shards.Reconcile(ctx, service, racks); err != nil {
				l.host.o.Events.Log(events.StoreLost, "call", "layout", "error", err.Error())
			}
		}
		if now := l.host.shards.Version(); now != told {
			told = now
			l.mu.Lock()
			if l.read {
				l.tell()
			}
			l.mu.Unlock()
		}
	}
}

// racks counts the servers in each rack of the services whose first shard is
// here.
func (l *serverList) racks() map[string]map[string]int {
	l.mu.Lock()
	defer l.mu.Unlock()
	config := l.host.config.Load()
	if !l.read || config == nil {
		return nil
	}
	out := make(map[string]map[string]int)
	for _, service := range config.ServiceNames() {
		if shard.PartitionOf(service, 0, l.host.o.Settings.StorePartitions) == l.part {
			out[service] = make(map[string]int)
		}
	}
	for _, info := range l.entries {
		if racks, ok := out[info.Service]; ok {
			racks[info.Rack()]++
		}
	}
	return out
}
