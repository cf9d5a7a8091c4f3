package rig

import (
	"maps"
	"slices"
	"testing"
	"time"
)

// memberCall is a call of a member of the group.
type memberCall struct {
	Member     string   `json:"member"`
	Topics     []string `json:"topics"`
	TTLMS      int64    `json:"ttl_ms"`
	Generation uint64   `json:"generation"`
}

// slot is one partition of a topic.
type slot struct {
	topic string
	part  int
}

// group deals the partitions of topics evenly to members that have not expired. A
// partition that moves is dealt to its next member once the one before has confirmed the
// generation, has left, or has expired.
type group struct {
	parts      int
	generation uint64
	topics     []string
	until      map[string]time.Time
	holder     map[slot]string
	target     map[slot]string
}

func newGroup(parts int) *group {
	return &group{parts: parts, until: make(map[string]time.Time), holder: make(map[slot]string), target: make(map[slot]string)}
}

// join adds a member or keeps it, and returns the partitions that it holds.
func (g *group) join(c memberCall, now time.Time) (generation uint64, rows [][]any) {
	g.expire(now)
	_, known := g.until[c.Member]
	g.until[c.Member] = now.Add(time.Duration(c.TTLMS) * time.Millisecond)
	for _, topic := range c.Topics {
		if !slices.Contains(g.topics, topic) {
			g.topics, known = append(g.topics, topic), false
		}
	}
	if !known {
		g.deal()
	}
	rows = [][]any{}
	for _, s := range g.slots() {
		if g.holder[s] == c.Member && g.target[s] != c.Member && c.Generation >= g.generation {
			delete(g.holder, s)
		}
		if g.target[s] == c.Member && g.holder[s] == "" {
			g.holder[s] = c.Member
		}
		if g.target[s] == c.Member && g.holder[s] == c.Member {
			rows = append(rows, []any{s.topic, s.part, 0})
		}
	}
	return g.generation, rows
}

func (g *group) slots() []slot {
	var out []slot
	for _, topic := range g.topics {
		for part := range g.parts {
			out = append(out, slot{topic, part})
		}
	}
	return out
}

func (g *group) leave(member string) {
	if _, ok := g.until[member]; ok {
		delete(g.until, member)
		g.deal()
	}
}

func (g *group) expire(now time.Time) {
	before := len(g.until)
	maps.DeleteFunc(g.until, func(_ string, until time.Time) bool { return now.After(until) })
	if len(g.until) != before {
		g.deal()
	}
}

// deal assigns the partitions evenly and moves as few as it can.
func (g *group) deal() {
	g.generation++
	maps.DeleteFunc(g.holder, func(_ slot, member string) bool { return g.until[member].IsZero() })
	clear(g.target)
	members := slices.Sorted(maps.Keys(g.until))
	if len(members) == 0 {
		return
	}
	slots := g.slots()
	load := make(map[string]int)
	most := (len(slots) + len(members) - 1) / len(members)
	for _, s := range slots {
		if m := g.holder[s]; m != "" && load[m] < most {
			g.target[s] = m
			load[m]++
		}
	}
	for _, s := range slots {
		if g.target[s] == "" {
			m := slices.MinFunc(members, func(a, b string) int { return load[a] - load[b] })
			g.target[s] = m
			load[m]++
		}
	}
}

// owners returns the member that holds each partition.
func (g *group) owners(now time.Time) [][]any {
	g.expire(now)
	rows := [][]any{}
	for _, s := range g.slots() {
		var member any
		if m := g.holder[s]; m != "" {
			member = m
		}
		rows = append(rows, []any{s.topic, s.part, member, 0})
	}
	return rows
}

// A member that sends nothing for its time must lose its partitions to the others, and one
// that lives must keep a partition until it has confirmed that it goes.
func TestGroup_DealsAnewWhatAnExpiredMemberHeld(t *testing.T) {
	g, now := newGroup(4), time.Unix(1000, 0)
	call := func(member string, generation uint64) (uint64, int) {
		got, rows := g.join(memberCall{Member: member, Topics: []string{"t"}, TTLMS: 1000, Generation: generation}, now)
		return got, len(rows)
	}
	if _, n := call("a", 0); n != 4 {
		t.Fatalf("the only member holds %d of 4 partitions", n)
	}
	generation, n := call("b", 0)
	if n != 0 {
		t.Fatalf("a new member holds %d partitions before the other one has confirmed, want 0", n)
	}
	call("a", generation)
	if _, n = call("b", generation); n != 2 {
		t.Fatalf("a second member holds %d of 4 partitions, want 2", n)
	}
	now = now.Add(900 * time.Millisecond)
	call("b", generation)
	now = now.Add(200 * time.Millisecond)
	if _, n = call("b", generation); n != 4 {
		t.Fatalf("the member that is left holds %d of 4 partitions, want 4", n)
	}
}
