package daemon

import (
	"context"
	"time"

	"github.com/currantwinch/currantwinch/duty"
	"github.com/currantwinch/currantwinch/internal/events"
)

// watchInterval is how often the watchdog looks at the duties.
const watchInterval = 5 * time.Second

// watch names each duty that has stopped turning, once a standstill.
func (d *Daemon) watch(ctx context.Context, turn duty.Heartbeat) error {
	tick := time.NewTicker(watchInterval)
	defer tick.Stop()
	stuck := make(map[string]bool)
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		}
		turn()
		for _, s := range d.base.Duties.Stats() {
			if s.Stuck && !stuck[s.Name] {
				d.base.Events.Log(events.DutyStuck, "duty", s.Name, "idle", s.Idle.String())
			}
			stuck[s.Name] = s.Stuck
		}
	}
}
