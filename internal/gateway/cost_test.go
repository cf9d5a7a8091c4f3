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
	costDaemons  = 9
	costBackends = 27
	costCallers  = 90
	costRun      = 30 * time.Millisecond
	costLasts    = 12 * time.Second
	costCrash    = 4 * time.Second
	// costTakeOver is how long the dead daemon's shares have no owner.
	costTakeOver = 5 * time.Second
	// intentEvery keeps nine daemons within 40% of 300 appends a second.
	intentEvery = 75 * time.Millisecond
	intentTakes = 44 * time.Millisecond
)

// intentLog is the way not taken: every request that may not be repeated is
// first recorded in the log, in batches.
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
	time.Sleep(intentEvery)
	l.mu.Lock()
	l.waiting = nil
	l.appends++
	l.mu.Unlock()
	time.Sleep(intentTakes)
	close(batch)
}

var measure = flag.Bool("measure", false, "run the measurements in virtual time")

// cost is what one way to keep requests from running twice costs.
type cost struct {
	latency *hdrhistogram.Histogram
	jobs    int
	may     int
	appends int
	crossed float64
}

// TestCost_AtMostOnce compares the memory of key owners with batched intents
// in the log, over a crash of one of nine daemons:
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
			c := measureOnce(t, i > 0 && !way.intents, way.sticky, way.intents)
			t.Logf("%-42s %8v %8v %9.1f %10.0f %7d/%d", way.name,
				time.Duration(c.latency.ValueAtQuantile(50)).Round(100*time.Microsecond),
				time.Duration(c.latency.ValueAtQuantile(99)).Round(100*time.Microsecond),
				float64(c.appends)/costLasts.Seconds(), c.crossed, c.may, c.jobs)
		})
	}
}

func measureOnce(t *testing.T, keyed, sticky, intents bool) cost {
	var logs []*intentLog
	o := rigOptions{daemons: costDaemons, backends: costBackends, slots: 8, runTime: runFor(costRun)}
	if intents {
		o.wrap = func(b gateway.Backends) gateway.Backends {
			l := &intentLog{Backends: b}
			logs = append(logs, l)
			return l
		}
	}
	r := newRig(t, o)
	defer r.close()
	settle()
	r.mu.Lock()
	clear(r.bytes)
	r.mu.Unlock()
	c := cost{latency: hdrhistogram.New(1, int64(time.Minute), 3)}
	var mu sync.Mutex
	var calls sync.WaitGroup
	ctx, crash := context.WithCancel(t.Context())
	until := time.Now().Add(costLasts)
	for i := range costCallers {
		calls.Go(func() {
			for turn := 0; time.Now().Before(until); turn++ {
				start := time.Now()
				v := costJob(t, ctx, r, keyed, sticky, i+turn)
				if v == "cut" && intents {
					// An intent without an outcome.
					v = "may_have_run"
				}
				mu.Lock()
				c.jobs++
				if v == "may_have_run" {
					c.may++
				} else if v == "ran" {
					_ = c.latency.RecordValue(int64(time.Since(start)))
				}
				mu.Unlock()
				time.Sleep(70 * time.Millisecond)
			}
		})
	}
	time.Sleep(costCrash)
	crash()
	r.kill(0)
	time.Sleep(costTakeOver)
	r.takeOver(0)
	calls.Wait()
	r.mu.Lock()
	c.crossed = float64(r.bytes["cross"]) / float64(c.jobs)
	r.mu.Unlock()
	for _, l := range logs {
		c.appends += l.appends
		// Two thirds of appends cross regions, and six daemons outside the
		// log's region read each record.
		c.crossed += float64(l.bytes) * (6.0/9 + 6) / float64(c.jobs)
	}
	return c
}

// costJob has one job done, again and again under the same key until its fate
// is known. The daemon that crashes cuts off its callers.
func costJob(t *testing.T, crash context.Context, r *rig, keyed, sticky bool, turn int) string {
	kind, header, cut := "peek", []string{}, false
	d := r.up(turn)
	if keyed {
		kind = "check"
		key := firstKey(d.do(t.Context(), "/v1/keys", "").body)
		if key == "" {
			return "no key"
		}
		header = []string{"Idempotency-Key", key}
		if !sticky {
			d = r.up(turn*7 + 3)
		}
	}
	for range 8 {
		ctx := t.Context()
		if d.index == 0 {
			ctx = crash
		}
		p := d.ask(ctx, kind, "job", header...)
		switch {
		case d.index == 0 && crash.Err() != nil:
			// The caller saw nothing but a broken connection.
			cut = true
		case cut && !keyed:
			return "cut"
		case p.verdict() != "not_run":
			return p.verdict()
		}
		time.Sleep(200 * time.Millisecond)
		turn++
		d = r.up(turn)
	}
	return "given up"
}

// up returns a daemon that the balancer sends callers to.
func (r *rig) up(turn int) *rigDaemon {
	r.mu.Lock()
	defer r.mu.Unlock()
	for ; ; turn++ {
		if d := r.daemons[turn%len(r.daemons)]; !r.down[d.self.Name] {
			return d
		}
	}
}

// takeOver gives the shares of a daemon to the others.
func (r *rig) takeOver(daemon int) {
	r.mu.Lock()
	var shares []cluster.Share
	for share, owner := range r.owner {
		if owner == daemon {
			shares = append(shares, share)
		}
	}
	r.mu.Unlock()
	for i, share := range shares {
		r.give(share, 1+i%(len(r.daemons)-1))
	}
}
