package scheduler

import (
	"time"

	"github.com/currantwinch/currantwinch/internal/events"
)

// passEnd says why a placement pass ended.
type passEnd string

const (
	// passDone: nothing is left that the pass could place now.
	passDone passEnd = "done"
	// passStartRoom: no more starts can be sent now.
	passStartRoom passEnd = "start_room"
)

// slowPass is the length from which a pass that placed nothing is logged.
const slowPass = time.Millisecond

// passCount is what placement passes examined and placed. A server counts once for each
// step that it was examined for.
type passCount struct{ steps, servers, placed int }

// placementCounts sums up the placement passes.
type placementCounts struct {
	total passCount
	// starts counts the tasks that were placed.
	starts int
}

// passEnded counts and logs a pass that took the given time.
func (n *placementCounts) passEnded(c *Core, pass passCount, end passEnd, took time.Duration) {
	n.total.steps += pass.steps
	n.total.servers += pass.servers
	n.total.placed += pass.placed
	m := c.metric
	m.placementPassEnded(end)
	m.placementPass.Update(took.Seconds())
	m.placementSteps.Add(pass.steps)
	m.placementServers.Add(pass.servers)
	m.placementPlaced.Add(pass.placed)
	if pass.placed > 0 || took >= slowPass {
		c.log.Log(events.PlacementPass, "tookUS", took.Microseconds(), "queued", len(c.queued), "steps", pass.steps, "servers", pass.servers,
			"placed", pass.placed, "end", string(end))
	}
}
