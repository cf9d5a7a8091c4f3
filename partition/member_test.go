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

// slowGroup is a group with one partition, whose answers take a while.
type slowGroup struct {
	mu     sync.Mutex
	delay  time.Duration
	holder string
	until  time.Time
	// lapses counts how often the holder was silent too long.
	lapses int
	joins  int
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
		g.lapses++
	}
	g.holder, g.until = member, now.Add(ttl)
	return partition.Assignment{Generation: 1, Held: []partition.ID{place}}, nil
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

// never yields to nobody.
func never([]string) bool { return false }

func (g *slowGroup) Holders(context.Context) ([]partition.Holder, error) { return nil, nil }

func TestMember_OutlastsASlowStore(t *testing.T) {
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
				t.Errorf("not sure of its partition with answers after %s", g.delay)
			}
		}
		stop()
		if g.lapses > 0 {
			t.Errorf("taken for dead %d times", g.lapses)
		}
	})
}

func TestMember_IsNotSureOnceItsTimeIsOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := &slowGroup{delay: 5 * time.Millisecond}
		m, stop := runMember(t, g, time.Second, never)
		time.Sleep(2 * time.Second)
		if holder, ok := m.Holder(place); !ok || holder != "m" {
			t.Errorf("holder %q, %t while it is sure", holder, ok)
		}
		g.mu.Lock()
		g.delay = time.Hour
		g.mu.Unlock()
		time.Sleep(2 * time.Second)
		if _, ok := m.Holder(place); ok || m.LeaseValid() {
			t.Error("still sure 2 s after the last answer")
		}
		stop()
	})
}

// A member learns at once what it holds when somebody misses the holder.
func TestMember_RefreshJoinsAtOnce(t *testing.T) {
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
			t.Errorf("%d joins right after a refresh, want one", g.joins-joins)
		}
		g.mu.Unlock()
		stop()
	})
}

// A member that yields gives its partitions up at once, holds none, and is back
// when there is nobody left to yield to.
func TestMember_YieldsAndReturns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := &slowGroup{delay: 5 * time.Millisecond}
		var yields atomic.Bool
		m, stop := runMember(t, g, time.Second, func([]string) bool { return yields.Load() })
		time.Sleep(3 * time.Second)
		if len(m.Held()) != 1 || !m.LeaseValid() {
			t.Fatal("holds nothing before it yields")
		}
		yields.Store(true)
		time.Sleep(time.Second)
		g.mu.Lock()
		holder := g.holder
		g.mu.Unlock()
		if len(m.Held()) != 0 || m.LeaseValid() || holder != "" {
			t.Errorf("holds %v, sure %t, group has %q while it yields", m.Held(), m.LeaseValid(), holder)
		}
		yields.Store(false)
		time.Sleep(3 * time.Second)
		if len(m.Held()) != 1 || !m.LeaseValid() {
			t.Error("holds nothing after nobody is left to yield to")
		}
		stop()
	})
}
