package tenant_test

import (
	"testing"
	"time"

	"github.com/currantwinch/currantwinch/routing"
	"github.com/currantwinch/currantwinch/tenant"
	"github.com/currantwinch/currantwinch/workload"
	"pgregory.net/rapid"
)

var start = time.Unix(1_700_000_000, 0)

func cpu(n int64) workload.Resources { return workload.Resources{CPU: n, MemoryMB: n} }

// ledgerWith returns a Ledger of one tenant "a" with the given cap and weight.
func ledgerWith(limit workload.Resources, weight float64) *tenant.Ledger {
	l := tenant.NewLedger(5 * time.Second)
	l.Configure(tenancyOf(routing.Tenant{Name: "a", Cap: limit, Weight: weight}), start)
	return l
}

func tenancyOf(tenants ...routing.Tenant) *routing.Tenancy {
	t := &routing.Tenancy{Tenants: make(map[string]routing.Tenant)}
	for _, one := range tenants {
		t.Tenants[one.Name] = one
	}
	return t
}

// The cap must hold to within one task, and must not keep a task that is larger than what
// is left of it from ever starting.
func TestLedger_AllowsStartsThatBeginBelowTheCap(t *testing.T) {
	for _, c := range []struct {
		name                string
		limit, used, need   workload.Resources
		unattributed        workload.Resources
		requested, expected int
	}{
		{"no cap", workload.Resources{}, cpu(100), cpu(10), cpu(0), 7, 7},
		{"exact fit", cpu(30), cpu(0), cpu(10), cpu(0), 5, 3},
		{"last one ends above", cpu(31), cpu(0), cpu(10), cpu(0), 5, 4},
		{"larger than what is left", cpu(30), cpu(29), cpu(20), cpu(0), 5, 1},
		{"at the cap", cpu(30), cpu(30), cpu(1), cpu(0), 5, 0},
		{"above a cap that fell", cpu(30), cpu(90), cpu(1), cpu(0), 5, 0},
		{"larger than the cap", cpu(30), cpu(0), cpu(50), cpu(0), 5, 1},
		{"unattributed capacity counts", cpu(30), cpu(0), cpu(10), cpu(15), 5, 2},
		{"the scarcest resource decides", workload.Resources{CPU: 100, MemoryMB: 20}, cpu(0), cpu(10), cpu(0), 5, 2},
		{"a resource that is not asked for does not count", workload.Resources{CPU: 100, GPU: 1}, workload.Resources{GPU: 2}, cpu(10), cpu(0), 5, 5},
	} {
		l := ledgerWith(c.limit, 1)
		l.Reserve("a", c.used, false)
		l.SetUnattributed(c.unattributed)
		if got := l.Allows("a", c.need, c.requested); got != c.expected {
			t.Errorf("%s: %d of %d may start, want %d", c.name, got, c.requested, c.expected)
		}
	}
}

// Work without a tenant and deployments without tenants must not be bound by a cap.
func TestLedger_BoundsNothingWithoutTenants(t *testing.T) {
	l := ledgerWith(cpu(1), 1)
	l.SetUnattributed(cpu(1000))
	if got := l.Allows("", cpu(5), 9); got != 9 {
		t.Errorf("public work: %d may start, want 9", got)
	}
	if got := l.Allows("unknown", cpu(5), 9); got != 9 {
		t.Errorf("tenant of no configuration: %d may start, want 9", got)
	}
	l.Configure(nil, start)
	if got := l.Allows("a", cpu(5), 9); got != 9 {
		t.Errorf("no tenants: %d may start, want 9", got)
	}
}

// Use must stay below the cap plus one task under any sequence of starts, ends and
// changes of the cap, and starts that are refused must be refused for a reason.
func TestLedger_UseStaysWithinCapPlusOneTask(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.Int64Range(1, 200).Draw(t, "cap")
		l := ledgerWith(cpu(limit), 1)
		var running []workload.Resources
		used := int64(0)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			switch rapid.IntRange(0, 3).Draw(t, "kind") {
			case 0, 1:
				need := cpu(rapid.Int64Range(1, 80).Draw(t, "need"))
				n := rapid.IntRange(1, 20).Draw(t, "n")
				allowed := l.Allows("a", need, n)
				if allowed < n && used+int64(allowed)*need.CPU < limit {
					t.Fatalf("%d of %d start beside %d of %d: the next would begin below the cap", allowed, n, used, limit)
				}
				for range allowed {
					l.Reserve("a", need, false)
					running, used = append(running, need), used+need.CPU
				}
				if allowed > 0 && used >= limit+need.CPU {
					t.Fatalf("use of %d under a cap of %d after a start of %d", used, limit, need.CPU)
				}
			case 2:
				if len(running) > 0 {
					l.Release("a", running[0], false)
					used -= running[0].CPU
					running = running[1:]
				}
			default:
				limit = rapid.Int64Range(1, 200).Draw(t, "cap")
				l.Configure(tenancyOf(routing.Tenant{Name: "a", Cap: cpu(limit), Weight: 1}), start)
			}
		}
	})
}

// A gang that can never run whole must be known as such, and one that fits with its last
// member above the cap must not be.
func TestLedger_MostAtOnceIsIndependentOfUse(t *testing.T) {
	l := ledgerWith(cpu(31), 1)
	l.Reserve("a", cpu(500), false)
	if got := l.MostAtOnce("a", cpu(10), 100); got != 4 {
		t.Errorf("%d tasks of 10 at once under a cap of 31, want 4", got)
	}
	if got := l.MostAtOnce("a", cpu(10), 3); got != 3 {
		t.Errorf("%d of 3 tasks at once, want 3", got)
	}
}
