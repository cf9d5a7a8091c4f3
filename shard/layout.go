// Package shard divides a service into shards, each of which has its own owner.
// A shard has a part of the service's racks of backend servers, and the
// submissions whose IDs hash to it. The owner of a service's first shard calls
// Manager.Reconcile; all daemons look layouts up. The number of shards and the
// shard of a rack never change once decided, so that no two owners use the same
// server.
package shard

import (
	"cmp"
	"hash/fnv"
	"maps"
	"slices"
)

// maxServersPerShard is the most backend servers of a shard, as long as there
// are enough partitions. It is what one owner's placement passes can handle on
// half a core. A higher number is better otherwise, since shards cannot use
// each other's free capacity.
const maxServersPerShard = 384

// Layout assigns the racks of a service to its shards.
type Layout struct {
	// Shards is the number of shards, at least 1.
	Shards int `cbor:"1,keyasint"`
	// Racks maps each rack that was ever seen to its shard.
	Racks map[string]int `cbor:"2,keyasint"`
}

// NewLayout returns the first layout of a service, given the number of servers
// in each rack and the largest number of shards.
func NewLayout(racks map[string]int, maxShards int) Layout {
	servers := 0
	for _, n := range racks {
		servers += n
	}
	shards := min((servers+maxServersPerShard-1)/maxServersPerShard, maxShards, len(racks))
	l := Layout{Shards: max(shards, 1)}
	l, _ = l.Extend(racks)
	return l
}

// Extend assigns racks without a shard, the largest first, to the shard with
// the fewest servers. It reports whether there were any.
func (l Layout) Extend(racks map[string]int) (Layout, bool) {
	load := make([]int, l.Shards)
	var fresh []string
	for rack, n := range racks {
		if s, ok := l.Racks[rack]; ok {
			load[s] += n
			continue
		}
		fresh = append(fresh, rack)
	}
	if len(fresh) == 0 {
		return l, false
	}
	slices.SortFunc(fresh, func(x, y string) int { return cmp.Or(cmp.Compare(racks[y], racks[x]), cmp.Compare(x, y)) })
	out := Layout{Shards: l.Shards, Racks: maps.Clone(l.Racks)}
	if out.Racks == nil {
		out.Racks = make(map[string]int, len(fresh))
	}
	for _, rack := range fresh {
		least := slices.Index(load, slices.Min(load))
		out.Racks[rack] = least
		load[least] += racks[rack]
	}
	return out, true
}

// valid reports whether every rack's shard exists.
func (l Layout) valid() bool {
	if l.Shards < 1 {
		return false
	}
	for _, s := range l.Racks {
		if s < 0 || s >= l.Shards {
			return false
		}
	}
	return true
}

// ShardOfSubmission returns the shard of a submission.
func (l Layout) ShardOfSubmission(id string) int {
	return int(hash(id) % uint32(l.Shards))
}

// ShardOfRack returns the shard of a rack, or false if it has none yet.
func (l Layout) ShardOfRack(rack string) (int, bool) {
	s, ok := l.Racks[rack]
	return s, ok
}

// PartitionOf returns the partition, out of parts, that holds a shard of a
// service.
func PartitionOf(service string, shard, parts int) int {
	parts = max(parts, 1)
	return (int(hash(service)%uint32(parts)) + shard) % parts
}

func hash(text string) uint32 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(text))
	return h.Sum32()
}
