package peer_test

import (
	"bytes"
	"context"
	"crypto/tls"
	"log/slog"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/currantwinch/currantwinch/internal/certs"
	"github.com/currantwinch/currantwinch/internal/events"
	"github.com/currantwinch/currantwinch/internal/peer"
	"github.com/currantwinch/currantwinch/internal/standin/memnet"
	"github.com/currantwinch/currantwinch/internal/standin/testca"
	"github.com/currantwinch/currantwinch/verdict"
)

// logBuffer collects log output.
type logBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (l *logBuffer) Write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buf.Write(b)
}

func (l *logBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buf.String()
}

func newAuthority(t testing.TB) *testca.CellAuthorities {
	t.Helper()
	c, err := testca.NewCellAuthorities(t.TempDir(), time.Now)
	if err != nil {
		t.Fatal(err)
	}
	return c
}

func issue(t testing.TB, c *testca.CellAuthorities, r testca.Request) *certs.Store {
	t.Helper()
	files, err := c.Daemon(r)
	if err != nil {
		t.Fatal(err)
	}
	s, err := certs.Open(files, r.Name, time.Now)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

func TestSecurity_LogsRefusedConnections(t *testing.T) {
	cases := []struct {
		name string
		// caller returns the Security of daemon "a", which calls "b".
		caller func(t *testing.T, ours *testca.CellAuthorities) peer.Security
		event  string
	}{
		{"trusted authority", func(t *testing.T, ours *testca.CellAuthorities) peer.Security {
			return issue(t, ours, testca.Request{Name: "a"})
		}, ""},
		{"other authority", func(t *testing.T, ours *testca.CellAuthorities) peer.Security {
			return foreignCertificate(t, ours, newAuthority(t), testca.Request{Name: "a"})
		}, "unknown authority"},
		{"expired", func(t *testing.T, ours *testca.CellAuthorities) peer.Security {
			s := issue(t, ours, testca.Request{Name: "a", NotAfter: time.Now().Add(time.Hour)})
			time.Sleep(2 * time.Hour)
			return s
		}, "expired"},
		{"other name", func(t *testing.T, ours *testca.CellAuthorities) peer.Security {
			return issue(t, ours, testca.Request{Name: "c"})
		}, "valid for c"},
		{"none", func(*testing.T, *testca.CellAuthorities) peer.Security { return nil }, "first record"},
	}
	for _, tt := range cases {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				network, out := memnet.New(), &logBuffer{}
				defer network.Close()
				ours := newAuthority(t)
				b := startWith(t, network, "b", "b1", issue(t, ours, testca.Request{Name: "b"}), events.NewLogger(slog.New(slog.NewTextHandler(out, nil))))
				defer b.stop(t)
				a := startWith(t, network, "a", "a1", tt.caller(t, ours), events.Discard())
				defer a.stop(t)
				ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
				defer cancel()
				err := a.Call(ctx, "b", "echo", 1, nil)
				synctest.Wait()
				if tt.event == "" {
					if err != nil || out.String() != "" {
						t.Errorf("call: %v, events %q, want none", err, out)
					}
					return
				}
				if verdict.Of(err) != verdict.NotRun || b.handled.Load() != 0 {
					t.Errorf("verdict %v (%v), handled %d, want not run and 0", verdict.Of(err), err, b.handled.Load())
				}
				if text := out.String(); !strings.Contains(text, "peer_refused") || !strings.Contains(text, tt.event) {
					t.Errorf("events %q, want %q", text, tt.event)
				}
			})
		})
	}
}

// foreignCertificate returns the Security of a daemon that trusts our authority
// but has a certificate of the foreign one.
func foreignCertificate(t *testing.T, ours, foreign *testca.CellAuthorities, r testca.Request) peer.Security {
	t.Helper()
	return foreignSecurity{issue(t, foreign, r), issue(t, ours, testca.Request{Name: "trust"})}
}

type foreignSecurity struct {
	*certs.Store
	trust *certs.Store
}

func (f foreignSecurity) Client(daemon string) (c *tls.Config) {
	c = f.Store.Client(daemon)
	c.RootCAs = f.trust.Client(daemon).RootCAs
	return c
}

// Certificates and authorities are renewed while calls run. No call may fail, the
// open connection must stay, and a new connection must use the renewed files.
func TestSecurity_CertificateRenewalUnderLoad(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := memnet.New()
		defer network.Close()
		network.SetLatencyBetween("region-a", "region-b", 5*time.Millisecond)
		ours := newAuthority(t)
		stores := []*certs.Store{issue(t, ours, testca.Request{Name: "a"}), issue(t, ours, testca.Request{Name: "b"})}
		a := startWith(t, network, "a", "a1", stores[0], events.Discard())
		b := startWith(t, network, "b", "b1", stores[1], events.Discard())
		defer a.stop(t)
		defer b.stop(t)
		var calls sync.WaitGroup
		ends := time.Now().Add(6 * time.Second)
		for range 4 {
			calls.Go(func() {
				for time.Now().Before(ends) {
					if err := a.Call(t.Context(), "b", "echo", 1, nil); err != nil {
						t.Errorf("call: %v", err)
						return
					}
				}
			})
		}
		for serial := range int64(5) {
			time.Sleep(time.Second)
			for i, name := range []string{"a", "b"} {
				if _, err := ours.Daemon(testca.Request{Name: name, Serial: serial + 10}); err != nil {
					t.Fatal(err)
				}
				if changed, err := stores[i].Reload(); !changed || err != nil {
					t.Errorf("refresh %s: %v, %v", name, changed, err)
				}
			}
		}
		calls.Wait()
		if links := a.Dump().([]peer.LinkStatus); len(links) != 1 {
			t.Errorf("%d connections, want 1", len(links))
		}
		network.ResetConnections("a", "b")
		time.Sleep(time.Second)
		if err := a.Call(t.Context(), "b", "echo", 1, nil); err != nil {
			t.Errorf("call on a new connection: %v", err)
		}
	})
}

// BenchmarkCall measures one call over an open connection, without and with TLS.
func BenchmarkCall(b *testing.B) {
	for _, secure := range []bool{false, true} {
		b.Run(map[bool]string{false: "plain", true: "tls"}[secure], func(b *testing.B) {
			network := memnet.New()
			defer network.Close()
			ours := newAuthority(b)
			security := func(name string) peer.Security {
				if !secure {
					return nil
				}
				return issue(b, ours, testca.Request{Name: name})
			}
			from := startWith(b, network, "a", "a1", security("a"), events.Discard())
			to := startWith(b, network, "b", "b1", security("b"), events.Discard())
			defer from.stop(b)
			defer to.stop(b)
			for b.Loop() {
				if err := from.Call(b.Context(), "b", "echo", 1, nil); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
