package relay_test

import (
	"bytes"
	"context"
	"encoding/json"
	"log/slog"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/currantwinch/currantwinch/internal/events"
	"github.com/currantwinch/currantwinch/internal/relay"
	"github.com/currantwinch/currantwinch/internal/roles"
	"github.com/currantwinch/currantwinch/partition"
	"github.com/currantwinch/currantwinch/verdict"
)

var testPartition = partition.ID{Topic: "keyed.test"}

// store answers every call unless it has a fault.
type store struct {
	// fault may change while a probe is in flight.
	fault atomic.Pointer[func(ctx context.Context) error]
	calls atomic.Int32
	// longPolls makes reads take as long as the wait that they request.
	longPolls bool
	appends   atomic.Int32
}

// set sets the store's fault; nil removes it.
func (s *store) set(fault func(ctx context.Context) error) {
	if fault == nil {
		s.fault.Store(nil)
		return
	}
	s.fault.Store(&fault)
}

func (s *store) do(ctx context.Context) error {
	s.calls.Add(1)
	if fault := s.fault.Load(); fault != nil {
		return (*fault)(ctx)
	}
	return nil
}

func (s *store) Append(ctx context.Context, _ partition.ID, _ partition.Fence, _ []partition.Record) error {
	s.appends.Add(1)
	return s.do(ctx)
}

func (s *store) ReadLatest(ctx context.Context, _ partition.ID, _ string) (partition.Page, error) {
	return partition.Page{End: 7}, s.do(ctx)
}

func (s *store) Read(ctx context.Context, _ partition.ID, from uint64, wait time.Duration) (partition.Batch, error) {
	if s.longPolls {
		select {
		case <-time.After(wait):
		case <-ctx.Done():
			return partition.Batch{}, ctx.Err()
		}
	}
	return partition.Batch{Next: from + 1}, s.do(ctx)
}

func (s *store) Join(ctx context.Context, _ string, _ uint64, _ time.Duration) (partition.Assignment, error) {
	return partition.Assignment{Generation: 3}, s.do(ctx)
}

func (s *store) Leave(ctx context.Context, _ string) error { return s.do(ctx) }

func (s *store) Holders(ctx context.Context) ([]partition.Holder, error) { return nil, s.do(ctx) }

// peers connects the relays of two daemons.
type peers struct {
	handlers map[string]roles.PeerHandler
	other    *peers
	// cut drops every call.
	cut atomic.Bool
	// silent is the name of a daemon that leaves calls without an answer.
	silent string
}

func (p *peers) Handle(method string, h roles.PeerHandler) { p.handlers[method] = h }

func (p *peers) Call(ctx context.Context, daemon, method string, params, result any) error {
	if p.cut.Load() || daemon == p.silent {
		return noAnswer(ctx)
	}
	data, err := json.Marshal(params)
	if err != nil {
		return err
	}
	value, err := p.other.handlers[method](ctx, "a", data)
	if err != nil {
		return err
	}
	if data, err = json.Marshal(value); err != nil {
		return err
	}
	if result == nil {
		return nil
	}
	return json.Unmarshal(data, result)
}

// observed holds a relay's log and metrics.
type observed struct {
	lines bytes.Buffer
	set   *metrics.Set
}

func newRelay(direct *store, others *peers) (*relay.Relay, *observed) {
	o := &observed{set: metrics.NewSet()}
	return relay.New(relay.Options{
		Direct: direct, Peers: others, Now: time.Now, Metrics: o.set, Events: events.NewLogger(slog.New(slog.NewTextHandler(&o.lines, nil))),
	}), o
}

// metrics returns the metrics in exposition format.
func (o *observed) metrics() string {
	var out bytes.Buffer
	o.set.WritePrometheus(&out)
	return out.String()
}

// pair returns the stores of two daemons, the relay of the first, and its
// connection to the second.
func pair() (mine, other *store, r *relay.Relay, way *peers) {
	mine, other = &store{}, &store{}
	a, b := &peers{handlers: make(map[string]roles.PeerHandler)}, &peers{handlers: make(map[string]roles.PeerHandler)}
	a.other, b.other = b, a
	r, _ = newRelay(mine, a)
	_, _ = newRelay(other, b)
	r.SetDaemons(func() []string { return []string{"b"} })
	return mine, other, r, a
}

func refused(context.Context) error {
	return verdict.New(verdict.NotRun, partition.ReasonUnavailable, "busy")
}

func noAnswer(ctx context.Context) error {
	<-ctx.Done()
	return verdict.Wrap(ctx.Err(), verdict.MayHaveRun, partition.ReasonNoAnswer)
}

func TestRelay_UsesPeerWhenStoreRefuses(t *testing.T) {
	mine, other, r, _ := pair()
	mine.set(refused)
	if err := r.Append(t.Context(), testPartition, partition.Fence{Epoch: 1}, nil); err != nil {
		t.Fatal(err)
	}
	if page, err := r.ReadLatest(t.Context(), testPartition, ""); err != nil || page.End != 7 {
		t.Fatalf("%+v, %v", page, err)
	}
	if mine.calls.Load() != 1 || other.calls.Load() != 2 {
		t.Errorf("%d direct calls and %d through the other daemon, want 1 and 2", mine.calls.Load(), other.calls.Load())
	}
}

func TestRelay_HedgesWhenStoreDoesNotAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		mine, _, r, _ := pair()
		mine.set(noAnswer)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		for call, limit := range []time.Duration{500 * time.Millisecond, 10 * time.Millisecond, 10 * time.Millisecond} {
			began := time.Now()
			if err := r.Append(ctx, testPartition, partition.Fence{Epoch: 1}, nil); err != nil {
				t.Fatal(err)
			}
			if took := time.Since(began); took > limit {
				t.Errorf("append %d took %s, want at most %s", call, took, limit)
			}
			time.Sleep(1100 * time.Millisecond)
		}
		// The last probe of the store must end before the test does.
		time.Sleep(3 * time.Second)
	})
}

func TestRelay_ReturnsToStoreOnceItAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		mine, other, r, _ := pair()
		mine.set(refused)
		_, _ = r.Join(t.Context(), "m", 0, time.Second)
		mine.set(nil)
		time.Sleep(2 * time.Second)
		_, _ = r.Join(t.Context(), "m", 0, time.Second)
		synctest.Wait()
		before := other.calls.Load()
		if _, err := r.Join(t.Context(), "m", 0, time.Second); err != nil || other.calls.Load() != before {
			t.Errorf("call still goes through the other daemon, %v", err)
		}
	})
}

func TestRelay_FencedAppendIsNotRetried(t *testing.T) {
	mine, other, r, _ := pair()
	mine.set(func(context.Context) error {
		return verdict.New(verdict.NotRun, partition.ReasonFenced, "fenced")
	})
	err := r.Append(t.Context(), testPartition, partition.Fence{Epoch: 1}, nil)
	if verdict.ReasonOf(err) != partition.ReasonFenced || other.appends.Load() != 0 {
		t.Errorf("%v and %d appends through the other daemon, want ReasonFenced and 0", err, other.appends.Load())
	}
}

func TestRelay_LimitsCallsWhenStoreIsDownForAll(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		mine, other, r, _ := pair()
		mine.set(refused)
		other.set(refused)
		for range 20 {
			if err := r.Append(t.Context(), testPartition, partition.Fence{Epoch: 1}, nil); verdict.Of(err) != verdict.NotRun {
				t.Errorf("%v: want verdict NotRun", err)
			}
			time.Sleep(50 * time.Millisecond)
		}
		if n := other.calls.Load(); n > 4 {
			t.Errorf("%d calls through the other daemon in 1 s, want at most 4", n)
		}
	})
}

func TestRelay_IsolatedOnlyWhenNobodyAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		mine, other, _, way := pair()
		r, seen := newRelay(mine, way)
		r.SetDaemons(func() []string { return []string{"b"} })
		ctx, cancel := context.WithCancel(t.Context())
		go func() { _ = r.MonitorConnectivity(ctx, func() {}) }()
		try := func(times int) {
			for range times {
				call, cancel := context.WithTimeout(ctx, time.Second)
				_, _ = r.Join(call, "m", 0, time.Second)
				cancel()
				time.Sleep(250 * time.Millisecond)
			}
		}
		steps := []struct {
			name        string
			store, from func(context.Context) error
			cut, want   bool
		}{
			{"all answer", nil, nil, false, false},
			{"the store refuses all", refused, refused, false, false},
			{"the store does not answer anyone", noAnswer, noAnswer, false, false},
			{"neither the store nor the others answer", noAnswer, noAnswer, true, true},
			{"the others answer again", noAnswer, noAnswer, false, false},
			{"nobody answers for the second time", noAnswer, noAnswer, true, true},
			{"the store answers again", nil, noAnswer, true, false},
		}
		for _, step := range steps {
			mine.set(step.store)
			other.set(step.from)
			way.cut.Store(step.cut)
			try(6)
			if got := r.Isolated(); got != step.want {
				t.Errorf("%s: isolated is %t, want %t", step.name, got, step.want)
			}
		}
		cancel()
		synctest.Wait()
		if n := strings.Count(seen.lines.String(), events.VMIsolationChanged.Name); n != 4 {
			t.Errorf("%d changes of isolation logged, want 4", n)
		}
	})
}

// Changes of the store's suspicion must be logged, and calls counted by way and
// outcome.
func TestRelay_LogsAndCountsStoreAccess(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		mine, _, _, way := pair()
		r, seen := newRelay(mine, way)
		r.SetDaemons(func() []string { return []string{"b"} })
		call := func() {
			if _, err := r.ReadLatest(t.Context(), testPartition, ""); err != nil {
				t.Error(err)
			}
		}
		call()
		mine.set(refused)
		call()
		mine.set(nil)
		time.Sleep(1100 * time.Millisecond)
		call()
		synctest.Wait()
		for _, want := range []string{
			`currantwinch_store_calls_total{way="direct",outcome="answered"} 1`,
			`currantwinch_store_calls_total{way="direct",outcome="unanswered"} 1`,
			`currantwinch_store_calls_total{way="relayed",outcome="answered"} 2`,
			`currantwinch_store_suspected 0`,
		} {
			if !strings.Contains(seen.metrics(), want) {
				t.Errorf("metrics lack the line %s:\n%s", want, seen.metrics())
			}
		}
		for _, e := range []events.Event{events.StoreSuspected, events.StoreSuspicionCleared} {
			if n := strings.Count(seen.lines.String(), e.Name); n != 1 {
				t.Errorf("%d log lines of %s, want 1", n, e.Name)
			}
		}
	})
}

// A read that waits for records also takes long through another daemon. That
// must not count as the daemon's failure.
func TestRelay_LongPollsGoThroughPeers(t *testing.T) {
	for _, wait := range []time.Duration{time.Second, 8 * time.Second} {
		synctest.Test(t, func(t *testing.T) {
			mine, other, r, _ := pair()
			mine.set(noAnswer)
			other.longPolls = true
			// The first read detects that the store does not answer.
			ctx, cancel := context.WithTimeout(t.Context(), wait+800*time.Millisecond)
			_, _ = r.Read(ctx, testPartition, 0, wait)
			cancel()
			for range 3 {
				ctx, cancel := context.WithTimeout(t.Context(), wait+800*time.Millisecond)
				if _, err := r.Read(ctx, testPartition, 0, wait); err != nil {
					t.Errorf("read with a wait of %s: %v", wait, err)
				}
				cancel()
				began := time.Now()
				ctx, cancel = context.WithTimeout(t.Context(), 3*time.Second)
				if err := r.Append(ctx, testPartition, partition.Fence{Epoch: 1}, nil); err != nil || time.Since(began) > 100*time.Millisecond {
					t.Errorf("append after the read: %v after %s", err, time.Since(began))
				}
				cancel()
			}
			time.Sleep(10 * time.Second)
		})
	}
}

func TestRelay_DoesNotHedgeWhenStoreIsSlow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		mine, other, r, _ := pair()
		slow := func(context.Context) error {
			time.Sleep(700 * time.Millisecond)
			return nil
		}
		mine.set(slow)
		other.set(slow)
		for range 10 {
			if err := r.Append(t.Context(), testPartition, partition.Fence{Epoch: 1}, nil); err != nil {
				t.Fatal(err)
			}
		}
		if n := other.appends.Load(); n > 1 {
			t.Errorf("%d of 10 appends also went through another daemon, want at most 1", n)
		}
		time.Sleep(3 * time.Second)
	})
}

// Guards against a copy of records that is seconds old beside daemons that the store answers: a
// read that waits for records stays with a store that is known not to answer, and then with each
// daemon that does not, for the whole of its wait (issue 63).
func TestRelay_LongPollLeavesWhoIsSilent(t *testing.T) {
	const (
		wait  = 8 * time.Second
		bound = 3 * time.Second
	)
	for _, silent := range []string{"", "b"} {
		synctest.Test(t, func(t *testing.T) {
			mine, _, r, way := pair()
			way.silent = silent
			r.SetDaemons(func() []string { return []string{"b", "c"} })
			mine.set(noAnswer)
			ctx, cancel := context.WithTimeout(t.Context(), wait+5*time.Second)
			defer cancel()
			began := time.Now()
			go func() { _, _ = r.Join(ctx, "m", 0, time.Second) }()
			if _, err := r.Read(ctx, partition.ID{Topic: "t"}, 0, wait); err != nil {
				t.Errorf("silent %q: %v", silent, err)
			}
			if took := time.Since(began); took > bound {
				t.Errorf("silent %q: read after %s, want at most %s", silent, took, bound)
			}
			cancel()
			synctest.Wait()
		})
	}
}
