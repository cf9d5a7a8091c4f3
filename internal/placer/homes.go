package placer

import (
	"math"
	"time"

	"github.com/currantwinch/currantwinch/cluster"
	"github.com/currantwinch/currantwinch/internal/events"
	"github.com/currantwinch/currantwinch/internal/roles"
	"github.com/currantwinch/currantwinch/logclient"
)

// maxOwnerLeaseDuration is longer than any ownership lease lasts without a
// renewal.
const maxOwnerLeaseDuration = 4 * time.Second

// home is one key share that this daemon owns: it is the home of the share's
// jobs.
type home struct {
	share cluster.Share
	term  term
	// acquiredAt is when this daemon acquired the home.
	acquiredAt time.Time
	// firstNewOffset is the log offset from which on no other daemon can have
	// placed a job. It is math.MaxUint64 until it is known.
	firstNewOffset uint64
	// completeRacks holds the racks that have reported completely under this
	// term.
	completeRacks map[cluster.Share]bool
	recovered     bool
}

// attemptsPerEpoch spaces the attempt numbers of epochs, so that a home never
// reuses a number that an earlier home may have assigned without this one
// knowing.
const attemptsPerEpoch = 1_000_000

// firstAttempt is the number after which this epoch's attempts are numbered.
func (hm *home) firstAttempt() int { return int(hm.term.Epoch-1) * attemptsPerEpoch }

func (sc *scheduler) refreshHomes() {
	leases := make(map[cluster.Share]roles.Lease)
	for _, lease := range sc.p.o.Owners.Leases() {
		if lease.Share.Kind == cluster.ShareKey {
			leases[lease.Share] = lease
		}
	}
	for share, hm := range sc.homes {
		if lease, ok := leases[share]; !ok || lease.Epoch != hm.term.Epoch {
			sc.releaseHome(hm)
		}
	}
	for share, lease := range leases {
		if _, ok := sc.homes[share]; !ok {
			sc.acquireHome(lease)
		}
	}
}

func (sc *scheduler) acquireHome(lease roles.Lease) {
	view := sc.p.o.State.View()
	sc.activations++
	sc.homes[lease.Share] = &home{
		share: lease.Share, term: term{lease.Epoch, sc.activations}, acquiredAt: sc.p.o.Now(), firstNewOffset: math.MaxUint64,
		completeRacks: make(map[cluster.Share]bool),
	}
	sc.viewOffset = 0
	for _, pe := range sc.peers {
		pe.nextSync = time.Time{}
	}
	sc.p.o.Events.Log(events.HomeAcquired, "share", lease.Share.String(), "epoch", lease.Epoch, "jobs", len(view.OpenJobs(lease.Share)))
}

// recordFirstNewOffsets sets the offset from which on jobs cannot have been
// placed by an earlier home. The predecessor's ownership lease ended before
// this daemon acquired the home. Once maxOwnerLeaseDuration has passed since then,
// this daemon's own lease proves that it has read the log up to a later moment.
func (sc *scheduler) recordFirstNewOffsets(now time.Time) {
	if sc.p.o.State.Health() != logclient.HealthFresh {
		return
	}
	for _, hm := range sc.homes {
		if hm.firstNewOffset == math.MaxUint64 && now.Sub(hm.acquiredAt) >= maxOwnerLeaseDuration && sc.mayAct(hm) {
			hm.firstNewOffset = sc.p.o.State.View().Offset()
		}
	}
}

// releaseHome removes a home and its jobs. Their tasks keep running.
func (sc *scheduler) releaseHome(hm *home) {
	delete(sc.homes, hm.share)
	for _, r := range sc.racks {
		delete(r.reportedHomes, hm.share)
	}
	for _, j := range sc.jobs {
		if j.home == hm {
			sc.removeJob(j)
		}
	}
}

// mayAct reports whether this daemon holds the ownership lease of a home.
func (sc *scheduler) mayAct(hm *home) bool {
	lease, ok := sc.p.o.Owners.Lease(hm.share)
	return ok && lease.Epoch == hm.term.Epoch && sc.homes[hm.share] == hm
}

// completeRecovery makes the home's jobs startable once every rack has reported
// its attempts completely. Tasks that no rack reported have no live attempt and
// may start.
func (sc *scheduler) completeRecovery(hm *home, now time.Time) {
	if hm.recovered || len(sc.racks) == 0 {
		return
	}
	for share := range sc.racks {
		if !hm.completeRacks[share] {
			return
		}
	}
	hm.recovered = true
	found := 0
	for _, j := range sc.jobs {
		if j.home != hm {
			continue
		}
		for _, t := range j.tasks {
			if t.attempt > 0 {
				found++
			}
		}
		j.startable = true
		sc.restartPartialGang(j, now)
		sc.updateQueue(j, now)
	}
	sc.p.o.Events.Log(events.HomeRecovered, "share", hm.share.String(), "epoch", hm.term.Epoch, "tasks", found)
}
