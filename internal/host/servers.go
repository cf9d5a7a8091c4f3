package host

import (
	"context"
	"maps"
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
	// listBatchDelay is the pause between two reads of the list, so that one read
	// returns the entries of several servers. It is short compared to the time
	// within which a draining server must get no new tasks.
	listBatchDelay = 200 * time.Millisecond
	// layoutInterval is the time between two checks for racks without a shard.
	layoutInterval = 500 * time.Millisecond
	// maxUnusable bounds the entries that are logged as unusable.
	maxUnusable = 1000
)

// watchServers follows the platform's list of backend servers until ctx ends, and
// calls onChange with those of the partition after each change.
func (h *Host) watchServers(ctx context.Context, id partition.ID, onChange func([]scheduler.ServerInfo)) error {
	list := &serverList{
		host: h, partition: id.Part, onChange: onChange, entries: make(map[string]scheduler.ServerInfo), unusable: make(map[string]string),
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go list.reconcileLayouts(ctx)
	w := &partition.Watcher{
		Log: h.store, ID: platform.ServerPartition, Pause: listBatchDelay, OnResult: h.health.reporter("servers"),
		OnSnapshot: func(records []partition.Record) { list.apply(records, true) },
		OnUpdate:   func(records []partition.Record) { list.apply(records, false) },
	}
	return w.Run(ctx)
}

// serverList is the platform's list of backend servers as last read.
type serverList struct {
	host      *Host
	partition int
	onChange  func([]scheduler.ServerInfo)

	mu      sync.Mutex
	loaded  bool
	entries map[string]scheduler.ServerInfo
	// unusable holds, by ID, the errors of entries that name no server, so that
	// each is logged once.
	unusable map[string]string
}

// apply applies records to the list. If snapshot is set, they replace the list.
func (l *serverList) apply(records []partition.Record, snapshot bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if snapshot {
		clear(l.entries)
		l.forgetUnlisted(records)
	}
	for _, r := range records {
		l.applyRecord(r)
	}
	l.loaded = true
	if l.host.shards.Version() > 0 {
		l.notify()
	}
}

// forgetUnlisted forgets the unusable entries that are not among the records.
func (l *serverList) forgetUnlisted(records []partition.Record) {
	listed := make(map[string]bool, len(records))
	for _, r := range records {
		listed[r.Key] = true
	}
	maps.DeleteFunc(l.unusable, func(id, _ string) bool { return !listed[id] })
}

func (l *serverList) applyRecord(r partition.Record) {
	if r.Value == nil {
		delete(l.entries, r.Key)
		delete(l.unusable, r.Key)
		return
	}
	info, err := platform.DecodeServer(r)
	if err != nil {
		delete(l.entries, r.Key)
		l.recordUnusable(r.Key, err.Error())
		return
	}
	delete(l.unusable, r.Key)
	l.entries[r.Key] = info
}

// recordUnusable logs an entry that names no server, unless it was logged before.
func (l *serverList) recordUnusable(id, reason string) {
	if l.unusable[id] == reason || len(l.unusable) >= maxUnusable && l.unusable[id] == "" {
		return
	}
	l.unusable[id] = reason
	l.host.o.Events.Log(events.ServerEntryUnreadable, "server", id, "error", reason)
}

// notify calls onChange with the servers of the partition's shards. The caller holds
// l.mu.
func (l *serverList) notify() {
	var out []scheduler.ServerInfo
	for _, info := range l.entries {
		if l.host.partitionOf(info) == l.partition {
			out = append(out, info)
		}
	}
	l.onChange(out)
}

// partitionOf returns the partition that a server belongs to, or -1 if its rack has
// no shard yet.
func (h *Host) partitionOf(info scheduler.ServerInfo) int {
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

// reconcileLayouts passes the racks of the services whose first shard is in this
// partition to the shard manager, and calls notify when a layout has changed.
func (l *serverList) reconcileLayouts(ctx context.Context) {
	seenVersion := l.host.shards.Version()
	for duty.Sleep(ctx, layoutInterval) {
		for service, racks := range l.racks() {
			if err := l.host.shards.Reconcile(ctx, service, racks); err != nil {
				l.host.o.Events.Log(events.StoreLost, "call", "layout", "error", err.Error())
			}
		}
		if version := l.host.shards.Version(); version != seenVersion {
			seenVersion = version
			l.mu.Lock()
			if l.loaded {
				l.notify()
			}
			l.mu.Unlock()
		}
	}
}

// racks returns the number of servers in each rack, for the services whose first
// shard is in this partition.
func (l *serverList) racks() map[string]map[string]int {
	l.mu.Lock()
	defer l.mu.Unlock()
	config := l.host.config.Newest()
	if !l.loaded || config == nil {
		return nil
	}
	out := make(map[string]map[string]int)
	for _, service := range config.ServiceNames() {
		if shard.PartitionOf(service, 0, l.host.o.Settings.StorePartitions) == l.partition {
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
