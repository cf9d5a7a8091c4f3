package tenant_test

import (
	"testing"
	"time"

	"github.com/currantwinch/currantwinch/routing"
	"github.com/currantwinch/currantwinch/tenant"
)

// A share must be that of the scarcest resource, among the tenants that have work: the
// share of an idle tenant is lent to the others.
func TestLedger_SharesAmongTenantsThatHaveWork(t *testing.T) {
	l := tenant.NewLedger(time.Second)
	l.Configure(tenancyOf(routing.Tenant{Name: "a", Weight: 3}, routing.Tenant{Name: "b", Weight: 1}, routing.Tenant{Name: "idle", Weight: 4}), start)
	total := cpu(1000)
	l.Reserve("a", cpu(600), false)
	need := cpu(100)
	need.MemoryMB = 300
	l.Reserve("b", need, false)
	l.RefreshShares(total, func(string) bool { return false })
	if l.OverShare("a") || !l.OverShare("b") {
		t.Errorf("a uses 0.6 of a share of 0.75: over %t; b uses 0.3 of the memory, with a share of 0.25: over %t", l.OverShare("a"), l.OverShare("b"))
	}
	l.RefreshShares(total, func(name string) bool { return name == "idle" })
	if share, usage := l.Share("a"); share != 0.375 || usage != 0.6 || !l.OverShare("a") {
		t.Errorf("a beside a tenant with weight 4 that has work: share %g, usage %g, over %t, want 0.375, 0.6 and over", share, usage, l.OverShare("a"))
	}
	if l.OverShare("") || l.OverShare("unknown") {
		t.Error("work without a tenant has no share")
	}
}

// Weights that sum to zero must not make every tenant exceed its share.
func TestLedger_NoWeightsNoShares(t *testing.T) {
	l := tenant.NewLedger(time.Second)
	l.Configure(tenancyOf(routing.Tenant{Name: "a"}), start)
	l.Reserve("a", cpu(5), false)
	l.RefreshShares(cpu(10), func(string) bool { return true })
	if l.OverShare("a") {
		t.Error("a tenant is over its share where no tenant has a weight")
	}
}

// A tenant is entitled to its weight in submissions a second with a burst of the window.
// Refused submissions must not use that up: they are sent again.
func TestLedger_ExcessIsWhatIsAcceptedBeyondTheRate(t *testing.T) {
	l := tenant.NewLedger(5 * time.Second)
	l.Configure(tenancyOf(routing.Tenant{Name: "a", Weight: 2}), start)
	accept := func(now time.Time, n int) (within int) {
		for range n {
			if !l.InExcess("a", now) {
				l.Accepted("a", now)
				within++
			}
		}
		return within
	}
	for range 100 {
		if l.InExcess("a", start) {
			t.Fatal("submissions that were not accepted counted for the rate")
		}
	}
	if got := accept(start, 100); got != 10 {
		t.Errorf("%d at once within the rate of 2 a second and a window of 5 s, want 10", got)
	}
	if got := accept(start.Add(3*time.Second), 100); got != 6 {
		t.Errorf("%d within the rate 3 s later, want 6", got)
	}
	l.Configure(tenancyOf(routing.Tenant{Name: "a", Weight: 20}), start.Add(3*time.Second))
	if got := accept(start.Add(4*time.Second), 100); got != 20 {
		t.Errorf("%d within the rate 1 s after it rose to 20, want 20", got)
	}
	if l.InExcess("", start) || l.InExcess("unknown", start) {
		t.Error("work without a tenant has no rate")
	}
}
