package scheduler

import (
	"cmp"
	"context"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/currantwinch/currantwinch/duty"
	"github.com/currantwinch/currantwinch/internal/events"
	"github.com/currantwinch/currantwinch/partition"
	"github.com/currantwinch/currantwinch/workload"
	"github.com/pkg/errors"
)

const (
	// maxWitnesses bounds the daemons that a claim names, the owner's own included.
	maxWitnesses = 9
	// promiseInterval is the time between two requests for a daemon's promise, and the
	// time limit of one.
	promiseInterval = 300 * time.Millisecond
	// maxPromiseInterval is the longest such time, which it reaches where a daemon does
	// not answer.
	maxPromiseInterval = 2 * time.Second
	// confirmFraction: the ownership is confirmed by a read once the newest call to the
	// log is this fraction of a lease old.
	confirmFraction = 6
	// attestFraction: witnesses are asked once that call is this fraction of a lease old,
	// and again after the fraction attestIntervalFraction, which is also the time limit
	// of one request.
	attestFraction         = 4
	attestIntervalFraction = 12
	// evidenceCheckInterval is the time between two looks at the age of the evidence.
	evidenceCheckInterval = 100 * time.Millisecond
)

// Attestation is a witness's statement about the claims on a partition.
type Attestation struct {
	// Later is the epoch of a later claim that the witness knows of; 0 if it knows of none.
	Later uint64
	// Uptime is how long the witness's process has run.
	Uptime time.Duration
}

// Witnesses are the daemons that can be named as witnesses of a claim. Engines call it.
// An error of any method means that the daemon was not reached or did not understand.
type Witnesses interface {
	// Candidates returns the daemons that can be witnesses now, this one included.
	Candidates() []string
	// Promise asks a daemon never to attest for an epoch below the given one. Stopped
	// reports that no owner of an earlier epoch runs on it any more.
	Promise(ctx context.Context, daemon string, epoch uint64) (stopped bool, err error)
	// Attest asks a daemon whether it knows of a claim above the given epoch.
	Attest(ctx context.Context, daemon string, epoch uint64) (Attestation, error)
}

var errNoWitness = errors.New("this daemon cannot call others")

// noWitnesses is for an Engine that cannot call other daemons.
type noWitnesses struct{}

func (noWitnesses) Candidates() []string { return nil }

func (noWitnesses) Promise(context.Context, string, uint64) (bool, error) {
	return false, errNoWitness
}

func (noWitnesses) Attest(context.Context, string, uint64) (Attestation, error) {
	return Attestation{}, errNoWitness
}

// chooseWitnesses returns up to maxWitnesses of the candidates, among them self. Those of
// different partitions differ.
func chooseWitnesses(id partition.ID, self string, candidates []string) []string {
	if len(candidates) == 0 {
		return nil
	}
	rank := func(daemon string) uint64 {
		return xxhash.Sum64String(daemon + "\x00" + id.Topic + "/" + strconv.Itoa(id.Part))
	}
	others := slices.DeleteFunc(slices.Clone(candidates), func(d string) bool { return d == self })
	slices.SortFunc(others, func(a, b string) int { return cmp.Or(cmp.Compare(rank(a), rank(b)), cmp.Compare(a, b)) })
	chosen := append([]string{self}, others[:min(len(others), maxWitnesses-1)]...)
	slices.Sort(chosen)
	return chosen
}

// requestPromises asks the daemons and the witnesses of all earlier owners for their
// promise, until the leases of all earlier owners have expired or ctx ends.
func (e *Engine) requestPromises(ctx context.Context, claim workload.PartitionOwner) {
	var daemons []string
	holds := make(map[string]bool)
	for _, p := range claim.Prior {
		daemons = union(daemons, append(slices.Clone(p.Witnesses), p.Daemon))
		holds[p.Daemon] = true
	}
	for _, daemon := range daemons {
		if daemon != "" {
			go e.requestPromise(ctx, daemon, holds[daemon])
		}
	}
}

// requestPromise asks one daemon until it has promised and, if an earlier owner ran on it,
// says that none does any more.
func (e *Engine) requestPromise(ctx context.Context, daemon string, owned bool) {
	epoch := e.core.epoch
	began := e.o.Now()
	for interval := promiseInterval; ; interval = min(2*interval, maxPromiseInterval) {
		call, done := context.WithTimeout(ctx, promiseInterval)
		stopped, err := e.o.Witnesses.Promise(call, daemon, epoch)
		done()
		if err == nil {
			e.push(promisedEvent{daemon, stopped})
			interval = promiseInterval
		}
		finished := err == nil && (stopped || !owned)
		if finished || !e.sleepWhilePriorLeasesLast(ctx, interval) {
			e.o.Events.Log(events.EarlierOwnerNotified, "partition", e.o.Partition.Part, "epoch", epoch, "daemon", daemon,
				"took", e.o.Now().Sub(began).Milliseconds(), "stopped", stopped, "error", events.ErrorText(err))
			return
		}
	}
}

// sleepWhilePriorLeasesLast sleeps for d. It reports false at once if the leases of all
// earlier owners have expired or ctx ends.
func (e *Engine) sleepWhilePriorLeasesLast(ctx context.Context, d time.Duration) bool {
	select {
	case <-e.priorExpired:
		return false
	case <-time.After(d):
		return ctx.Err() == nil
	case <-ctx.Done():
		return false
	}
}

// gatherEvidence keeps the evidence new that nobody has claimed the partition after this
// owner: by reads of the log where appends are rare, and by attestations while the log
// does not answer. It runs until ctx ends.
func (e *Engine) gatherEvidence(ctx context.Context) {
	go e.confirmOwnership(ctx)
	lease := e.o.Bounds.lease()
	interval := lease / attestIntervalFraction
	var askedAt time.Time
	for duty.Sleep(ctx, evidenceCheckInterval) {
		now := e.o.Now()
		if now.Sub(e.writer.ConfirmedAt()) < lease/attestFraction || now.Sub(askedAt) < interval {
			continue
		}
		askedAt = now
		for _, daemon := range *e.witnesses.Load() {
			go e.requestAttestation(ctx, daemon, interval)
		}
	}
}

// confirmOwnership reads the log whenever no append has confirmed the ownership lately. It
// ends the Engine once there is a later claim.
func (e *Engine) confirmOwnership(ctx context.Context) {
	interval := e.o.Bounds.lease() / confirmFraction
	for duty.Sleep(ctx, evidenceCheckInterval) {
		if e.o.Now().Sub(e.writer.ConfirmedAt()) < interval && !e.evidenceWanted.Swap(false) {
			continue
		}
		if err := e.writer.ConfirmOwnership(ctx); err == partition.ErrFenced {
			e.end(err)
			return
		}
	}
}

// requestAttestation asks one witness.
func (e *Engine) requestAttestation(ctx context.Context, daemon string, timeout time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	askedAt := e.o.Now()
	a, err := e.o.Witnesses.Attest(ctx, daemon, e.core.epoch)
	switch {
	case err != nil:
	case a.Later > e.core.epoch:
		e.Superseded(a.Later)
	default:
		e.push(attestedEvent{daemon, askedAt, e.o.Now(), a.Uptime})
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

// Ended returns a channel that is closed once the Engine has ended and sends no more
// orders.
func (e *Engine) Ended() <-chan struct{} { return e.done }

type promisedEvent struct {
	daemon  string
	stopped bool
}

func (ev promisedEvent) apply(c *Core) { c.PromiseReceived(ev.daemon, ev.stopped) }

type attestedEvent struct {
	witness             string
	askedAt, answeredAt time.Time
	uptime              time.Duration
}

func (ev attestedEvent) apply(c *Core) {
	c.AttestationReceived(ev.witness, ev.askedAt, ev.answeredAt, ev.uptime)
}
