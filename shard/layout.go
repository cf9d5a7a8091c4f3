// Package shard cuts a service into shards, each with an owner of its own: a
// shard has some of the service's racks of backend servers and the submissions
// whose IDs fall to it. How many shards a service has, and whose a rack is,
// never changes once it is decided, so that no two owners ever use one server.
package shard

import (
	"cmp"
	"hash/fnv"
	"maps"
	"slices"
)

// serversPerShard is the most backend servers of one shard, as long as there are
// partitions: few enough for the rounds of an owner on half a core, and as many as
// that allows, since shards do not lend each other room.
const serversPerShard = 384

// Layout says how a service is cut.
type Layout struct {
	// Shards is the number of shards, at least 1.
	Shards int `cbor:"1,keyasint"`
	// Racks holds the shard of each rack that was ever seen.
	Racks map[string]int `cbor:"2,keyasint"`
}

// NewLayout returns the layout of a service that has none, given the number of
// servers in each rack and the largest number of shards.
func NewLayout(racks map[string]int, most int) Layout {
	servers := 0
	for _, n := range racks {
		servers += n
	}
	shards := min((servers+serversPerShard-1)/serversPerShard, most, len(racks))
	l := Layout{Shards: max(shards, 1)}
	l, _ = l.Extend(racks)
	return l
}

// Extend gives racks that have no shard to the shards with the fewest servers,
// the largest rack first. It reports whether there were any.
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

// valid reports whether the layout can be used.
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

// ShardOfRack returns the shard of a rack; false if it has none yet.
func (l Layout) ShardOfRack(rack string) (int, bool) {
	s, ok := l.Racks[rack]
	return s, ok
}

// PartitionOf returns the partition, of parts, that holds a shard of a service.
func PartitionOf(service string, shard, parts int) int {
	parts = max(parts, 1)
	return (int(hash(service)%uint32(parts)) + shard) % parts
}

func hash(text string) uint32 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(text))
	return h.Sum32()
}
