package entry

import (
	"context"
	"encoding/json"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/currantwinch/currantwinch/internal/roles"
	"github.com/currantwinch/currantwinch/verdict"
)

// capacityPeers answers with each daemon's CPU.
type capacityPeers map[string]int64

func (p capacityPeers) Handle(string, roles.PeerHandler) {}

func (p capacityPeers) Connected() []string { return nil }

func (p capacityPeers) Call(_ context.Context, daemon, _ string, _, result any) error {
	cpu, ok := p[daemon]
	if !ok {
		return verdict.New(verdict.NotRun, "peer_unreachable", "gone")
	}
	data, err := json.Marshal(capacity{CPU: cpu, MemoryMB: cpu})
	if err != nil {
		return err
	}
	return json.Unmarshal(data, result)
}

func TestCapacities_YieldsToEnoughLargerHolders(t *testing.T) {
	tests := []struct {
		name   string
		own    int64
		others []int64
		want   bool
	}{
		{"all equal", 400, []int64{400, 400, 400, 400, 400, 400, 400, 400}, false},
		{"enough large ones", 192, []int64{800, 800, 800, 800, 192}, true},
		{"too few large ones", 192, []int64{800, 800, 800, 192, 192, 192}, false},
		{"a large one", 800, []int64{800, 800, 800, 800, 192}, false},
		{"slightly larger", 400, []int64{700, 700, 700, 700, 700}, false},
		{"alone", 192, nil, false},
		{"own CPU unknown", 0, []int64{0, 0, 400, 800, 800}, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				peers := make(capacityPeers)
				holders := []string{"me", "gone"}
				for i, cpu := range tt.others {
					name := fmt.Sprintf("d%d", i)
					peers[name] = cpu
					holders = append(holders, name)
				}
				c := NewCapacities("me", tt.own, 284, 0, peers, func(bool, int, int) {})
				if c.ShouldYield(holders) {
					t.Error("yields to daemons of unknown capacity")
				}
				time.Sleep(time.Millisecond)
				if got := c.ShouldYield(holders); got != tt.want {
					t.Errorf("yields %t, want %t", got, tt.want)
				}
				if tt.want && c.ShouldYield(holders[:len(holders)/2]) {
					t.Error("yields although most of the larger holders are gone")
				}
				time.Sleep(time.Millisecond)
			})
		})
	}
}

// connectedPeers are daemons that are connected and hold no partition.
type connectedPeers struct {
	capacityPeers
	handler roles.PeerHandler
}

func (p *connectedPeers) Handle(_ string, h roles.PeerHandler) { p.handler = h }

func (p *connectedPeers) Connected() []string {
	var names []string
	for name := range p.capacityPeers {
		names = append(names, name)
	}
	return names
}

// A small holder must yield to large VMs that hold nothing yet, since of many
// VMs only a few hold a partition, whatever their size.
func TestCapacities_YieldsToLargerDaemonsThatQuery(t *testing.T) {
	p := &connectedPeers{capacityPeers: make(capacityPeers)}
	c := NewCapacities("me", 192, 284, 0, p, func(bool, int, int) {})
	// A small holder that has queried this daemon is known, so that no query
	// runs in the background.
	if _, err := p.handler(t.Context(), "other", json.RawMessage(`{"CPU":192}`)); err != nil {
		t.Fatal(err)
	}
	for i := range 5 {
		if c.ShouldYield([]string{"me"}) {
			t.Errorf("yields as the only holder with %d larger daemons connected", i)
		}
		if c.ShouldYield([]string{"me", "other"}) != (i >= minLargerDaemons) {
			t.Errorf("with %d larger daemons connected: yields %t, want the opposite", i, i < minLargerDaemons)
		}
		name := fmt.Sprintf("d%d", i)
		answer, err := p.handler(t.Context(), name, json.RawMessage(`{"CPU":800}`))
		if err != nil || answer != (capacity{CPU: 192, MemoryMB: 284}) {
			t.Fatalf("%v, %v", answer, err)
		}
		p.capacityPeers[name] = 800
	}
	if _, err := p.handler(t.Context(), "d9", json.RawMessage(`[`)); err == nil {
		t.Error("a malformed query was answered")
	}
}

// The next owner of a partition may be on the smallest VM, which must be able to hold what
// the owners before it have accepted.
func TestCapacities_SmallestMemory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		peers := capacityPeers{"large": 536, "small": 184}
		c := NewCapacities("me", 400, 284, 0, peers, func(bool, int, int) {})
		if got := c.SmallestMemoryMB(); got != 284 {
			t.Errorf("the smallest VM has %d MB before any other is known, want 284", got)
		}
		c.Learn(t.Context(), []string{"large", "small", "gone"})
		if got := c.SmallestMemoryMB(); got != 184 {
			t.Errorf("the smallest VM has %d MB, want 184", got)
		}
	})
}

// A service's owner on a VM with a tenth of the others' link sent 450 starts a second where
// 900 were offered, and refused the rest while servers were idle: its CPU alone kept it in
// the group. The table names the own VM and the other one.
func TestCapacity_BetterOwner(t *testing.T) {
	for _, c := range []struct {
		name       string
		other, own capacity
		want       bool
	}{
		{"twice the CPU, link unknown", capacity{CPU: 800}, capacity{CPU: 400, LinkMbps: 10}, true},
		{"more CPU, faster link", capacity{CPU: 800, LinkMbps: 200}, capacity{CPU: 480, LinkMbps: 10}, true},
		{"same CPU, faster link", capacity{CPU: 400, LinkMbps: 200}, capacity{CPU: 400, LinkMbps: 100}, true},
		{"less CPU, faster link", capacity{CPU: 200, LinkMbps: 200}, capacity{CPU: 400, LinkMbps: 10}, false},
		{"twice the CPU, slower link", capacity{CPU: 800, LinkMbps: 10}, capacity{CPU: 400, LinkMbps: 200}, false},
		{"alike", capacity{CPU: 400, LinkMbps: 200}, capacity{CPU: 400, LinkMbps: 200}, false},
		{"slightly more of both", capacity{CPU: 700, LinkMbps: 150}, capacity{CPU: 400, LinkMbps: 100}, false},
	} {
		if got := c.other.betterOwner(c.own); got != c.want {
			t.Errorf("%s: %t, want %t", c.name, got, c.want)
		}
	}
}
