package host_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/currantwinch/currantwinch/internal/scheduler"
	"github.com/currantwinch/currantwinch/platform"
)

// The longest lease is shortened, and owners follow each other: the first one sent leases
// of 5 s, and the next two send leases of 1 s. Neither of these reaches the server. The
// third must wait for the leases of the first one as well, which has ended, or the task
// runs twice.
func TestEngine_LongerLeaseOfAnOwnerBeforeTheLastIsWaitedFor(t *testing.T) {
	const longer, shorter = 5 * time.Second, time.Second
	s := newDeployment(t, 0)
	seen := s.addSlowServers(2)
	o := s.engineOptions("first", platform.NewHTTPClient(), seen[:1]...)
	o.Bounds.MaxLease = longer
	first := run(t, scheduler.NewEngine(o))
	first.submitSlowTask(t)
	s.await("started", func() bool { return s.servers[0].Runs(slowTask) })
	first.stop()
	ended := time.Now()

	next := func(daemon string) runningEngine {
		client := platform.NewHTTPClient()
		link := &cutTransport{RoundTripper: client.Transport, cut: make(map[string]bool)}
		link.set(seen[0].Address, true)
		o := s.engineOptions(daemon, &http.Client{Transport: link}, seen...)
		o.Bounds.MaxLease = shorter
		return run(t, scheduler.NewEngine(o))
	}
	second := next("second")
	s.await("claimed", second.decided)
	second.stop()
	third := next("third")
	defer third.stop()
	s.await("started again", func() bool { return s.servers[1].Runs(slowTask) })
	if s.servers[0].Runs(slowTask) {
		t.Errorf("the task runs on two servers at once, %s after the first owner ended, whose leases lasted %s", time.Since(ended).Round(time.Millisecond), longer)
	}
}
