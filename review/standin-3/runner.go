//go:build review3

package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Bounds of the platform, as in the settings that the daemons get.
const (
	maxHoldMS   = 10000
	heartbeat   = 1500 * time.Millisecond
	runnerCores = 32
)

// run is one run of a task on a runner.
type run struct {
	number int
	began  time.Time
	timer  *time.Timer
}

// runner is a stand-in for a runner that doesn't guard its capacity. Each task works for as
// long as the specification says for its step.
type runner struct {
	world   *world
	id      string
	service string
	kind    string
	rack    string
	address string
	born    time.Time
	server  *http.Server
	gone    chan struct{}

	mu       sync.Mutex
	fence    uint64
	running  map[string]*run
	highest  map[string]int
	ends     [][]any
	lastEnd  int
	deadline int64
	lapse    *time.Timer
	changed  chan struct{}
	// checkpoint, if set, gives the checkpoint that a task has saved since its run began.
	checkpoint func(task string, since time.Duration) string
	// late, if set, returns for a call that gets no response a channel that is closed when the
	// call is executed, and nil for any other.
	late func(path string, o order) <-chan struct{}
}

func newRunner(w *world, number int, service string) (*runner, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &runner{
		world: w, id: fmt.Sprintf("rn-%s-%02d", service, number), service: service, kind: w.kindOf(number), rack: fmt.Sprintf("r%02d", number/w.rackSize),
		address: l.Addr().String(), born: time.Now(), running: make(map[string]*run), highest: make(map[string]int), changed: make(chan struct{}), gone: make(chan struct{}),
	}
	r.server = &http.Server{Handler: r}
	go func() { _ = r.server.Serve(l) }()
	go r.register()
	return r, nil
}

func (r *runner) register() {
	for n := 1; ; n++ {
		r.mu.Lock()
		born := r.born
		r.mu.Unlock()
		entry, _ := json.Marshal(map[string]any{
			"service": r.service, "address": r.address, "zone": "zone-a", "version": "1", "slots": 8, "state": "ready", "cold_remaining_ms": 0,
			"sequence": n, "capacity": map[string]any{"cpu": runnerCores * 1000, "mem_mb": 65536}, "labels": []string{r.kind, r.rack}, "born": born.UnixMilli(),
		})
		r.world.store.put("keyed.servers", r.id, entry)
		select {
		case <-time.After(heartbeat):
		case <-r.gone:
			// The platform removes the entry after three heartbeats of silence.
			time.Sleep(3 * heartbeat)
			r.world.store.put("keyed.servers", r.id, nil)
			return
		}
	}
}

// crash ends all that runs on the runner, which is back after downtime as a new life under its
// id and address, and knows nothing of before.
func (r *runner) crash(downtime time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.world.note("runner %s crashes", r.id)
	_ = r.server.Close()
	for task, a := range r.running {
		a.timer.Stop()
		r.world.ended(r, task, a.number, "lost with its runner", 0)
	}
	r.running = make(map[string]*run)
	time.AfterFunc(downtime, func() {
		l, err := net.Listen("tcp", r.address)
		if err != nil {
			r.world.note("runner %s can't come back: %v", r.id, err)
			return
		}
		r.mu.Lock()
		defer r.mu.Unlock()
		r.born, r.fence, r.lastEnd, r.deadline, r.ends = time.Now(), 0, 0, 0, nil
		r.running, r.highest = make(map[string]*run), make(map[string]int)
		r.server = &http.Server{Handler: r}
		server := r.server
		go func() { _ = server.Serve(l) }()
		r.world.note("runner %s is back under its id, born %d", r.id, r.born.UnixMilli())
	})
}

// leave loses the runner for good, with all that runs there.
func (r *runner) leave() {
	r.mu.Lock()
	defer r.mu.Unlock()
	select {
	case <-r.gone:
		return
	default:
	}
	close(r.gone)
	_ = r.server.Close()
	for task, a := range r.running {
		a.timer.Stop()
		delete(r.running, task)
		r.world.ended(r, task, a.number, "lost with its runner", 0)
	}
	r.world.note("runner %s is lost for good", r.id)
}

func (r *runner) clock() int64 { return time.Since(r.born).Milliseconds() + 1 }

type order struct {
	Task       string `json:"task"`
	Run        int    `json:"run"`
	Spec       string `json:"spec"`
	Deadline   int64  `json:"deadline_ms"`
	Fence      uint64 `json:"fencing_token"`
	Checkpoint string `json:"checkpoint"`
	LastSeen   int    `json:"last_seen"`
	Wait       int64  `json:"wait_ms"`
}

func (r *runner) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	if q.Header.Get("X-Currantwinch-Target-Instance") != r.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	var o order
	if json.NewDecoder(q.Body).Decode(&o) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	r.world.called()
	if r.late != nil {
		if execute := r.late(q.URL.Path, o); execute != nil {
			// The call gets no response, and is executed when execute is closed.
			path := q.URL.Path
			go func() {
				<-execute
				r.handle(httptest.NewRecorder(), context.Background(), path, o)
			}()
			<-q.Context().Done()
			return
		}
	}
	r.handle(w, q.Context(), q.URL.Path, o)
}

// handle executes a call.
func (r *runner) handle(w http.ResponseWriter, ctx context.Context, path string, o order) {
	r.mu.Lock()
	if o.Fence < r.fence {
		r.mu.Unlock()
		r.refuse(w, "fence")
		return
	}
	r.fence = o.Fence
	r.mu.Unlock()
	switch path {
	case "/run-start":
		r.start(w, o)
	case "/run-stop":
		r.stop(w, o)
	case "/hold":
		r.hold(w, ctx, o)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (r *runner) refuse(w http.ResponseWriter, reason string) {
	reply(w, http.StatusConflict, map[string]any{"clock_ms": r.clock(), "reason": reason})
}

// extend extends the lease of all runs. The caller holds r.mu.
func (r *runner) extend(deadline int64) {
	deadline = min(deadline, r.clock()+maxHoldMS)
	if deadline <= r.deadline {
		return
	}
	r.deadline = deadline
	if r.lapse != nil {
		r.lapse.Stop()
	}
	r.lapse = time.AfterFunc(time.Duration(deadline-r.clock())*time.Millisecond, r.expire)
}

func (r *runner) expire() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.clock() < r.deadline {
		return
	}
	for task, a := range r.running {
		r.end(task, a.number, "lapsed")
	}
}

// work returns how long a task works: the specification lists a time in milliseconds for
// each step.
func work(task, spec string) time.Duration {
	times := strings.Split(spec, ",")
	step, _ := strconv.Atoi(strings.Split(task, ".")[2])
	ms, _ := strconv.Atoi(times[min(step, len(times)-1)])
	return time.Duration(ms) * time.Millisecond
}

func (r *runner) start(w http.ResponseWriter, o order) {
	r.mu.Lock()
	defer r.mu.Unlock()
	a := r.running[o.Task]
	switch {
	case a != nil && a.number == o.Run:
	case o.Run <= r.highest[o.Task]:
		r.extend(o.Deadline)
		r.refuse(w, "old")
		return
	case o.Deadline <= r.clock():
		r.refuse(w, "late")
		return
	default:
		r.extend(o.Deadline)
		r.highest[o.Task] = o.Run
		a = &run{number: o.Run, began: time.Now()}
		r.running[o.Task] = a
		r.world.began(r, o)
		a.timer = time.AfterFunc(work(o.Task, o.Spec), func() {
			r.mu.Lock()
			defer r.mu.Unlock()
			r.end(o.Task, o.Run, "done")
		})
	}
	reply(w, http.StatusOK, map[string]any{"clock_ms": r.clock()})
}

// end ends a run. The caller holds r.mu.
func (r *runner) end(task string, number int, how string) {
	a := r.running[task]
	if a == nil || a.number != number {
		return
	}
	a.timer.Stop()
	delete(r.running, task)
	r.lastEnd++
	r.ends = append(r.ends, []any{r.lastEnd, task, number, how, r.saved(task, a.began)})
	r.world.ended(r, task, number, how, r.lastEnd)
	close(r.changed)
	r.changed = make(chan struct{})
}

// saved returns the checkpoint of a run that began at the given time. The caller holds r.mu.
func (r *runner) saved(task string, began time.Time) string {
	if r.checkpoint == nil {
		return ""
	}
	return r.checkpoint(task, time.Since(began))
}

func (r *runner) stop(w http.ResponseWriter, o order) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.highest[o.Task] = max(r.highest[o.Task], o.Run)
	r.end(o.Task, o.Run, "stopped")
	reply(w, http.StatusOK, map[string]any{"clock_ms": r.clock()})
}

func (r *runner) hold(w http.ResponseWriter, ctx context.Context, o order) {
	r.mu.Lock()
	if o.Deadline > 0 {
		r.extend(o.Deadline)
	}
	r.ends = slices.DeleteFunc(r.ends, func(e []any) bool {
		seen := e[0].(int) <= o.LastSeen
		if seen {
			r.world.seen(r, e)
		}
		return seen
	})
	if len(r.ends) == 0 && o.Wait > 0 {
		changed := r.changed
		r.mu.Unlock()
		select {
		case <-changed:
		case <-ctx.Done():
		case <-time.After(time.Duration(min(o.Wait, 2000)) * time.Millisecond):
		}
		r.mu.Lock()
	}
	defer r.mu.Unlock()
	running := [][]any{}
	for task, a := range r.running {
		running = append(running, []any{task, a.number, r.saved(task, a.began), 100, 0})
	}
	reply(w, http.StatusOK, map[string]any{"clock_ms": r.clock(), "born": r.born.UnixMilli(), "running": running, "finished": r.ends[:min(len(r.ends), 500)]})
}
