package intake

import (
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/currantwinch/currantwinch/internal/standin/memnet"
)

// failingListener fails a number of accepts, as when descriptors are short.
type failingListener struct {
	net.Listener
	failures int
}

func (l *failingListener) Accept() (net.Conn, error) {
	if l.failures > 0 {
		l.failures--
		return nil, errors.New("too many open files")
	}
	return l.Listener.Accept()
}

// A failed accept ended the process. The listener must go on.
func TestListener_GoesOnAfterFailedAccepts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := memnet.New()
		defer network.Close()
		inner, err := network.Host("a", "r").Listen("a")
		if err != nil {
			t.Fatal(err)
		}
		l := NewListener(&failingListener{inner, 3}, ListenerOptions{Connections: 4})
		defer func() { _ = l.Close() }()
		go func() {
			if c, err := network.Host("b", "r").Dial(t.Context(), "tcp", "a"); err == nil {
				_ = c.Close()
			}
		}()
		c, err := l.Accept()
		if err != nil {
			t.Fatal(err)
		}
		_ = c.Close()
		if l.Open() != 0 {
			t.Errorf("%d connections open after the only one was closed, want 0", l.Open())
		}
	})
}

// answered sends one text to a server and returns all that comes back.
func answered(t *testing.T, address, text string) string {
	t.Helper()
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(30 * time.Second))
	if _, err := io.WriteString(c, text); err != nil {
		t.Fatal(err)
	}
	all, _ := io.ReadAll(c)
	return string(all)
}

// A body that stops must be answered with the refusal and its connection closed, and a
// declared length above the limit must be refused before it is read. Otherwise each
// unfinished body keeps a connection and its bytes for ever.
func TestBodies_RefuseWhatDoesNotCome(t *testing.T) {
	bodies := NewBodies(minBodyBytes, Limits{StallTimeout: 200 * time.Millisecond, BodyTimeout: time.Second}, nil)
	socket, err := Listen("127.0.0.1:0", SocketOptions{Connections: 4, Bytes: 32 * kilobyte})
	if err != nil {
		t.Fatal(err)
	}
	l := NewListener(socket, ListenerOptions{Name: "test", Connections: 4})
	s := NewServer(bodies.Protect(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := bodies.Read(w, r, BodyOptions{Limit: 1000})
		defer body.Release()
		if err != nil {
			w.WriteHeader(http.StatusServiceUnavailable)
			_, _ = io.WriteString(w, err.Error())
			return
		}
		// Longer than the bound on a stall, which must not end a call whose body has come.
		select {
		case <-r.Context().Done():
		case <-time.After(500 * time.Millisecond):
			_, _ = w.Write(body.Bytes)
		}
	})), LimitsFor(VM{}, Profile{}, Limits{}))
	go func() { _ = s.Serve(l) }()
	defer func() { _ = s.Close() }()
	for _, c := range []struct{ name, text, want string }{
		{"whole", "POST / HTTP/1.1\r\nHost: h\r\nConnection: close\r\nContent-Length: 5\r\n\r\nhello", "hello"},
		{"whole chunks", "POST / HTTP/1.1\r\nHost: h\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n", "hello"},
		{"stops short", "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 50\r\n\r\nhello", string(ReasonStalled)},
		{"declared too long", "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1001\r\n\r\n", ErrTooLarge.Error()},
		{"too long in chunks", "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3e9\r\n" + strings.Repeat("x", 1001) + "\r\n", ErrTooLarge.Error()},
	} {
		if got := answered(t, l.Addr().String(), c.text); !strings.Contains(got, c.want) {
			t.Errorf("%s: %q, want %q", c.name, got, c.want)
		}
	}
	if u := bodies.Budget.Usage(); u.Held != 0 {
		t.Errorf("%d bytes are held after all calls, want 0", u.Held)
	}
}

// A planned stop waits for the calls that are in progress. Bodies that never end kept it waiting
// until its time was over; they are refused when the budget stops.
func TestBodies_UnfinishedOnesEndWithTheDaemon(t *testing.T) {
	bodies := NewBodies(minBodyBytes, Limits{StallTimeout: time.Minute, BodyTimeout: time.Minute}, nil)
	refused := make(chan error, 3)
	s := httptest.NewServer(bodies.Protect(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := bodies.Read(w, r, BodyOptions{Limit: 200_000})
		body.Release()
		refused <- err
	})))
	defer s.Close()
	for _, length := range []string{"10", "100000"} {
		c, err := net.Dial("tcp", s.Listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = c.Close() }()
		_, _ = io.WriteString(c, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: "+length+"\r\n\r\nhello")
	}
	for bodies.Budget.Status().Requests < 2 {
		time.Sleep(time.Millisecond)
	}
	bodies.Budget.Stop(ReasonStopping)
	late := bodies.Budget.Begin(Client{}, 1, func() {})
	refused <- late.Take(1)
	late.End()
	for range 3 {
		var refusal *Refusal
		if err := <-refused; !errors.As(err, &refusal) || refusal.Reason != ReasonStopping {
			t.Errorf("%v, want %s", err, ReasonStopping)
		}
	}
}
