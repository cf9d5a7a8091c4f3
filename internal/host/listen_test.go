package host_test

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/currantwinch/currantwinch/internal/host"
)

// Guards against a daemon that neither starts nor exits: another process listened at its
// readiness address, and the stop after the failed start waited for the callers' server, which
// nobody closed (scenario port-taken of the third review).
func TestHost_StartFailsIfAnAddressIsTaken(t *testing.T) {
	for _, name := range []string{"readiness", "callers"} {
		t.Run(name, func(t *testing.T) {
			s := newDeployment(t, 0)
			taken, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = taken.Close() }()
			settings := s.settings()
			free := freeAddress(t)
			settings.CallerAddress, settings.ReadinessAddress = free, taken.Addr().String()
			if name == "callers" {
				settings.CallerAddress, settings.ReadinessAddress = settings.ReadinessAddress, free
			}
			h, err := host.New(host.Options{Settings: settings, Events: s.events})
			if err != nil {
				t.Fatal(err)
			}
			ended := make(chan error, 1)
			go func() { ended <- h.Start(context.Background()) }()
			select {
			case err := <-ended:
				if err == nil {
					t.Error("started, although the address is taken")
				}
			case <-time.After(10 * time.Second):
				t.Fatal("the start neither succeeds nor fails")
			}
			if r, err := http.Get("http://" + free + "/"); err == nil {
				_ = r.Body.Close()
				t.Errorf("the free address is served after the start has failed: %s", r.Status)
			}
		})
	}
}
