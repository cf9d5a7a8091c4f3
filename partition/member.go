package partition

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/currantwinch/currantwinch/duty"
)

const (
	// minTTL is the shortest time in which the group takes a silent member's
	// partitions away, if the platform allows it.
	minTTL = time.Second
	// maxTTL bounds what is asked for while the store is slow.
	maxTTL = 5 * time.Second
	// slowTimes is how many times the store's recent answers are added to the
	// time in which a member may be silent, so that a slow store does not take
	// every member for dead.
	slowTimes = 4
	// joinsPerTTL is how often a member is heard within its time.
	joinsPerTTL = 4
	// earlyPause is the time between the first earlyJoins joins: when all members
	// begin at once, partitions are dealt anew with each of them.
	earlyPause = 100 * time.Millisecond
	earlyJoins = 20
	// outsidePause is the time between two looks of a member that yields, which cost
	// as much as its joins would.
	outsidePause = 2500 * time.Millisecond
	// lookupPause is the least time between two questions for the holders.
	lookupPause = 80 * time.Millisecond
)

// Member keeps a daemon in the group and knows who holds which partition.
type Member struct {
	group Group
	name  string
	// least is the shortest time that a member asks for.
	least time.Duration
	now   func() time.Time
	// health is told the outcome of every call.
	health func(error)
	// changed is called after what this member holds may have changed.
	changed func()
	// yields reports whether this member should leave the partitions to those that
	// hold some now.
	yields func(holders []string) bool

	// hurry has Run join at once.
	hurry chan struct{}

	mu         sync.Mutex
	generation uint64
	held       []ID
	joinedAt   time.Time
	// granted is the time that the last join asked for.
	granted time.Duration
	// latency is how long the store's answers take of late.
	latency  time.Duration
	holders  map[ID]string
	lookedUp time.Time
	left     bool
}

// NewMember returns a member that has not joined. PlatformTTL is the shortest
// time that the platform grants.
func NewMember(group Group, name string, platformTTL time.Duration, now func() time.Time, health func(error), changed func(), yields func(holders []string) bool) *Member {
	return &Member{
		yields: yields, hurry: make(chan struct{}, 1),
		group: group, name: name, least: max(minTTL, platformTTL), now: now, health: health, changed: changed,
		holders: make(map[ID]string),
	}
}

// Run keeps joining until ctx ends, but for the times in which it yields.
func (m *Member) Run(ctx context.Context) error {
	for n := 0; ; n++ {
		pause := m.least / joinsPerTTL
		switch {
		case m.yields(m.Holders()):
			m.stepOut(ctx)
			pause = outsidePause
		case n < earlyJoins:
			pause = min(pause, earlyPause)
			fallthrough
		default:
			m.join(ctx)
		}
		// Refresh may want the next join at once.
		if !duty.SleepOrWake(ctx, pause, m.hurry) {
			return nil
		}
	}
}

// stepOut leaves the group for now, and looks who holds the partitions.
func (m *Member) stepOut(ctx context.Context) {
	m.mu.Lock()
	inside := !m.joinedAt.IsZero() && !m.left
	m.held, m.joinedAt = nil, time.Time{}
	m.mu.Unlock()
	if inside {
		m.changed()
		call, cancel := context.WithTimeout(ctx, m.least)
		m.health(m.group.Leave(call, m.name))
		cancel()
	}
	m.lookUp(ctx)
}

func (m *Member) join(ctx context.Context) {
	m.mu.Lock()
	generation, left, ttl := m.generation, m.left, m.ttl()
	m.mu.Unlock()
	if left {
		return
	}
	sent := m.now()
	call, cancel := context.WithTimeout(ctx, ttl)
	defer cancel()
	a, took, err := repeat(call, m.hang(), func(ctx context.Context) (Assignment, error) {
		return m.group.Join(ctx, m.name, generation, ttl)
	})
	m.health(err)
	if err != nil {
		took = m.now().Sub(sent)
	}
	m.learn(took)
	if err != nil {
		return
	}
	m.mu.Lock()
	changed := a.Generation != m.generation || !slices.Equal(a.Held, m.held)
	m.generation, m.held, m.joinedAt, m.granted = a.Generation, a.Held, sent, ttl
	m.mu.Unlock()
	if changed {
		m.lookUp(ctx)
		m.changed()
	}
}

// ttl returns how long the member may be silent, which grows while the store is
// slow.
func (m *Member) ttl() time.Duration {
	return min(m.least+slowTimes*m.latency, max(maxTTL, m.least))
}

// hang is how long a call may be without an answer before it is sent again.
func (m *Member) hang() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return max(hangTime, slowTimes*m.latency)
}

// learn takes in how long a call took, answered or not.
func (m *Member) learn(took time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.latency = recentLatency(m.latency, took)
}

// lookUp asks for the holders of all partitions.
func (m *Member) lookUp(ctx context.Context) {
	m.mu.Lock()
	m.lookedUp = m.now()
	m.mu.Unlock()
	call, cancel := context.WithTimeout(ctx, maxTTL/2)
	defer cancel()
	shares, _, err := repeat(call, m.hang(), m.group.Holders)
	m.health(err)
	if err != nil {
		return
	}
	holders := make(map[ID]string, len(shares))
	for _, s := range shares {
		holders[s.ID] = s.Member
	}
	m.mu.Lock()
	m.holders = holders
	m.mu.Unlock()
}

// Held returns the partitions that the group gave to this member.
func (m *Member) Held() []ID {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.Clone(m.held)
}

// LeaseValid reports whether nobody else can hold this member's partitions: it was
// heard by the group within its time.
func (m *Member) LeaseValid() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.sure()
}

func (m *Member) sure() bool {
	return !m.left && !m.joinedAt.IsZero() && m.now().Sub(m.joinedAt) < m.granted
}

// Holder returns the member that holds a partition, as last heard.
func (m *Member) Holder(id ID) (string, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if slices.Contains(m.held, id) && m.sure() {
		return m.name, true
	}
	name, ok := m.holders[id]
	return name, ok && name != ""
}

// Holders lists the members that hold something, as last heard.
func (m *Member) Holders() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	seen := make(map[string]bool)
	var names []string
	for _, name := range m.holders {
		if name != "" && !seen[name] {
			seen[name] = true
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// Refresh asks for the holders anew, unless that was done just now, and joins: a
// holder that does not answer may be lost, and its partitions be this member's.
func (m *Member) Refresh(ctx context.Context) {
	m.mu.Lock()
	recent := m.now().Sub(m.lookedUp) < lookupPause
	m.mu.Unlock()
	if recent {
		return
	}
	select {
	case m.hurry <- struct{}{}:
	default:
	}
	m.lookUp(ctx)
}

// Leave gives up this member's partitions at once.
func (m *Member) Leave(ctx context.Context) error {
	m.mu.Lock()
	m.left = true
	m.held = nil
	m.mu.Unlock()
	return m.group.Leave(ctx, m.name)
}
