package gateway_test

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/currantwinch/currantwinch/cluster"
	"github.com/currantwinch/currantwinch/internal/gateway"
	"github.com/currantwinch/currantwinch/internal/standin/backendstandin"
	"github.com/currantwinch/currantwinch/verdict"
)

// seeds is the number of seeds that random tests run. The full number:
//
//	go test -run TestOnce ./internal/gateway -seeds 50
var seeds = flag.Uint64("seeds", 10, "seeds of random tests")

const (
	onceShortSeeds = 3
	onceDaemons    = 5
	onceCallers    = 24
	onceDuration   = 6 * time.Second
)

// oneTimeJob is a job that must run at most once, under one key or, after a response
// with the verdict not_run, under a new one.
type oneTimeJob struct {
	body      string
	keys      []string
	responses []string
	answered  int
}

// faultTest runs concurrent callers while faults are injected.
type faultTest struct {
	rig  *rig
	mu   sync.Mutex
	rand *rand.Rand
	jobs []*oneTimeJob
}

func (o *faultTest) intN(n int) int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.rand.IntN(n)
}

// reachableDaemon returns a random daemon that callers can reach.
func (o *faultTest) reachableDaemon() *rigDaemon {
	for {
		d := o.rig.daemons[o.intN(onceDaemons)]
		o.rig.mu.Lock()
		down := o.rig.down[d.self.Name]
		o.rig.mu.Unlock()
		if !down {
			return d
		}
	}
}

// runJob sends one job until its verdict is known or the caller gives up.
func (o *faultTest) runJob(ctx context.Context, j *oneTimeJob) {
	key := ""
	for range 1 + o.intN(5) {
		if key == "" {
			keys := o.reachableDaemon().post(ctx, "/v1/keys", "")
			if key = firstKey(keys.body); key == "" {
				continue
			}
			j.keys = append(j.keys, key)
		}
		timeout := time.Duration(5+o.intN(400)) * time.Millisecond
		if o.intN(3) == 0 {
			timeout = 10 * time.Second
		}
		callCtx, cancel := context.WithTimeout(ctx, timeout)
		p := o.reachableDaemon().send(callCtx, "check", j.body, "Idempotency-Key", key)
		disconnected := callCtx.Err() != nil
		cancel()
		if disconnected {
			// The caller did not see the response, so it may only retry with the
			// same key.
			j.responses = append(j.responses, "gone")
			continue
		}
		j.responses = append(j.responses, p.verdict()+" "+p.reason())
		switch {
		case p.verdict() == "ran" && p.body != j.body:
			o.rig.t.Errorf("job %s got the response %q", j.body, p.body)
		case p.verdict() == "ran":
			j.answered++
			return
		case p.verdict() == "not_run" && o.intN(2) == 0:
			key = ""
		}
		time.Sleep(time.Duration(o.intN(100)) * time.Millisecond)
	}
}

// injectFault injects one random fault or ends one.
func (o *faultTest) injectFault() {
	r := o.rig
	switch o.intN(6) {
	case 0:
		r.setOwner(cluster.Share{Kind: cluster.ShareKey, Name: fmt.Sprint(o.intN(cluster.KeyShareCount))}, o.intN(onceDaemons))
	case 1:
		r.setOwner(cluster.BackendShare(r.vms[o.intN(len(r.vms))]), o.intN(onceDaemons))
	case 2:
		r.mu.Lock()
		clear(r.down)
		r.mu.Unlock()
		r.kill(o.intN(onceDaemons))
	case 3:
		r.mu.Lock()
		clear(r.down)
		r.mu.Unlock()
	case 4:
		r.setLog(verdict.New(verdict.MayHaveRun, "log_down", "down"))
	case 5:
		r.setLog(nil)
	}
}

// TestOnce_UnderFaults lets callers retry through any daemon while shares change
// owners, daemons become unreachable, backend servers fail, responses are lost and
// the log is down. It compares the runs on the backend servers with the responses
// to callers and with the bills in the log.
func TestOnce_UnderFaults(t *testing.T) {
	n := *seeds
	if testing.Short() {
		n = onceShortSeeds
	}
	for seed := range n {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { onceUnderFaults(t, seed) })
		})
	}
}

func onceUnderFaults(t *testing.T, seed uint64) {
	o := &faultTest{rand: rand.New(rand.NewPCG(seed, 2))}
	faulty := func(_ string, _ gateway.Request) backendstandin.Fault {
		if o.intN(10) > 0 {
			return backendstandin.FaultNone
		}
		all := backendstandin.Faults()
		return all[o.intN(len(all))]
	}
	o.rig = newRig(t, rigOptions{
		daemons: onceDaemons, backends: 6, slots: 2, fault: faulty,
		runTime: func(gateway.Request) time.Duration { return time.Duration(1+o.intN(60)) * time.Millisecond },
	})
	o.rig.mu.Lock()
	o.rig.loseResponses = func() bool { return o.intN(20) == 0 }
	o.rig.mu.Unlock()
	defer o.rig.close()
	waitForBackends()
	var calls sync.WaitGroup
	until := time.Now().Add(onceDuration)
	for range onceCallers {
		calls.Go(func() {
			for time.Now().Before(until) {
				j := &oneTimeJob{}
				o.mu.Lock()
				j.body = fmt.Sprintf("job %d", len(o.jobs))
				o.jobs = append(o.jobs, j)
				o.mu.Unlock()
				o.runJob(t.Context(), j)
			}
		})
	}
	for time.Now().Before(until) {
		time.Sleep(time.Duration(o.intN(300)) * time.Millisecond)
		o.injectFault()
	}
	calls.Wait()
	o.rig.heal()
	time.Sleep(20 * time.Second)
	o.check(t)
}

// check compares the responses and the bills with the runs.
func (o *faultTest) check(t *testing.T) {
	runs := map[string]int{}
	for _, run := range o.rig.runs() {
		runs[run.Key]++
	}
	bills, answered := o.rig.bills(), 0
	for _, j := range o.jobs {
		total, billed := 0, 0
		for _, key := range j.keys {
			total += runs[key]
			if _, ok := bills[key]; ok {
				billed++
			}
		}
		if total > 1 {
			t.Errorf("%s ran %d times: keys %v, replies %v", j.body, total, j.keys, j.responses)
		}
		if j.answered > 0 && (total != 1 || billed < 1) {
			t.Errorf("%s was answered but ran %d times and has %d bills: %v", j.body, total, billed, j.responses)
		}
		answered += j.answered
	}
	if answered < len(o.jobs)/4 {
		t.Errorf("only %d of %d jobs were answered", answered, len(o.jobs))
	}
	o.rig.checkSlots()
}
