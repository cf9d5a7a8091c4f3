package scheduler

import (
	"time"

	"github.com/currantwinch/currantwinch/internal/events"
	"github.com/currantwinch/currantwinch/tenant"
	"github.com/currantwinch/currantwinch/workload"
)

// spanInterval: a span ends if for this long no start was held back by the tenant's cap, or
// nothing was sent beyond its rate. Placement examines waiting steps more often than that.
const spanInterval = time.Second

// tenants applies the caps, shares and rates of the tenants to the submissions of a Core.
type tenants struct {
	core   *Core
	ledger *tenant.Ledger
	// gangs holds, by tenant, the gang that waits for room under the cap. Later steps of
	// the tenant leave that room to it.
	gangs map[string]*step
	// held is the tenants whose starts their caps hold back.
	held map[string]*span
	// uncertain is set while runs of unknown submissions may be on a server, and stale
	// once an event may have changed where.
	uncertain, stale bool
	// sharesAt is when total, the capacity in service, and waiting, the tenants with queued
	// steps, were last renewed.
	sharesAt time.Time
	total    workload.Resources
	waiting  map[string]bool
	// excess is the tenants that send beyond their rate, and when they last did.
	excess map[string]*span
	// refusals counts the refused submissions of each tenant, and reportedAt is when the
	// metrics were last renewed.
	refusals   map[string]int
	reportedAt time.Time
	faults     tenantFaults
}

// tenantFaults disables single steps of the count. Only tests set them, to show that the
// exploration detects the resulting breach of a cap.
type tenantFaults struct {
	onlySeen    bool // count no capacity of servers that have not listed their runs
	forgetStops bool // count no runs that are being stopped
}

// span is a time during which a tenant is held back by its cap, or exceeds its rate.
type span struct {
	since, last time.Time
	// count is how many starts or submissions that concerned.
	count int
}

// extend prolongs the span of a tenant until now, or begins one. It reports whether one
// began.
func extend(spans map[string]*span, name string, now time.Time) bool {
	s := spans[name]
	if s == nil {
		spans[name] = &span{since: now, last: now, count: 1}
		return true
	}
	s.last = now
	s.count++
	return false
}

// length returns the time from the first to the last event of the span.
func (s *span) length() time.Duration { return s.last.Sub(s.since) }

// endSpans removes the spans to which nothing was added for spanInterval, and calls ended
// for each.
func endSpans(spans map[string]*span, now time.Time, ended func(name string, s *span)) {
	for name, s := range spans {
		if now.Sub(s.last) >= spanInterval {
			delete(spans, name)
			ended(name, s)
		}
	}
}

func newTenants(c *Core) *tenants {
	return &tenants{
		core: c, ledger: tenant.NewLedger(c.bounds.ShareWindow), gangs: make(map[string]*step), held: make(map[string]*span),
		uncertain: true, stale: true, waiting: make(map[string]bool), excess: make(map[string]*span), refusals: make(map[string]int),
	}
}

// allows returns how many of n tasks of a step may start now under its tenant's cap, and
// records that the cap holds the others back. Of a gang it is all of them or none.
func (t *tenants) allows(st *step, n int) int {
	name := st.job().sub.Tenant
	if n <= 0 || name == "" || !t.ledger.Active() {
		return n
	}
	t.attributeCapacity()
	if t.yieldsToGang(name, st) {
		st.entry.cappedNow = true
		t.recordHeld(name, st.id().StepName())
		return 0
	}
	allowed := t.ledger.Allows(name, st.spec.Reserved(), n)
	if allowed < n {
		st.entry.cappedNow = true
		t.recordHeld(name, st.id().StepName())
	}
	if !st.spec.Gang {
		return allowed
	}
	t.reserveForGang(name, st, n, allowed)
	if allowed < n {
		return 0
	}
	return n
}

// reserveForGang leaves the room under a tenant's cap to a gang of n members, of which the
// cap allows fewer now. It ends once the cap allows them all.
func (t *tenants) reserveForGang(name string, st *step, n, allowed int) {
	switch {
	case allowed < n && t.ledger.MostAtOnce(name, st.spec.Reserved(), n) == n:
		t.gangs[name] = st
	case allowed == n && t.gangs[name] == st:
		delete(t.gangs, name)
	}
}

// allowsCopy reports whether a second run of a task of the step may start under its tenant's
// cap. It may not while the cap holds back first starts.
func (t *tenants) allowsCopy(st *step) bool {
	name := st.job().sub.Tenant
	if name == "" || !t.ledger.Active() {
		return true
	}
	t.attributeCapacity()
	return t.held[name] == nil && t.gangs[name] == nil && t.ledger.Allows(name, st.spec.Reserved(), 1) == 1
}

// yieldsToGang reports whether a step leaves the room under its tenant's cap to a gang of
// the tenant that comes before it. Smaller tasks would keep the gang from ever starting.
func (t *tenants) yieldsToGang(name string, st *step) bool {
	gang := t.gangs[name]
	if gang == nil || gang == st {
		return false
	}
	waiting := gang.unplacedTasks()
	need := gang.spec.Reserved()
	over := !gang.queued || waiting == 0 || gang.job().ending != "" || t.ledger.MostAtOnce(name, need, waiting) < waiting
	if over || t.ledger.Allows(name, need, waiting) == waiting {
		// If it has room and does not start, it waits for something else.
		delete(t.gangs, name)
		return false
	}
	return t.core.placementOrderOf(gang).compare(t.core.placementOrderOf(st)) < 0
}

// stopping is called when an attempt is being stopped. It counts until its end is certain.
func (t *tenants) stopping(a *attempt) {
	if t.faults.forgetStops {
		t.ledger.Release(a.task.step.job().sub.Tenant, a.need, false)
	}
}

// attributeCapacity counts the capacity on which runs may be that cannot be attributed:
// that of servers of earlier owners which have not listed their runs, and of servers that
// list runs of unknown submissions.
func (t *tenants) attributeCapacity() {
	if !t.stale || !t.uncertain || t.faults.onlySeen {
		return
	}
	t.stale, t.uncertain = false, !t.core.recovered
	var largest, sum workload.Resources
	for _, s := range t.core.servers {
		largest = largest.Max(s.info.Capacity)
	}
	for _, s := range t.core.servers {
		if s.unknownRuns > 0 {
			t.uncertain = true
		} else if t.core.recovered || !t.core.mayHoldInheritedRuns(s) {
			continue
		}
		capacity := s.info.Capacity
		if capacity == (workload.Resources{}) {
			// Its entry is gone, and its record does not have its capacity.
			capacity = largest
		}
		reserved := s.info.Capacity.Minus(s.free)
		sum = sum.Plus(capacity.Minus(reserved).Max(workload.Resources{}))
	}
	t.ledger.SetUnattributed(sum)
}

// recordHeld records that a tenant's cap holds back a start.
func (t *tenants) recordHeld(name, step string) {
	if !extend(t.held, name, t.core.now) {
		return
	}
	used, attempts := t.ledger.Used(name)
	t.core.log.Log(events.TenantAtCap, "tenant", name, "step", step, "runs", attempts,
		"cpu", used.CPU, "memoryMB", used.MemoryMB, "gpu", used.GPU, "unattributedCPU", t.ledger.Unattributed().CPU)
}

// tick does what depends on time alone: spans that are over end, and the metrics are renewed.
func (t *tenants) tick() {
	if t.ledger.Active() {
		t.scanDemand()
	}
	t.extendHeld()
	endSpans(t.held, t.core.now, func(name string, s *span) {
		t.core.log.Log(events.TenantBelowCap, "tenant", name, "took", s.length().Milliseconds())
	})
	endSpans(t.excess, t.core.now, func(name string, s *span) {
		t.core.log.Log(events.TenantWithinRate, "tenant", name, "took", s.length().Milliseconds(), "submissions", s.count)
	})
	t.report()
}

// extendHeld extends the spans of the tenants at their caps that have work waiting:
// placement does not ask whether it may start while no server has room.
func (t *tenants) extendHeld() {
	for name := range t.waiting {
		if t.ledger.AtCap(name) {
			t.recordHeld(name, "")
		}
	}
}
