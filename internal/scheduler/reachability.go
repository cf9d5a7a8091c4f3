package scheduler

import (
	"github.com/currantwinch/currantwinch/internal/events"
)

const (
	// minUnreachable is the least number of unresponsive servers from which
	// their share says something about this daemon.
	minUnreachable = 4
	// unreachableShare: when at least this share of the servers with runs is
	// unresponsive, the fault is taken to be this daemon's or its link's.
	unreachableShare = 0.5
)

// checkReachability detects that most servers with runs stopped responding. Polls
// then go on renewing their leases, since the servers are likely to receive them
// and only their answers are missing. See extendLease.
func (c *Core) checkReachability() {
	silent, withRuns := 0, 0
	for _, s := range c.servers {
		if len(s.attempts) == 0 {
			continue
		}
		withRuns++
		if !s.unresponsiveSince.IsZero() {
			silent++
		}
	}
	unreachable := silent >= minUnreachable && float64(silent) >= unreachableShare*float64(withRuns)
	if unreachable == c.mostUnreachable {
		return
	}
	c.mostUnreachable = unreachable
	c.log.Log(events.ServersUnreachable, "unreachable", unreachable, "silent", silent, "withRuns", withRuns)
}

// renewable reports whether polls may extend the leases of the server's runs.
// Those of a single unresponsive server are left to expire, so that its tasks can
// run elsewhere. Where most servers are unresponsive they are extended for the
// length of one lease, after which the servers may be gone after all.
func (c *Core) renewable(s *server) bool {
	if s.unresponsiveSince.IsZero() {
		return true
	}
	return c.mostUnreachable && c.now.Sub(s.unresponsiveSince) < c.bounds.lease()
}
