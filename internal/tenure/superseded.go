package tenure

import (
	"context"

	"github.com/currantwinch/currantwinch/partition"
	"github.com/currantwinch/currantwinch/verdict"
)

// methodSuperseded tells a daemon that another one owns a partition under a later epoch.
const methodSuperseded = "partition.superseded"

// reasonBadCall means that another daemon's call could not be parsed.
const reasonBadCall verdict.Reason = "bad_call"

// superseded is the call of methodSuperseded.
type superseded struct {
	Part  int    `json:"part"`
	Epoch uint64 `json:"epoch"`
}

// NotifySuperseded tells a daemon that this one owns a partition under an epoch.
func (t *Manager) NotifySuperseded(ctx context.Context, daemon string, id partition.ID, epoch uint64) error {
	return t.o.Peers.Call(ctx, daemon, methodSuperseded, superseded{id.Part, epoch}, &struct{}{})
}

// handleSuperseded ends this daemon's scheduler of the partition if its epoch is
// earlier.
func (t *Manager) handleSuperseded(_ context.Context, _ string, c superseded) (any, error) {
	if engine, ok := t.Engine(partition.ID{Topic: Topic, Part: c.Part}); ok {
		engine.Superseded(c.Epoch)
	}
	return struct{}{}, nil
}
