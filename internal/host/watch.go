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

// watchConfiguration keeps the newest readable configuration in force.
func (h *Host) watchConfiguration(ctx context.Context, _ duty.Turn) error {
	w := &partition.Watcher{
		Log: h.store, ID: platform.OperatorPartition, OnSnapshot: h.configure, OnUpdate: h.configure, OnResult: h.health.report("configuration"),
	}
	return w.Run(ctx)
}

func (h *Host) configure(records []partition.Record) {
	config, err := platform.DecodeConfiguration(records)
	if err != nil {
		h.o.Events.Log(events.ConfigurationUnreadable, "offset", lastOffset(records), "error", err.Error())
		return
	}
	if config == nil {
		return
	}
	// A version that was read late never replaces a newer one.
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

// storeHealth logs when calls to the store begin to fail and when they succeed
// again.
type storeHealth struct {
	now    func() time.Time
	events *events.Logger
	set    *metrics.Set

	mu   sync.Mutex
	lost map[string]time.Time
}

func (s *storeHealth) failures(call string) *metrics.Counter {
	return s.set.GetOrCreateCounter(fmt.Sprintf("currantwinch_store_failures_total{call=%q}", call))
}

// report returns a function that is told the outcome of one kind of call.
func (s *storeHealth) report(call string) func(error) {
	return func(err error) {
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.lost == nil {
			s.lost = make(map[string]time.Time)
		}
		since, down := s.lost[call]
		if err != nil {
			s.failures(call).Inc()
		}
		switch {
		case err != nil && !down:
			s.lost[call] = s.now()
			s.events.Log(events.StoreLost, "call", call, "error", err.Error())
		case err == nil && down:
			delete(s.lost, call)
			s.events.Log(events.StoreRecovered, "call", call, "lost", s.now().Sub(since).Milliseconds())
		}
	}
}
