//go:build review3

package main

import (
	"encoding/binary"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// Limits of the stand-in for the platform's store, as in the settings that the daemons get.
const (
	storeParts     = 12
	recordBytes    = 262144
	callBytes      = 2097152
	minTTL         = 1000 * time.Millisecond
	repeatsKept    = 5
	newestPageSize = 500
	newestPageMax  = 1 << 20
)

// logPart is one partition of a topic.
type logPart struct {
	records [][]byte
	newest  map[string]keyed
	// fenced is set once a producer has appended under epoch; last holds its last appends.
	fenced  bool
	epoch   uint64
	last    []appended
	changed chan struct{}
}

type keyed struct {
	value  []byte
	offset uint64
}

type appended struct{ sequence, offset, end uint64 }

// store is the stand-in for the platform's store: a log with keyed topics and one group.
type store struct {
	mu         sync.Mutex
	parts      map[string]*logPart
	generation uint64
	members    map[string]*groupMember
	holders    [storeParts]string
}

type groupMember struct{ until time.Time }

func newStore() *store {
	return &store{parts: make(map[string]*logPart), members: make(map[string]*groupMember)}
}

func (s *store) part(topic, number string) *logPart {
	key := topic + "/" + number
	p := s.parts[key]
	if p == nil {
		p = &logPart{newest: make(map[string]keyed), changed: make(chan struct{})}
		s.parts[key] = p
	}
	return p
}

// put writes a record of a keyed topic, as the operator and the servers do. A nil value drops
// the key.
func (s *store) put(topic, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	content := append([]byte{byte(len(key))}, key...)
	s.part(topic, "0").add(append(content, value...))
}

func (p *logPart) end() uint64 { return uint64(len(p.records)) }

func (p *logPart) add(content []byte) {
	if len(content) > 0 && int(content[0]) < len(content) {
		n := 1 + int(content[0])
		key, value := string(content[1:n]), content[n:]
		if len(value) == 0 {
			delete(p.newest, key)
		} else {
			p.newest[key] = keyed{value, p.end()}
		}
	}
	p.records = append(p.records, content)
	close(p.changed)
	p.changed = make(chan struct{})
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/log-append":
		s.append(w, r)
	case "/log-read":
		s.read(w, r)
	case "/log-newest":
		s.listNewest(w, r)
	case "/log-join":
		s.join(w, r)
	case "/log-leave":
		s.leave(w, r)
	case "/log-owners":
		s.owners(w)
	default:
		reply(w, http.StatusNotFound, map[string]any{})
	}
}

func query(r *http.Request, name string) uint64 {
	n, _ := strconv.ParseUint(r.URL.Query().Get(name), 10, 64)
	return n
}

// split divides a body into records. It reports false if one is malformed or too long.
func split(body []byte) ([][]byte, bool) {
	var out [][]byte
	for len(body) > 0 {
		if len(body) < 4 {
			return nil, false
		}
		n := int(binary.BigEndian.Uint32(body))
		if n > recordBytes || n > len(body)-4 {
			return nil, false
		}
		out = append(out, slices.Clone(body[4:4+n]))
		body = body[4+n:]
	}
	return out, true
}

func (s *store) append(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, callBytes+1))
	if err != nil {
		return
	}
	records, ok := split(body)
	if len(body) > callBytes || !ok {
		reply(w, http.StatusBadRequest, map[string]any{})
		return
	}
	q := r.URL.Query()
	s.mu.Lock()
	defer s.mu.Unlock()
	if topic := q.Get("topic"); topic == "keyed.op" || topic == "keyed.servers" {
		reply(w, http.StatusForbidden, map[string]any{})
		return
	}
	p := s.part(q.Get("topic"), q.Get("part"))
	epoch, sequence := query(r, "epoch"), query(r, "sequence")
	produced := q.Get("producer") != ""
	if produced && p.fenced {
		if epoch < p.epoch {
			reply(w, http.StatusConflict, map[string]any{"reason": "fenced"})
			return
		}
		if epoch == p.epoch && len(p.last) > 0 {
			if i := slices.IndexFunc(p.last, func(a appended) bool { return a.sequence == sequence }); i >= 0 {
				reply(w, http.StatusOK, map[string]any{"offset": p.last[i].offset, "end_offset": p.last[i].end})
				return
			}
			if next := p.last[len(p.last)-1].sequence + 1; sequence != next {
				reply(w, http.StatusConflict, map[string]any{"reason": "seq", "sequence": next})
				return
			}
		}
	}
	if q.Has("at") && query(r, "at") != p.end() {
		reply(w, http.StatusPreconditionFailed, map[string]any{"end_offset": p.end()})
		return
	}
	offset := p.end()
	for _, content := range records {
		p.add(content)
	}
	if produced {
		if !p.fenced || epoch > p.epoch {
			p.last = nil
		}
		p.fenced, p.epoch = true, epoch
		p.last = append(p.last, appended{sequence, offset, p.end()})
		p.last = p.last[max(0, len(p.last)-repeatsKept):]
	}
	reply(w, http.StatusOK, map[string]any{"offset": offset, "end_offset": p.end()})
}

func (s *store) read(w http.ResponseWriter, r *http.Request) {
	from, limit := query(r, "from"), int(query(r, "max_kb"))<<10
	if limit == 0 {
		limit = 1 << 20
	}
	s.mu.Lock()
	p := s.part(r.URL.Query().Get("topic"), r.URL.Query().Get("part"))
	if from >= p.end() && query(r, "wait_ms") > 0 {
		changed := p.changed
		s.mu.Unlock()
		select {
		case <-changed:
		case <-r.Context().Done():
		case <-time.After(time.Duration(query(r, "wait_ms")) * time.Millisecond):
		}
		s.mu.Lock()
	}
	defer s.mu.Unlock()
	out := binary.BigEndian.AppendUint64(nil, p.end())
	out = binary.BigEndian.AppendUint64(out, 0)
	for at := from; at < p.end(); at++ {
		content := p.records[at]
		if at > from && len(out)+len(content) > limit {
			break
		}
		out = binary.BigEndian.AppendUint32(out, uint32(len(content)))
		out = append(out, content...)
	}
	_, _ = w.Write(out)
}

func (s *store) listNewest(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.part(r.URL.Query().Get("topic"), r.URL.Query().Get("part"))
	after := r.URL.Query().Get("depends_on")
	var keys []string
	for key := range p.newest {
		if after == "" || key > after {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	items, size := []map[string]any{}, 0
	for _, key := range keys {
		it := p.newest[key]
		size += len(it.value)
		if len(items) == newestPageSize || len(items) > 0 && size > newestPageMax {
			break
		}
		items = append(items, map[string]any{"key": key, "value": it.value, "offset": it.offset})
	}
	reply(w, http.StatusOK, map[string]any{"items": items, "has_more": len(items) < len(keys), "end_offset": p.end()})
}

// expire removes the members that have been silent for their TTL. The caller holds s.mu.
func (s *store) expire(now time.Time) {
	for name, m := range s.members {
		if now.After(m.until) {
			s.remove(name)
		}
	}
}

func (s *store) remove(name string) {
	if s.members[name] == nil {
		return
	}
	delete(s.members, name)
	s.generation++
	for i := range s.holders {
		if s.holders[i] == name {
			s.holders[i] = ""
		}
	}
}

// wanted returns the member that a partition is dealt to; empty if there is none.
func (s *store) wanted(part int) string {
	if len(s.members) == 0 {
		return ""
	}
	names := make([]string, 0, len(s.members))
	for name := range s.members {
		names = append(names, name)
	}
	slices.Sort(names)
	return names[part%len(names)]
}

func (s *store) join(w http.ResponseWriter, r *http.Request) {
	var c struct {
		Member     string   `json:"member"`
		Topics     []string `json:"topics"`
		TTL        int64    `json:"ttl_ms"`
		Generation uint64   `json:"generation"`
	}
	if json.NewDecoder(r.Body).Decode(&c) != nil || c.Member == "" || len(c.Topics) != 1 {
		reply(w, http.StatusBadRequest, map[string]any{})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.expire(now)
	if s.members[c.Member] == nil {
		s.members[c.Member] = &groupMember{}
		s.generation++
	}
	s.members[c.Member].until = now.Add(max(minTTL, time.Duration(c.TTL)*time.Millisecond))
	rows := [][]any{}
	for i := range s.holders {
		wanted := s.wanted(i)
		if s.holders[i] == c.Member && wanted != c.Member && c.Generation == s.generation {
			s.holders[i] = ""
		}
		if s.holders[i] == "" && wanted == c.Member {
			s.holders[i] = c.Member
		}
		if s.holders[i] == c.Member && wanted == c.Member {
			rows = append(rows, []any{c.Topics[0], i, 0})
		}
	}
	reply(w, http.StatusOK, map[string]any{"generation": s.generation, "parts": rows})
}

func (s *store) leave(w http.ResponseWriter, r *http.Request) {
	var c struct {
		Member string `json:"member"`
	}
	_ = json.NewDecoder(r.Body).Decode(&c)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.remove(c.Member)
	reply(w, http.StatusOK, map[string]any{})
}

func (s *store) owners(w http.ResponseWriter) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire(time.Now())
	rows := [][]any{}
	for i, name := range s.holders {
		var holder any
		if name != "" {
			holder = name
		}
		rows = append(rows, []any{"keyed.submissions", i, holder, 0})
	}
	reply(w, http.StatusOK, map[string]any{"parts": rows})
}

// holderOf returns the address of the daemon that holds a partition, or "".
func (s *store) holderOf(part int) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.holders[part]
}
