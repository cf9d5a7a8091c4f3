package daemon

import (
	"context"
	"crypto/tls"
	"log"
	"net"
	"net/http"
	"sync/atomic"

	"github.com/currantwinch/currantwinch/internal/events"
	"github.com/currantwinch/currantwinch/internal/gateway"
	"github.com/currantwinch/currantwinch/internal/intake"
	"github.com/currantwinch/currantwinch/internal/operator"
	"github.com/pkg/errors"
)

// servers are the HTTP servers of callers and operators.
type servers struct {
	callers           *http.Server
	operators         *http.Server
	callersListener   net.Listener
	operatorsListener net.Listener
	reporter          *intake.Reporter
	done              chan struct{}
	active            atomic.Int64
}

func newServers(d *Daemon, g *gateway.Gateway, op *operator.Operator) *servers {
	s := &servers{reporter: d.reporter, done: make(chan struct{}, 2)}
	s.openListeners(d)
	s.callers = intake.NewServer(s.countInFlight(g.Handler()), d.o.Limits)
	s.operators = intake.NewServer(op.Handler(), d.o.Limits)
	s.callers.ErrorLog = serverErrorLog(d.base.Events, "callers")
	s.operators.ErrorLog = serverErrorLog(d.base.Events, "operators")
	return s
}

// openListeners bounds the connections of both listeners and adds TLS if the daemon
// has a certificate. Callers need no client certificate: they are identified by
// their requests.
func (s *servers) openListeners(d *Daemon) {
	o, l := d.o, d.o.Limits
	s.callersListener = intake.NewListener(o.Listeners.Callers, intake.ListenerOptions{
		Name: "callers", Connections: l.Connections, AddressConnections: l.AddressConnections, WriteTimeout: l.StallTimeout, Report: d.reporter,
	})
	s.operatorsListener = intake.NewListener(o.Listeners.Operators, intake.ListenerOptions{
		Name: "operators", Connections: l.OperatorConnections, WriteTimeout: l.StallTimeout, Report: d.reporter,
	})
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

// Dump returns an intake.Status: what clients take of the daemon.
func (s *servers) Dump() any { return s.reporter.Status() }
