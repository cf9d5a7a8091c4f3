//go:build review2

package main

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// taskRun names one run of a task.
type taskRun struct {
	task string
	run  int
}

// runner is one life of a runner, as PROTOCOL.md describes it. It does not guard its
// capacity (admission_check is false).
type runner struct {
	w        *world
	id       string
	service  string
	capacity int64
	rack     string
	address  string
	maxHold  int64

	server *http.Server

	mu       sync.Mutex
	born     time.Time
	up       bool
	fence    uint64
	deadline int64
	// running holds the timers of the runs in progress.
	running  map[taskRun]*time.Timer
	ended    map[string]int
	ends     [][]any
	lastEnd  int
	changed  chan struct{}
	sequence int
}

func (w *world) newRunner(id, service, rack string, capacity int64) *runner {
	s := &runner{w: w, id: id, service: service, rack: rack, capacity: capacity, maxHold: 10000, born: time.Now(), up: true,
		running: make(map[taskRun]*time.Timer), ended: make(map[string]int), changed: make(chan struct{})}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	w.must(err)
	s.address = l.Addr().String()
	s.server = &http.Server{Handler: s}
	go func() { _ = s.server.Serve(l) }()
	s.beat("ready")
	go func() {
		for {
			time.Sleep(1500 * time.Millisecond)
			s.mu.Lock()
			up := s.up
			s.mu.Unlock()
			if !up {
				return
			}
			s.beat("ready")
		}
	}()
	w.runners = append(w.runners, s)
	return s
}

// beat writes the runner's entry.
func (s *runner) beat(state string) {
	s.mu.Lock()
	s.sequence++
	entry := map[string]any{"service": s.service, "address": s.address, "zone": "z1", "version": "1", "slots": 8, "state": state,
		"cold_remaining_ms": 0, "sequence": s.sequence, "born": s.born.UnixMilli(),
		"capacity": map[string]any{"cpu": s.capacity, "mem_mb": 65536, "gpu": 0}, "labels": []string{"a", s.rack}}
	s.mu.Unlock()
	data, _ := json.Marshal(entry)
	s.w.store.put("keyed.servers", s.id, data)
}

// crash ends the runner for good: it runs nothing more and answers nothing.
func (s *runner) crash() {
	s.w.rec.add("runner %s crashes", s.id)
	_ = s.server.Close()
	s.mu.Lock()
	s.up = false
	for r, timer := range s.running {
		timer.Stop()
		s.w.check.ended(s, r.task, r.run, "crashed")
	}
	s.running = make(map[taskRun]*time.Timer)
	s.mu.Unlock()
	// Its entry is removed after three heartbeat intervals of silence.
	time.AfterFunc(4500*time.Millisecond, func() { s.w.store.put("keyed.servers", s.id, nil) })
}

func (s *runner) clock() int64 { return time.Since(s.born).Milliseconds() + 1 }

type order struct {
	Task     string  `json:"task"`
	Run      int     `json:"run"`
	Spec     string  `json:"spec"`
	Deadline int64   `json:"deadline_ms"`
	Fence    uint64  `json:"fencing_token"`
	LastSeen int     `json:"last_seen"`
	WaitMS   int64   `json:"wait_ms"`
	Ticket   *string `json:"ticket"`
}

func (s *runner) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if r.Header.Get("X-Currantwinch-Target-Instance") != s.id {
		w.WriteHeader(421)
		return
	}
	var o order
	if json.Unmarshal(body, &o) != nil {
		w.WriteHeader(400)
		return
	}
	s.mu.Lock()
	if !s.up {
		s.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	if o.Fence < s.fence {
		s.mu.Unlock()
		s.conflict(w, "fence")
		return
	}
	s.fence = o.Fence
	s.mu.Unlock()
	switch r.URL.Path {
	case "/run-start":
		s.start(w, o)
	case "/run-stop":
		s.mu.Lock()
		s.finish(o.Task, o.Run, "stopped")
		s.ended[o.Task] = max(s.ended[o.Task], o.Run)
		s.mu.Unlock()
		reply(w, 200, map[string]any{"clock_ms": s.clock()})
	case "/hold":
		s.hold(w, r, o)
	default:
		w.WriteHeader(404)
	}
}

func (s *runner) conflict(w http.ResponseWriter, reason string) {
	reply(w, 409, map[string]any{"clock_ms": s.clock(), "reason": reason})
}

// extend extends the lease of all that runs. The caller holds s.mu.
func (s *runner) extend(deadline int64) {
	deadline = min(deadline, s.clock()+s.maxHold)
	if deadline <= s.deadline {
		return
	}
	s.deadline = deadline
	time.AfterFunc(time.Duration(deadline-s.clock())*time.Millisecond, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.deadline == deadline {
			for r := range s.running {
				s.finish(r.task, r.run, "lapsed")
			}
		}
	})
}

// work returns how long a task runs, and how it ends: the spec holds, for each step,
// milliseconds, or "last" for a task that lasts.
func work(task, spec string) (time.Duration, string) {
	f := strings.Split(task, ".")
	step, _ := strconv.Atoi(f[2])
	words := strings.Split(spec, ",")
	word := words[min(step, len(words)-1)]
	if word == "last" {
		return time.Hour, "done"
	}
	ms, _ := strconv.Atoi(word)
	return time.Duration(ms) * time.Millisecond, "done"
}

func (s *runner) start(w http.ResponseWriter, o order) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.running[taskRun{o.Task, o.Run}] != nil {
		s.extend(o.Deadline)
		reply(w, 200, map[string]any{"clock_ms": s.clock()})
		return
	}
	if o.Run <= s.ended[o.Task] {
		s.extend(o.Deadline)
		s.conflict(w, "old")
		return
	}
	if o.Deadline <= s.clock() {
		s.conflict(w, "late")
		return
	}
	s.extend(o.Deadline)
	d, how := work(o.Task, o.Spec)
	s.running[taskRun{o.Task, o.Run}] = time.AfterFunc(d, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.finish(o.Task, o.Run, how)
	})
	s.w.check.started(s, o.Task, o.Run)
	reply(w, 200, map[string]any{"clock_ms": s.clock()})
}

// finish ends a run. The caller holds s.mu.
func (s *runner) finish(task string, run int, how string) {
	timer := s.running[taskRun{task, run}]
	if timer == nil {
		return
	}
	timer.Stop()
	delete(s.running, taskRun{task, run})
	s.ended[task] = max(s.ended[task], run)
	s.lastEnd++
	s.ends = append(s.ends, []any{s.lastEnd, task, run, how, ""})
	s.w.check.ended(s, task, run, how)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *runner) hold(w http.ResponseWriter, r *http.Request, o order) {
	s.mu.Lock()
	s.extend(o.Deadline)
	for len(s.ends) > 0 && s.ends[0][0].(int) <= o.LastSeen {
		e := s.ends[0]
		s.w.check.noted(s, e[1].(string), e[2].(int), e[3].(string))
		s.ends = s.ends[1:]
	}
	if len(s.ends) == 0 && o.WaitMS > 0 {
		changed := s.changed
		s.mu.Unlock()
		select {
		case <-changed:
		case <-r.Context().Done():
		case <-time.After(time.Duration(min(o.WaitMS, 2000)) * time.Millisecond):
		}
		s.mu.Lock()
	}
	defer s.mu.Unlock()
	if !s.up {
		panic(http.ErrAbortHandler)
	}
	running := [][]any{}
	for r := range s.running {
		running = append(running, []any{r.task, r.run, "", 100, 0})
	}
	reply(w, 200, map[string]any{"clock_ms": s.clock(), "born": s.born.UnixMilli(), "running": running, "finished": s.ends[:min(len(s.ends), 500)]})
}

// at reports whether a task runs on the runner now.
func (s *runner) at(task string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for r := range s.running {
		if r.task == task {
			return true
		}
	}
	return false
}
