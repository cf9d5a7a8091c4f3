package gateway_test

import (
	"bufio"
	"io"
	"log"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/currantwinch/currantwinch/internal/standin/contracttest"
	"github.com/currantwinch/currantwinch/internal/standin/memnet"
)

// handlerTransport is an http.RoundTripper that calls a handler without a network.
type handlerTransport struct{ http.Handler }

func (h handlerTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	w := httptest.NewRecorder()
	h.ServeHTTP(w, r)
	return w.Result(), nil
}

func TestCaller_Contract(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, rigOptions{daemons: 1, backends: 3, slots: 2, runTime: runFor(10 * time.Millisecond)})
		defer r.close()
		waitForBackends()
		contracttest.Callers(t, contracttest.CallerPlatform{
			Caller: handlerTransport{r.daemons[0].handler}, Runs: func() int { return len(r.runs()) },
		})
	})
}

// serveDaemon serves daemon 0 on an in-memory network.
func serveDaemon(t *testing.T, r *rig) (network *memnet.Network, stop func()) {
	network = memnet.New()
	network.SetLatencyBetween("caller", "daemon", 3*time.Millisecond)
	listener, err := network.Host("daemon", "north").Listen("daemon:80")
	if err != nil {
		t.Fatal(err)
	}
	server := r.daemons[0].Server()
	server.ErrorLog = log.New(io.Discard, "", 0)
	go func() { _ = server.Serve(listener) }()
	return network, func() {
		_ = server.Close()
		// net/http keeps a refused connection open for half a second.
		time.Sleep(time.Second)
	}
}

func TestCaller_ContractOverHTTP(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, rigOptions{daemons: 1, backends: 3, slots: 2, runTime: runFor(10 * time.Millisecond)})
		defer r.close()
		waitForBackends()
		network, stop := serveDaemon(t, r)
		defer stop()
		transport := &http.Transport{DialContext: network.Host("caller", "north").Dial}
		defer transport.CloseIdleConnections()
		contracttest.Callers(t, contracttest.CallerPlatform{Caller: transport, Runs: func() int { return len(r.runs()) }})
	})
}

// TestCaller_BrokenConnections sends malformed, incomplete and oversized requests.
// The daemon must respond or close the connection in time, run nothing, and still
// serve the next request.
func TestCaller_BrokenConnections(t *testing.T) {
	const head = "POST /v1/services/desk/requests/peek HTTP/1.1\r\nHost: d\r\nCaller: ann\r\n"
	cases := []struct {
		name, sent string
		// status is that of the status line, or empty if the connection is closed.
		status string
		within time.Duration
	}{
		{"not HTTP", "hello\r\n\r\n", "400", time.Second},
		{"header never ends", head, "", 6 * time.Second},
		{"header too large", head + "X: " + strings.Repeat("x", 64<<10) + "\r\n\r\n", "431", time.Second},
		{"body never comes", head + "Content-Length: 5\r\n\r\n", "400", 31 * time.Second},
		{"body stops short", head + "Content-Length: 5\r\n\r\nab", "400", 31 * time.Second},
		{"body of an unknown kind never comes", strings.Replace(head, "peek", "none", 1) + "Content-Length: 5\r\n\r\n", "404", time.Second},
		{"body too large never comes", head + "Transfer-Encoding: chunked\r\n\r\n401\r\n" + strings.Repeat("x", 0x401) + "\r\n", "413", time.Second},
		{"lengths conflict", head + "Content-Length: 1\r\nContent-Length: 2\r\n\r\nab", "400", time.Second},
		{"chunk too large", head + "Transfer-Encoding: chunked\r\n\r\nfff\r\n" + strings.Repeat("x", 0xfff) + "\r\n0\r\n\r\n", "413", time.Second},
		{"chunk malformed", head + "Transfer-Encoding: chunked\r\n\r\nzz\r\n", "400", time.Second},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := newRig(t, rigOptions{daemons: 1, backends: 3, slots: 2})
				defer r.close()
				waitForBackends()
				network, stop := serveDaemon(t, r)
				defer stop()
				conn, err := network.Host("caller", "north").Dial(t.Context(), "tcp", "daemon:80")
				if err != nil {
					t.Fatal(err)
				}
				defer func() { _ = conn.Close() }()
				_, _ = io.WriteString(conn, c.sent)
				_ = conn.SetReadDeadline(time.Now().Add(c.within))
				line, err := bufio.NewReader(conn).ReadString('\n')
				if c.status == "" && err != io.EOF || c.status != "" && !strings.Contains(line, " "+c.status+" ") {
					t.Errorf("got %q, %v, want %q within %v", line, err, c.status, c.within)
				}
				if n := len(r.runs()); n != 0 {
					t.Errorf("got %d runs, want none", n)
				}
				if p := r.daemons[0].send(t.Context(), "peek", "x"); p.status != 200 {
					t.Errorf("next request: got %+v, want status 200", p)
				}
			})
		})
	}
}
