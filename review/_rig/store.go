package main

import (
	"bytes"
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// storeParts is the number of partitions of a topic.
const storeParts = 12

// storeLatency is the time of an answer of the store.
const storeLatency = 4 * time.Millisecond

// maxPageItems and maxPageBytes limit one page of the newest records.
const (
	maxPageItems = 500
	maxPageBytes = 1 << 20
)

// maxRecordBytes is the largest record.
const maxRecordBytes = 262144

// keptAppends is the number of appends whose repeats get the first response.
const keptAppends = 5

type newestRecord struct {
	value  []byte
	offset uint64
}

type storedAppend struct {
	sequence    uint64
	offset, end uint64
}

type producerState struct {
	epoch uint64
	last  []storedAppend
}

type logPart struct {
	records   [][]byte
	newest    map[string]newestRecord
	producers map[string]*producerState
	changed   chan struct{}
}

// end returns the offset after the last record.
func (p *logPart) end() uint64 { return uint64(len(p.records)) }

// Store is a stand-in for the platform's metadata store, in the form of a log.
type Store struct {
	mu    sync.Mutex
	parts map[string]*logPart
	down  bool
	since time.Time
	group groupState
	// unanswered holds the machines whose calls get no answer.
	unanswered map[string]bool
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{parts: make(map[string]*logPart), group: newGroupState(), unanswered: make(map[string]bool)}
}

// For returns the store as one machine reaches it.
func (s *Store) For(machine string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.isUnanswered(machine) {
			<-r.Context().Done()
			return
		}
		s.ServeHTTP(w, r)
	})
}

func (s *Store) isUnanswered(machine string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.unanswered[machine]
}

// SetUnanswered makes the store leave the calls of one machine without an answer, or
// serve it again.
func (s *Store) SetUnanswered(machine string, unanswered bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unanswered[machine] = unanswered
}

// Revoke takes all partitions away from a member and deals them to the others, at once
// and without any request.
func (s *Store) Revoke(member string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.group.until, member)
	s.group.deal()
	maps.Copy(s.group.owner, s.group.target)
}

// SetDown makes the store answer every call with 503, or serve again. Membership
// times pause meanwhile.
func (s *Store) SetDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if s.down && !down {
		s.group.shift(now.Sub(s.since))
	}
	s.down, s.since = down, now
}

// Put writes a record as the operator or a runner does. It reports false while the
// store is down.
func (s *Store) Put(topic, key string, value []byte) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return false
	}
	content := append([]byte{byte(len(key))}, key...)
	s.part(topic, 0).add(append(content, value...))
	return true
}

func (s *Store) part(topic string, number int) *logPart {
	key := topic + "/" + strconv.Itoa(number)
	p := s.parts[key]
	if p == nil {
		p = &logPart{newest: make(map[string]newestRecord), producers: make(map[string]*producerState), changed: make(chan struct{})}
		s.parts[key] = p
	}
	return p
}

func (p *logPart) add(content []byte) {
	offset := p.end()
	p.records = append(p.records, content)
	keyEnd := 1 + int(content[0])
	key, value := string(content[1:keyEnd]), content[keyEnd:]
	if len(value) == 0 {
		delete(p.newest, key)
	} else {
		p.newest[key] = newestRecord{value, offset}
	}
	close(p.changed)
	p.changed = make(chan struct{})
}

// ServeHTTP implements the store's calls.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	time.Sleep(storeLatency)
	s.mu.Lock()
	down := s.down
	s.mu.Unlock()
	if down {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	switch r.URL.Path {
	case "/log-append":
		s.append(w, r, body)
	case "/log-read":
		s.read(w, r)
	case "/log-newest":
		s.newest(w, r)
	case "/log-join":
		s.join(w, body)
	case "/log-leave":
		s.leave(w, body)
	case "/log-owners":
		s.owners(w)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func queryNumber(r *http.Request, name string) uint64 {
	n, _ := strconv.ParseUint(r.URL.Query().Get(name), 10, 64)
	return n
}

func (s *Store) append(w http.ResponseWriter, r *http.Request, body []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	query := r.URL.Query()
	p := s.part(query.Get("topic"), int(queryNumber(r, "part")))
	name := query.Get("producer")
	epoch, sequence := queryNumber(r, "epoch"), queryNumber(r, "sequence")
	state := p.producers[name]
	if name != "" && state != nil {
		if epoch < state.epoch {
			reply(w, http.StatusConflict, map[string]any{"reason": "fenced"})
			return
		}
		if epoch == state.epoch && len(state.last) > 0 {
			for _, a := range state.last {
				if a.sequence == sequence {
					reply(w, http.StatusOK, map[string]any{"offset": a.offset, "end_offset": a.end})
					return
				}
			}
			if next := state.last[len(state.last)-1].sequence + 1; sequence != next {
				reply(w, http.StatusConflict, map[string]any{"reason": "seq", "sequence": next})
				return
			}
		}
	}
	if query.Has("at") && queryNumber(r, "at") != p.end() {
		reply(w, http.StatusPreconditionFailed, map[string]any{"end_offset": p.end()})
		return
	}
	for rest := body; len(rest) >= 4; {
		n := binary.BigEndian.Uint32(rest)
		if n > maxRecordBytes || int(n) > len(rest)-4 {
			reply(w, http.StatusBadRequest, map[string]any{"error": fmt.Sprintf("a record of %d bytes", n)})
			return
		}
		rest = rest[4+n:]
	}
	first := p.end()
	for len(body) >= 4 {
		n := binary.BigEndian.Uint32(body)
		p.add(slices.Clone(body[4 : 4+n]))
		body = body[4+n:]
	}
	if name != "" {
		if state == nil || epoch > state.epoch {
			state = &producerState{epoch: epoch}
			p.producers[name] = state
		}
		state.last = append(state.last, storedAppend{sequence, first, p.end()})
		state.last = state.last[max(0, len(state.last)-keptAppends):]
	}
	reply(w, http.StatusOK, map[string]any{"offset": first, "end_offset": p.end()})
}

func (s *Store) read(w http.ResponseWriter, r *http.Request) {
	topic, number := r.URL.Query().Get("topic"), int(queryNumber(r, "part"))
	from := queryNumber(r, "from")
	timer := time.NewTimer(time.Duration(queryNumber(r, "wait_ms")) * time.Millisecond)
	defer timer.Stop()
	for waiting := true; waiting; {
		s.mu.Lock()
		p := s.part(topic, number)
		changed, ready := p.changed, from < p.end()
		s.mu.Unlock()
		if ready {
			break
		}
		select {
		case <-changed:
		case <-timer.C:
			waiting = false
		case <-r.Context().Done():
			return
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.part(topic, number)
	var out bytes.Buffer
	_ = binary.Write(&out, binary.BigEndian, []uint64{p.end(), 0})
	for i := from; i < p.end() && out.Len() < maxPageBytes; i++ {
		_ = binary.Write(&out, binary.BigEndian, uint32(len(p.records[i])))
		out.Write(p.records[i])
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	_, _ = w.Write(out.Bytes())
}

func (s *Store) newest(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.part(r.URL.Query().Get("topic"), int(queryNumber(r, "part")))
	after := r.URL.Query().Get("depends_on")
	keys := make([]string, 0, len(p.newest))
	for key := range p.newest {
		if key > after {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	items, size, more := []map[string]any{}, 0, false
	for _, key := range keys {
		record := p.newest[key]
		if len(items) == maxPageItems || size+len(record.value) > maxPageBytes && len(items) > 0 {
			more = true
			break
		}
		size += len(record.value)
		items = append(items, map[string]any{"key": key, "value": base64.StdEncoding.EncodeToString(record.value), "offset": record.offset})
	}
	reply(w, http.StatusOK, map[string]any{"items": items, "has_more": more, "end_offset": p.end()})
}

// groupState deals the partitions of the topics that members join to the members.
type groupState struct {
	generation uint64
	until      map[string]time.Time
	topics     []string
	owner      map[string]string
	target     map[string]string
}

func newGroupState() groupState {
	return groupState{until: make(map[string]time.Time), owner: make(map[string]string), target: make(map[string]string)}
}

func (g *groupState) shift(d time.Duration) {
	for name, until := range g.until {
		g.until[name] = until.Add(d)
	}
}

// expire drops the members that sent nothing for their time.
func (g *groupState) expire(now time.Time) {
	changed := false
	for name, until := range g.until {
		if now.After(until) {
			delete(g.until, name)
			changed = true
		}
	}
	if changed {
		g.deal()
	}
}

// deal assigns the partitions evenly, and moves as few as possible.
func (g *groupState) deal() {
	g.generation++
	members := make([]string, 0, len(g.until))
	for name := range g.until {
		members = append(members, name)
	}
	sort.Strings(members)
	for key, name := range g.owner {
		if _, in := g.until[name]; !in {
			delete(g.owner, key)
		}
	}
	clear(g.target)
	if len(members) == 0 {
		return
	}
	total := len(g.topics) * storeParts
	most := (total + len(members) - 1) / len(members)
	load := make(map[string]int)
	var open []string
	for _, topic := range g.topics {
		for number := range storeParts {
			key := topic + "/" + strconv.Itoa(number)
			if name := g.owner[key]; name != "" && load[name] < most {
				g.target[key] = name
				load[name]++
				continue
			}
			open = append(open, key)
		}
	}
	for _, key := range open {
		least := members[0]
		for _, name := range members {
			if load[name] < load[least] {
				least = name
			}
		}
		g.target[key] = least
		load[least]++
	}
}

type memberCall struct {
	Member     string   `json:"member"`
	Topics     []string `json:"topics"`
	TTLMS      int64    `json:"ttl_ms"`
	Generation uint64   `json:"generation"`
}

func (s *Store) join(w http.ResponseWriter, body []byte) {
	var c memberCall
	if json.Unmarshal(body, &c) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	g, now := &s.group, time.Now()
	g.expire(now)
	_, known := g.until[c.Member]
	g.until[c.Member] = now.Add(time.Duration(c.TTLMS) * time.Millisecond)
	for _, topic := range c.Topics {
		if !slices.Contains(g.topics, topic) {
			g.topics = append(g.topics, topic)
			known = false
		}
	}
	if !known {
		g.deal()
	}
	rows := [][]any{}
	for key, name := range g.target {
		if name != c.Member {
			if g.owner[key] == c.Member && c.Generation >= g.generation {
				delete(g.owner, key)
			}
			continue
		}
		if g.owner[key] == "" {
			g.owner[key] = c.Member
		}
		if g.owner[key] == c.Member {
			topic, number, _ := strings.Cut(key, "/")
			n, _ := strconv.Atoi(number)
			rows = append(rows, []any{topic, n, 0})
		}
	}
	reply(w, http.StatusOK, map[string]any{"generation": g.generation, "parts": rows})
}

func (s *Store) leave(w http.ResponseWriter, body []byte) {
	var c memberCall
	if json.Unmarshal(body, &c) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, in := s.group.until[c.Member]; in {
		delete(s.group.until, c.Member)
		s.group.deal()
	}
	reply(w, http.StatusOK, map[string]any{})
}

func (s *Store) owners(w http.ResponseWriter) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.group.expire(time.Now())
	rows := [][]any{}
	for _, topic := range s.group.topics {
		for number := range storeParts {
			var member any
			if name := s.group.owner[topic+"/"+strconv.Itoa(number)]; name != "" {
				member = name
			}
			rows = append(rows, []any{topic, number, member, 0})
		}
	}
	reply(w, http.StatusOK, map[string]any{"parts": rows})
}

// OwnerOf returns the member that holds a partition, or an empty string.
func (s *Store) OwnerOf(topic string, number int) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.group.owner[topic+"/"+strconv.Itoa(number)]
}

func reply(w http.ResponseWriter, status int, body map[string]any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}
