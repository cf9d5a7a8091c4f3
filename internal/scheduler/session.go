package scheduler

import (
	"time"

	"github.com/currantwinch/currantwinch/placement/speed"
)

// session is what the Core knows of one instance of a backend server, from the
// time that the Core learns of it. It is replaced as a whole when another
// instance follows under the same ID, so that nothing learned of one instance is
// applied to the next. Orders, polls and deferred work name the session for which
// they were made; what comes back for an earlier session is not applied.
type session struct {
	// number is unique within the Core.
	number uint64
	// startedAtMS is when the instance started, in Unix milliseconds; 0 until it
	// has answered.
	startedAtMS int64
	// answeredAddress is the address at which the instance last answered a poll of this
	// owner; empty until then.
	answeredAddress string
	// synced is set once the instance has listed its runs to this epoch. From
	// then on it refuses the orders of earlier owners.
	synced bool
	// endsComplete is set if the last answer listed every end that the instance
	// holds. Otherwise a run that is not listed may have ended.
	endsComplete bool
	// over is set once the previous instance is known to have ended, until
	// another one answers.
	over bool
	// polling is set while a poll is in flight or scheduled.
	polling bool
	// clockMS is a reading of the instance's clock in milliseconds, taken at
	// clockAt or earlier, so that leases end no later than clockAt makes them.
	clockMS int64
	clockAt time.Time
	// answeredClockMS is the clock at the last answer to a poll, which was given
	// at aliveAt or later.
	answeredClockMS int64
	aliveAt         time.Time
	// leaseDeadlineMS is the latest lease deadline that this or an earlier owner may have
	// sent, on the instance's clock; sentDeadlineMS is the latest that this one has sent.
	leaseDeadlineMS, sentDeadlineMS int64
	// pollDeadlineMS is the lease deadline of the current poll; 0 if it carries none.
	pollDeadlineMS int64
	// unknownRuns counts listed runs whose submission has ended. Their size is
	// unknown, so nothing is placed on the server meanwhile.
	unknownRuns int
	// processedEnd is the number of the last end that the Core has handled;
	// storedEnd is the last one whose effect is in the log.
	processedEnd, storedEnd uint64
	// ackInFlight is the end that the current poll acknowledges; ackedEnd is
	// the last one that the instance is known to have received.
	ackInFlight, ackedEnd uint64
	// speed is what is known of the instance's speed, and speedClass its class against
	// the other servers of the service.
	speed      speed.Estimator
	speedClass int
}

func (c *Core) newSession() *session {
	c.lastSession++
	return &session{number: c.lastSession, clockAt: c.now}
}

// minClockMS returns a lower bound of the instance's clock at now.
func (s *session) minClockMS(now time.Time) int64 {
	elapsed := now.Sub(s.clockAt)
	return s.clockMS + int64(float64(elapsed.Milliseconds())/maxClockDrift)
}

// updateClock records a reading of the instance's clock. Answers may overtake each
// other, so an earlier reading than the last one is out of date.
func (s *session) updateClock(clock int64, now time.Time) {
	if clock <= 0 || clock < s.clockMS {
		return
	}
	s.clockMS, s.clockAt = clock, now
}

// updateAlive records the answer to a poll that was sent at the given time. The
// instance was up when it answered: after the poll was sent, and as long after the
// answer before as its clock has advanced.
func (s *session) updateAlive(clock int64, sent, now time.Time) {
	at := sent
	if !s.aliveAt.IsZero() && s.answeredClockMS > 0 && clock > s.answeredClockMS {
		advanced := time.Duration(float64(msDuration(clock-s.answeredClockMS)) / maxClockDrift)
		at = latest(at, s.aliveAt.Add(advanced))
	}
	if at.After(now) {
		at = now
	}
	s.aliveAt, s.answeredClockMS = at, clock
}

func latest(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// leaseExpiry returns when all leases ever sent to the instance have expired. They
// have if it is over.
func (s *session) leaseExpiry() time.Time {
	if s.over {
		return s.clockAt
	}
	left := time.Duration(s.leaseDeadlineMS-s.clockMS) * time.Millisecond
	return s.clockAt.Add(time.Duration(float64(left)*maxClockDrift) + leaseExpirySlack)
}

// ackValidUntil returns until when an acknowledgement may be sent. End numbers
// start again in a new instance, which would drop ends that nobody has read if it
// got an acknowledgement meant for the instance before. Another instance cannot
// follow sooner than ReuseAfter after this one was up; half of that is left for
// the delivery.
func (c *Core) ackValidUntil(s *server) time.Time {
	return s.aliveAt.Add(c.bounds.ReuseAfter / 2)
}

// restartFraction: a server may be back under its own ID after this fraction of the time
// after which another one may get the ID.
const restartFraction = 4

// mayUseInstance reports whether the instance of a server that has answered may be used. A
// later owner may have been told by the instance before, whose end made the server forget
// that owner's fencing token. It has not if a call to the log that shows no later claim
// began after this instance's first answer, or after its entry was seen. At an owner's
// first answer of a server the time counts as well that lies between two instances at least.
func (c *Core) mayUseInstance(s *server, list PollResponse) bool {
	first := s.polledAt.IsZero() && !s.over
	restarted := s.over || list.StartedAtMS != 0 && s.startedAtMS != 0 && list.StartedAtMS != s.startedAtMS
	if !first && !restarted {
		return true
	}
	if list.StartedAtMS == 0 || list.StartedAtMS != s.metStartedAtMS {
		s.metStartedAtMS, s.metAt = list.StartedAtMS, c.now
	}
	confirmed := c.tenure.confirmedAt()
	needed := s.metAt
	if first {
		needed = needed.Add(-c.bounds.ReuseAfter / restartFraction)
	}
	listedBefore := list.StartedAtMS != 0 && list.StartedAtMS == s.info.StartedAtMS && !s.entrySeenAt.IsZero() && !confirmed.Before(s.entrySeenAt)
	if listedBefore || !confirmed.Before(needed) {
		return true
	}
	c.confirmationDue = true
	s.synced = false
	return false
}

// refusalProvesEnd reports whether the refusal of an order by another instance proves that
// the server's own has ended. It does at the address at which that one answered, or at
// which earlier owners used it, if its entry still names that address. An entry may name
// the address of another server, which then says nothing about this one.
func (s *server) refusalProvesEnd(to Instance) bool {
	known := s.answeredAddress
	if known == "" && s.inherited && s.polledAt.IsZero() {
		known = s.recordedAddress
	}
	return to.Address == known && to.Address == s.info.Address
}

// serverOf returns the server whose current session an order or a poll was made
// for. It returns nil if the server is gone or another instance has followed.
func (c *Core) serverOf(to Instance) *server {
	s := c.servers[to.ID]
	if s == nil || s.number != to.Session {
		return nil
	}
	return s
}

// maxClockStep is the largest difference between the progress of the monotonic and
// the wall clock that is not taken for a suspension of this machine.
const maxClockStep = 200 * time.Millisecond

// suspension returns for how long this machine was suspended between two pairs of readings
// of its monotonic and its wall clock; 0 if it was not.
func suspension(before time.Time, wallBefore int64, now time.Time, wall int64) time.Duration {
	missed := msDuration(wall-wallBefore) - now.Sub(before)
	if missed < maxClockStep {
		return 0
	}
	return missed
}

// checkSuspended detects that this machine was suspended: its monotonic clock does
// not count that time. What was known before of servers being up is too old then.
func (c *Core) checkSuspended(now time.Time, wall int64) {
	missed := suspension(c.now, c.wall, now, wall)
	if missed == 0 {
		return
	}
	c.resumedAt = now
	c.tenure.suspended(missed)
	for _, s := range c.servers {
		s.aliveAt = time.Time{}
	}
}
