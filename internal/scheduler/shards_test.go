package scheduler

import (
	"context"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/currantwinch/currantwinch/partition"
)

// capturingShards records the handover that it gets.
type capturingShards struct {
	noShards
	got Handover
}

func (s *capturingShards) HandOver(_ context.Context, _ int, h Handover) error {
	s.got = h
	return nil
}

// The partition that takes a submission over logs and stores where it came from.
func TestEngine_HandoverNamesItsPartition(t *testing.T) {
	shards := &capturingShards{}
	e := NewEngine(EngineOptions{Partition: partition.ID{Topic: "t", Part: 7}, Shards: shards, Metrics: NewMetrics(metrics.NewSet()), Now: time.Now})
	e.ctx = t.Context()
	e.handOver(SendHandover{To: 3})
	if shards.got.From != 7 {
		t.Errorf("handed over from partition %d, want 7", shards.got.From)
	}
}
