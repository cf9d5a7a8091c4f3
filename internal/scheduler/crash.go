package scheduler

import "github.com/currantwinch/currantwinch/internal/events"

// serverCrashed handles the certain end of a server's instance. The end of a
// draining server was announced and is no crash.
func (c *Core) serverCrashed(s *server, reason lossReason) {
	if s.info.Draining {
		return
	}
	c.metric.serversCrashed.Inc()
	c.log.Log(events.ServerCrashed, "server", s.info.ID, "address", s.info.Address, "how", string(reason), "attempts", len(s.attempts),
		"silent", c.now.Sub(s.lastSeenAlive(c.now)).Milliseconds())
}
