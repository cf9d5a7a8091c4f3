// Package backendstandin is a small backend server for tests. It runs
// requests for a given time, goes wrong on demand, and records every run for
// an outside observer.
package backendstandin

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/currantwinch/currantwinch/internal/gateway"
)

// Options describe one backend server.
type Options struct {
	Name string
	// Slots is how many requests it promises to run at once.
	Slots int
	// RunTime is how long a request runs; nil runs each at once.
	RunTime func(gateway.Request) time.Duration
	// Fault says what goes wrong with a request; nil is nothing.
	Fault func(gateway.Request) Fault
}

// Run is one run of a request as seen on the backend server.
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
	// Running counts the runs in progress at the start, this one included.
	Running int
	// ExceedsSlots is set where the server was given more than it holds.
	ExceedsSlots bool
}

// Server is one backend server.
type Server struct {
	options Options
	stopped chan struct{}
	close   sync.Once
	active  sync.WaitGroup
	refuse  atomic.Bool

	mu      sync.Mutex
	leaving time.Time
	running int
	runs    []Run
	// open are the indexes of the runs in progress.
	open  []int
	taken []time.Time
}

// New returns a backend server.
func New(options Options) *Server {
	return &Server{options: options, stopped: make(chan struct{})}
}

// MarkLeaving makes the server decline all new work, as one that is about to stop.
func (s *Server) MarkLeaving(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leaving.IsZero() {
		s.leaving = now
	}
}

// SetUnreachable makes Direct find the server unreachable, or reachable again. Over
// HTTP, that is a matter of the listener.
func (s *Server) SetUnreachable(refuse bool) { s.refuse.Store(refuse) }

// Close ends every hung request and waits for the runs in progress.
func (s *Server) Close() {
	s.close.Do(func() { close(s.stopped) })
	s.active.Wait()
}

// Runs returns every run so far.
func (s *Server) Runs() []Run {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Run(nil), s.runs...)
}

// ArrivalTimes returns when requests arrived, declined ones included.
func (s *Server) ArrivalTimes() []time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]time.Time(nil), s.taken...)
}

// Status returns what the server says of itself.
func (s *Server) Status() gateway.BackendStatus {
	s.mu.Lock()
	defer s.mu.Unlock()
	status := gateway.BackendStatus{Leaving: !s.leaving.IsZero(), Slots: s.options.Slots, Running: s.running}
	for _, i := range s.open {
		status.RequestIDs = append(status.RequestIDs, s.runs[i].ID)
	}
	return status
}

func (s *Server) fault(r gateway.Request) Fault {
	s.mu.Lock()
	s.taken = append(s.taken, time.Now())
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

// run runs a request to its end, whatever became of its connection.
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
	s.open = slices.DeleteFunc(s.open, func(i int) bool { return i == index })
}

func (s *Server) begin(r gateway.Request) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running++
	s.runs = append(s.runs, Run{
		Server: s.options.Name, ID: r.ID, Key: r.Key, Caller: r.Caller, Service: r.Service, Kind: r.Kind,
		Start: time.Now(), Running: s.running, ExceedsSlots: s.running > s.options.Slots,
	})
	s.open = append(s.open, len(s.runs)-1)
	return len(s.runs) - 1
}

func (s *Server) hang(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-s.stopped:
	}
}
