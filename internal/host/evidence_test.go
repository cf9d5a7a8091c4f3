package host_test

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/currantwinch/currantwinch/internal/scheduler"
	"github.com/currantwinch/currantwinch/partition"
	"github.com/currantwinch/currantwinch/platform"
)

// suspendedClaim is a log after whose first append the machine is suspended: the wall clock
// goes on, and the steady clock does not.
type suspendedClaim struct {
	partition.Log
	once    sync.Once
	suspend func()
}

func (l *suspendedClaim) Append(ctx context.Context, id partition.ID, fence partition.Fence, records []partition.Record) error {
	err := l.Log.Append(ctx, id, fence, records)
	l.once.Do(l.suspend)
	return err
}

// notedLeases is a client of backend servers that notes the leases sent in polls.
type notedLeases struct {
	scheduler.ServerClient
	polls, leases atomic.Int64
}

func (n *notedLeases) Poll(ctx context.Context, to scheduler.Instance, request scheduler.PollRequest) (scheduler.PollResponse, error) {
	n.polls.Add(1)
	if request.LeaseDeadlineMS > 0 {
		n.leases.Add(1)
	}
	return n.ServerClient.Poll(ctx, to, request)
}

// The machine of an owner is suspended for longer than a lease after the log has taken its
// claim, and before the owner has read the answer. The log is away when it resumes. Its
// claim is too old then for any lease: a later owner may have waited for it.
func TestEngine_SuspendedDuringItsClaim(t *testing.T) {
	s := newDeployment(t, 0)
	seen := s.addSlowServers(1)
	first := run(t, s.newTestEngine("first", seen...))
	first.submitSlowTask(t)
	s.await("started", func() bool { return s.servers[0].Runs(slowTask) })
	first.stop()

	client := platform.NewHTTPClient()
	link := &cutTransport{RoundTripper: client.Transport, cut: make(map[string]bool)}
	o := s.engineOptions("second", &http.Client{Transport: link}, seen...)
	var suspended atomic.Int64
	o.Wall = func() int64 { return time.Now().UnixMilli() + suspended.Load() }
	o.Log = &suspendedClaim{Log: o.Log, suspend: func() {
		suspended.Store((10 * time.Second).Milliseconds())
		link.set(s.address, true)
	}}
	noted := &notedLeases{ServerClient: o.Servers}
	o.Servers = noted
	second := run(t, scheduler.NewEngine(o))
	t.Cleanup(second.stop)
	s.await("claimed and polled", func() bool { return noted.polls.Load() > 2 })
	if n := noted.leases.Load(); n > 0 {
		t.Errorf("%d polls extend leases, on the evidence of a claim that is 10 s old by the wall clock, want none", n)
	}
}

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
