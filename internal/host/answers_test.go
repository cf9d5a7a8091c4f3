package host

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/currantwinch/currantwinch/internal/roles"
)

// lateListener accepts connections whose writes take a time.
type lateListener struct {
	net.Listener
	delay time.Duration
}

// Accept implements net.Listener.
func (l lateListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return lateConn{c, l.delay}, err
}

type lateConn struct {
	net.Conn
	delay time.Duration
}

// Write implements net.Conn.
func (c lateConn) Write(b []byte) (int, error) {
	time.Sleep(c.delay)
	return c.Conn.Write(b)
}

// Guards against a call that gets no answer (EOF) since the daemon that stops closes its connections
// in the moment between the return of the handler and the write of the answer: a call counts as in
// progress for as long as its connection is active.
func TestHost_StopLetsAnswersLeave(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	h := &Host{base: roles.Base{Now: time.Now}}
	calls, endCalls := context.WithCancel(t.Context())
	h.endCalls = endCalls
	h.callers = &http.Server{
		Handler: h.countInFlight(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			<-r.Context().Done()
			w.WriteHeader(http.StatusServiceUnavailable)
		})),
		BaseContext: func(net.Listener) context.Context { return calls },
	}
	h.connections.follow(h.callers)
	h.closeListener = func() { _ = listener.Close() }
	// The write ends after the handlers had to have ended, and before the stop has to.
	const writeTime = answerTime + flushTime/2
	go func() { _ = h.callers.Serve(lateListener{listener, writeTime}) }()
	answered := make(chan error, 1)
	go func() {
		response, err := http.Get("http://" + listener.Addr().String())
		if err == nil {
			_ = response.Body.Close()
		}
		answered <- err
	}()
	for h.InFlight() == 0 {
		time.Sleep(time.Millisecond)
	}
	ctx, cancel := context.WithTimeout(t.Context(), answerTime+endTime+50*time.Millisecond)
	defer cancel()
	if err := h.completeCalls(ctx); err != nil || ctx.Err() != nil {
		t.Errorf("the stop returned %v, at the end of its time: %v", err, ctx.Err())
	}
	if err := <-answered; err != nil {
		t.Errorf("a call that was handled got no answer: %v", err)
	}
}

// Guards against a call that gets no answer (EOF) since it comes in the moment in which the daemon
// accepts no more connections: net/http drops what it reads after Shutdown.
func TestHost_StopAnswersCallsOnTheLastConnections(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	h := &Host{base: roles.Base{Now: time.Now}, endCalls: func() {}}
	h.callers = &http.Server{Handler: h.countInFlight(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) }))}
	h.connections.follow(h.callers)
	h.closeListener = func() { _ = listener.Close() }
	go func() { _ = h.callers.Serve(listener) }()
	caller, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = caller.Close() }()
	for h.connections.unread() == 0 {
		time.Sleep(time.Millisecond)
	}
	ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
	defer cancel()
	stopped := make(chan error, 1)
	go func() { stopped <- h.completeCalls(ctx) }()
	time.Sleep(firstCallTime / 5)
	if _, err := caller.Write([]byte("GET / HTTP/1.1\r\nHost: h.example\r\n\r\n")); err != nil {
		t.Fatal(err)
	}
	response, err := http.ReadResponse(bufio.NewReader(caller), nil)
	if err != nil {
		t.Fatalf("a call on a connection that was accepted before the stop got no answer: %v", err)
	}
	_ = response.Body.Close()
	if response.StatusCode != http.StatusNoContent {
		t.Errorf("status %d, want 204", response.StatusCode)
	}
	if err := <-stopped; err != nil {
		t.Error(err)
	}
}
