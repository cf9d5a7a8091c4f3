package daemon

import (
	"context"
	"time"

	"github.com/currantwinch/currantwinch/duty"
)

const (
	// freeEvery is how often memory that nothing uses goes back to the system.
	freeEvery = 15 * time.Second
	freeQuiet = 2 * freeEvery
)

// freeMemory gives memory that nothing uses back to the system. The run time
// keeps pages that a burst of work needed for minutes.
func (d *Daemon) freeMemory(ctx context.Context, turn duty.Heartbeat) error {
	tick := time.NewTicker(freeEvery)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		}
		turn()
		d.o.FreeMemory()
	}
}
