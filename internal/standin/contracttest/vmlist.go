// Package contracttest holds the contract of each interface to the platform
// and between daemons as a suite that every implementation must pass.
package contracttest

import (
	"testing"
	"time"

	"github.com/currantwinch/currantwinch/cluster"
	"github.com/currantwinch/currantwinch/membership"
	"github.com/google/go-cmp/cmp"
)

// VMPlatform is the platform's side of a VM list under test.
type VMPlatform struct {
	List membership.VMList
	// Put, Leave and Remove change the truth.
	Put         func(vm cluster.VM)
	MarkLeaving func(name string)
	Remove      func(name string)
	// SetFailing makes the platform answer errors, or stop doing so.
	SetFailing func(fail bool)
	// Advance lets time pass.
	Advance func(d time.Duration)
	// Lag is how late a change shows.
	Lag time.Duration
}

// VMList checks an implementation of membership.VMList against a platform
// that New makes and that has no VM at first.
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
