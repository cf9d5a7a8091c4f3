package scheduler

import (
	"time"

	"github.com/currantwinch/currantwinch/tenant"
	"github.com/currantwinch/currantwinch/workload"
)

// runKey identifies a run on a server.
type runKey struct {
	task workload.TaskID
	run  int
}

// server is the scheduler's record of one backend server. The capacity of a run
// stays reserved until the server lists its end, its instance is gone, or its
// lease has expired beyond doubt.
type server struct {
	// session is what is known of the current instance.
	*session
	info ServerInfo
	// listed is set while the platform's list contains the server.
	listed bool
	// recorded is set once the server's record was written, and stored once that
	// is in the log.
	recorded, stored bool
	// entrySeenAt is when the instance of the server's entry was first listed.
	entrySeenAt time.Time
	// metStartedAtMS identifies the last instance that answered before it might be used,
	// and metAt is when it did so first.
	metStartedAtMS int64
	metAt          time.Time
	// recordedAddress is the address in the server's record.
	recordedAddress string
	// heard is set once the server has answered this owner.
	heard bool
	// waitRecorded is set if the last owner recorded that it has sent the server no
	// lease, and waitedBefore is how long no other owner can have by then.
	waitRecorded bool
	waitedBefore time.Duration
	// rejected is set if the log does not accept the server's record.
	rejected bool
	// inherited is set if an earlier owner recorded the server.
	inherited bool
	// free is the capacity that no attempt has reserved.
	free     workload.Resources
	attempts map[runKey]*attempt
	// seenFree is the free capacity that placement passes have seen, or what is left of it.
	// freedAt is the Core's freedSeq when more became free, and inFreed is set until the
	// steps that wait for capacity were examined for it.
	seenFree workload.Resources
	freedAt  uint64
	inFreed  bool
	// holds is the capacity that is held for gangs.
	holds []serverHold
	// instanceNumber is the Core's number of the instance that info describes.
	instanceNumber int
	// numbered is the instance that has that number; zero if none has.
	numbered serverInstance
	// departsAt is the earliest time at which a draining server may shut down;
	// zero if it gave none.
	departsAt time.Time
	// polledAt is when the last poll was answered.
	polledAt time.Time
	// failedPolls counts the polls since the last one that was answered.
	failedPolls int
	// unresponsiveSince is when the server stopped answering polls; zero while
	// it answers.
	unresponsiveSince time.Time
	// trial is the trial under way on the server, or nil. Nothing else is started
	// there meanwhile.
	trial *trial
	// silentBefore is when the server stopped responding to an earlier owner; zero if
	// that is not known.
	silentBefore time.Time
	// avoidUntil excludes the server from placement after a refusal or a
	// failure.
	avoidUntil time.Time
	// failures counts consecutive failed submissions since the last successful
	// run, lastFailedJob is the last of them, and quarantines counts the
	// quarantines since then.
	failures      int
	lastFailedJob string
	quarantines   int
	// usage counts what the attempts of each tenant reserve.
	usage *tenant.Ledger
}

func newServer(info ServerInfo, first *session) *server {
	return &server{session: first, info: info, free: info.Capacity, attempts: make(map[runKey]*attempt)}
}

func (s *server) instance() Instance {
	return Instance{ID: s.info.ID, Address: s.info.Address, Session: s.number}
}

// usable reports whether tasks may be placed on the server now.
func (s *server) usable(now time.Time) bool {
	return s.listed && s.synced && s.entryCurrent() && !s.info.Draining && s.unknownRuns == 0 && s.unresponsiveSince.IsZero() && now.After(s.avoidUntil)
}

// entryCurrent reports whether the platform's entry describes the instance that
// answers. The next instance may have another kind and another capacity, and its
// entry may come later than its answers, or earlier.
func (s *server) entryCurrent() bool {
	return s.info.StartedAtMS == 0 || s.startedAtMS == 0 || s.info.StartedAtMS == s.startedAtMS
}

// lastSeenAlive returns when the server stopped responding, or now while it
// responds.
func (s *server) lastSeenAlive(now time.Time) time.Time {
	if s.unresponsiveSince.IsZero() {
		return now
	}
	return s.unresponsiveSince
}

// recordFailure counts a failed run. Several failures of one submission count
// once, since the submission may be at fault.
func (s *server) recordFailure(submission string) {
	if s.lastFailedJob == submission {
		return
	}
	s.lastFailedJob = submission
	s.failures++
}

func (s *server) recordSuccess() { s.failures, s.lastFailedJob, s.quarantines = 0, "", 0 }

// quarantine excludes the server from placement, twice as long each time up to
// maxQuarantine, until a run succeeds on it. After a quarantine one more
// failure starts the next.
func (s *server) quarantine(now time.Time) time.Duration {
	d := min(minQuarantine<<min(s.quarantines, maxQuarantineDoublings), maxQuarantine)
	s.quarantines++
	s.failures = quarantineThreshold - 1
	s.avoidUntil = now.Add(d)
	return d
}

// hasLabel reports whether the server has a label. Every server matches the
// empty label.
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

// attemptState is the progress of an attempt.
type attemptState uint8

const (
	// startSent: the start order has been sent and is not confirmed.
	startSent attemptState = iota
	running
	stopping
)

// attempt is one run of a task on a server.
type attempt struct {
	task   *task
	run    int
	server *server
	state  attemptState
	// sentAt is when the first start order was sent.
	sentAt time.Time
	// answeredAt is when the server had confirmed the last order, by the time at which
	// the Core learned of it or later. A poll sent after it must list the run or its end.
	answeredAt time.Time
	need       workload.Resources
	ticket     string
	// grantedUntil is until when the run may last under a start that its server's next
	// instance has carried out, or may yet; zero if none can have.
	grantedUntil time.Time
	// resendDue is set while a further copy of the start waits for its server to answer.
	resendDue bool
	// startResults counts the start orders whose outcome was reported,
	// including those without an answer.
	startResults int
	// adopted is set if an earlier owner started the run, so that its age is not known.
	adopted bool
	// stopResults counts the stop orders that were not confirmed.
	stopResults int
}

func (a *attempt) key() runKey { return runKey{a.task.id(), a.run} }

// reserve adds an attempt to the server and reserves its capacity.
func (s *server) reserve(a *attempt) {
	s.attempts[a.key()] = a
	a.task.step.job().live++
	s.free = s.free.Minus(a.need)
	sub := a.task.step.job().sub
	s.usage.Reserve(sub.Tenant, a.need, sub.Excess)
	s.seenFree = s.seenFree.Minus(a.need)
}

// release removes an attempt from the server and frees its capacity.
func (s *server) release(a *attempt) {
	if s.attempts[a.key()] != a {
		return
	}
	delete(s.attempts, a.key())
	a.task.step.job().live--
	s.free = s.free.Plus(a.need)
	sub := a.task.step.job().sub
	s.usage.Release(sub.Tenant, a.need, sub.Excess)
}

// resize applies a change of the server's capacity.
func (s *server) resize(capacity workload.Resources) {
	s.free = s.free.Plus(capacity.Minus(s.info.Capacity))
}
