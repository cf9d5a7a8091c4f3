package backendhttp_test

import (
	"context"
	"errors"
	"fmt"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/currantwinch/currantwinch/cluster"
	"github.com/currantwinch/currantwinch/dispatch"
	"github.com/currantwinch/currantwinch/internal/adapter/backendhttp"
	"github.com/currantwinch/currantwinch/internal/gateway"
	"github.com/currantwinch/currantwinch/internal/standin/backendstandin"
	"github.com/currantwinch/currantwinch/internal/standin/memnet"
	"github.com/currantwinch/currantwinch/verdict"
)

// faultyConn accepts a number of bytes after a delay and then fails.
type faultyConn struct {
	net.Conn
	takes int
	wait  time.Duration
}

func (c *faultyConn) Write(p []byte) (int, error) {
	time.Sleep(c.wait)
	return min(c.takes, len(p)), errors.New("broken")
}

func request(id string) gateway.Request {
	return gateway.Request{
		ID: id, Service: "desk", Kind: "check", Caller: "ann", Key: "k",
		Deadline: time.Now().Add(time.Second), SendBefore: time.Now().Add(100 * time.Millisecond), Body: []byte("x"),
	}
}

// TestClient_VerdictByBytesWritten checks the verdict of a request whose
// connection fails before, during and after its first write.
func TestClient_VerdictByBytesWritten(t *testing.T) {
	cases := []struct {
		name    string
		takes   int
		wait    time.Duration
		verdict verdict.Verdict
	}{
		{"nothing written", 0, 0, verdict.NotRun},
		{"one byte written", 1, 0, verdict.MayHaveRun},
		{"still writing at the deadline", 1, 2 * time.Second, verdict.MayHaveRun},
	}
	for _, c := range cases {
		synctest.Test(t, func(t *testing.T) {
			near, far := net.Pipe()
			defer func() { _ = far.Close() }()
			client := backendhttp.New(func(context.Context, string, string) (net.Conn, error) {
				return &faultyConn{Conn: near, takes: c.takes, wait: c.wait}, nil
			}, 1)
			_, err := client.Send(t.Context(), cluster.VM{Address: address}, request("1"))
			if got := verdict.Of(err); got != c.verdict {
				t.Errorf("%s: got %v (%v), want %v", c.name, got, err, c.verdict)
			}
		})
	}
}

// staleConn fails every write after the first read has returned, as a connection
// that the server has closed while it was idle.
type staleConn struct {
	net.Conn
	answered atomic.Bool
}

func (c *staleConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.answered.Store(true)
	return n, err
}

func (c *staleConn) Write(p []byte) (int, error) {
	if c.answered.Load() {
		return 0, errors.New("closed")
	}
	return c.Conn.Write(p)
}

// TestClient_StaleIdleConnections sends requests on idle connections that all turn
// out closed when they are reused. Each request must reach the server exactly once.
func TestClient_StaleIdleConnections(t *testing.T) {
	const turns, atOnce = 4, 4
	synctest.Test(t, func(t *testing.T) {
		network := memnet.New()
		p := newPlatformOn(t, network, backendstandin.Options{Name: "b", Slots: 8, RunTime: func(gateway.Request) time.Duration {
			return 10 * time.Millisecond
		}})
		defer p.Close()
		dial := network.Host("d", "north").Dial
		client := backendhttp.New(func(ctx context.Context, n, a string) (net.Conn, error) {
			conn, err := dial(ctx, n, a)
			return &staleConn{Conn: conn}, err
		}, 3*atOnce)
		defer client.CloseIdle(p.VM)
		for turn := range turns {
			var calls sync.WaitGroup
			for i := range atOnce {
				calls.Go(func() {
					if _, err := client.Send(t.Context(), p.VM, request(fmt.Sprint(turn, i))); err != nil {
						t.Errorf("turn %d: %v", turn, err)
					}
				})
			}
			calls.Wait()
		}
		if n := len(p.Server.ArrivalTimes()); n != turns*atOnce {
			t.Errorf("%d requests were offered, want %d", n, turns*atOnce)
		}
	})
}

// TestClient_ConnectionLimitAcrossDaemons moves all slots of a server from one of
// nine daemons to the next, and checks that the daemons together never open more
// than the 64 connections that the server accepts.
func TestClient_ConnectionLimitAcrossDaemons(t *testing.T) {
	const daemons, slots, accepts = 9, 8, 64
	synctest.Test(t, func(t *testing.T) {
		network := memnet.New()
		p := newPlatformOn(t, network, backendstandin.Options{Name: "b", Slots: slots, RunTime: func(gateway.Request) time.Duration {
			return 10 * time.Millisecond
		}})
		defer p.Close()
		most := dispatch.MaxConnections(accepts, slots, slots, daemons)
		var clients []*backendhttp.Client
		for i := range daemons {
			clients = append(clients, backendhttp.New(network.Host(fmt.Sprint("d", i), "north").Dial, most))
		}
		for turn := range 3 * daemons {
			var calls sync.WaitGroup
			for i := range slots {
				calls.Go(func() {
					if _, err := clients[turn%daemons].Send(t.Context(), p.VM, request(fmt.Sprint(turn, i))); err != nil {
						t.Error(err)
					}
				})
			}
			calls.Wait()
			_, _ = clients[(turn+1)%daemons].Status(t.Context(), p.VM)
		}
		if n := p.mostOpen(); n > accepts {
			t.Errorf("%d connections open at once, want at most %d", n, accepts)
		}
		for _, c := range clients {
			c.CloseIdle(p.VM)
		}
	})
}

// TestClient_LeaseExpiresBeforeConnection sends more requests than there are
// connections. Those that get a connection only after their SendBefore time must
// fail as not run.
func TestClient_LeaseExpiresBeforeConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPlatform(t, backendstandin.Options{Name: "b", Slots: 8, RunTime: func(gateway.Request) time.Duration {
			return 500 * time.Millisecond
		}})
		defer p.Close()
		var errs [8]error
		var calls sync.WaitGroup
		for i := range errs {
			calls.Go(func() {
				_, errs[i] = p.Backends.Send(t.Context(), p.VM, request(strings.Repeat("i", i+1)))
			})
		}
		calls.Wait()
		late := 0
		for _, err := range errs {
			if err != nil && verdict.Of(err) == verdict.NotRun && verdict.ReasonOf(err) == gateway.ReasonLeaseExpired {
				late++
			}
		}
		if n := len(p.Server.Runs()); n != connections || late != len(errs)-connections {
			t.Errorf("got %d runs and %d late, want %d and the rest: %v", n, late, connections, errs)
		}
	})
}
