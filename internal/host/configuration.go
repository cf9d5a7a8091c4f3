package host

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/currantwinch/currantwinch/duty"
	"github.com/currantwinch/currantwinch/internal/configuration"
	"github.com/currantwinch/currantwinch/internal/events"
	"github.com/currantwinch/currantwinch/internal/peer"
	"github.com/currantwinch/currantwinch/partition"
	"github.com/currantwinch/currantwinch/platform"
)

func (h *Host) newConfiguration(peers *peer.Peers, s platform.Settings) *configuration.Keeper {
	h.config = configuration.New(configuration.Options{
		Decode: platform.DecodeConfiguration, OnApply: func() { h.tenures.TriggerReconcile() }, Peers: peers, Daemons: h.otherDaemons, ApplyTime: s.Bounds.ConfigApply,
		Events: h.o.Events, Metrics: h.base.Metrics, Now: time.Now,
	})
	return h.config
}

// watchConfiguration follows the configuration at the store.
func (h *Host) watchConfiguration(ctx context.Context, _ duty.Heartbeat) error {
	w := &partition.Watcher{
		Log: h.store, ID: platform.OperatorPartition, OnSnapshot: h.config.Read, OnUpdate: h.config.Read, OnCurrent: h.config.Confirm, Now: time.Now,
		OnResult: h.health.reporter("configuration"),
	}
	return w.Run(ctx)
}

// storeHealth logs when calls to the store begin to fail and when they succeed again,
// separately for each kind of call.
type storeHealth struct {
	now    func() time.Time
	events *events.Logger
	set    *metrics.Set

	mu           sync.Mutex
	failingSince map[string]time.Time
}

func (s *storeHealth) failures(call string) *metrics.Counter {
	return s.set.GetOrCreateCounter(fmt.Sprintf("currantwinch_store_failures_total{call=%q}", call))
}

// reporter returns a function that records the result of each call of one kind.
func (s *storeHealth) reporter(call string) func(error) {
	return func(err error) {
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.failingSince == nil {
			s.failingSince = make(map[string]time.Time)
		}
		since, failing := s.failingSince[call]
		if err != nil {
			s.failures(call).Inc()
		}
		switch {
		case err != nil && !failing:
			s.failingSince[call] = s.now()
			s.events.Log(events.StoreLost, "call", call, "error", err.Error())
		case err == nil && failing:
			delete(s.failingSince, call)
			s.events.Log(events.StoreRecovered, "call", call, "lost", s.now().Sub(since).Milliseconds())
		}
	}
}
