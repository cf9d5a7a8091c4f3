// Package contracttest provides a test suite for each interface to the platform
// and between daemons. Every implementation must pass its suite: the stand-ins
// directly and through the HTTP adapters, and, where a platform is available,
// the platform itself.
package contracttest

import (
	"testing"
	"time"

	"github.com/currantwinch/currantwinch/cluster"
	"github.com/currantwinch/currantwinch/membership"
	"github.com/google/go-cmp/cmp"
)

// VMPlatform is a VM list under test with control over the stand-in behind it.
type VMPlatform struct {
	List membership.VMList
	// Put, MarkLeaving and Remove change the actual list, which List shows
	// after Lag.
	Put         func(vm cluster.VM)
	MarkLeaving func(name string)
	Remove      func(name string)
	// SetFailing makes the platform return errors, or ends that.
	SetFailing func(fail bool)
	// Advance advances the platform's clock.
	Advance func(d time.Duration)
	// Lag is the delay until a change shows.
	Lag time.Duration
}

// VMList checks an implementation of membership.VMList against platforms made
// by newPlatform, which start with an empty list.
func VMList(t *testing.T, newPlatform func(t *testing.T) VMPlatform) {
	worker := cluster.VM{
		Name: "w1", Role: cluster.RoleWorker, Address: "10.0.0.9:1",
		Location: cluster.Location{Region: "r", FailureDomain: "f", Rack: "k"},
		Capacity: cluster.Resources{CPU: 32000, Memory: 64 << 30, Accelerators: 2}, AcceleratorKind: "a",
	}
	leaving := worker
	leaving.Leaving = true
	steps := []struct {
		name   string
		change func(p VMPlatform)
		want   []cluster.VM
	}{
		{"empty", func(VMPlatform) {}, nil},
		{"added", func(p VMPlatform) { p.Put(worker) }, []cluster.VM{worker}},
		{"leaving", func(p VMPlatform) { p.MarkLeaving("w1") }, []cluster.VM{leaving}},
		{"gone", func(p VMPlatform) { p.Remove("w1") }, nil},
	}
	t.Run("changes show after the lag", func(t *testing.T) {
		p := newPlatform(t)
		var before []cluster.VM
		for _, step := range steps {
			step.change(p)
			if p.Lag > 0 {
				expectVMs(t, p, step.name+" before the lag", before)
			}
			p.Advance(p.Lag)
			expectVMs(t, p, step.name, step.want)
			before = step.want
		}
	})
	t.Run("an error is not an empty list", func(t *testing.T) {
		p := newPlatform(t)
		p.Put(worker)
		p.Advance(p.Lag)
		p.SetFailing(true)
		if got, err := p.List.List(t.Context()); err == nil {
			t.Errorf("got %v without an error", got)
		}
		p.SetFailing(false)
		expectVMs(t, p, "after the failure", []cluster.VM{worker})
	})
}

func expectVMs(t *testing.T, p VMPlatform, when string, want []cluster.VM) {
	t.Helper()
	got, err := p.List.List(t.Context())
	if err != nil {
		t.Fatalf("%s: %v", when, err)
	}
	if diff := cmp.Diff(want, got, cmp.Transformer("nil", func(vms []cluster.VM) []cluster.VM {
		return append([]cluster.VM{}, vms...)
	})); diff != "" {
		t.Errorf("%s: -want +got\n%s", when, diff)
	}
}
