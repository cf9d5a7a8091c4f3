package partition

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/currantwinch/currantwinch/duty"
)

const (
	// minTTL is the shortest membership TTL that a member requests, unless the
	// platform's minimum is higher.
	minTTL = time.Second
	// maxTTL limits the TTL that is requested while the store is slow.
	maxTTL = 5 * time.Second
	// latencyFactor: this many times the store's recent latency is added to the
	// TTL, so that members do not expire because the store is slow.
	latencyFactor = 4
	// joinsPerTTL is the number of joins within one minTTL.
	joinsPerTTL = 4
	// earlyJoinInterval is the time between the first earlyJoins joins. When
	// all members start at once, partitions are reassigned with each of them.
	earlyJoinInterval = 100 * time.Millisecond
	earlyJoins        = 20
	// yieldedPollInterval is the time between lookups of a member that yields,
	// since each costs the store as much as a join.
	yieldedPollInterval = 2500 * time.Millisecond
	// learnTimeout limits how long a member that has just started finds out about the
	// holders. They are a member's reason to wait, and it must not wait for dead ones.
	learnTimeout = 300 * time.Millisecond
	// minLookupInterval is the least time between two lookups of the holders by
	// Refresh.
	minLookupInterval = 80 * time.Millisecond
)

// Member keeps a daemon in the group and tracks which member holds which
// partition.
type Member struct {
	group Group
	name  string
	// minTTL is the shortest TTL that this member requests.
	minTTL time.Duration
	now    func() time.Time
	// onResult is called with the outcome of every call.
	onResult func(error)
	// onChange is called after the set of held partitions may have changed.
	onChange func()
	// shouldYield reports whether this member should leave the partitions to
	// others, given the current holders.
	shouldYield func(holders []string) bool
	// learn, if set, finds out what shouldYield needs to know of the holders.
	learn func(ctx context.Context, holders []string)

	// joinNow makes Run join at once.
	joinNow chan struct{}

	mu         sync.Mutex
	generation uint64
	held       []ID
	joinedAt   time.Time
	// granted is the TTL of the last successful join.
	granted time.Duration
	// latency is the decayed maximum of the store's latency.
	latency  time.Duration
	holders  map[ID]string
	lookedUp time.Time
	left     bool
}

// NewMember returns a member that has not joined. PlatformTTL is the shortest
// TTL that the platform grants.
func NewMember(group Group, name string, platformTTL time.Duration, now func() time.Time, health func(error), changed func(), shouldYield func(holders []string) bool) *Member {
	return &Member{
		shouldYield: shouldYield, joinNow: make(chan struct{}, 1),
		group: group, name: name, minTTL: max(minTTL, platformTTL), now: now, onResult: health, onChange: changed,
		holders: make(map[ID]string),
	}
}

// LearnFirst sets a function that finds out what shouldYield needs to know of the
// holders. It is called once, before the first join. It must precede Run.
func (m *Member) LearnFirst(learn func(ctx context.Context, holders []string)) { m.learn = learn }

// Run joins repeatedly until ctx ends. While shouldYield reports true it stays
// out of the group.
func (m *Member) Run(ctx context.Context) error {
	m.learnHolders(ctx)
	for n := 0; ; n++ {
		pause := m.minTTL / joinsPerTTL
		switch {
		case m.shouldYield(m.Holders()):
			m.yield(ctx)
			pause = yieldedPollInterval
		case n < earlyJoins:
			pause = min(pause, earlyJoinInterval)
			fallthrough
		default:
			m.join(ctx)
		}
		// Refresh may request the next join at once.
		if !duty.SleepOrWake(ctx, pause, m.joinNow) {
			return nil
		}
	}
}

// learnHolders looks up the holders before the first join, and learns what decides
// whether this member yields to them. The group may assign all partitions anew at each
// join and each leave, so that a member that yields must not join first. A member that
// the group still lists as a holder joins at once.
func (m *Member) learnHolders(ctx context.Context) {
	if m.learn == nil {
		return
	}
	m.lookUpHolders(ctx)
	holders := m.Holders()
	if len(holders) == 0 || slices.Contains(holders, m.name) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, learnTimeout)
	defer cancel()
	m.learn(ctx, holders)
}

// yield leaves the group for now and looks up the holders.
func (m *Member) yield(ctx context.Context) {
	m.mu.Lock()
	joined := !m.joinedAt.IsZero() && !m.left
	m.held, m.joinedAt = nil, time.Time{}
	m.mu.Unlock()
	if joined {
		m.onChange()
		call, cancel := context.WithTimeout(ctx, m.minTTL)
		m.onResult(m.group.Leave(call, m.name))
		cancel()
	}
	m.lookUpHolders(ctx)
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
	a, took, err := retryHedged(call, m.hangTimeout(), func(ctx context.Context) (Assignment, error) {
		return m.group.Join(ctx, m.name, generation, ttl)
	})
	m.onResult(err)
	if err != nil {
		took = m.now().Sub(sent)
	}
	m.recordLatency(took)
	if err != nil {
		return
	}
	m.mu.Lock()
	changed := a.Generation != m.generation || !slices.Equal(a.Held, m.held)
	m.generation, m.held, m.joinedAt, m.granted = a.Generation, a.Held, sent, ttl
	m.mu.Unlock()
	if changed {
		m.lookUpHolders(ctx)
		m.onChange()
	}
}

// ttl returns the TTL to request, which grows with the store's latency.
func (m *Member) ttl() time.Duration {
	return min(m.minTTL+latencyFactor*m.latency, max(maxTTL, m.minTTL))
}

// hangTimeout returns the time without an answer after which a call is sent
// again.
func (m *Member) hangTimeout() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return max(minHang, latencyFactor*m.latency)
}

// recordLatency records how long a call took, answered or not.
func (m *Member) recordLatency(took time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.latency = decayedLatency(m.latency, took)
}

// lookUpHolders reads the holders of all partitions.
func (m *Member) lookUpHolders(ctx context.Context) {
	m.mu.Lock()
	m.lookedUp = m.now()
	m.mu.Unlock()
	call, cancel := context.WithTimeout(ctx, maxTTL/2)
	defer cancel()
	list, _, err := retryHedged(call, m.hangTimeout(), m.group.Holders)
	m.onResult(err)
	if err != nil {
		return
	}
	holders := make(map[ID]string, len(list))
	for _, s := range list {
		holders[s.ID] = s.Member
	}
	m.mu.Lock()
	m.holders = holders
	m.mu.Unlock()
}

// Held returns the partitions assigned to this member.
func (m *Member) Held() []ID {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.Clone(m.held)
}

// LeaseValid reports whether no other member can hold this member's partitions:
// its last join is younger than the TTL.
func (m *Member) LeaseValid() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.leaseValid()
}

func (m *Member) leaseValid() bool {
	return !m.left && !m.joinedAt.IsZero() && m.now().Sub(m.joinedAt) < m.granted
}

// Holder returns the member that holds a partition, as of the last lookup, or
// false if none is known.
func (m *Member) Holder(id ID) (string, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if slices.Contains(m.held, id) && m.leaseValid() {
		return m.name, true
	}
	name, ok := m.holders[id]
	return name, ok && name != ""
}

// Holders lists the members that hold a partition, as of the last lookup.
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

// Refresh looks up the holders again, unless that was done within
// minLookupInterval, and joins at once: a holder that does not answer may be
// lost, and its partitions may have been assigned to this member. Callers use
// it when a holder does not answer.
func (m *Member) Refresh(ctx context.Context) {
	m.mu.Lock()
	recent := m.now().Sub(m.lookedUp) < minLookupInterval
	m.mu.Unlock()
	if recent {
		return
	}
	select {
	case m.joinNow <- struct{}{}:
	default:
	}
	m.lookUpHolders(ctx)
}

// Leave gives up this member's partitions and ends its membership.
func (m *Member) Leave(ctx context.Context) error {
	m.mu.Lock()
	m.left = true
	m.held = nil
	m.mu.Unlock()
	return m.group.Leave(ctx, m.name)
}
