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

// Limits of the connections of callers and operators. The gateway limits the
// requests of callers.
const (
	headerTimeout  = 5 * time.Second
	idleTimeout    = 60 * time.Second
	maxHeaderBytes = 16 << 10
	maxConnections = 4096
)

// servers are the HTTP servers of callers and operators.
type servers struct {
	callers           *http.Server
	operators         *http.Server
	callersListener   net.Listener
	operatorsListener net.Listener
	done              chan struct{}
	active            atomic.Int64
}

func newServers(d *Daemon, g *gateway.Gateway, op *operator.Operator) *servers {
	s := &servers{operators: newServer(op.Handler()), done: make(chan struct{}, 2)}
	s.openListeners(d.o)
	s.callers = g.Server()
	s.callers.ErrorLog = serverErrorLog(d.base.Events, "callers")
	s.operators.ErrorLog = serverErrorLog(d.base.Events, "operators")
	s.callers.IdleTimeout = idleTimeout
	s.callers.Handler = s.countInFlight(s.callers.Handler)
	return s
}

// openListeners limits the connections of both listeners and adds TLS if the daemon
// has a certificate. Callers need no client certificate: they are identified by
// their requests.
func (s *servers) openListeners(o Options) {
	s.callersListener = limitListener(o.Listeners.Callers, maxConnections)
	s.operatorsListener = limitListener(o.Listeners.Operators, maxConnections)
	if o.Certificates != nil {
		s.callersListener = tls.NewListener(s.callersListener, o.Certificates.CallerServerConfig())
		s.operatorsListener = tls.NewListener(s.operatorsListener, o.Certificates.OperatorServerConfig())
	}
}

// serverErrorLog returns a logger that logs the errors of an HTTP server as events.
func serverErrorLog(l *events.Logger, server string) *log.Logger {
	return log.New(&events.LineWriter{Logger: l, Event: events.HTTPServerError, Field: "error", Attrs: []any{"door", server}}, "", 0)
}

// countInFlight counts the requests that are being handled.
func (s *servers) countInFlight(next http.Handler) http.Handler {
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

// Start starts serving on both listeners.
func (s *servers) Start(context.Context) error {
	go s.serve(s.callers, s.callersListener)
	go s.serve(s.operators, s.operatorsListener)
	return nil
}

func (s *servers) serve(server *http.Server, l net.Listener) {
	_ = server.Serve(l)
	s.done <- struct{}{}
}

// Stop closes the listeners and waits until every accepted request is answered or
// ctx ends.
func (s *servers) Stop(ctx context.Context) error {
	err := s.callers.Shutdown(ctx)
	if e := s.operators.Shutdown(ctx); err == nil {
		err = e
	}
	<-s.done
	<-s.done
	return errors.Wrap(err, "shut down HTTP servers before all requests were answered")
}

// kill closes all connections immediately.
func (s *servers) kill() {
	_ = s.callers.Close()
	_ = s.operators.Close()
}

// Dump returns an empty object, since the role has no state to report.
func (s *servers) Dump() any { return struct{}{} }
