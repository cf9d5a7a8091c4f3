// Package backendstandin provides a backend server for tests. It runs each
// request for a configured time, injects faults on demand, and records every
// run so that a test can check afterwards what ran, when and how often.
package backendstandin

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/currantwinch/currantwinch/internal/gateway"
)

// Options configures one backend server.
type Options struct {
	Name string
	// Slots is the number of requests it declares to run concurrently.
	Slots int
	// RunTime returns the run time of a request; nil means zero for all.
	RunTime func(gateway.Request) time.Duration
	// Fault returns the fault to inject into a request; nil means none.
	Fault func(gateway.Request) Fault
}

// Run records one execution of a request on the backend server.
type Run struct {
	Server  string
	ID      string
	Key     string
	Caller  string
	Service string
	Kind    string
	Start   time.Time
	// End is zero while the request runs.
	End time.Time
	// Running is the number of runs in progress at the start, including this one.
	Running int
	// ExceedsSlots is set if Running was greater than Options.Slots.
	ExceedsSlots bool
}

type Server struct {
	options     Options
	stopped     chan struct{}
	close       sync.Once
	active      sync.WaitGroup
	unreachable atomic.Bool

	mu      sync.Mutex
	leaving time.Time
	running int
	runs    []Run
	// inProgress holds the indexes in runs of the runs in progress.
	inProgress []int
	arrivals   []time.Time
}

func New(options Options) *Server {
	return &Server{options: options, stopped: make(chan struct{})}
}

// MarkLeaving makes the server decline every later request, as a server does
// that is shutting down. Only the first call has an effect.
func (s *Server) MarkLeaving(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leaving.IsZero() {
		s.leaving = now
	}
}

// SetUnreachable makes calls through InProcess fail as if the server were
// unreachable, or ends that. It has no effect on Handler: over HTTP, a test
// closes the listener instead.
func (s *Server) SetUnreachable(unreachable bool) { s.unreachable.Store(unreachable) }

// Close releases the requests held by FaultHang and waits for the runs in progress.
func (s *Server) Close() {
	s.close.Do(func() { close(s.stopped) })
	s.active.Wait()
}

// Runs returns a copy of all runs so far, in the order of their start.
func (s *Server) Runs() []Run {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Run(nil), s.runs...)
}

// ArrivalTimes returns the arrival time of every request, including those declined.
func (s *Server) ArrivalTimes() []time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]time.Time(nil), s.arrivals...)
}

// Status returns the status that the server reports to daemons.
func (s *Server) Status() gateway.BackendStatus {
	s.mu.Lock()
	defer s.mu.Unlock()
	status := gateway.BackendStatus{Leaving: !s.leaving.IsZero(), Slots: s.options.Slots, Running: s.running}
	for _, i := range s.inProgress {
		status.RequestIDs = append(status.RequestIDs, s.runs[i].ID)
	}
	return status
}

func (s *Server) fault(r gateway.Request) Fault {
	s.mu.Lock()
	s.arrivals = append(s.arrivals, time.Now())
	leaving := !s.leaving.IsZero()
	s.mu.Unlock()
	if s.options.Fault != nil {
		if f := s.options.Fault(r); f != FaultNone {
			return f
		}
	}
	if leaving {
		return FaultDecline
	}
	return FaultNone
}

// run executes a request to its end, even if its connection has broken.
func (s *Server) run(r gateway.Request, slow bool) {
	s.active.Add(1)
	defer s.active.Done()
	index := s.begin(r)
	if s.options.RunTime != nil {
		d := s.options.RunTime(r)
		if slow {
			d *= SlowFactor
		}
		time.Sleep(d)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
	s.runs[index].End = time.Now()
	s.inProgress = slices.DeleteFunc(s.inProgress, func(i int) bool { return i == index })
}

func (s *Server) begin(r gateway.Request) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running++
	s.runs = append(s.runs, Run{
		Server: s.options.Name, ID: r.ID, Key: r.Key, Caller: r.Caller, Service: r.Service, Kind: r.Kind,
		Start: time.Now(), Running: s.running, ExceedsSlots: s.running > s.options.Slots,
	})
	s.inProgress = append(s.inProgress, len(s.runs)-1)
	return len(s.runs) - 1
}

func (s *Server) hang(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-s.stopped:
	}
}
