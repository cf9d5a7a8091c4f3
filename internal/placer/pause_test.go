package placer

import (
	"context"
	"testing"
	"time"

	"github.com/currantwinch/currantwinch/cluster"
	"github.com/currantwinch/currantwinch/duty"
	"github.com/currantwinch/currantwinch/internal/events"
	"github.com/currantwinch/currantwinch/internal/roles"
	"github.com/currantwinch/currantwinch/placement/lease"
)

// pausedDaemon is a daemon that is stopped for a while right after it has asked for its
// ownership leases. It holds one rack until ends, and records what it sends to the rack's
// worker, whose clock is the time since start.
type pausedDaemon struct {
	roles.Owners
	Workers
	start, now, ends time.Time
	pause            time.Duration
	// effectiveSince is when the lease began, and renewedUntil the last lease sent.
	effectiveSince time.Time
	renewedUntil   WorkerTime
}

var pausedRack = cluster.Share{Kind: cluster.ShareRack, Name: "r"}

func newPausedDaemon() (*pausedDaemon, *Placer) {
	d := &pausedDaemon{start: time.Unix(1000, 0), now: time.Unix(1000, 0)}
	clock := func() time.Time { return d.now }
	p := &Placer{o: Options{
		Base: roles.Base{Now: clock, Duties: duty.New(clock), Events: events.Discard()}, Owners: d, Workers: d, Members: noMembers{},
	}, metrics: newMetrics(nil)}
	p.allocator = newAllocator(p)
	return d, p
}

func (d *pausedDaemon) Lease(cluster.Share) (roles.Lease, bool) {
	l, ok := roles.Lease{Share: pausedRack, Epoch: 1, Until: d.ends}, d.now.Before(d.ends)
	d.now = d.now.Add(d.pause)
	return l, ok
}

// Leases returns a lease that has become effective at the end of the pause.
func (d *pausedDaemon) Leases() []roles.Lease {
	d.now = d.now.Add(d.pause)
	d.effectiveSince = d.now
	return []roles.Lease{{Share: pausedRack, Epoch: 1, EffectiveSince: d.now, Until: d.now.Add(3 * time.Second)}}
}

func (d *pausedDaemon) Renew(_ context.Context, _ cluster.VM, r RenewRequest) (Inventory, error) {
	d.renewedUntil = r.LeaseUntil
	return Inventory{BootID: r.BootID, Clock: WorkerTime(d.now.Sub(d.start))}, nil
}

type noMembers struct{ roles.Members }

func (noMembers) VMs() []cluster.VM { return nil }

// A daemon is stopped between its look at the ownership lease and the renewal of the
// workers' leases, until after the end of the ownership lease. The next owner counts one
// lease from then for a worker that it does not reach: what the renewal grants must not
// last longer.
func TestPoll_RenewalAfterAPauseGrantsNoLeaseBeyondOwnership(t *testing.T) {
	d, p := newPausedDaemon()
	d.ends, d.pause = d.now.Add(3*time.Second), 20*time.Second
	pl := &poll{
		p: p, rack: newRack(p.allocator, roles.Lease{Share: pausedRack, Epoch: 1}, d.now), bootID: "b",
		clockReading: lease.Reading{SentAt: d.now, ReceivedAt: d.now}, renew: []TaskRef{{JobID: "j"}},
	}
	pl.renewLeases(t.Context())
	if last := d.ends.Sub(d.start) + lease.MaxDuration(LeaseDuration); d.renewedUntil.Duration() > last {
		t.Errorf("leases renewed until %s on the worker's clock, want at most %s: the ownership lease ended at %s", d.renewedUntil.Duration(), last, d.ends.Sub(d.start))
	}
}

// A daemon is stopped while it takes over a rack. It must count the wait for the leases of
// the owner before from when its own tenure became effective, and not from before the pause.
func TestAllocator_PauseDoesNotShortenTheWaitForEarlierLeases(t *testing.T) {
	d, p := newPausedDaemon()
	d.pause = 40 * time.Second
	p.allocator.turn(d.now)
	r := p.allocator.racks[pausedRack]
	if r == nil {
		t.Fatal("the rack was not acquired")
	}
	if want := d.effectiveSince.Add(lease.MaxDuration(LeaseDuration)); r.priorLeasesEnd.Before(want) {
		t.Errorf("earlier leases count as over %s after the tenure became effective, want %s", r.priorLeasesEnd.Sub(d.effectiveSince), want.Sub(d.effectiveSince))
	}
}
