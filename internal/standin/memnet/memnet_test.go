package memnet_test

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/currantwinch/currantwinch/internal/standin/memnet"
)

const address = "10.0.0.2:7000"

type echo struct {
	network *memnet.Network
	a, b    *memnet.Host
	l       net.Listener
}

// newEcho starts an echo server on host b, with 12 ms of latency each way.
func newEcho(t *testing.T) *echo {
	t.Helper()
	n := memnet.New()
	e := &echo{network: n, a: n.Host("a", "north"), b: n.Host("b", "south")}
	n.SetLatencyBetween("north", "south", 12*time.Millisecond)
	l, err := e.b.Listen(address)
	if err != nil {
		t.Fatal(err)
	}
	e.l = l
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() { _, _ = io.Copy(c, c); _ = c.Close() }()
		}
	}()
	return e
}

func (e *echo) dial(t *testing.T) net.Conn {
	t.Helper()
	c, err := e.a.Dial(t.Context(), "tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	return c
}

func roundTrip(c net.Conn) (time.Duration, error) {
	start := time.Now()
	if _, err := c.Write([]byte("x")); err != nil {
		return 0, err
	}
	_, err := io.ReadFull(c, make([]byte, 1))
	return time.Since(start), err
}

func TestLatency_ByRegion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newEcho(t)
		defer e.network.Close()
		start := time.Now()
		c := e.dial(t)
		defer c.Close()
		if d := time.Since(start); d != 24*time.Millisecond {
			t.Errorf("dial took %v, want 24ms", d)
		}
		if d, err := roundTrip(c); err != nil || d != 24*time.Millisecond {
			t.Errorf("round trip took %v, %v, want 24ms", d, err)
		}
		if got := e.network.BytesSent("north", "south"); got != 1 {
			t.Errorf("BytesSent is %d, want 1", got)
		}
	})
}

func TestNetwork_Faults(t *testing.T) {
	tests := []struct {
		name  string
		fault func(n *memnet.Network)
		want  error
	}{
		{"blocked one way", func(n *memnet.Network) { n.Block("south", "north") }, os.ErrDeadlineExceeded},
		{"partitioned", func(n *memnet.Network) { n.Partition("a", "b") }, os.ErrDeadlineExceeded},
		{"paused", func(n *memnet.Network) { n.Pause("b") }, os.ErrDeadlineExceeded},
		{"reset", func(n *memnet.Network) { n.ResetConnections("b", "a") }, syscall.ECONNRESET},
		{"crash", func(n *memnet.Network) { n.Crash("b") }, syscall.ECONNRESET},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				e := newEcho(t)
				defer e.network.Close()
				c := e.dial(t)
				defer c.Close()
				_ = c.SetDeadline(time.Now().Add(time.Second))
				tt.fault(e.network)
				if _, err := roundTrip(c); !errors.Is(err, tt.want) {
					t.Errorf("got %v, want %v", err, tt.want)
				}
			})
		})
	}
}

// Data sent during a partition must arrive once the partition is healed, with
// the latency of the link counted from then.
func TestHeal_DeliversHeldData(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newEcho(t)
		defer e.network.Close()
		c := e.dial(t)
		defer c.Close()
		e.network.Partition("a", "b")
		time.AfterFunc(time.Second, func() { e.network.Heal("a", "b") })
		d, err := roundTrip(c)
		if want := time.Second + 24*time.Millisecond; err != nil || d != want {
			t.Errorf("got %v, %v, want %v", d, err, want)
		}
	})
}

func TestDial_Faults(t *testing.T) {
	tests := []struct {
		name  string
		fault func(e *echo)
		want  error
	}{
		{"refusing", func(e *echo) { e.network.SetRefusing("b", true) }, syscall.ECONNREFUSED},
		{"no listener", func(e *echo) { _ = e.l.Close() }, syscall.ECONNREFUSED},
		{"cut", func(e *echo) { e.network.Block("a", "b") }, context.DeadlineExceeded},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				e := newEcho(t)
				defer e.network.Close()
				tt.fault(e)
				ctx, cancel := context.WithTimeout(t.Context(), time.Second)
				defer cancel()
				if _, err := e.a.Dial(ctx, "tcp", address); !errors.Is(err, tt.want) {
					t.Errorf("got %v, want %v", err, tt.want)
				}
			})
		})
	}
}

func TestNetwork_CarriesHTTP(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := memnet.New()
		l, err := n.Host("b", "").Listen(address)
		if err != nil {
			t.Fatal(err)
		}
		body := make([]byte, 1<<20)
		server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body)
			_, _ = w.Write(body)
		})}
		go func() { _ = server.Serve(l) }()
		defer server.Close()
		defer n.Close()
		transport := &http.Transport{DialContext: n.Host("a", "").Dial}
		defer transport.CloseIdleConnections()
		answer, err := (&http.Client{Transport: transport}).Get("http://" + address)
		if err != nil {
			t.Fatal(err)
		}
		defer answer.Body.Close()
		if got, err := io.ReadAll(answer.Body); err != nil || len(got) != len(body) {
			t.Errorf("read %d bytes, %v", len(got), err)
		}
	})
}
