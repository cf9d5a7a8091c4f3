package scheduler

import (
	"context"
	"slices"
	"time"

	"github.com/currantwinch/currantwinch/duty"
	"github.com/currantwinch/currantwinch/internal/events"
	"github.com/currantwinch/currantwinch/workload"
)

const (
	// maxEarlierOwners is the number of earlier owners that a new one notifies.
	// Owners may follow each other faster than one of them learns of it.
	maxEarlierOwners = 3
	// notifyInterval is the time between two attempts to notify an earlier owner,
	// and the time limit of one.
	notifyInterval = 300 * time.Millisecond
)

// earlierOwners returns the daemons of the owners before this one, the last one first.
func (e *Engine) earlierOwners(before workload.PartitionOwner) []string {
	var out []string
	for _, daemon := range append([]string{before.Daemon}, before.Earlier...) {
		if daemon != "" && daemon != e.o.Daemon && !slices.Contains(out, daemon) && len(out) < maxEarlierOwners {
			out = append(out, daemon)
		}
	}
	return out
}

// notifySuperseded tells an earlier owner that this daemon follows it, until it has
// heard or the leases that it sent before have expired. The earlier owner may not reach
// the store. It would go on renewing leases on servers that do not answer this daemon,
// which starts their tasks elsewhere once one lease is over.
func (e *Engine) notifySuperseded(ctx context.Context, daemon string, epoch uint64, lease time.Duration) {
	if e.o.NotifySuperseded == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, lease)
	defer cancel()
	began := e.o.Now()
	for {
		call, done := context.WithTimeout(ctx, notifyInterval)
		err := e.o.NotifySuperseded(call, daemon, epoch)
		done()
		if err == nil || !duty.Sleep(ctx, notifyInterval) {
			e.o.Events.Log(events.EarlierOwnerNotified, "partition", e.o.Partition.Part, "epoch", epoch, "daemon", daemon,
				"took", e.o.Now().Sub(began).Milliseconds(), "error", events.ErrorText(err))
			return
		}
	}
}

// Superseded tells the Engine that another daemon owns the partition under an epoch. The
// Engine ends if that is later than its own.
func (e *Engine) Superseded(epoch uint64) {
	for {
		select {
		case e.superseded <- epoch:
			return
		case before := <-e.superseded:
			epoch = max(epoch, before)
		}
	}
}
