package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// maxListedEnds is the most ends that a runner lists in one response.
const maxListedEnds = 500

// entryIntervals is the number of heartbeat intervals after which an entry expires.
const entryIntervals = 3

// Runner is a stand-in for one backend server. It runs a task for the time that the
// task's text names: "ms=700" is 700 ms, and "ms=0" lasts until it is stopped. A text
// that begins with "saves " gives checkpoints, and one that begins with "fails " makes each
// run fail after that time; after "once " only the first run fails.
type Runner struct {
	ID, Address, Rack string
	CPU, MemMB        int64
	MaxHold           time.Duration
	Beat              time.Duration
	// Kind is the label of the runner's kind, which a new boot may change.
	Kind string

	// onDeadly, if set, is called at the start of a task whose text begins with
	// "deadly".
	onDeadly func()

	store  *Store
	ledger *Ledger
	server *http.Server

	mu       sync.Mutex
	up       bool
	draining bool
	silent   bool
	boot     int
	born     time.Time
	fence    uint64
	deadline int64
	lapsed   time.Time
	running  map[string]*run
	latest   map[string]int
	ends     []listedEnd
	lastEnd  int
	changed  chan struct{}
	sequence int
	// cutFromStore is set while the runner can't reach the store, and written counts
	// the entries that the store has accepted.
	cutFromStore bool
	written      int
	// listedRuns is set once the boot has listed its runs.
	listedRuns bool
	misplaced  []misplacedStart
}

// misplacedStart is a start of a task that requires another kind of runner.
type misplacedStart struct {
	task string
	kind string
	boot int
	at   time.Time
	// told is set if the boot had listed its runs, and so its birth, before.
	told bool
}

type run struct {
	task    string
	number  int
	started time.Time
	length  time.Duration
	saves   bool
	// how is the kind of the end after the run's length.
	how   string
	timer *time.Timer
}

// checkpointInterval is the work after which a task has a new checkpoint.
const checkpointInterval = 500 * time.Millisecond

// saved returns the run's last checkpoint, or an empty string.
func (r *run) saved() string {
	n := int(time.Since(r.started) / checkpointInterval)
	if !r.saves || n == 0 {
		return ""
	}
	return fmt.Sprintf("%08x7a21d94b", n)
}

type listedEnd struct {
	number int
	task   string
	run    int
	how    string
	saved  string
}

type runnerOrder struct {
	Task     string `json:"task"`
	Run      int    `json:"run"`
	Spec     string `json:"spec"`
	Deadline int64  `json:"deadline_ms"`
	Fence    uint64 `json:"fencing_token"`
	LastSeen int    `json:"last_seen"`
	WaitMS   int64  `json:"wait_ms"`
}

// Start begins the first or the next boot of the runner, at its address.
func (n *Runner) Start() error {
	listener, err := net.Listen("tcp", n.Address)
	if err != nil {
		return err
	}
	n.mu.Lock()
	n.listedRuns = false
	n.up, n.draining, n.silent, n.boot, n.born = true, false, false, n.boot+1, time.Now()
	n.fence, n.deadline, n.lapsed, n.lastEnd, n.sequence, n.ends = 0, 0, time.Time{}, 0, 0, nil
	n.running, n.latest, n.changed = make(map[string]*run), make(map[string]int), make(chan struct{})
	boot := n.boot
	n.server = &http.Server{Handler: n}
	server := n.server
	n.mu.Unlock()
	n.ledger.Note("runner %s boot %d starts at %s", n.ID, boot, n.Address)
	go func() { _ = server.Serve(listener) }()
	go n.beat(boot)
	go n.watchLease(boot)
	return nil
}

// Crash ends the boot at once: everything that runs ends, and its channels break.
func (n *Runner) Crash() {
	n.mu.Lock()
	if !n.up {
		n.mu.Unlock()
		return
	}
	n.up = false
	for _, r := range n.running {
		r.stopTimer()
		n.ledger.Ended(n.ID, n.boot, r.task, r.number, "lost", 0)
	}
	n.running = nil
	close(n.changed)
	server, boot := n.server, n.boot
	n.mu.Unlock()
	n.ledger.Note("runner %s boot %d ends", n.ID, boot)
	_ = server.Close()
}

// Drain makes the runner say that it is draining. It leaves after the time given,
// and its entry is removed then.
func (n *Runner) Drain(after time.Duration) {
	n.mu.Lock()
	n.draining = true
	n.mu.Unlock()
	n.ledger.Note("runner %s is draining", n.ID)
	n.writeEntry()
	time.AfterFunc(after, func() {
		n.Crash()
		n.store.Put("keyed.servers", n.ID, nil)
	})
}

// SetSilent makes the runner answer nothing and write nothing while it runs on, as
// behind a cut.
func (n *Runner) SetSilent(silent bool) {
	n.mu.Lock()
	n.silent = silent
	n.mu.Unlock()
	n.ledger.Note("runner %s cut off: %t", n.ID, silent)
}

func (r *run) stopTimer() {
	if r.timer != nil {
		r.timer.Stop()
	}
}

// clock is the runner's steady clock in milliseconds. The caller holds n.mu.
func (n *Runner) clock() int64 { return time.Since(n.born).Milliseconds() + 1 }

func (n *Runner) current(boot int) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.up && n.boot == boot
}

// beat writes the runner's entry to the store for as long as the boot lasts.
func (n *Runner) beat(boot int) {
	for n.current(boot) {
		n.writeEntry()
		time.Sleep(n.Beat)
	}
}

func (n *Runner) writeEntry() {
	n.mu.Lock()
	if !n.up || n.silent || n.cutFromStore {
		n.mu.Unlock()
		return
	}
	n.sequence++
	state := "ready"
	if n.draining {
		state = "draining"
	}
	host := strings.Split(n.Rack, "-")[0]
	entry := map[string]any{
		"service": serviceName, "address": n.Address, "zone": zoneName, "version": "v1", "slots": 8, "state": state, "cold_remaining_ms": 0,
		"capacity": map[string]any{"cpu": n.CPU, "mem_mb": n.MemMB, "gpu": 0}, "labels": []string{n.Kind, n.Rack}, "machine": "m-" + host + n.ID,
		"clock_ms": n.clock(), "sequence": n.sequence, "born": n.born.UnixMilli(),
	}
	n.mu.Unlock()
	value, _ := json.Marshal(entry)
	if n.store.Put("keyed.servers", n.ID, value) {
		n.wrote()
	}
}

// wrote notes that the store has accepted the entry, which expires after three
// heartbeat intervals without another one.
func (n *Runner) wrote() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.written++
	written := n.written
	time.AfterFunc(entryIntervals*n.Beat, func() {
		n.mu.Lock()
		expired := n.written == written
		n.mu.Unlock()
		if expired {
			n.ledger.Note("store   the entry of %s has expired", n.ID)
			n.store.Put("keyed.servers", n.ID, nil)
		}
	})
}

// SetCutFromStore cuts the runner off from the store, but not from the daemons.
func (n *Runner) SetCutFromStore(cut bool) {
	n.mu.Lock()
	n.cutFromStore = cut
	n.mu.Unlock()
	n.ledger.Note("runner  %s cut off from the store: %t", n.ID, cut)
	if !cut {
		n.writeEntry()
	}
}

// Written returns how often the store has accepted the runner's entry.
func (n *Runner) Written() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.written
}

// watchLease ends everything that runs once the lease is over.
func (n *Runner) watchLease(boot int) {
	for n.current(boot) {
		n.mu.Lock()
		if n.deadline > 0 && n.clock() > n.deadline {
			n.lapsed = time.Now()
			for _, r := range n.running {
				n.endRun(r, "lapsed")
			}
		}
		n.mu.Unlock()
		time.Sleep(5 * time.Millisecond)
	}
}

// endRun lists the end of a run. The caller holds n.mu.
func (n *Runner) endRun(r *run, how string) {
	r.stopTimer()
	delete(n.running, r.task)
	n.latest[r.task] = max(n.latest[r.task], r.number)
	n.lastEnd++
	n.ends = append(n.ends, listedEnd{n.lastEnd, r.task, r.number, how, r.saved()})
	n.ledger.Ended(n.ID, n.boot, r.task, r.number, how, n.lastEnd)
	close(n.changed)
	n.changed = make(chan struct{})
}

// ServeHTTP answers the scheduler's calls.
func (n *Runner) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var o runnerOrder
	if r.Method != http.MethodPost || json.NewDecoder(r.Body).Decode(&o) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	n.mu.Lock()
	if !n.up || n.silent {
		n.mu.Unlock()
		<-r.Context().Done()
		return
	}
	if r.Header.Get("X-Currantwinch-Target-Instance") != n.ID {
		n.mu.Unlock()
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if o.Fence < n.fence {
		n.conflict(w, "fence")
		return
	}
	n.fence = o.Fence
	switch r.URL.Path {
	case "/run-start":
		n.start(w, o)
	case "/run-stop":
		n.stop(w, o)
	case "/hold":
		n.hold(w, r, o)
	default:
		n.mu.Unlock()
		w.WriteHeader(http.StatusNotFound)
	}
}

// conflict answers 409 and unlocks n.mu.
func (n *Runner) conflict(w http.ResponseWriter, reason string) {
	clock, born := n.clock(), n.born.UnixMilli()
	n.mu.Unlock()
	reply(w, http.StatusConflict, map[string]any{"clock_ms": clock, "reason": reason, "born": born})
}

// extend applies a deadline, which is cut to the longest lease and never shortens.
func (n *Runner) extend(deadline int64) {
	n.deadline = max(n.deadline, min(deadline, n.clock()+n.MaxHold.Milliseconds()))
}

func (n *Runner) start(w http.ResponseWriter, o runnerOrder) {
	if r := n.running[o.Task]; r != nil && r.number == o.Run {
		n.extend(o.Deadline)
		n.ok(w)
		return
	}
	if o.Deadline <= n.clock() {
		n.conflict(w, "late")
		return
	}
	n.extend(o.Deadline)
	if o.Run <= n.latest[o.Task] || n.running[o.Task] != nil {
		n.conflict(w, "old")
		return
	}
	r := &run{task: o.Task, number: o.Run, started: time.Now(), length: lengthOf(o.Spec), saves: strings.HasPrefix(o.Spec, "saves "), how: "done"}
	if strings.HasPrefix(o.Spec, "fails ") || strings.HasPrefix(o.Spec, "once ") {
		r.how = "failed"
	}
	n.running[o.Task] = r
	n.ledger.Started(n.ID, n.boot, o.Task, o.Run, o.Fence)
	if strings.HasPrefix(o.Spec, "once ") && n.ledger.StartsOf(o.Task) > 1 {
		r.length = 0
	}
	if _, kind, ok := strings.Cut(o.Spec, "needs="); ok && kind != n.Kind {
		n.misplaced = append(n.misplaced, misplacedStart{o.Task, n.Kind, n.boot, time.Now(), n.listedRuns})
		n.ledger.Note("runner  %s boot %d is of kind %s; %s needs %s", n.ID, n.boot, n.Kind, o.Task, kind)
	}
	if n.onDeadly != nil && strings.HasPrefix(o.Spec, "deadly ") {
		go n.onDeadly()
	}
	if r.length > 0 {
		boot := n.boot
		r.timer = time.AfterFunc(r.length, func() {
			n.mu.Lock()
			defer n.mu.Unlock()
			if n.up && n.boot == boot && n.running[r.task] == r {
				n.endRun(r, r.how)
			}
		})
	}
	n.ok(w)
}

// ok answers 200 and unlocks n.mu.
func (n *Runner) ok(w http.ResponseWriter) {
	clock, born := n.clock(), n.born.UnixMilli()
	n.mu.Unlock()
	reply(w, http.StatusOK, map[string]any{"clock_ms": clock, "born": born})
}

// lengthOf returns the run time that a task's text names.
func lengthOf(spec string) time.Duration {
	_, text, _ := strings.Cut(spec, "ms=")
	text, _, _ = strings.Cut(text, " ")
	ms, _ := strconv.Atoi(text)
	return time.Duration(ms) * time.Millisecond
}

func (n *Runner) stop(w http.ResponseWriter, o runnerOrder) {
	if r := n.running[o.Task]; r != nil && r.number == o.Run {
		n.endRun(r, "stopped")
	}
	n.latest[o.Task] = max(n.latest[o.Task], o.Run)
	n.ok(w)
}

func (n *Runner) hold(w http.ResponseWriter, r *http.Request, o runnerOrder) {
	n.ledger.Noted(n.ID, n.boot, o.LastSeen, n.lapsed)
	n.extend(o.Deadline)
	for len(n.ends) > 0 && n.ends[0].number <= o.LastSeen {
		n.ends = n.ends[1:]
	}
	if len(n.ends) == 0 && o.WaitMS > 0 {
		changed, boot := n.changed, n.boot
		n.mu.Unlock()
		select {
		case <-changed:
		case <-time.After(time.Duration(o.WaitMS) * time.Millisecond):
		case <-r.Context().Done():
			return
		}
		n.mu.Lock()
		if !n.up || n.silent || n.boot != boot {
			n.mu.Unlock()
			<-r.Context().Done()
			return
		}
	}
	runs := make([][]any, 0, len(n.running))
	for _, r := range n.running {
		percent := 100
		if r.length > 0 {
			percent = int(100 * time.Since(r.started) / r.length)
		}
		runs = append(runs, []any{r.task, r.number, r.saved(), percent, 0})
	}
	ends := make([][]any, 0, len(n.ends))
	for _, e := range n.ends[:min(len(n.ends), maxListedEnds)] {
		ends = append(ends, []any{e.number, e.task, e.run, e.how, e.saved})
	}
	clock, born := n.clock(), n.born.UnixMilli()
	if !n.listedRuns {
		n.listedRuns = true
		n.ledger.Note("runner  %s boot %d lists its runs for the first time, born %d", n.ID, n.boot, born)
	}
	n.mu.Unlock()
	reply(w, http.StatusOK, map[string]any{"clock_ms": clock, "born": born, "running": runs, "finished": ends})
}

// RunningCount returns how many tasks run now.
func (n *Runner) RunningCount() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return len(n.running)
}

// Has reports whether a task runs on the runner now.
func (n *Runner) Has(task string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.up && n.running[task] != nil
}

func (n *Runner) String() string { return fmt.Sprintf("%s at %s", n.ID, n.Address) }
