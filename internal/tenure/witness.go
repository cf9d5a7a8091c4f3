package tenure

import (
	"context"
	"sync"
	"time"

	"github.com/currantwinch/currantwinch/internal/scheduler"
	"github.com/currantwinch/currantwinch/partition"
	"github.com/currantwinch/currantwinch/verdict"
)

const (
	// methodSuperseded tells a daemon that another one owns a partition under a later
	// epoch, and asks for its promise to attest for no earlier one.
	methodSuperseded = "partition.superseded"
	// methodAttest asks a daemon whether it knows of a later claim on a partition.
	methodAttest = "partition.attest"
	// endTimeout bounds how long the answer to methodSuperseded waits for the end of an
	// earlier owner. It is below the time limit of that call.
	endTimeout = 150 * time.Millisecond
)

// reasonBadCall means that another daemon's call could not be parsed.
const reasonBadCall verdict.Reason = "bad_call"

// superseded is the call of methodSuperseded.
type superseded struct {
	Part  int    `json:"part"`
	Epoch uint64 `json:"epoch"`
}

// promise is the answer to methodSuperseded.
type promise struct {
	// Stopped is set if no owner of an earlier epoch runs on the daemon.
	Stopped bool `json:"stopped"`
}

// attest is the call of methodAttest.
type attest struct {
	Part  int    `json:"part"`
	Epoch uint64 `json:"epoch"`
}

// attestation is the answer to methodAttest.
type attestation struct {
	// Later is the epoch of a later claim that the daemon knows of; 0 if there is none.
	Later uint64 `json:"later,omitempty"`
	// UptimeMS is how long the daemon's process has run, in milliseconds.
	UptimeMS int64 `json:"upMS"`
}

// Witness is a daemon's memory of the claims that it was told of. A later owner has a
// majority of witnesses promise that they attest for no earlier one. Its methods are safe
// for concurrent use.
type Witness struct {
	now       func() time.Time
	startedAt time.Time

	mu       sync.Mutex
	promised map[partition.ID]uint64
}

// NewWitness returns a Witness that has promised nothing.
func NewWitness(now func() time.Time) *Witness {
	return &Witness{now: now, startedAt: now(), promised: make(map[partition.ID]uint64)}
}

// Promise makes the Witness attest for no epoch of the partition below the given one.
func (w *Witness) Promise(id partition.ID, epoch uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.promised[id] = max(w.promised[id], epoch)
}

// Attest reports whether the Witness knows of a claim on the partition above an epoch.
func (w *Witness) Attest(id partition.ID, epoch uint64) scheduler.Attestation {
	w.mu.Lock()
	defer w.mu.Unlock()
	a := scheduler.Attestation{Uptime: w.now().Sub(w.startedAt)}
	if w.promised[id] > epoch {
		a.Later = w.promised[id]
	}
	return a
}

// witnesses are the daemons that can witness the claims on one partition. It implements
// scheduler.Witnesses.
type witnesses struct {
	manager *Manager
	id      partition.ID
}

// Witnesses returns the daemons that can witness the claims on a partition.
func (t *Manager) Witnesses(id partition.ID) scheduler.Witnesses { return witnesses{t, id} }

// Candidates implements scheduler.Witnesses.
func (w witnesses) Candidates() []string {
	return append([]string{w.manager.o.Daemon}, w.manager.o.OtherDaemons()...)
}

// Promise implements scheduler.Witnesses.
func (w witnesses) Promise(ctx context.Context, daemon string, epoch uint64) (bool, error) {
	var answer promise
	err := w.manager.o.Peers.Call(ctx, daemon, methodSuperseded, superseded{w.id.Part, epoch}, &answer)
	return answer.Stopped, err
}

// Attest implements scheduler.Witnesses.
func (w witnesses) Attest(ctx context.Context, daemon string, epoch uint64) (scheduler.Attestation, error) {
	var answer attestation
	if err := w.manager.o.Peers.Call(ctx, daemon, methodAttest, attest{w.id.Part, epoch}, &answer); err != nil {
		return scheduler.Attestation{}, err
	}
	return scheduler.Attestation{Later: answer.Later, Uptime: time.Duration(answer.UptimeMS) * time.Millisecond}, nil
}

// promise promises for this daemon, and ends its scheduler of the partition if its epoch
// is earlier.
func (t *Manager) promise(ctx context.Context, c superseded) promise {
	id := partition.ID{Topic: Topic, Part: c.Part}
	t.witness.Promise(id, c.Epoch)
	engine, runs := t.Engine(id)
	if !runs || engine.Epoch() >= c.Epoch {
		return promise{Stopped: true}
	}
	engine.Superseded(c.Epoch)
	ctx, cancel := context.WithTimeout(ctx, endTimeout)
	defer cancel()
	select {
	case <-engine.Ended():
		return promise{Stopped: true}
	case <-ctx.Done():
		return promise{}
	}
}

func (t *Manager) handleSuperseded(ctx context.Context, _ string, c superseded) (any, error) {
	return t.promise(ctx, c), nil
}

func (t *Manager) handleAttest(_ context.Context, _ string, c attest) (any, error) {
	a := t.witness.Attest(partition.ID{Topic: Topic, Part: c.Part}, c.Epoch)
	return attestation{Later: a.Later, UptimeMS: a.Uptime.Milliseconds()}, nil
}
