package scheduler

import (
	"cmp"
	"context"
	"slices"
)

// maxDumped bounds each list of a dump.
const maxDumped = 200

// Dump is a scheduler's state at one moment, without what callers sent.
type Dump struct {
	Epoch     uint64       `json:"epoch"`
	Recovered bool         `json:"recovered"`
	Jobs      int          `json:"jobs"`
	Ended     int          `json:"ended"`
	Queued    int          `json:"queuedSteps"`
	Timed     int          `json:"timedOccurrences"`
	Unstored  int          `json:"unstoredWrites"`
	Asking    int          `json:"openQuestions"`
	Servers   []ServerDump `json:"servers"`
}

// ServerDump is the book of one backend server.
type ServerDump struct {
	ID       string `json:"id"`
	Listed   bool   `json:"listed"`
	Known    bool   `json:"known"`
	Draining bool   `json:"draining"`
	FreeCPU  int64  `json:"freeCPU"`
	FreeMB   int64  `json:"freeMB"`
	Attempts int    `json:"attempts"`
	Unknown  int    `json:"unknownRuns"`
	SilentMS int64  `json:"silentMS"`
	Seen     uint64 `json:"seen"`
	Noted    uint64 `json:"noted"`
}

// Dump returns the Core's state.
func (c *Core) Dump() Dump {
	d := Dump{
		Epoch: c.epoch, Recovered: c.recovered, Jobs: len(c.jobs), Ended: len(c.finals), Queued: len(c.queued),
		Timed: len(c.timed), Unstored: len(c.onStored), Asking: c.asking,
	}
	for _, s := range c.servers {
		row := ServerDump{
			ID: s.info.ID, Listed: s.listed, Known: s.known, Draining: s.info.Draining, FreeCPU: s.free.CPU, FreeMB: s.free.MemoryMB,
			Attempts: len(s.attempts), Unknown: s.unknown, Seen: s.seen, Noted: s.noted,
		}
		if !s.silentSince.IsZero() {
			row.SilentMS = c.now.Sub(s.silentSince).Milliseconds()
		}
		d.Servers = append(d.Servers, row)
	}
	slices.SortFunc(d.Servers, func(x, y ServerDump) int { return cmp.Compare(x.ID, y.ID) })
	d.Servers = d.Servers[:min(len(d.Servers), maxDumped)]
	return d
}

// dumpEvent asks for the Core's state.
type dumpEvent struct{ reply chan Dump }

func (ev dumpEvent) apply(c *Core) { ev.reply <- c.Dump() }

// Dump returns the scheduler's state. It reports false if that could not be had
// before ctx ended.
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
