package host_test

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/currantwinch/currantwinch/internal/scheduler"
	"github.com/currantwinch/currantwinch/partition"
	"github.com/currantwinch/currantwinch/platform"
)

// slowReads is a log that answers reads after a delay.
type slowReads struct {
	partition.Log
	delay time.Duration
}

func (l slowReads) Read(ctx context.Context, id partition.ID, from uint64, wait time.Duration) (partition.Batch, error) {
	select {
	case <-time.After(l.delay):
		return l.Log.Read(ctx, id, from, wait)
	case <-ctx.Done():
		return partition.Batch{}, ctx.Err()
	}
}

// A server is lost while nothing else happens in its partition, and the log answers reads
// after 1.5 s. The owner needs one read to take the server's leases for over. It must get it
// and start the task again: no other append or read would come.
func TestEngine_LostRunStartsAgainWhileReadsAreSlow(t *testing.T) {
	s := newDeployment(t, 0)
	seen := s.addSlowServers(2)
	client := platform.NewHTTPClient()
	link := &cutTransport{RoundTripper: client.Transport, cut: make(map[string]bool)}
	o := s.engineOptions("first", &http.Client{Transport: link}, seen...)
	o.Bounds.MaxLease = testLease
	o.Log = slowReads{o.Log, 1500 * time.Millisecond}
	o.Witnesses = witnessesOf{newDaemonNetwork("first", "second", "third"), "first", o.Partition}
	// Witnesses count if they are clearly older than the claim.
	time.Sleep(testLease)
	first := run(t, scheduler.NewEngine(o))
	t.Cleanup(first.stop)
	s.await("owned", func() bool { return first.Epoch() > 0 })
	first.submitSlowTask(t)
	runs := func(i int) bool { return s.servers[i].Runs(slowTask) }
	s.await("started", func() bool { return runs(0) || runs(1) })
	at, other := 0, 1
	if runs(1) {
		at, other = 1, 0
	}
	time.Sleep(2 * testLease)
	if !runs(at) {
		t.Fatal("the lease expired while the log was slow")
	}
	link.set(seen[at].Address, true)
	s.await("started again", func() bool { return runs(other) })
}
