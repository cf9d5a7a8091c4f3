package scheduler

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/currantwinch/currantwinch/routing"
)

// Operators must see why a tenant's work waits: its cap, its share, or its own excess. A
// tenant's name may hold any character, which must not break the page of metrics.
func TestTenants_DumpAndMetricsSayWhyWorkWaits(t *testing.T) {
	h := newHarness(t, 1)
	h.bounds.ShareWindow = time.Second
	h.takeOver()
	h.answerAllPolls()
	const odd = "b\"}\n\x00"
	h.setTenants(routing.Tenant{Name: "a", Weight: 3, Cap: cpuCap(8000)}, routing.Tenant{Name: odd, Weight: 1})
	h.submitAs("a", id1, stepOf(5, 4000))
	h.submitAs(odd, id2, stepOf(1, 4000))
	h.submitAs(odd, tenantID(3), stepOf(40, 4000))
	h.submitAs("a", tenantID(4), gangOf(9, 4000))
	for range 40 {
		h.advance(tickInterval)
	}
	byName := make(map[string]TenantDump)
	for _, d := range h.core.Dump().Tenants {
		byName[d.Name] = d
	}
	a, b := byName["a"], byName[odd]
	if a.Runs != 2 || a.Used.CPU != 8000 || a.Queued != 3 || a.HeldMS == 0 || a.Refused != 1 || a.Fraction != 1_000_000 || a.Share != 0.75 {
		t.Errorf("tenant at its cap of 8 cores: %+v, want 2 runs, 3 tasks held back, one submission refused, the whole cap, a share of 0.75", a)
	}
	if b.Runs != 6 || b.Queued != 35 || b.Excess != 35 || b.HeldMS != 0 {
		t.Errorf("tenant without a cap, with excess: %+v, want 6 runs and 35 tasks of excess queued", b)
	}
	var page bytes.Buffer
	h.core.metric.set.WritePrometheus(&page)
	for _, want := range []string{
		`currantwinch_tenant_runs{tenant="a"} 2`, `currantwinch_tenant_held_by_cap{tenant="a"} 1`, `currantwinch_tenant_cap_cores{tenant="a"} 8`,
		`currantwinch_tenant_excess_tasks{tenant="b\"}\n\x00"} 35`, `currantwinch_tenant_submissions_refused_total{tenant="a"} 1`,
		`currantwinch_tenant_submissions_excess_total{tenant="b\"}\n\x00"} 1`,
	} {
		if !strings.Contains(page.String(), want+"\n") {
			t.Errorf("the metrics do not have %s", want)
		}
	}
	h.core.metric.withdrawTenants(h.core)
	page.Reset()
	h.core.metric.set.WritePrometheus(&page)
	if !strings.Contains(page.String(), `currantwinch_tenant_runs{tenant="a"} 0`) {
		t.Error("the metrics still count the runs of an owner that has ended")
	}
}
