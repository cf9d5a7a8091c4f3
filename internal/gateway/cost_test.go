package gateway_test

import (
	"context"
	"flag"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/currantwinch/currantwinch/cluster"
	"github.com/currantwinch/currantwinch/internal/gateway"
	"github.com/currantwinch/currantwinch/record"
	"github.com/currantwinch/currantwinch/verdict"
)

const (
	costDaemons    = 9
	costBackends   = 27
	costCallers    = 90
	costRunTime    = 30 * time.Millisecond
	costDuration   = 12 * time.Second
	costCrashAfter = 4 * time.Second
	// costTakeOverAfter is how long the failed daemon's shares have no owner.
	costTakeOverAfter = 5 * time.Second
	// intentBatchInterval keeps the appends of nine daemons within 40% of
	// 300 a second.
	intentBatchInterval = 75 * time.Millisecond
	intentAppendTime    = 44 * time.Millisecond
)

// intentLog is the alternative that the gateway is compared with: every request
// that may not be repeated is first recorded in the log, in batches.
type intentLog struct {
	gateway.Backends
	mu      sync.Mutex
	waiting chan struct{}
	appends int
	bytes   int
}

func (l *intentLog) Send(ctx context.Context, vm cluster.VM, r gateway.Request) (gateway.Response, error) {
	data, err := record.Encode(record.Record{Key: "intent/" + r.Key, Kind: record.KindBill, Bill: &record.Bill{
		RequestKey: r.Key, Service: r.Service, Team: "red", Revision: 7, Caller: r.Caller, Kind: r.Kind,
	}})
	if err != nil {
		return gateway.Response{}, verdict.Wrap(err, verdict.NotRun, "malformed")
	}
	l.mu.Lock()
	l.bytes += len(data)
	if l.waiting == nil {
		l.waiting = make(chan struct{})
		go l.append(l.waiting)
	}
	batch := l.waiting
	l.mu.Unlock()
	<-batch
	return l.Backends.Send(ctx, vm, r)
}

func (l *intentLog) append(batch chan struct{}) {
	time.Sleep(intentBatchInterval)
	l.mu.Lock()
	l.waiting = nil
	l.appends++
	l.mu.Unlock()
	time.Sleep(intentAppendTime)
	close(batch)
}

var measure = flag.Bool("measure", false, "run the measurements in virtual time")

// cost is the measured cost of one way to run requests at most once.
type cost struct {
	latency          *hdrhistogram.Histogram
	jobs             int
	mayHaveRun       int
	appends          int
	crossRegionBytes float64
}

// TestCost_AtMostOnce compares the key owners' tables with batched intents in the
// log, while one of nine daemons crashes:
//
//	go test -run TestCost_AtMostOnce -v ./internal/gateway -measure
func TestCost_AtMostOnce(t *testing.T) {
	if !*measure {
		t.Skip("a measurement: run it with -measure")
	}
	ways := []struct {
		name            string
		sticky, intents bool
	}{
		{"no protection, no key", false, false},
		{"key owner, same daemon issues and takes", true, false},
		{"key owner, any daemon issues and takes", false, false},
		{"batched intents in the log", false, true},
	}
	t.Logf("%-42s %8s %8s %9s %10s %12s", "way", "p50", "p99", "appends/s", "cross B/rq", "may have run")
	for i, way := range ways {
		synctest.Test(t, func(t *testing.T) {
			c := measureCost(t, i > 0 && !way.intents, way.sticky, way.intents)
			t.Logf("%-42s %8v %8v %9.1f %10.0f %7d/%d", way.name,
				time.Duration(c.latency.ValueAtQuantile(50)).Round(100*time.Microsecond),
				time.Duration(c.latency.ValueAtQuantile(99)).Round(100*time.Microsecond),
				float64(c.appends)/costDuration.Seconds(), c.crossRegionBytes, c.mayHaveRun, c.jobs)
		})
	}
}

func measureCost(t *testing.T, keyed, sticky, intents bool) cost {
	var logs []*intentLog
	o := rigOptions{daemons: costDaemons, backends: costBackends, slots: 8, runTime: runFor(costRunTime)}
	if intents {
		o.wrap = func(b gateway.Backends) gateway.Backends {
			l := &intentLog{Backends: b}
			logs = append(logs, l)
			return l
		}
	}
	r := newRig(t, o)
	defer r.close()
	waitForBackends()
	r.mu.Lock()
	clear(r.bytes)
	r.mu.Unlock()
	c := cost{latency: hdrhistogram.New(1, int64(time.Minute), 3)}
	var mu sync.Mutex
	var calls sync.WaitGroup
	ctx, crash := context.WithCancel(t.Context())
	until := time.Now().Add(costDuration)
	for i := range costCallers {
		calls.Go(func() {
			for turn := 0; time.Now().Before(until); turn++ {
				start := time.Now()
				v := runCostJob(t, ctx, r, keyed, sticky, i+turn)
				if v == "cut" && intents {
					// An intent without an outcome.
					v = "may_have_run"
				}
				mu.Lock()
				c.jobs++
				if v == "may_have_run" {
					c.mayHaveRun++
				} else if v == "ran" {
					_ = c.latency.RecordValue(int64(time.Since(start)))
				}
				mu.Unlock()
				time.Sleep(70 * time.Millisecond)
			}
		})
	}
	time.Sleep(costCrashAfter)
	crash()
	r.kill(0)
	time.Sleep(costTakeOverAfter)
	r.reassignShares(0)
	calls.Wait()
	r.mu.Lock()
	c.crossRegionBytes = float64(r.bytes["cross"]) / float64(c.jobs)
	r.mu.Unlock()
	for _, l := range logs {
		c.appends += l.appends
		// Two thirds of the appends cross regions, and the six daemons outside
		// the log's region read each record.
		c.crossRegionBytes += float64(l.bytes) * (6.0/9 + 6) / float64(c.jobs)
	}
	return c
}

// runCostJob sends one job, and retries it with the same key until its verdict is
// known. Callers of the daemon that crashes lose their connection.
func runCostJob(t *testing.T, crash context.Context, r *rig, keyed, sticky bool, turn int) string {
	kind, header, disconnected := "peek", []string{}, false
	d := r.reachableDaemon(turn)
	if keyed {
		kind = "check"
		key := firstKey(d.post(t.Context(), "/v1/keys", "").body)
		if key == "" {
			return "no key"
		}
		header = []string{"Idempotency-Key", key}
		if !sticky {
			d = r.reachableDaemon(turn*7 + 3)
		}
	}
	for range 8 {
		ctx := t.Context()
		if d.index == 0 {
			ctx = crash
		}
		p := d.send(ctx, kind, "job", header...)
		switch {
		case d.index == 0 && crash.Err() != nil:
			// The caller lost its connection.
			disconnected = true
		case disconnected && !keyed:
			return "cut"
		case p.verdict() != "not_run":
			return p.verdict()
		}
		time.Sleep(200 * time.Millisecond)
		turn++
		d = r.reachableDaemon(turn)
	}
	return "given up"
}

// reachableDaemon returns a daemon that callers can reach, starting at turn.
func (r *rig) reachableDaemon(turn int) *rigDaemon {
	r.mu.Lock()
	defer r.mu.Unlock()
	for ; ; turn++ {
		if d := r.daemons[turn%len(r.daemons)]; !r.down[d.self.Name] {
			return d
		}
	}
}

// reassignShares assigns the shares of a daemon to the others.
func (r *rig) reassignShares(daemon int) {
	r.mu.Lock()
	var shares []cluster.Share
	for share, owner := range r.owner {
		if owner == daemon {
			shares = append(shares, share)
		}
	}
	r.mu.Unlock()
	for i, share := range shares {
		r.setOwner(share, 1+i%(len(r.daemons)-1))
	}
}
