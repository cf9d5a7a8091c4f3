package scheduler

import (
	"strconv"
	"sync"
	"time"

	"github.com/currantwinch/currantwinch/tenant"
	"github.com/currantwinch/currantwinch/workload"
)

// TenantDump is the state of one tenant at one owner.
type TenantDump struct {
	Name string `json:"name"`
	// Runs counts the attempts, also those that are being stopped, and Used is what they
	// reserve.
	Runs int                `json:"runs"`
	Used workload.Resources `json:"used"`
	// Cap is the tenant's cap in the whole cluster; a resource that is 0 has no bound.
	// Fraction is the part of it that this owner may use, in millionths.
	Cap      workload.Resources `json:"cap"`
	Fraction int64              `json:"fraction"`
	// Share is the part of the capacity to which the tenant is entitled, and Usage the part
	// that it uses.
	Share float64 `json:"share"`
	Usage float64 `json:"usage"`
	// Queued counts the tasks that could start, and Excess those of them that the tenant
	// sent beyond its rate.
	Queued int `json:"queued"`
	Excess int `json:"excess"`
	// Refused counts the submissions refused by this owner.
	Refused int `json:"refused"`
	// HeldMS is for how long the cap has held back starts; 0 if it does not.
	HeldMS int64 `json:"heldByCapMS"`
}

// dump returns the state of all tenants, by name.
func (t *tenants) dump() []TenantDump {
	if !t.ledger.Active() {
		return nil
	}
	queued, excess := make(map[string]int), make(map[string]int)
	for _, st := range t.core.queued {
		n := st.unplacedTasks()
		queued[st.job().sub.Tenant] += n
		if t.inExcess(st.job()) {
			excess[st.job().sub.Tenant] += n
		}
	}
	var out []TenantDump
	for _, name := range t.ledger.Names() {
		d := TenantDump{
			Name: name, Cap: t.ledger.Cap(name), Fraction: t.ledger.Fraction(name), Queued: queued[name], Excess: excess[name], Refused: t.refusals[name],
		}
		d.Used, d.Runs = t.ledger.Used(name)
		d.Share, d.Usage = t.ledger.Share(name)
		if s := t.held[name]; s != nil {
			d.HeldMS = max(t.core.now.Sub(s.since).Milliseconds(), 1)
		}
		out = append(out, d)
	}
	return out
}

// tenantReportInterval is the time between two reports to the metrics. A report looks at
// every queued step.
const tenantReportInterval = time.Second

// report passes the state of the tenants to the metrics.
func (t *tenants) report() {
	if t.core.now.Sub(t.reportedAt) < tenantReportInterval || !t.ledger.Active() && t.reportedAt.IsZero() {
		return
	}
	t.reportedAt = t.core.now
	t.core.metric.reportTenants(t.core, t.dump())
}

// tenantGauges holds the last reports of the Cores of a daemon, by tenant.
type tenantGauges struct {
	mu      sync.Mutex
	reports map[*Core]map[string]TenantDump
}

// reportTenants replaces the last report of a Core.
func (m *Metrics) reportTenants(c *Core, list []TenantDump) {
	byName := make(map[string]TenantDump, len(list))
	for _, d := range list {
		byName[d.Name] = d
		m.registerTenant(d.Name)
	}
	m.tenants.mu.Lock()
	defer m.tenants.mu.Unlock()
	if m.tenants.reports == nil {
		m.tenants.reports = make(map[*Core]map[string]TenantDump)
	}
	m.tenants.reports[c] = byName
}

// withdrawTenants drops the report of a Core that has ended.
func (m *Metrics) withdrawTenants(c *Core) {
	m.tenants.mu.Lock()
	defer m.tenants.mu.Unlock()
	delete(m.tenants.reports, c)
}

// registerTenant registers the gauges of a tenant, unless that has happened.
func (m *Metrics) registerTenant(name string) {
	gauge := func(metric string, value func(TenantDump) float64) {
		m.set.GetOrCreateGauge(metric+"{tenant="+strconv.Quote(name)+"}", func() float64 {
			m.tenants.mu.Lock()
			defer m.tenants.mu.Unlock()
			sum := 0.0
			for _, report := range m.tenants.reports {
				sum += value(report[name])
			}
			return sum
		})
	}
	gauge("currantwinch_tenant_runs", func(d TenantDump) float64 { return float64(d.Runs) })
	gauge("currantwinch_tenant_used_cores", func(d TenantDump) float64 { return cores(d.Used.CPU) })
	gauge("currantwinch_tenant_cap_cores", func(d TenantDump) float64 { return cores(d.Cap.CPU) * float64(d.Fraction) / tenant.Whole })
	gauge("currantwinch_tenant_cap_fraction", func(d TenantDump) float64 { return float64(d.Fraction) / tenant.Whole })
	gauge("currantwinch_tenant_share", func(d TenantDump) float64 { return d.Share })
	gauge("currantwinch_tenant_usage", func(d TenantDump) float64 { return d.Usage })
	gauge("currantwinch_tenant_queued_tasks", func(d TenantDump) float64 { return float64(d.Queued) })
	gauge("currantwinch_tenant_excess_tasks", func(d TenantDump) float64 { return float64(d.Excess) })
	gauge("currantwinch_tenant_held_by_cap", func(d TenantDump) float64 {
		if d.HeldMS > 0 {
			return 1
		}
		return 0
	})
}

// refused counts a submission that this owner refused.
func (t *tenants) refused(name string) {
	if name == "" || !t.ledger.Active() {
		return
	}
	t.refusals[name]++
	t.core.metric.set.GetOrCreateCounter("currantwinch_tenant_submissions_refused_total{tenant=" + strconv.Quote(name) + "}").Inc()
}

// countExcess counts a submission that a tenant sent beyond its rate.
func (m *Metrics) countExcess(name string) {
	m.set.GetOrCreateCounter("currantwinch_tenant_submissions_excess_total{tenant=" + strconv.Quote(name) + "}").Inc()
}
