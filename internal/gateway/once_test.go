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

// seeds is how many seeds random tests run. All of them:
//
//	go test -run TestOnce ./internal/gateway -seeds 50
var seeds = flag.Uint64("seeds", 10, "seeds of random tests")

const (
	onceShort   = 3
	onceDaemons = 5
	onceCallers = 24
	onceLasts   = 6 * time.Second
)

// job is one thing that a caller wants done once, under one key or, after a
// refusal as not run, under a new one.
type job struct {
	body    string
	keys    []string
	replies []string
	ran     int
}

// onceTest is a crowd of callers amid faults.
type onceTest struct {
	rig  *rig
	mu   sync.Mutex
	rand *rand.Rand
	jobs []*job
}

func (o *onceTest) intN(n int) int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.rand.IntN(n)
}

// upDaemon returns a daemon that callers can reach.
func (o *onceTest) upDaemon() *rigDaemon {
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

// call asks for one job until its fate is known or the caller gives up.
func (o *onceTest) call(ctx context.Context, j *job) {
	key := ""
	for range 1 + o.intN(5) {
		if key == "" {
			keys := o.upDaemon().do(ctx, "/v1/keys", "")
			if key = firstKey(keys.body); key == "" {
				continue
			}
			j.keys = append(j.keys, key)
		}
		patience := time.Duration(5+o.intN(400)) * time.Millisecond
		if o.intN(3) == 0 {
			patience = 10 * time.Second
		}
		callCtx, cancel := context.WithTimeout(ctx, patience)
		p := o.upDaemon().ask(callCtx, "check", j.body, "Idempotency-Key", key)
		gone := callCtx.Err() != nil
		cancel()
		if gone {
			// The caller did not see the answer: it may only use the same key.
			j.replies = append(j.replies, "gone")
			continue
		}
		j.replies = append(j.replies, p.verdict()+" "+p.reason())
		switch {
		case p.verdict() == "ran" && p.body != j.body:
			o.rig.t.Errorf("job %s got the answer %q", j.body, p.body)
		case p.verdict() == "ran":
			j.ran++
			return
		case p.verdict() == "not_run" && o.intN(2) == 0:
			key = ""
		}
		time.Sleep(time.Duration(o.intN(100)) * time.Millisecond)
	}
}

// disturb does one thing that goes wrong.
func (o *onceTest) disturb() {
	r := o.rig
	switch o.intN(6) {
	case 0:
		r.give(cluster.Share{Kind: cluster.ShareKey, Name: fmt.Sprint(o.intN(cluster.KeyShareCount))}, o.intN(onceDaemons))
	case 1:
		r.give(cluster.BackendShare(r.vms[o.intN(len(r.vms))]), o.intN(onceDaemons))
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

// TestOnce_UnderFaults lets callers retry through any daemon while shares
// change hands, daemons are cut off, backend servers go wrong, answers are
// lost and the log goes down. The observer sees what ran on the backend
// servers, and what callers and the log were told.
func TestOnce_UnderFaults(t *testing.T) {
	n := *seeds
	if testing.Short() {
		n = onceShort
	}
	for seed := range n {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { onceUnderFaults(t, seed) })
		})
	}
}

func onceUnderFaults(t *testing.T, seed uint64) {
	o := &onceTest{rand: rand.New(rand.NewPCG(seed, 2))}
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
	o.rig.loseAnswers = func() bool { return o.intN(20) == 0 }
	o.rig.mu.Unlock()
	defer o.rig.close()
	settle()
	var calls sync.WaitGroup
	until := time.Now().Add(onceLasts)
	for range onceCallers {
		calls.Go(func() {
			for time.Now().Before(until) {
				j := &job{}
				o.mu.Lock()
				j.body = fmt.Sprintf("job %d", len(o.jobs))
				o.jobs = append(o.jobs, j)
				o.mu.Unlock()
				o.call(t.Context(), j)
			}
		})
	}
	for time.Now().Before(until) {
		time.Sleep(time.Duration(o.intN(300)) * time.Millisecond)
		o.disturb()
	}
	calls.Wait()
	o.rig.heal()
	time.Sleep(20 * time.Second)
	o.check(t)
}

// check compares what callers and the log were told with what ran.
func (o *onceTest) check(t *testing.T) {
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
			t.Errorf("%s ran %d times: keys %v, replies %v", j.body, total, j.keys, j.replies)
		}
		if j.ran > 0 && (total != 1 || billed < 1) {
			t.Errorf("%s was answered but ran %d times and has %d bills: %v", j.body, total, billed, j.replies)
		}
		answered += j.ran
	}
	if answered < len(o.jobs)/4 {
		t.Errorf("only %d of %d jobs were answered", answered, len(o.jobs))
	}
	o.rig.checkSlots()
}
