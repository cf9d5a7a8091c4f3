package host_test

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/currantwinch/currantwinch/internal/events"
	"github.com/currantwinch/currantwinch/internal/scheduler"
	"github.com/currantwinch/currantwinch/partition"
	"github.com/currantwinch/currantwinch/platform"
	"github.com/currantwinch/currantwinch/platform/standin"
	"github.com/currantwinch/currantwinch/routing"
	"github.com/currantwinch/currantwinch/workload"
)

// noPolicy has no daemon that could ask a policy service.
type noPolicy struct{}

func (noPolicy) Count() int { return 0 }

func (noPolicy) Acquire(time.Duration) (scheduler.PolicyClient, time.Duration, func(error)) {
	return nil, 0, func(error) {}
}

// cutTransport reaches no address that is cut.
type cutTransport struct {
	http.RoundTripper
	mu  sync.Mutex
	cut map[string]bool
}

func (c *cutTransport) set(address string, cut bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cut[address] = cut
}

// RoundTrip implements http.RoundTripper.
func (c *cutTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	c.mu.Lock()
	cut := c.cut[r.URL.Host]
	c.mu.Unlock()
	if cut {
		<-r.Context().Done()
		return nil, r.Context().Err()
	}
	return c.RoundTripper.RoundTrip(r)
}

// newTestEngine returns the scheduler of a daemon that sees the given servers.
func (s *deployment) newTestEngine(daemon string, servers ...scheduler.ServerInfo) *scheduler.Engine {
	return scheduler.NewEngine(s.engineOptions(daemon, platform.NewHTTPClient(), servers...))
}

func (s *deployment) engineOptions(daemon string, client *http.Client, servers ...scheduler.ServerInfo) scheduler.EngineOptions {
	config := &routing.Configuration{
		Version: 1, Services: map[string]routing.Service{"pool": {Name: "pool"}},
		Queues: []routing.Queue{{Name: "r", Service: "pool", MaxFailedRuns: 2, Stretch: 2}},
	}
	return scheduler.EngineOptions{
		Log: platform.NewStore(client, s.address, "g", "keyed.submissions"), Partition: partition.ID{Topic: "keyed.submissions"}, Daemon: daemon,
		Bounds:  scheduler.Bounds{MaxLease: 6 * time.Second, StatusRetention: time.Minute, ReuseAfter: 2 * time.Second},
		Servers: platform.NewServerClient(client), Policy: noPolicy{}, Config: func() *routing.Configuration { return config },
		LeaseValid: func() bool { return true },
		Watch: func(ctx context.Context, whole func([]scheduler.ServerInfo)) error {
			whole(servers)
			<-ctx.Done()
			return nil
		},
		Events: events.Discard(), Metrics: scheduler.NewMetrics(metrics.NewSet()), Now: time.Now, Wall: func() int64 { return time.Now().UnixMilli() },
	}
}

// runningEngine is an Engine that runs until stop.
type runningEngine struct {
	*scheduler.Engine
	cancel context.CancelFunc
	done   chan struct{}
}

func run(t *testing.T, e *scheduler.Engine) runningEngine {
	ctx, cancel := context.WithCancel(t.Context())
	r := runningEngine{e, cancel, make(chan struct{})}
	go func() {
		defer close(r.done)
		_ = e.Run(ctx, func() {})
	}()
	return r
}

// stop ends the Engine and waits for it.
func (r runningEngine) stop() {
	r.cancel()
	<-r.done
}

// decided reports whether the Engine owns the partition or has ended.
func (r runningEngine) decided() bool {
	select {
	case <-r.done:
		return true
	default:
		return r.Epoch() > 0
	}
}

// addSlowServers adds servers whose runs take a minute, and returns their entries.
func (s *deployment) addSlowServers(n int) []scheduler.ServerInfo {
	var seen []scheduler.ServerInfo
	for i := range n {
		server := standin.NewServer(fmt.Sprintf("i-%d", i), time.Minute)
		s.servers = append(s.servers, server)
		seen = append(seen, scheduler.ServerInfo{
			ID: server.ID, Service: "pool", Address: s.serve(server), Capacity: workload.Resources{CPU: 4000, MemoryMB: 8000},
			Labels: []string{"a", "r1"}, StartedAtMS: server.Born(),
		})
	}
	return seen
}

// slowTask is the task that submitSlowTask submits.
const slowTask = id + ".0.0.0"

func (r runningEngine) submitSlowTask(t *testing.T) {
	t.Helper()
	sub := &workload.Submission{
		ID: id, Queue: "r", Service: "pool", Spec: "x", Accepted: time.Now().UnixMilli(),
		Steps: []workload.Step{{Count: 1, Need: workload.Resources{CPU: 1000, MemoryMB: 100}, Estimate: time.Minute}},
	}
	if _, err := r.Submit(t.Context(), sub); err != nil {
		t.Fatal(err)
	}
}

// While partitions are dealt anew, two daemons may read one at the same end, and claim it
// with the same epoch. Only one of them may own it: both would order the first run of an
// inherited task, under one fencing token that no server refuses.
func TestEngine_TwoClaimsAtOneEnd(t *testing.T) {
	s := newDeployment(t, 0)
	seen := s.addSlowServers(2)
	first := run(t, s.newTestEngine("first"))
	first.submitSlowTask(t)
	first.stop()

	// No claim is carried out before both daemons have read the partition.
	var claims atomic.Int32
	both := make(chan struct{})
	s.store.SetFault(func(_ http.ResponseWriter, r *http.Request) bool {
		if r.URL.Path == "/log-append" && r.URL.Query().Has("at") {
			if claims.Add(1) == 2 {
				close(both)
			}
			<-both
		}
		return false
	})
	second, third := run(t, s.newTestEngine("second", seen[0])), run(t, s.newTestEngine("third", seen[1]))
	defer second.stop()
	defer third.stop()
	started := func() int { return s.servers[0].Starts()[slowTask] + s.servers[1].Starts()[slowTask] }
	s.await("claimed", func() bool { return second.decided() && third.decided() })
	owners := 0
	for _, e := range []runningEngine{second, third} {
		if e.Epoch() > 0 {
			owners++
		}
	}
	s.await("started", func() bool { return started() >= owners })
	if owners != 1 {
		t.Errorf("%d daemons own the partition, with epochs %d and %d, and started its task %d times", owners, second.Epoch(), third.Epoch(), started())
	}
}

// An owner that loses the store goes on with its servers. The next owner counts one lease
// from when the earlier one can have extended leases last, for a server that it cannot
// reach, and then starts the task elsewhere. The earlier owner, which reaches that server,
// must not renew the lease beyond that.
func TestEngine_EarlierOwnerWithoutTheStore(t *testing.T) {
	for _, tc := range []struct {
		name string
		// told lets the next owner reach the earlier one.
		told bool
	}{
		{"the next owner reaches the earlier one", true},
		{"the earlier owner hears of no daemon", false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			s := newSuccession(t, "first", "second")
			s.network.cut("first", "second", !tc.told)
			s.next(t, "second")
			s.checkRunsOnce(t)
		})
	}
}

// The group may assign a partition to another daemon at any time, without any request. An
// owner that has not heard of it must not answer that a submission does not exist, which
// the next owner has accepted: a cancel would count as acknowledged, and the work run on.
func TestEngine_FormerOwnerDoesNotAnswerNotFound(t *testing.T) {
	for _, cut := range []bool{false, true} {
		t.Run(fmt.Sprintf("cut off from the store %t", cut), func(t *testing.T) {
			s := newDeployment(t, 0)
			client := platform.NewHTTPClient()
			link := &cutTransport{RoundTripper: client.Transport, cut: make(map[string]bool)}
			former := run(t, scheduler.NewEngine(s.engineOptions("former", &http.Client{Transport: link})))
			defer former.stop()
			if r, err := former.Status(t.Context(), workload.Reference{ID: id}); err != nil || r.Outcome != scheduler.OutcomeNotFound {
				t.Fatalf("%+v, %v before the partition was reassigned, want not found", r, err)
			}
			next := run(t, s.newTestEngine("next"))
			defer next.stop()
			next.submitSlowTask(t)
			link.set(s.address, cut)
			ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
			defer cancel()
			if r, err := former.Cancel(ctx, workload.Reference{ID: id}); err == nil {
				t.Errorf("%+v to a cancel at the former owner, want an error", r)
			}
			if r, err := next.Status(t.Context(), workload.Reference{ID: id}); err != nil || r.Outcome != scheduler.OutcomeDone {
				t.Errorf("%+v, %v at the next owner, want a status", r, err)
			}
		})
	}
}
