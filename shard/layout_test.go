package shard

import (
	"fmt"
	"testing"
)

func racksOf(racks, servers int) map[string]int {
	out := make(map[string]int, racks)
	for i := range racks {
		out[fmt.Sprintf("r%d", i)] = servers
	}
	return out
}

func TestNewLayout_ShardCountBySize(t *testing.T) {
	tests := []struct {
		name                 string
		racks, servers, most int
		want                 int
	}{
		{"no servers yet", 0, 0, 12, 1},
		{"all servers in one rack", 1, 400, 12, 1},
		{"small", 6, 8, 12, 1},
		{"exactly one full shard", 48, 8, 12, 1},
		{"just above one shard", 49, 8, 12, 2},
		{"large", 36, 20, 12, 2},
		{"limited by the number of partitions", 280, 20, 12, 12},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			racks := racksOf(tt.racks, tt.servers)
			l := NewLayout(racks, tt.most)
			if l.Shards != tt.want {
				t.Fatalf("%d shards, want %d", l.Shards, tt.want)
			}
			load := make([]int, l.Shards)
			for rack, n := range racks {
				s, ok := l.ShardOfRack(rack)
				if !ok {
					t.Fatalf("rack %s was assigned no shard", rack)
				}
				load[s] += n
			}
			for s, n := range load {
				if mean := tt.racks * tt.servers / l.Shards; n > mean+tt.servers || n < mean-tt.servers {
					t.Errorf("shard %d has %d servers, want within one rack of the mean %d", s, n, mean)
				}
			}
		})
	}
}

func TestExtend_MovesNoRack(t *testing.T) {
	before := NewLayout(racksOf(36, 20), 12)
	after, changed := before.Extend(racksOf(60, 20))
	if !changed || !after.extends(before) || len(after.Racks) != 60 {
		t.Errorf("%d racks after extending %d, changed %t; want 60, true and unchanged shards", len(after.Racks), len(before.Racks), changed)
	}
	if _, changed := after.Extend(racksOf(12, 20)); changed {
		t.Error("layout changed although all racks are known")
	}
	if before.extends(after) {
		t.Error("a layout without some of the racks counts as an extension")
	}
}

func TestShardOfSubmission_SpreadsEvenly(t *testing.T) {
	l := Layout{Shards: 6}
	counts := make([]int, l.Shards)
	for i := range 6000 {
		counts[l.ShardOfSubmission(fmt.Sprintf("%016x", uint64(i)*0x9e3779b97f4a7c15))]++
	}
	for s, n := range counts {
		if n < 850 || n > 1150 {
			t.Errorf("shard %d got %d of 6000 submissions, want 850 to 1150", s, n)
		}
	}
}
