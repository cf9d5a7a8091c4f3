package gateway_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/currantwinch/currantwinch/internal/gateway"
)

// loadGenerator sends requests in closed loops, through a load balancer that learns
// with a lag which daemons are healthy.
type loadGenerator struct {
	rig       *rig
	calls     sync.WaitGroup
	mu        sync.Mutex
	responses map[string]int
	failures  []callerResponse
	// skip holds the daemons that the load balancer sends no requests to.
	skip map[int]bool
}

// record counts a response. A planned stop may only cause refusals with the verdict
// not_run and a Retry-After.
func (c *loadGenerator) record(p callerResponse) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.responses[p.verdict()+" "+p.reason()]++
	expected := p.verdict() == "ran" || p.verdict() == "not_run" && p.header.Get("Retry-After") != ""
	if !expected {
		c.failures = append(c.failures, p)
	}
}

func (c *loadGenerator) pickDaemon(turn int) *rigDaemon {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i := turn; ; i++ {
		if d := c.rig.daemons[i%len(c.rig.daemons)]; !c.skip[d.index] {
			return d
		}
	}
}

// start starts n callers that send requests for the given time. Every second one
// sends checks, which may not be repeated.
func (c *loadGenerator) start(ctx context.Context, n int, during time.Duration) {
	until := time.Now().Add(during)
	for i := range n {
		c.calls.Go(func() {
			for turn := i; time.Now().Before(until); turn++ {
				d := c.pickDaemon(turn)
				caller := []string{"Caller", string(rune('a' + i%20))}
				if i%2 == 0 {
					c.record(d.send(ctx, "peek", "look", caller...))
				} else if keys := d.post(ctx, "/v1/keys", ""); keys.status == 200 {
					// Some callers fetch their key some time before they use it.
					time.Sleep(time.Duration(i%3) * 300 * time.Millisecond)
					c.record(c.pickDaemon(turn+1).send(ctx, "check", "book", append(caller, "Idempotency-Key", firstKey(keys.body))...))
				}
				time.Sleep(5 * time.Millisecond)
			}
		})
	}
}

// TestStop_LosesNoCall stops backend servers and daemons under load, alone and
// together, with each sign by which daemons learn that a backend server is leaving.
// No call may be lost or refused without a Retry-After, and after 2 s the leaving
// server must get no new requests.
func TestStop_LosesNoCall(t *testing.T) {
	const (
		sign     = time.Second
		lag      = 3 * time.Second
		noNewBy  = 2 * time.Second
		duration = 6 * time.Second
	)
	cases := []struct {
		name   string
		leaves func(r *rig, now time.Time)
		daemon bool
	}{
		{"backend server says so", func(r *rig, now time.Time) { r.backends["b0"].MarkLeaving(now) }, false},
		{"platform's list says so", func(r *rig, now time.Time) { r.markLeaving("b0") }, false},
		{"connections fail", func(r *rig, now time.Time) { r.backends["b0"].SetUnreachable(true) }, false},
		{"daemon stops", func(*rig, time.Time) {}, true},
		{"both at once", func(r *rig, now time.Time) { r.backends["b0"].MarkLeaving(now) }, true},
		{"list and daemon at once", func(r *rig, now time.Time) { r.markLeaving("b0") }, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := newRig(t, rigOptions{daemons: 3, backends: 6, slots: 4, runTime: func(q gateway.Request) time.Duration {
					return time.Duration(len(q.ID)) * time.Millisecond
				}})
				defer r.close()
				waitForBackends()
				load := &loadGenerator{rig: r, responses: map[string]int{}, skip: map[int]bool{}}
				load.start(t.Context(), 30, duration)
				time.Sleep(sign)
				left := time.Now()
				c.leaves(r, left)
				if c.daemon {
					go func() {
						time.Sleep(lag)
						load.mu.Lock()
						load.skip[0] = true
						load.mu.Unlock()
					}()
					if err := r.daemons[0].Stop(t.Context()); err != nil {
						t.Errorf("stop: %v", err)
					}
					t.Logf("daemon stopped after %v", time.Since(left))
					r.reassignShares(0)
				}
				load.calls.Wait()
				for _, p := range load.failures {
					t.Errorf("unexpected response: %d %s", p.status, p.body)
				}
				late := 0
				for _, at := range r.backends["b0"].ArrivalTimes() {
					if at.After(left.Add(noNewBy)) {
						late++
					}
				}
				if late > 0 && c.name != "daemon stops" {
					t.Errorf("the leaving server got %d requests later than %v after the first sign", late, noNewBy)
				}
				if load.responses["ran "] < 1000 {
					t.Errorf("got fewer than 1000 responses with the verdict ran: %v", load.responses)
				}
				t.Logf("%v", load.responses)
				r.checkSlots()
			})
		})
	}
}
