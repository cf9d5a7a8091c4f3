package partition_test

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/currantwinch/currantwinch/partition"
)

// slowGroup is a group with one partition that answers after a delay.
type slowGroup struct {
	mu     sync.Mutex
	delay  time.Duration
	holder string
	until  time.Time
	// expiries counts the joins that came after the holder's TTL had expired.
	expiries int
	joins    int
}

func (g *slowGroup) Join(ctx context.Context, member string, _ uint64, ttl time.Duration) (partition.Assignment, error) {
	g.mu.Lock()
	delay := g.delay
	g.mu.Unlock()
	select {
	case <-time.After(delay):
	case <-ctx.Done():
		return partition.Assignment{}, ctx.Err()
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.joins++
	now := time.Now()
	if g.holder != "" && now.After(g.until) {
		g.expiries++
	}
	g.holder, g.until = member, now.Add(ttl)
	return partition.Assignment{Generation: 1, Held: []partition.ID{testPartition}}, nil
}

func (g *slowGroup) Leave(context.Context, string) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.holder = ""
	return nil
}

// runMember runs a member of the group until stop is called.
func runMember(t *testing.T, group partition.Group, ttl time.Duration, yields func(holders []string) bool) (m *partition.Member, stop func()) {
	t.Helper()
	m = partition.NewMember(group, "m", ttl, time.Now, func(error) {}, func() {}, yields)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- m.Run(ctx) }()
	return m, func() {
		cancel()
		<-done
	}
}

// never makes a member that does not yield.
func never([]string) bool { return false }

func (g *slowGroup) Holders(context.Context) ([]partition.Holder, error) { return nil, nil }

func TestMember_KeepsLeaseWhenStoreIsSlow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := &slowGroup{delay: 5 * time.Millisecond}
		m, stop := runMember(t, g, time.Second, never)
		time.Sleep(3 * time.Second)
		for _, delay := range []time.Duration{400, 700, 900} {
			g.mu.Lock()
			g.delay = delay * time.Millisecond
			g.mu.Unlock()
			time.Sleep(3 * time.Second)
			if !m.LeaseValid() {
				t.Errorf("lease not valid with answers after %s", g.delay)
			}
		}
		stop()
		if g.expiries > 0 {
			t.Errorf("membership expired %d times, want 0", g.expiries)
		}
	})
}

func TestMember_LeaseExpiresWithoutAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := &slowGroup{delay: 5 * time.Millisecond}
		m, stop := runMember(t, g, time.Second, never)
		time.Sleep(2 * time.Second)
		if holder, ok := m.Holder(testPartition); !ok || holder != "m" {
			t.Errorf("holder %q, %t while the lease is valid, want m", holder, ok)
		}
		g.mu.Lock()
		g.delay = time.Hour
		g.mu.Unlock()
		time.Sleep(2 * time.Second)
		if _, ok := m.Holder(testPartition); ok || m.LeaseValid() {
			t.Error("lease still valid 2 s after the last answer, want expired after 1 s")
		}
		stop()
	})
}

// When a holder does not answer, a member must learn at once what it holds
// itself. Refresh joins without waiting for the next interval.
func TestMember_RefreshJoinsImmediately(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := &slowGroup{delay: time.Millisecond}
		m, stop := runMember(t, g, 10*time.Second, never)
		time.Sleep(10 * time.Second)
		g.mu.Lock()
		joins := g.joins
		g.mu.Unlock()
		m.Refresh(t.Context())
		time.Sleep(10 * time.Millisecond)
		g.mu.Lock()
		if g.joins != joins+1 {
			t.Errorf("%d joins right after a refresh, want 1", g.joins-joins)
		}
		g.mu.Unlock()
		stop()
	})
}

// A yielding member must release its partitions at once and hold none, and must
// return when it no longer yields.
func TestMember_YieldsAndReturns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := &slowGroup{delay: 5 * time.Millisecond}
		var yields atomic.Bool
		m, stop := runMember(t, g, time.Second, func([]string) bool { return yields.Load() })
		time.Sleep(3 * time.Second)
		if len(m.Held()) != 1 || !m.LeaseValid() {
			t.Fatal("holds no partition before it yields")
		}
		yields.Store(true)
		time.Sleep(time.Second)
		g.mu.Lock()
		holder := g.holder
		g.mu.Unlock()
		if len(m.Held()) != 0 || m.LeaseValid() || holder != "" {
			t.Errorf("while yielding: holds %v, lease valid %t, group's holder %q; want none", m.Held(), m.LeaseValid(), holder)
		}
		yields.Store(false)
		time.Sleep(3 * time.Second)
		if len(m.Held()) != 1 || !m.LeaseValid() {
			t.Error("holds no partition after it stopped yielding")
		}
		stop()
	})
}

// heldGroup is a group whose partitions other members hold.
type heldGroup struct {
	slowGroup
	leaves int
}

func (g *heldGroup) Holders(context.Context) ([]partition.Holder, error) {
	return []partition.Holder{{ID: testPartition, Member: "larger"}}, nil
}

func (g *heldGroup) Leave(context.Context, string) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.leaves++
	return nil
}

// The group may assign all partitions anew at each join and each leave. A member that has
// just started and yields to the holders must do neither.
func TestMember_YieldsBeforeItsFirstJoin(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := &heldGroup{}
		var known atomic.Bool
		m := partition.NewMember(g, "m", time.Second, time.Now, func(error) {}, func() {}, func([]string) bool { return known.Load() })
		m.LearnFirst(func(_ context.Context, holders []string) {
			time.Sleep(50 * time.Millisecond)
			known.Store(len(holders) == 1)
		})
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error, 1)
		go func() { done <- m.Run(ctx) }()
		time.Sleep(5 * time.Second)
		cancel()
		<-done
		if g.joins != 0 || g.leaves != 0 {
			t.Errorf("%d joins and %d leaves of a member that yields from its start, want none", g.joins, g.leaves)
		}
	})
}

// A member that has just started must join soon although no holder answers it.
func TestMember_JoinsAlthoughNoHolderAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := &heldGroup{}
		m := partition.NewMember(g, "m", time.Second, time.Now, func(error) {}, func() {}, never)
		m.LearnFirst(func(ctx context.Context, _ []string) { <-ctx.Done() })
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error, 1)
		go func() { done <- m.Run(ctx) }()
		time.Sleep(400 * time.Millisecond)
		g.mu.Lock()
		joins := g.joins
		g.mu.Unlock()
		if joins == 0 {
			t.Error("no join 0.4 s after the start")
		}
		cancel()
		<-done
	})
}
