package tenant_test

import (
	"fmt"
	"time"

	"github.com/currantwinch/currantwinch/routing"
	"github.com/currantwinch/currantwinch/tenant"
	"github.com/currantwinch/currantwinch/workload"
)

func ExampleLedger() {
	ledger := tenant.NewLedger(tenant.DefaultWindow)
	ledger.Fractions = tenant.NewFractions(true)
	ledger.Configure(&routing.Tenancy{Tenants: map[string]routing.Tenant{
		"a": {Name: "a", Weight: 1, Cap: workload.Resources{CPU: 4000}},
	}}, time.Now())
	task := workload.Resources{CPU: 1500}
	fmt.Println(ledger.Allows("a", task, 10))
	ledger.Reserve("a", task, false)
	ledger.Reserve("a", task, false)
	fmt.Println(ledger.Allows("a", task, 10))
	// One start may begin below the cap and end above it.
	// Output:
	// 3
	// 1
}
