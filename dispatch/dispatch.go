// Package dispatch chooses the backend server for a request by load, measured speed
// and region. It ejects servers whose requests fail or time out (outlier
// detection), but never more than Options.MaxEjectedFraction of them. An ejected
// server is probed with single requests before it gets work again.
//
// A daemon has a Balancer for each pool. It passes Choose the servers on which it
// holds free slots, and reports the start and the outcome of each request.
//
// A Balancer is not safe for concurrent use, does no I/O and reads no clock.
package dispatch

import (
	"time"

	"github.com/currantwinch/currantwinch/limit"
)

// Candidate is a backend server on which the daemon could start a request.
type Candidate struct {
	Backend string
	// Free is the number of free slots of the Held ones.
	Free int
	Held int
	// Local is set if the server is in the daemon's own region.
	Local bool
}

// Outcome is how a request on a backend server ended.
type Outcome uint8

// The outcomes.
const (
	// Success is a complete response, which may be an application's error.
	Success Outcome = iota
	// Failure is a broken connection, an incomplete response or an error of the
	// server itself.
	Failure
	// Timeout means that no response arrived in time.
	Timeout
	// Cancelled is an end that is no evidence about the server's health.
	Cancelled
)

// Result is the result of one request on a backend server.
type Result struct {
	Outcome Outcome
	// Caller is the caller of the request. Failures of a single caller's requests
	// do not eject a server, as the requests themselves may be the cause.
	Caller string
	// RunTime is the measured run time and ExpectedRunTime the predicted one.
	RunTime         time.Duration
	ExpectedRunTime time.Duration
}

// Options configures a Balancer. A zero field takes its default.
type Options struct {
	// MaxEjectedFraction bounds the number of ejected backend servers, as a
	// fraction of all that is rounded down.
	MaxEjectedFraction float64
	// RemotePenalty is added to the load score of another region's server.
	RemotePenalty float64
}

const (
	defaultMaxEjected    = 0.3
	defaultRemotePenalty = 4.0
)

// Balancer chooses backend servers. Use New to create one.
type Balancer struct {
	options Options
	servers map[string]*server
	ejected int
}

// server is the state of one backend server.
type server struct {
	slots       int
	running     int
	concurrency *limit.Concurrency
	health      health
}

// New returns a Balancer without backend servers.
func New(options Options) *Balancer {
	if options.MaxEjectedFraction <= 0 {
		options.MaxEjectedFraction = defaultMaxEjected
	}
	if options.RemotePenalty <= 0 {
		options.RemotePenalty = defaultRemotePenalty
	}
	return &Balancer{options: options, servers: make(map[string]*server)}
}

// Add adds a backend server. It has no effect if the server was added before.
func (b *Balancer) Add(backend string, slots int) {
	if _, ok := b.servers[backend]; ok {
		return
	}
	b.servers[backend] = &server{slots: slots, concurrency: limit.NewConcurrency(slots)}
}

// Remove removes a backend server.
func (b *Balancer) Remove(backend string) {
	s, ok := b.servers[backend]
	if !ok {
		return
	}
	if s.health.ejected {
		b.ejected--
	}
	delete(b.servers, backend)
}

// Choose returns the index of the best candidate, or false if none should get
// work now.
func (b *Balancer) Choose(candidates []Candidate, now time.Time) (int, bool) {
	best, bestScore := -1, 0.0
	for i, c := range candidates {
		s, ok := b.servers[c.Backend]
		if !ok || c.Free <= 0 || !s.acceptsRequest(now) {
			continue
		}
		score := b.score(s, c)
		if best < 0 || score < bestScore {
			best, bestScore = i, score
		}
	}
	return best, best >= 0
}

// LongWorkCandidates returns the candidates for long work. If no more than the
// reserved number of slots are free in the daemon's own region, which short work may
// need, it returns only those of other regions, if there are any. It reorders its
// argument.
func LongWorkCandidates(candidates []Candidate, reserved int) []Candidate {
	local := 0
	remote := candidates[:0]
	for i, c := range candidates {
		if c.Local {
			local += c.Free
			continue
		}
		candidates[i], candidates[len(remote)] = candidates[len(remote)], c
		remote = remote[:len(remote)+1]
	}
	if local > reserved || len(remote) == 0 {
		return candidates
	}
	return remote
}

// ChooseLong is Choose for long work while the reserved number of slots of the
// daemon's own region is kept free for short work, as long as a server of another
// region accepts the request. It reorders the candidates; the index refers to the
// new order.
func (b *Balancer) ChooseLong(candidates []Candidate, reserved int, now time.Time) (int, bool) {
	if i, ok := b.Choose(LongWorkCandidates(candidates, reserved), now); ok {
		return i, true
	}
	return b.Choose(candidates, now)
}

// acceptsRequest reports whether the server may get one more request.
func (s *server) acceptsRequest(now time.Time) bool {
	if s.health.ejected {
		return s.running == 0 && !now.Before(s.health.probeAt)
	}
	return s.running < s.concurrency.Limit()
}

// score returns the candidate's score, lower for a better one: its fraction of slots
// in use, multiplied by its slowness. An ejected server that is due for a probe comes
// first, so that it is probed while other servers can still serve a retry.
func (b *Balancer) score(s *server, c Candidate) float64 {
	if s.health.ejected {
		return -1
	}
	load := (1 + float64(c.Held-c.Free)) / float64(max(c.Held, 1))
	score := load * s.concurrency.Slowness()
	if !c.Local {
		score += b.options.RemotePenalty
	}
	return score
}

// Started records that a request was sent to a backend server.
func (b *Balancer) Started(backend string) {
	s, ok := b.servers[backend]
	if !ok {
		return
	}
	s.running++
	s.health.probing = s.health.ejected
}

// Finished records the end of a request on a backend server.
func (b *Balancer) Finished(backend string, r Result, now time.Time) {
	s, ok := b.servers[backend]
	if !ok {
		return
	}
	running := s.running
	s.running = max(0, s.running-1)
	if r.Outcome == Success && r.ExpectedRunTime > 0 {
		s.concurrency.Observe(float64(r.RunTime)/float64(r.ExpectedRunTime), running)
	}
	b.recordOutcome(s, r, now)
}

// Status is the state of one backend server, for logs and diagnostics.
type Status struct {
	Running  int     `json:"running"`
	Limit    int     `json:"limit"`
	Slowness float64 `json:"slowness"`
	Ejected  bool    `json:"ejected"`
	// FailureRatio is the fraction of requests that failed, with older outcomes
	// weighted less.
	FailureRatio float64 `json:"failureRatio"`
}

// Status returns the state of a backend server, or false if it was not added.
func (b *Balancer) Status(backend string) (Status, bool) {
	s, ok := b.servers[backend]
	if !ok {
		return Status{}, false
	}
	return Status{
		Running:      s.running,
		Limit:        s.concurrency.Limit(),
		Slowness:     s.concurrency.Slowness(),
		Ejected:      s.health.ejected,
		FailureRatio: s.health.failureRatio(),
	}, true
}

// Ejected returns the number of ejected backend servers.
func (b *Balancer) Ejected() int { return b.ejected }
