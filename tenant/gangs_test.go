package tenant

import (
	"testing"
	"time"

	"github.com/currantwinch/currantwinch/routing"
	"github.com/currantwinch/currantwinch/workload"
)

// Two partitions that each wait with a gang of 0.7 of a tenant's cap divided the cap by their
// demands, and neither gang ever started, while nothing of the tenant ran.
func TestGrant_GangsInTwoPartitionsDoNotBlockEachOther(t *testing.T) {
	now := time.Unix(1000, 0)
	gang := workload.Resources{CPU: 7000}
	tenancy := &routing.Tenancy{Tenants: map[string]routing.Tenant{"a": {Name: "a", Weight: 1, Cap: workload.Resources{CPU: 10_000}}}}
	var parts [2]*Ledger
	for i := range parts {
		parts[i] = NewLedger(DefaultWindow)
		parts[i].Fractions = NewFractions(false)
		parts[i].Fractions.Load("a", Fraction{Amount: Whole / 2})
		parts[i].Configure(tenancy, now)
	}
	numbers := [2]uint64{}
	for range 20 {
		now = now.Add(500 * time.Millisecond)
		for from, asker := range parts {
			other := 1 - from
			asker.Observe("a", gang, now)
			asker.SetGang("a", gang)
			q, short := asker.Ask("a", gang)
			if !short {
				continue
			}
			q.From, q.Precedes = from, from < other
			amount := parts[other].Grant(q, gang, now)
			if amount == 0 {
				continue
			}
			transfer, _, ok := parts[other].Fractions.Give("a", from, amount)
			if !ok {
				continue
			}
			numbers[other] = transfer.Number
			parts[other].Fractions.Stored("a", transfer.Number)
			if _, taken := asker.Fractions.Take("a", other, transfer); taken {
				asker.Fractions.Arrived("a", transfer.Amount)
			}
			parts[other].Fractions.Confirm("a", transfer.Number)
		}
	}
	if n := parts[0].Allows("a", gang, 1); n != 1 {
		t.Errorf("the lower partition may start %d gangs with %d millionths, want 1", n, parts[0].Fraction("a"))
	}
	if got := parts[0].Fraction("a"); got < 7*Whole/10 {
		t.Errorf("the lower partition holds %d millionths after 10 s, want at least %d", got, 7*Whole/10)
	}
}
