// Package dispatch chooses which backend server a request goes to, by load,
// measured speed and locality, and puts aside servers that fail or hang by
// evidence, never more than a stated part of them. A server that was put aside
// is probed with single requests before it gets work again.
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
	// Free is how many requests could start, of Held slots.
	Free int
	Held int
	// Local is true in the daemon's own region.
	Local bool
}

// Outcome says how one request on a backend server ended.
type Outcome uint8

// The outcomes.
const (
	// Success is a whole answer, an application's own error included.
	Success Outcome = iota
	// Failure is a broken connection, a half answer or a server's own error.
	Failure
	// Timeout is no answer in time.
	Timeout
	// Cancelled says nothing about the server.
	Cancelled
)

// Result is what one request on a backend server has shown.
type Result struct {
	Outcome Outcome
	// Caller keeps one caller's bad requests from counting as evidence alone.
	Caller string
	// RunTime is the measured and Expected the predicted run time.
	RunTime         time.Duration
	ExpectedRunTime time.Duration
}

// Options tunes a Balancer. The zero value of a field takes its default.
type Options struct {
	// MaxEjectedFraction is the part of the backend servers that may be put aside at
	// once, rounded down.
	MaxEjectedFraction float64
	// RemotePenalty is the load that makes another region's server as good as
	// one of the own region.
	RemotePenalty float64
}

const (
	defaultMaxEjected    = 0.3
	defaultRemotePenalty = 4.0
)

// Balancer chooses backend servers. New makes one.
type Balancer struct {
	options Options
	servers map[string]*server
	ejected int
}

// server is what is known of one backend server.
type server struct {
	slots   int
	running int
	pace    *limit.Concurrency
	health  health
}

// New returns a Balancer that knows no backend servers.
func New(options Options) *Balancer {
	if options.MaxEjectedFraction <= 0 {
		options.MaxEjectedFraction = defaultMaxEjected
	}
	if options.RemotePenalty <= 0 {
		options.RemotePenalty = defaultRemotePenalty
	}
	return &Balancer{options: options, servers: make(map[string]*server)}
}

// Add makes a backend server known. It has no effect on one that is.
func (b *Balancer) Add(backend string, slots int) {
	if _, ok := b.servers[backend]; ok {
		return
	}
	b.servers[backend] = &server{slots: slots, pace: limit.NewConcurrency(slots)}
}

// Remove forgets a backend server that has left.
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
		if !ok || c.Free <= 0 || !s.accepts(now) {
			continue
		}
		score := b.score(s, c)
		if best < 0 || score < bestScore {
			best, bestScore = i, score
		}
	}
	return best, best >= 0
}

// LongWorkCandidates returns the candidates for long work: without those of the own
// region if no more than n of their slots are free, as short work may need
// them, and other regions have free ones. It reorders its argument.
func LongWorkCandidates(candidates []Candidate, n int) []Candidate {
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
	if local > n || len(remote) == 0 {
		return candidates
	}
	return remote
}

// ChooseLong is Choose for long work, where short work may soon need n slots of
// the own region: those are left alone while another region's server can be
// had. It reorders the candidates; the index is into their new order.
func (b *Balancer) ChooseLong(candidates []Candidate, n int, now time.Time) (int, bool) {
	if i, ok := b.Choose(LongWorkCandidates(candidates, n), now); ok {
		return i, true
	}
	return b.Choose(candidates, now)
}

// accepts reports whether the server may get one more request.
func (s *server) accepts(now time.Time) bool {
	if s.health.ejected {
		return s.running == 0 && !now.Before(s.health.probeAt)
	}
	return s.running < s.pace.Limit()
}

// score is lower for a better candidate: its part of slots in use, weighed by
// how slow the server is. A server due for a probe comes first, so that it is
// tried while others could take over.
func (b *Balancer) score(s *server, c Candidate) float64 {
	if s.health.ejected {
		return -1
	}
	load := (1 + float64(c.Held-c.Free)) / float64(max(c.Held, 1))
	score := load * s.pace.Slowness()
	if !c.Local {
		score += b.options.RemotePenalty
	}
	return score
}

// Started counts a request that was given to a backend server.
func (b *Balancer) Started(backend string) {
	s, ok := b.servers[backend]
	if !ok {
		return
	}
	s.running++
	s.health.probing = s.health.ejected
}

// Finished takes in how a request on a backend server ended.
func (b *Balancer) Finished(backend string, r Result, now time.Time) {
	s, ok := b.servers[backend]
	if !ok {
		return
	}
	running := s.running
	s.running = max(0, s.running-1)
	if r.Outcome == Success && r.ExpectedRunTime > 0 {
		s.pace.Observe(float64(r.RunTime)/float64(r.ExpectedRunTime), running)
	}
	b.judge(s, r, now)
}

// Status is what a Balancer knows of one backend server.
type Status struct {
	Running  int     `json:"running"`
	Limit    int     `json:"limit"`
	Slowness float64 `json:"slowness"`
	Ejected  bool    `json:"ejected"`
	// FailureRatio is the fading part of requests that failed.
	FailureRatio float64 `json:"failureRatio"`
}

// Status returns what is known of a backend server.
func (b *Balancer) Status(backend string) (Status, bool) {
	s, ok := b.servers[backend]
	if !ok {
		return Status{}, false
	}
	return Status{
		Running:      s.running,
		Limit:        s.pace.Limit(),
		Slowness:     s.pace.Slowness(),
		Ejected:      s.health.ejected,
		FailureRatio: s.health.ratio(),
	}, true
}

// Ejected returns how many backend servers are put aside.
func (b *Balancer) Ejected() int { return b.ejected }
