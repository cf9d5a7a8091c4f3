package daemon

import (
	"context"
	"time"

	"github.com/currantwinch/currantwinch/duty"
	"github.com/currantwinch/currantwinch/internal/events"
)

// dutyCheckInterval is the time between two checks of the duties.
const dutyCheckInterval = 5 * time.Second

// monitorDuties logs each duty that makes no progress, once until it makes progress
// again.
func (d *Daemon) monitorDuties(ctx context.Context, progress duty.Heartbeat) error {
	tick := time.NewTicker(dutyCheckInterval)
	defer tick.Stop()
	stuck := make(map[string]bool)
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		}
		progress()
		for _, s := range d.base.Duties.Stats() {
			if s.Stuck && !stuck[s.Name] {
				d.base.Events.Log(events.DutyStuck, "duty", s.Name, "idle", s.Idle.String())
			}
			stuck[s.Name] = s.Stuck
		}
	}
}
