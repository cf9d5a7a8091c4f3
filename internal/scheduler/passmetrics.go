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
	// passBudget: the pass took as long as one may; the next one goes on.
	passBudget passEnd = "budget"
)

const (
	// Passes that take slowPass or longer are all logged.
	slowPass = time.Millisecond
	// passLogInterval is the least time between the log lines of other passes, of which
	// there are hundreds a second.
	passLogInterval = 100 * time.Millisecond
)

// passCount is what placement passes examined and placed. A server counts once for each
// step that it was examined for.
type passCount struct{ steps, servers, placed int }

// placementCounts sums up the placement passes.
type placementCounts struct {
	total passCount
	// starts counts the tasks that were placed.
	starts int
	// loggedAt is when a pass was logged last.
	loggedAt time.Time
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
	if took >= slowPass || end == passBudget || pass.placed > 0 && c.now.Sub(n.loggedAt) >= passLogInterval {
		n.loggedAt = c.now
		c.log.Log(events.PlacementPass, "tookUS", took.Microseconds(), "queued", len(c.queued), "steps", pass.steps, "servers", pass.servers,
			"placed", pass.placed, "end", string(end))
	}
}
