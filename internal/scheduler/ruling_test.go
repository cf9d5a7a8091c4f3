package scheduler

import (
	"testing"
	"time"

	"github.com/currantwinch/currantwinch/routing"
	"github.com/currantwinch/currantwinch/workload"
)

// rulingHarness has an owner with version 5 of the configuration: a queue at one address, and a
// tenant with a cap of 2 cores.
func rulingHarness(t *testing.T) *harness {
	h := newHarness(t, 1)
	h.config = &routing.Configuration{
		Version: 5, Services: h.config.Services,
		Queues:  []routing.Queue{{Name: testQueue, Host: "h.example", PathPrefix: "/q/", Service: testService, MaxFailedRuns: 2}},
		Tenancy: &routing.Tenancy{Tenants: map[string]routing.Tenant{"a": {Name: "a", Weight: 50, Cap: workload.Resources{CPU: 2000}}}},
	}
	h.do(func(c *Core) { c.Configure(h.config) })
	return h
}

// Guards against a submission that is decided by the older one of two versions, that of the daemon
// that was called and that of the owner (issue 63, CONFIG).
func TestCore_NewerVersionDecidesASubmission(t *testing.T) {
	gang := workload.Step{Count: 3, Need: workload.Resources{CPU: 1000}, Estimate: 100, Gang: true}
	one := workload.Step{Count: 1, Need: workload.Resources{CPU: 1000}, Estimate: 100}
	settings := &workload.QueueSettings{MaxFailedRuns: 4}
	raised, lowered := &workload.Resources{CPU: 4000}, &workload.Resources{CPU: 1000}
	for _, row := range []struct {
		name    string
		called  uint64
		address workload.QueueAddress
		cap     *workload.Resources
		step    workload.Step
		want    Outcome
	}{
		{"the daemon has an added route", 6, "h.example/added/", nil, one, OutcomeDone},
		{"the owner has dropped the route", 4, "h.example/dropped/", nil, one, OutcomeNotFound},
		{"both have no such route", 5, "h.example/none/", nil, one, OutcomeNotFound},
		{"the daemon has a raised cap", 6, "h.example/q/", raised, gang, OutcomeDone},
		{"the daemon has a lowered cap", 6, "h.example/q/", lowered, gang, OutcomeInvalid},
		{"the owner has a lowered cap", 4, "h.example/q/", raised, gang, OutcomeInvalid},
		{"the daemon has another cap under the same version", 5, "h.example/q/", raised, gang, OutcomeInvalid},
		{"an earlier release sends no version", 0, "h.example/q/", nil, gang, OutcomeInvalid},
		{"an earlier release sends no cap", 6, "h.example/q/", nil, gang, OutcomeDone},
	} {
		h := rulingHarness(t)
		sub := &workload.Submission{
			ID: id1, Queue: testQueue, Service: testService, Tenant: "a", Steps: []workload.Step{row.step}, Accepted: h.wall,
			Address: row.address, Settings: settings, ConfigVersion: row.called, TenantCap: row.cap,
		}
		r := h.hand(sub)
		if r.Outcome != row.want {
			t.Errorf("%s: outcome %d, want %d", row.name, r.Outcome, row.want)
		}
		if r.Outdated(row.called) {
			t.Errorf("%s: refused by version %d, older than %d", row.name, r.ConfigVersion, row.called)
		}
	}
}

// Guards against work that runs by the settings of an older version than that by which it was
// accepted, until the owner, or the next one, has that version too.
func TestCore_SettingsOfTheNewerVersionHold(t *testing.T) {
	h := rulingHarness(t)
	sub := &workload.Submission{
		ID: id1, Queue: testQueue, Service: testService, Steps: []workload.Step{oneTask(1000)}, Accepted: h.wall,
		Address: "h.example/q/", Settings: &workload.QueueSettings{MaxFailedRuns: 4, Priority: 3}, ConfigVersion: 6,
	}
	if r := h.hand(sub); r.Outcome != OutcomeDone {
		t.Fatalf("outcome %d", r.Outcome)
	}
	check := func(when string, attempts int) {
		t.Helper()
		if got := h.core.jobs[id1].queue.MaxFailedRuns; got != attempts {
			t.Errorf("%s: %d attempts, want %d", when, got, attempts)
		}
	}
	check("accepted", 4)
	h.takeOver()
	check("with the next owner, which is behind as well", 4)
	later := *h.config
	later.Version = 6
	later.Queues = []routing.Queue{h.config.Queues[0]}
	later.Queues[0].MaxFailedRuns = 3
	h.do(func(c *Core) { c.Configure(&later) })
	check("once the owner has the version", 3)
}

// Guards against a submission that runs at the service of a route that was removed: another route
// was added at its address, and the versions of the daemon that was called and of the owner lie on
// either side of that (issue 63, CONFIG).
func TestCore_RouteAddedAtTheAddressOfARemovedOneLeadsToItsOwnService(t *testing.T) {
	removed, none, added := uint64(5), uint64(6), uint64(7)
	for _, row := range []struct {
		name          string
		called, owner uint64
		service       string
		want          Outcome
		moves         bool
	}{
		{"the owner has the removed route", added, removed, otherService, OutcomeForwarded, false},
		{"the owner has neither", added, none, otherService, OutcomeForwarded, false},
		{"both have the added route", added, added, otherService, OutcomeForwarded, false},
		{"the daemon has the removed route, the owner neither", removed, none, testService, OutcomeNotFound, false},
		{"the daemon has the removed route", removed, added, testService, OutcomeDone, true},
	} {
		h := rulingHarness(t)
		h.answerAllPolls()
		h.locateAll(false)
		h.configureThrough(row.owner)
		sub := &workload.Submission{
			ID: id1, Queue: testQueue, Service: row.service, Steps: []workload.Step{oneTask(1000)}, Accepted: h.wall,
			Address: "h.example/q/", Settings: &workload.QueueSettings{MaxFailedRuns: 2}, ConfigVersion: row.called,
		}
		if r := h.hand(sub); r.Outcome != row.want {
			t.Errorf("%s: outcome %d, want %d", row.name, r.Outcome, row.want)
		}
		h.configureThrough(added)
		h.advance(time.Second)
		if n := len(h.takeStarts()); n > 0 {
			t.Errorf("%s: %d starts at the service of the removed route, want none", row.name, n)
		}
		if moves := len(h.handedOver()) > 0; moves != row.moves {
			t.Errorf("%s: handed over to the service of the added route: %t, want %t", row.name, moves, row.moves)
		}
	}
}

// configureThrough applies the versions up to one, of which the sixth has no queue and the seventh
// another queue at the address of the fifth's.
func (h *harness) configureThrough(version uint64) {
	queue := routing.Queue{Name: testQueue, Host: "h.example", PathPrefix: "/q/", Service: otherService, MaxFailedRuns: 2}
	queues := map[uint64][]routing.Queue{6: nil, 7: {queue}}
	for h.config.Version < version {
		h.configure(queues[h.config.Version+1]...)
	}
}

// Guards against occurrences that run by the settings of an older version than that by which their
// schedule was accepted, or than the owner's (issue 63, CONFIG).
func TestCore_OccurrencesFollowTheNewerVersion(t *testing.T) {
	h := rulingHarness(t)
	h.answerAllPolls()
	sub := &workload.Submission{
		ID: id1, Queue: testQueue, Service: testService, Steps: []workload.Step{oneTask(1000)}, Accepted: h.wall,
		FirstRun: h.wall + 1000, Interval: 20 * time.Second, Repeat: 3,
		Address: "h.example/q/", Settings: &workload.QueueSettings{MaxFailedRuns: 4}, ConfigVersion: 6,
	}
	if r := h.hand(sub); r.Outcome != OutcomeDone {
		t.Fatalf("outcome %d", r.Outcome)
	}
	later := *h.config
	later.Version, later.Queues = 7, []routing.Queue{h.config.Queues[0]}
	later.Queues[0].MaxFailedRuns = 3
	number := uint64(0)
	for occurrence, row := range []struct {
		before   func()
		failures int
		runs     int
	}{
		{func() {}, 3, 4},
		{func() { h.takeOver(); h.answerAllPolls() }, 3, 4},
		{func() { h.config = &later; h.do(func(c *Core) { c.Configure(&later) }) }, 4, 3},
	} {
		row.before()
		runs := 0
		for range 200 {
			h.advance(100 * time.Millisecond)
			h.answerAllPolls()
			for _, start := range h.takeStarts() {
				h.confirmStart(start)
				kind := workload.EndFailed
				if runs == row.failures {
					kind = workload.EndDone
				}
				runs++
				number++
				h.endRun(start, kind, number)
			}
		}
		if runs != row.runs {
			t.Errorf("occurrence %d: %d runs of a task that fails %d times, want %d", occurrence+1, runs, row.failures, row.runs)
		}
	}
}
