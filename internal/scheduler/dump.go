package scheduler

import (
	"cmp"
	"context"
	"slices"
)

// maxDumped limits the length of each list in a dump.
const maxDumped = 200

// Dump is a snapshot of a scheduler's state. It holds nothing that callers
// sent.
type Dump struct {
	Epoch         uint64       `json:"epoch"`
	Recovered     bool         `json:"recovered"`
	Jobs          int          `json:"jobs"`
	Ended         int          `json:"ended"`
	Queued        int          `json:"queuedSteps"`
	Scheduled     int          `json:"timedSubmissions"`
	PendingWrites int          `json:"unstoredWrites"`
	OpenRequests  int          `json:"openQuestions"`
	Trials        int          `json:"trials"`
	Departures    int          `json:"departures"`
	Forwards      int          `json:"forwards"`
	Servers       []ServerDump `json:"servers"`
	// Tenants is empty if the configuration has none.
	Tenants []TenantDump `json:"tenants,omitempty"`
}

// ServerDump is the state of one backend server.
type ServerDump struct {
	ID             string `json:"id"`
	Listed         bool   `json:"listed"`
	Synced         bool   `json:"known"`
	Draining       bool   `json:"draining"`
	FreeCPU        int64  `json:"freeCPU"`
	FreeMB         int64  `json:"freeMB"`
	Attempts       int    `json:"attempts"`
	UnknownRuns    int    `json:"unknownRuns"`
	UnresponsiveMS int64  `json:"silentMS"`
	ProcessedEnd   uint64 `json:"seen"`
	StoredEnd      uint64 `json:"noted"`
}

// Dump returns a snapshot of the Core's state.
func (c *Core) Dump() Dump {
	d := Dump{
		Epoch: c.epoch, Recovered: c.recovered, Jobs: len(c.jobs), Ended: len(c.finalStates), Queued: len(c.queued),
		Scheduled: len(c.scheduled), PendingWrites: len(c.onStored), OpenRequests: c.openRequests, Trials: c.trials,
		Departures: len(c.departures), Forwards: len(c.forwards), Tenants: c.tenants.dump(),
	}
	for _, s := range c.servers {
		row := ServerDump{
			ID: s.info.ID, Listed: s.listed, Synced: s.synced, Draining: s.info.Draining, FreeCPU: s.free.CPU, FreeMB: s.free.MemoryMB,
			Attempts: len(s.attempts), UnknownRuns: s.unknownRuns, ProcessedEnd: s.processedEnd, StoredEnd: s.storedEnd,
		}
		if !s.unresponsiveSince.IsZero() {
			row.UnresponsiveMS = c.now.Sub(s.unresponsiveSince).Milliseconds()
		}
		d.Servers = append(d.Servers, row)
	}
	slices.SortFunc(d.Servers, func(x, y ServerDump) int { return cmp.Compare(x.ID, y.ID) })
	d.Servers = d.Servers[:min(len(d.Servers), maxDumped)]
	return d
}

type dumpEvent struct{ reply chan Dump }

func (ev dumpEvent) apply(c *Core) { ev.reply <- c.Dump() }

// Dump returns a snapshot of the scheduler's state. It reports false if ctx or
// the Engine ended first.
func (e *Engine) Dump(ctx context.Context) (Dump, bool) {
	ev := dumpEvent{make(chan Dump, 1)}
	if !e.events.Push(ctx, ev) {
		return Dump{}, false
	}
	select {
	case d := <-ev.reply:
		return d, true
	case <-ctx.Done():
	case <-e.done:
	}
	return Dump{}, false
}
