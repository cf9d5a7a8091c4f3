package host

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/currantwinch/currantwinch/duty"
	"github.com/currantwinch/currantwinch/internal/events"
	"github.com/currantwinch/currantwinch/partition"
	"github.com/currantwinch/currantwinch/platform"
)

// watchConfiguration follows the configuration at the store and applies its newest
// valid version.
func (h *Host) watchConfiguration(ctx context.Context, _ duty.Heartbeat) error {
	w := &partition.Watcher{
		Log: h.store, ID: platform.OperatorPartition, OnSnapshot: h.applyConfiguration, OnUpdate: h.applyConfiguration, OnResult: h.health.reporter("configuration"),
	}
	return w.Run(ctx)
}

func (h *Host) applyConfiguration(records []partition.Record) {
	config, err := platform.DecodeConfiguration(records)
	if err != nil {
		h.o.Events.Log(events.ConfigurationUnreadable, "offset", lastOffset(records), "error", err.Error())
	}
	if config == nil {
		return
	}
	// A delayed read must not replace a newer version.
	if now := h.config.Load(); now != nil && now.Version >= config.Version {
		return
	}
	h.config.Store(config)
	h.o.Events.Log(events.ConfigurationApplied, "version", config.Version, "queues", len(config.Queues), "services", len(config.Services))
	h.tenures.TriggerReconcile()
}

func lastOffset(records []partition.Record) uint64 {
	if len(records) == 0 {
		return 0
	}
	return records[len(records)-1].Offset
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
