package daemon

import (
	"context"
	"time"

	"github.com/currantwinch/currantwinch/duty"
)

const (
	// freeInterval is the time between two calls of FreeMemory.
	freeInterval    = 15 * time.Second
	freeDutyTimeout = 2 * freeInterval
)

// freeMemory periodically returns unused memory to the operating system, since the
// Go runtime keeps pages that a load peak needed for minutes.
func (d *Daemon) freeMemory(ctx context.Context, progress duty.Heartbeat) error {
	tick := time.NewTicker(freeInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		}
		progress()
		d.o.FreeMemory()
	}
}
