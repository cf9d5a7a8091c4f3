package placer

import (
	"time"

	"github.com/currantwinch/currantwinch/cluster"
)

const (
	// unlistedRetention is how long after its last listing a worker may still
	// run. The platform's list may leave out a running VM for 20 s
	// (docs/design/ownership.md). The list is read every 2 s with as much time
	// for an answer, and applied once in housekeepingInterval.
	unlistedRetention = 25 * time.Second
	// maxListGap is the longest time between two updates of a workerList that
	// are taken for uninterrupted. A longer one means that the daemon was
	// paused.
	maxListGap = 5 * time.Second
)

// workerList remembers the workers on the platform's list beyond their last
// listing, because the list may leave out a running worker for a while.
type workerList struct {
	// watchedSince is when the list was first read, or first read after a gap.
	watchedSince time.Time
	updatedAt    time.Time
	workers      map[string]listedWorker
}

type listedWorker struct {
	vm       cluster.VM
	listedAt time.Time
}

// update records the platform's list, and drops the workers that have not been
// on it for unlistedRetention.
func (l *workerList) update(vms []cluster.VM, now time.Time) {
	if l.workers == nil {
		l.workers = make(map[string]listedWorker)
	}
	for _, vm := range vms {
		if vm.Role == cluster.RoleWorker {
			l.workers[vm.Name] = listedWorker{vm, now}
		}
	}
	if len(vms) > 0 && (l.watchedSince.IsZero() || now.Sub(l.updatedAt) > maxListGap) {
		l.watchedSince = now
	}
	l.updatedAt = now
	for name, w := range l.workers {
		if now.Sub(w.listedAt) >= unlistedRetention {
			delete(l.workers, name)
		}
	}
}

// listed reports whether a worker was on the list at the last update.
func (l *workerList) listed(w listedWorker) bool { return w.listedAt.Equal(l.updatedAt) }

// knowsAll reports whether the list has been watched for long enough to contain
// every running worker. A daemon that has just started does not know of a
// worker that the list left out all the time.
func (l *workerList) knowsAll(now time.Time) bool {
	return !l.watchedSince.IsZero() && now.Sub(l.watchedSince) >= unlistedRetention
}
