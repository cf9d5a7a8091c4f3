//go:build review2

// Command standin-2 holds the stand-ins of the review's scripts: the platform's
// metadata store, runners, requesters and the operator, and the scripts' scenarios. It
// starts the project's daemons as separate processes.
package main

import (
	"encoding/binary"
	"encoding/json"
	"io"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// storedAppend is an append whose repeat gets the first response again.
type storedAppend struct{ sequence, offset, end uint64 }

type keyedItem struct {
	key    string
	value  []byte
	offset uint64
}

// logPart is one partition. Nothing expires within the length of a script.
type logPart struct {
	records [][]byte
	epoch   uint64
	claimed bool
	last    []storedAppend
	newest  map[string]keyedItem
	changed chan struct{}
}

func (p *logPart) end() uint64 { return uint64(len(p.records)) }

func (p *logPart) add(content []byte) {
	if len(content) > 0 && 1+int(content[0]) <= len(content) {
		key, value := string(content[1:1+content[0]]), content[1+content[0]:]
		if len(value) > 0 {
			p.newest[key] = keyedItem{key, value, p.end()}
		} else {
			delete(p.newest, key)
		}
	}
	p.records = append(p.records, content)
	close(p.changed)
	p.changed = make(chan struct{})
}

// groupMember is a member of the only group. told is the generation that it named last.
type groupMember struct {
	until time.Time
	told  uint64
}

// groupPart is the assignment of one partition: its holder, and the member that gets it
// once the holder knows.
type groupPart struct {
	holder, next string
	since        uint64
}

// store is the platform's metadata store.
type store struct {
	mu        sync.Mutex
	partCount int
	// slow is how many times as long an answer takes.
	slow       atomic.Int64
	parts      map[string]*logPart
	members    map[string]*groupMember
	generation uint64
	assigned   []groupPart
	topic      string
}

func newStore(partCount int) *store {
	return &store{partCount: partCount, parts: make(map[string]*logPart),
		members: make(map[string]*groupMember), assigned: make([]groupPart, partCount)}
}

func (s *store) part(topic string, n int) *logPart {
	id := topic + "/" + strconv.Itoa(n)
	p := s.parts[id]
	if p == nil {
		p = &logPart{newest: make(map[string]keyedItem), changed: make(chan struct{})}
		s.parts[id] = p
	}
	return p
}

// put writes a record as the operator or a runner does; a nil value deletes the key.
func (s *store) put(topic, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	content := append([]byte{byte(len(key))}, key...)
	s.part(topic, 0).add(append(content, value...))
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	// "4 ms an answer" (SYSTEM.md).
	time.Sleep(4 * time.Millisecond * time.Duration(max(s.slow.Load(), 1)))
	switch r.URL.Path {
	case "/log-append":
		s.append(w, r, body)
	case "/log-read":
		s.read(w, r)
	case "/log-newest":
		s.newest(w, r)
	case "/log-trim", "/log-commit":
		reply(w, 200, struct{}{})
	case "/log-join":
		s.join(w, body)
	case "/log-leave":
		s.leave(w, body)
	case "/log-owners":
		s.owners(w)
	default:
		reply(w, 404, struct{}{})
	}
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func number(r *http.Request, name string) uint64 {
	n, _ := strconv.ParseUint(r.URL.Query().Get(name), 10, 64)
	return n
}

func (s *store) append(w http.ResponseWriter, r *http.Request, body []byte) {
	var records [][]byte
	for rest := body; len(rest) > 0; {
		if len(rest) < 4 || int(binary.BigEndian.Uint32(rest)) > min(len(rest)-4, 262144) {
			reply(w, 400, struct{}{})
			return
		}
		n := binary.BigEndian.Uint32(rest)
		records = append(records, append([]byte(nil), rest[4:4+n]...))
		rest = rest[4+n:]
	}
	q := r.URL.Query()
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.part(q.Get("topic"), int(number(r, "part")))
	epoch, sequence := number(r, "epoch"), number(r, "sequence")
	if q.Has("producer") && p.claimed {
		if epoch < p.epoch {
			reply(w, 409, map[string]any{"reason": "fenced"})
			return
		}
		if epoch == p.epoch {
			for _, a := range p.last {
				if a.sequence == sequence {
					reply(w, 200, map[string]any{"offset": a.offset, "end_offset": a.end})
					return
				}
			}
			if want := p.last[len(p.last)-1].sequence + 1; sequence != want {
				reply(w, 409, map[string]any{"reason": "seq", "sequence": want})
				return
			}
		}
	}
	if q.Has("at") && number(r, "at") != p.end() {
		reply(w, 412, map[string]any{"end_offset": p.end()})
		return
	}
	offset := p.end()
	for _, content := range records {
		p.add(content)
	}
	if q.Has("producer") {
		if epoch > p.epoch {
			p.last = nil
		}
		p.claimed, p.epoch = true, epoch
		p.last = append(p.last, storedAppend{sequence, offset, p.end()})
		if len(p.last) > 5 {
			p.last = p.last[1:]
		}
	}
	reply(w, 200, map[string]any{"offset": offset, "end_offset": p.end()})
}

func (s *store) read(w http.ResponseWriter, r *http.Request) {
	from := number(r, "from")
	s.mu.Lock()
	p := s.part(r.URL.Query().Get("topic"), int(number(r, "part")))
	if from >= p.end() {
		changed := p.changed
		s.mu.Unlock()
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-time.After(time.Duration(number(r, "wait_ms")) * time.Millisecond):
		}
		s.mu.Lock()
	}
	defer s.mu.Unlock()
	out := binary.BigEndian.AppendUint64(nil, p.end())
	out = binary.BigEndian.AppendUint64(out, 0)
	for at := from; at < p.end() && len(out) < 1<<20; at++ {
		out = binary.BigEndian.AppendUint32(out, uint32(len(p.records[at])))
		out = append(out, p.records[at]...)
	}
	_, _ = w.Write(out)
}

func (s *store) newest(w http.ResponseWriter, r *http.Request) {
	after := r.URL.Query().Get("depends_on")
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.part(r.URL.Query().Get("topic"), int(number(r, "part")))
	var keys []string
	for key := range p.newest {
		if after == "" || key > after {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	items, size := []map[string]any{}, 0
	for _, key := range keys {
		it := p.newest[key]
		if size += len(it.value); len(items) == 500 || len(items) > 0 && size > 1<<20 {
			break
		}
		items = append(items, map[string]any{"key": it.key, "value": it.value, "offset": it.offset})
	}
	reply(w, 200, map[string]any{"items": items, "has_more": len(items) < len(keys), "end_offset": p.end()})
}

type groupCall struct {
	Member     string   `json:"member"`
	Topics     []string `json:"topics"`
	TTLMS      int64    `json:"ttl_ms"`
	Generation uint64   `json:"generation"`
}

func (s *store) join(w http.ResponseWriter, body []byte) {
	var c groupCall
	_ = json.Unmarshal(body, &c)
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.topic = c.Topics[0]
	changed := s.expire(now)
	m := s.members[c.Member]
	if m == nil {
		m = &groupMember{}
		s.members[c.Member] = m
		changed = true
	}
	m.until, m.told = now.Add(time.Duration(c.TTLMS)*time.Millisecond), c.Generation
	if changed {
		s.deal()
	}
	s.settle()
	rows := [][]any{}
	for i, p := range s.assigned {
		if p.holder == c.Member && p.next == c.Member {
			rows = append(rows, []any{s.topic, i, 0})
		}
	}
	reply(w, 200, map[string]any{"generation": s.generation, "ttl_ms": c.TTLMS, "parts": rows})
}

// expire removes the members that have sent nothing for their time.
func (s *store) expire(now time.Time) bool {
	changed := false
	for name, m := range s.members {
		if m.until.Before(now) {
			delete(s.members, name)
			changed = true
		}
	}
	return changed
}

// deal distributes the partitions evenly; one stays with its holder where it can.
func (s *store) deal() {
	s.generation++
	var names []string
	for name := range s.members {
		names = append(names, name)
	}
	sort.Strings(names)
	count := make(map[string]int)
	most := 0
	if len(names) > 0 {
		most = (s.partCount + len(names) - 1) / len(names)
	}
	for i := range s.assigned {
		p := &s.assigned[i]
		if s.members[p.next] == nil || count[p.next] >= most {
			p.next = ""
			continue
		}
		count[p.next]++
	}
	for i := range s.assigned {
		p := &s.assigned[i]
		if p.next != "" {
			continue
		}
		for _, name := range names {
			if p.next == "" || count[name] < count[p.next] {
				p.next = name
			}
		}
		if p.next != "" {
			count[p.next]++
		}
		p.since = s.generation
	}
	s.settle()
}

// settle reassigns partitions whose holder knows that or is gone.
func (s *store) settle() {
	for i := range s.assigned {
		p := &s.assigned[i]
		if p.holder == p.next {
			continue
		}
		m := s.members[p.holder]
		if m == nil || m.told >= p.since {
			p.holder = p.next
		}
	}
}

func (s *store) leave(w http.ResponseWriter, body []byte) {
	var c groupCall
	_ = json.Unmarshal(body, &c)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.members[c.Member] != nil {
		delete(s.members, c.Member)
		s.deal()
	}
	reply(w, 200, struct{}{})
}

func (s *store) owners(w http.ResponseWriter) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.expire(time.Now()) {
		s.deal()
	}
	rows := [][]any{}
	for i, p := range s.assigned {
		var holder any
		if p.holder != "" {
			holder = p.holder
		}
		rows = append(rows, []any{s.topic, i, holder, 0})
	}
	reply(w, 200, map[string]any{"parts": rows})
}
