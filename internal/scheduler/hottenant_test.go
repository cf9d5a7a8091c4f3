package scheduler

import (
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/currantwinch/currantwinch/routing"
	"github.com/currantwinch/currantwinch/workload"
)

const (
	loadStep    = 10 * time.Millisecond
	loadRunTime = 500 * time.Millisecond
	// loadCPU and loadTasks make a submission 6 core-seconds.
	loadCPU, loadTasks = 4000, 3
	// A caller tries so often, and for so long.
	loadRetries = 4
	loadBudget  = 3 * time.Second
)

// loadRun is a run on a server of a tenantLoad.
type loadRun struct {
	start StartTask
	until time.Time
}

// tenantLoad plays callers of several tenants and servers that run what is started.
type tenantLoad struct {
	*harness
	began   time.Time
	running map[string][]loadRun
	ends    map[string][]RunEnd
	number  map[string]uint64
	sent    int
	due     []loadCall
	arrived map[string]loadCall
	// waits holds, by tenant, the times from the first call to the first start, queued those
	// from the call that was accepted, and refused the submissions that were refused to the
	// last.
	waits, queued map[string][]time.Duration
	refused       map[string]int
}

// loadCall is a call that is due. First is when the submission was sent first.
type loadCall struct {
	at, first time.Time
	tenant    string
	id        string
	tries     int
}

func newTenantLoad(t *testing.T, servers int, tenants ...routing.Tenant) *tenantLoad {
	w := &tenantLoad{
		harness: newHarness(t, servers), running: make(map[string][]loadRun), ends: make(map[string][]RunEnd), number: make(map[string]uint64),
		arrived: make(map[string]loadCall), waits: make(map[string][]time.Duration), queued: make(map[string][]time.Duration), refused: make(map[string]int),
	}
	w.answerAllPolls()
	if len(tenants) > 0 {
		w.setTenants(tenants...)
	}
	w.began = w.now
	return w
}

// send plans the submissions of a tenant between two times.
func (w *tenantLoad) send(tenant string, perSecond float64, from, to time.Duration) {
	// The phase differs by tenant, so that not all send at once.
	phase := time.Duration(len(w.due)%97) * time.Millisecond
	for i := 0; ; i++ {
		at := from + phase + time.Duration(float64(i)/perSecond*float64(time.Second))
		if at >= to {
			return
		}
		w.sent++
		w.due = append(w.due, loadCall{at: w.began.Add(at), first: w.began.Add(at), tenant: tenant, id: tenantID(w.sent)})
	}
}

// play lets time pass.
func (w *tenantLoad) play(d time.Duration) {
	for end := w.now.Add(d); w.now.Before(end); {
		w.pass(loadStep)
		slices.SortStableFunc(w.due, func(x, y loadCall) int { return x.at.Compare(y.at) })
		for len(w.due) > 0 && !w.due[0].at.After(w.now) {
			call := w.due[0]
			w.due = w.due[1:]
			w.call(call)
		}
		w.endRuns()
		if w.now.Sub(w.began)%tickInterval == 0 {
			w.do(func(c *Core) { c.Tick() })
		}
		w.carryOut()
	}
}

func (w *tenantLoad) call(call loadCall) {
	reply := w.submitAs(call.tenant, call.id, workload.Step{
		Count: loadTasks, Need: workload.Resources{CPU: loadCPU, MemoryMB: 10}, Estimate: loadRunTime,
	})
	switch {
	case reply.Outcome == OutcomeDone:
		w.arrived[call.id] = call
	case call.tries < loadRetries && w.now.Add(msDuration(reply.RetryAfterMS)).Sub(call.first) <= loadBudget:
		call.tries++
		call.at = w.now.Add(msDuration(reply.RetryAfterMS))
		w.due = append(w.due, call)
	default:
		w.refused[call.tenant]++
	}
}

// endRuns lets the servers list the runs that have ended.
func (w *tenantLoad) endRuns() {
	for _, s := range w.servers {
		poll, polled := w.polls[s.ID]
		var left []loadRun
		list := PollResponse{ClockMS: w.clock(), StartedAtMS: 1000}
		for _, r := range w.running[s.ID] {
			if !r.until.After(w.now) {
				w.number[s.ID]++
				w.ends[s.ID] = append(w.ends[s.ID], endOf(r.start, w.number[s.ID], workload.EndDone))
				continue
			}
			left = append(left, r)
			list.Running = append(list.Running, runOf(r.start))
		}
		w.running[s.ID] = left
		if polled && len(w.ends[s.ID]) > 0 {
			list.Ended, w.ends[s.ID] = w.ends[s.ID], nil
			delete(w.polls, s.ID)
			w.do(func(c *Core) { c.PollCompleted(poll.To, w.now, list, nil) })
		}
	}
}

// carryOut lets the servers take the starts that were ordered.
func (w *tenantLoad) carryOut() {
	for starts := w.takeStarts(); len(starts) > 0; starts = w.takeStarts() {
		for _, s := range starts {
			w.running[s.To.ID] = append(w.running[s.To.ID], loadRun{s, w.now.Add(loadRunTime)})
			if call, first := w.arrived[s.Order.Task.Submission]; first {
				delete(w.arrived, call.id)
				w.waits[call.tenant] = append(w.waits[call.tenant], w.now.Sub(call.first))
				w.queued[call.tenant] = append(w.queued[call.tenant], w.now.Sub(call.at))
			}
			w.confirmStart(s)
		}
	}
}

// quantile returns a quantile of the times of tenants.
func quantile(times map[string][]time.Duration, q float64, tenants ...string) time.Duration {
	var all []time.Duration
	for _, name := range tenants {
		all = append(all, times[name]...)
	}
	slices.Sort(all)
	if len(all) == 0 {
		return 0
	}
	return all[int(q*float64(len(all)-1))]
}

// Guards against the incident that a tenant at seven times its usual rate delays the work
// of all others: it takes 131% of the capacity together with them. What it sends beyond its
// rate must wait and be refused, and the others must start as they do without it.
func TestCore_HotTenantPaysForItsExcessItself(t *testing.T) {
	const rate, tenants, span = 5.0, 8, 20 * time.Second
	names := make([]string, tenants)
	var entitled []routing.Tenant
	for i := range names {
		names[i] = "t" + strconv.Itoa(i)
		entitled = append(entitled, routing.Tenant{Name: names[i], Weight: rate * 1.2})
	}
	others := names[1:]
	run := func(factor float64, tenancy ...routing.Tenant) *tenantLoad {
		w := newTenantLoad(t, 10, tenancy...)
		for _, name := range others {
			w.send(name, rate, 0, span)
		}
		w.send(names[0], rate, 0, 4*time.Second)
		w.send(names[0], factor*rate, 4*time.Second, 14*time.Second)
		w.send(names[0], rate, 14*time.Second, span)
		w.play(span + 5*time.Second)
		return w
	}
	usual, hot, unprotected := run(1, entitled...), run(7, entitled...), run(7)
	for name, w := range map[string]*tenantLoad{"usual": usual, "hot": hot, "hot, no tenants": unprotected} {
		t.Logf("%s: others wait %v (median), %v (95%%), %v (most), %d refused; tenant 0 waits %v, %v, %v, %d started, %d refused, queued %v (most)", name,
			quantile(w.waits, 0.5, others...), quantile(w.waits, 0.95, others...), quantile(w.waits, 1, others...), sum(w.refused, others),
			quantile(w.waits, 0.5, names[0]), quantile(w.waits, 0.95, names[0]), quantile(w.waits, 1, names[0]), len(w.waits[names[0]]), w.refused[names[0]], quantile(w.queued, 1, names[0]))
	}
	if n := sum(hot.refused, others); n > 0 {
		t.Errorf("%d submissions of other tenants were refused", n)
	}
	if got, want := quantile(hot.waits, 0.95, others...), quantile(usual.waits, 0.95, others...)+loadRunTime/5; got > want {
		t.Errorf("95%% of the other tenants' submissions start within %v beside a hot tenant, want %v", got, want)
	}
	if got, want := quantile(hot.waits, 1, others...), quantile(usual.waits, 1, others...)+loadRunTime; got > want {
		t.Errorf("a submission of another tenant starts after %v beside a hot tenant, want at most %v: a run of excess that has begun is not killed", got, want)
	}
	for _, name := range others {
		if got, want := len(hot.waits[name]), len(usual.waits[name]); got < want {
			t.Errorf("tenant %s: %d submissions started beside a hot tenant, want %d", name, got, want)
		}
	}
	if got, least := len(hot.waits[names[0]]), int(rate*span.Seconds()); got < least {
		t.Errorf("%d submissions of the hot tenant started, want its usual %d at least", got, least)
	}
	useless := uselessFactor * (loadRunTime*3/2 + 400*time.Millisecond)
	if got := quantile(hot.queued, 1, names[0]); hot.refused[names[0]] == 0 || got > useless+loadRunTime {
		t.Errorf("%d of the hot tenant's submissions were refused, and one that was accepted started after %v, want refusals of what cannot start within %v",
			hot.refused[names[0]], got, useless)
	}
	if quantile(unprotected.waits, 0.95, others...) <= quantile(hot.waits, 0.95, others...) && sum(unprotected.refused, others) == 0 {
		t.Error("the load does no harm without tenants, so that this test shows nothing")
	}
}

func sum(counts map[string]int, names []string) (n int) {
	for _, name := range names {
		n += counts[name]
	}
	return n
}
