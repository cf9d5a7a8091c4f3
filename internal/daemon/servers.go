package daemon

import (
	"context"
	"crypto/tls"
	"log"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/currantwinch/currantwinch/internal/events"
	"github.com/currantwinch/currantwinch/internal/gateway"
	"github.com/currantwinch/currantwinch/internal/operator"
	"github.com/pkg/errors"
)

// Bounds of the callers' and operators' connections. What a caller may send is
// bounded by the gateway.
const (
	headerTimeout  = 5 * time.Second
	idleTimeout    = 60 * time.Second
	maxHeaderBytes = 16 << 10
	maxConnections = 4096
)

// servers are the HTTP servers of callers and operators.
type servers struct {
	callers       *http.Server
	operators     *http.Server
	callersDoor   net.Listener
	operatorsDoor net.Listener
	done          chan struct{}
	active        atomic.Int64
}

func newServers(d *Daemon, g *gateway.Gateway, op *operator.Operator) *servers {
	s := &servers{operators: newServer(op.Handler()), done: make(chan struct{}, 2)}
	s.secure(d.o)
	s.callers = g.Server()
	s.callers.ErrorLog = doorLog(d.base.Events, "callers")
	s.operators.ErrorLog = doorLog(d.base.Events, "operators")
	s.callers.IdleTimeout = idleTimeout
	s.callers.Handler = s.counted(s.callers.Handler)
	return s
}

// secure bounds both doors and puts TLS before them, if there is a
// certificate. Callers show none: who they are is said in the request.
func (s *servers) secure(o Options) {
	s.callersDoor = limitListener(o.Listeners.Callers, maxConnections)
	s.operatorsDoor = limitListener(o.Listeners.Operators, maxConnections)
	if o.Certificates != nil {
		s.callersDoor = tls.NewListener(s.callersDoor, o.Certificates.Callers())
		s.operatorsDoor = tls.NewListener(s.operatorsDoor, o.Certificates.Operators())
	}
}

// doorLog turns what the HTTP server logs into events.
func doorLog(l *events.Logger, door string) *log.Logger {
	return log.New(&events.LineWriter{Logger: l, Event: events.HTTPServerError, Field: "error", Attrs: []any{"door", door}}, "", 0)
}

// counted keeps the number of requests that were taken and not answered yet.
func (s *servers) counted(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.active.Add(1)
		defer s.active.Add(-1)
		next.ServeHTTP(w, r)
	})
}

func (s *servers) inFlight() int { return int(s.active.Load()) }

func newServer(h http.Handler) *http.Server {
	return &http.Server{
		Handler:           h,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
}

// Start begins to serve on both listeners.
func (s *servers) Start(context.Context) error {
	go s.serve(s.callers, s.callersDoor)
	go s.serve(s.operators, s.operatorsDoor)
	return nil
}

func (s *servers) serve(server *http.Server, l net.Listener) {
	_ = server.Serve(l)
	s.done <- struct{}{}
}

// Stop closes the listeners once every request that was taken is answered.
func (s *servers) Stop(ctx context.Context) error {
	err := s.callers.Shutdown(ctx)
	if e := s.operators.Shutdown(ctx); err == nil {
		err = e
	}
	<-s.done
	<-s.done
	return errors.Wrap(err, "requests were cut off")
}

// kill drops every connection.
func (s *servers) kill() {
	_ = s.callers.Close()
	_ = s.operators.Close()
}

// Dump returns nothing of its own.
func (s *servers) Dump() any { return struct{}{} }
