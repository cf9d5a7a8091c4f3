package scheduler

import (
	"time"

	"github.com/currantwinch/currantwinch/workload"
)

// runKey names a run on a server.
type runKey struct {
	task workload.TaskID
	run  int
}

// server is the book of one backend server. What is reserved counts until the
// server lists its end, its life is over, or its lease has certainly lapsed.
type server struct {
	info ServerInfo
	// listed says that the platform's list names the server now.
	listed bool
	// stored says that the server is among the partition's records.
	stored bool
	// known says that the server has listed its runs to this epoch, so that
	// no earlier owner can start anything there.
	known bool
	// born is the life that the book is about.
	born int64
	// clock is the server's clock, in milliseconds, as of clockAt or later.
	clock   int64
	clockAt time.Time
	// until is the latest deadline sent, on the server's clock.
	until int64
	// free is what no attempt has reserved.
	free     workload.Resources
	attempts map[runKey]*attempt
	// unknown counts listed runs of submissions that have ended. Their size is
	// not known, so that nothing is placed beside them.
	unknown int
	// seen is the last end that the Core has dealt with; noted is the last one
	// that is stored too.
	seen, noted uint64
	// telling is what the look under way says of noted ends, and told what the
	// server is known to have heard.
	telling, told uint64
	// leavesAt is the earliest time at which a draining server may be gone; zero
	// where it did not say.
	leavesAt time.Time
	// lookedAt is when the last look was answered.
	lookedAt time.Time
	// looking says that a look is under way or due.
	looking bool
	// silentSince is when the server first failed to answer; zero if it answers.
	silentSince time.Time
	// avoidUntil keeps placements off a server that refused or failed.
	avoidUntil time.Time
	// faults counts the submissions in a row that failed here since the last good
	// end, faulty is the last of them, and rests how often the server has rested.
	faults int
	faulty string
	rests  int
}

func newServer(info ServerInfo) *server {
	return &server{info: info, free: info.Capacity, attempts: make(map[runKey]*attempt)}
}

func (s *server) life() Instance { return Instance{ID: s.info.ID, Address: s.info.Address} }

// usable reports whether tasks may be placed on the server now.
func (s *server) usable(now time.Time) bool {
	return s.listed && s.known && !s.info.Draining && s.unknown == 0 && s.silentSince.IsZero() && now.After(s.avoidUntil)
}

// clockNow returns a time that the server's clock has reached.
func (s *server) clockNow(now time.Time) int64 {
	elapsed := now.Sub(s.clockAt)
	return s.clock + int64(float64(elapsed.Milliseconds())/clockDrift)
}

// observe takes in a reading of the server's clock.
func (s *server) observe(clock int64, now time.Time) {
	if clock <= 0 {
		return
	}
	s.clock, s.clockAt = clock, now
}

// lapsed returns when all leases that were ever sent have ended.
func (s *server) lapsed() time.Time {
	left := time.Duration(s.until-s.clock) * time.Millisecond
	return s.clockAt.Add(time.Duration(float64(left)*clockDrift) + lapseSlack)
}

// failed takes in that a run failed here. Several failures of one submission
// are one piece of evidence, since they may be the submission's own.
func (s *server) failed(submission string) {
	if s.faulty == submission {
		return
	}
	s.faulty = submission
	s.faults++
}

func (s *server) succeeded() { s.faults, s.faulty, s.rests = 0, "", 0 }

// rest keeps placements off the server, longer each time until something
// succeeds on it. One more failure after a rest is enough for the next.
func (s *server) rest(now time.Time) time.Duration {
	d := min(minRest<<min(s.rests, maxDoublings), maxRest)
	s.rests++
	s.faults = faultLimit - 1
	s.avoidUntil = now.Add(d)
	return d
}

// hasLabel reports whether the server has a label; every server has the empty
// one.
func (s *server) hasLabel(label string) bool {
	if label == "" {
		return true
	}
	for _, l := range s.info.Labels {
		if l == label {
			return true
		}
	}
	return false
}

// attemptState is how far a run has come.
type attemptState uint8

const (
	// ordered means that the start was sent and not answered.
	ordered attemptState = iota
	running
	stopping
)

// attempt is one run of a task on a server.
type attempt struct {
	task   *task
	run    int
	server *server
	state  attemptState
	// sent is when the first start was sent.
	sent time.Time
	// answered is when the server took the start; a look that was sent later
	// must list the run or its end.
	answered time.Time
	need     workload.Resources
	ticket   string
	// sends counts the answered and unanswered starts.
	sends int
}

func (a *attempt) key() runKey { return runKey{a.task.id(), a.run} }

// reserve puts an attempt on the server's book.
func (s *server) reserve(a *attempt) {
	s.attempts[a.key()] = a
	s.free = s.free.Minus(a.need)
}

// release takes an attempt off the server's book.
func (s *server) release(a *attempt) {
	if s.attempts[a.key()] != a {
		return
	}
	delete(s.attempts, a.key())
	s.free = s.free.Plus(a.need)
}

// resize takes in a change of the server's capacity.
func (s *server) resize(capacity workload.Resources) {
	s.free = s.free.Plus(capacity.Minus(s.info.Capacity))
}
