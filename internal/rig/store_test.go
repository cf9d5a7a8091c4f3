package rig

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/currantwinch/currantwinch/platform/standin"
)

const (
	// storeParts is the number of partitions of a topic.
	storeParts = 12
	// storeDelay is how long the store takes for a call.
	storeDelay = 2 * time.Millisecond
	// submissionsTopic holds the partitions that daemons own.
	submissionsTopic = "keyed.submissions"
)

// service is how the store treats the calls of one daemon.
type service int

// A refused daemon is answered 503 to all calls. One that is served partly is answered
// 503 to its membership and to the partitions of even number.
const (
	served service = iota
	refused
	servedPartly
)

// store is the platform's store as the daemons of a fleet reach it: the stand-in for its
// log, a group whose members expire, and a front for each daemon.
type store struct {
	log   *standin.Store
	net   *network
	paths []*path

	mu      sync.Mutex
	group   *group
	service []service
	// down is set while backend servers cannot write their entries.
	down bool
}

func newStore(t testing.TB, n *network) *store {
	s := &store{log: standin.NewStore(storeParts), net: n, group: newGroup(storeParts), service: make([]service, n.daemons)}
	for i := range n.daemons {
		p := &path{}
		s.paths = append(s.paths, p)
		serveOver(t, s.address(i), p, s.front(i))
	}
	return s
}

// address returns the address at which a daemon reaches the store.
func (s *store) address(daemon int) string {
	return s.net.address(viewOf(daemon), storeHost, machinePort)
}

func (s *store) setService(daemon int, how service) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.service[daemon] = how
}

func (s *store) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

// putEntry writes a backend server's entry. It fails while the store is down.
func (s *store) putEntry(id string, value []byte) bool {
	s.mu.Lock()
	down := s.down
	s.mu.Unlock()
	if !down {
		s.log.Put("keyed.servers", 0, id, value)
	}
	return !down
}

// expireEntry removes the entry of a server that has written none for too long.
func (s *store) expireEntry(id string) { s.log.Put("keyed.servers", 0, id, nil) }

// front returns the store as one daemon reaches it.
func (s *store) front(daemon int) http.Handler {
	in, out := s.net.toCommon(daemon), s.net.fromCommon(daemon)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		body = in.apply(body)
		time.Sleep(storeDelay)
		if s.refuses(daemon, r) {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		r.Body = io.NopCloser(bytes.NewReader(body))
		answer := httptest.NewRecorder()
		s.serve(answer, r, body)
		w.WriteHeader(answer.Code)
		_, _ = w.Write(out.apply(answer.Body.Bytes()))
	})
}

func (s *store) refuses(daemon int, r *http.Request) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch s.service[daemon] {
	case refused:
		return true
	case servedPartly:
		q := r.URL.Query()
		return r.URL.Path == "/log-join" || q.Get("topic") == submissionsTopic && partOf(r)%2 == 0
	default:
		return false
	}
}

func partOf(r *http.Request) int {
	n, _ := strconv.Atoi(r.URL.Query().Get("part"))
	return n
}

func (s *store) serve(w http.ResponseWriter, r *http.Request, body []byte) {
	switch r.URL.Path {
	case "/log-join", "/log-leave":
		var c memberCall
		if json.Unmarshal(body, &c) != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		reply(w, http.StatusOK, s.member(r.URL.Path, c))
	case "/log-owners":
		s.mu.Lock()
		defer s.mu.Unlock()
		reply(w, http.StatusOK, map[string]any{"parts": s.group.owners(time.Now())})
	default:
		s.log.ServeHTTP(w, r)
	}
}

func (s *store) member(call string, c memberCall) map[string]any {
	s.mu.Lock()
	defer s.mu.Unlock()
	if call == "/log-leave" {
		s.group.leave(c.Member)
		return map[string]any{}
	}
	generation, rows := s.group.join(c, time.Now())
	return map[string]any{"generation": generation, "ttl_ms": c.TTLMS, "parts": rows}
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}
