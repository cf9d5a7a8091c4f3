package antientropy_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/currantwinch/currantwinch/antientropy"
)

const (
	confirmInterval = 1300 * time.Millisecond
	step            = 50 * time.Millisecond
	// callTime is the time of a query, and hangTime that of one to a daemon that is cut off.
	callTime = 50 * time.Millisecond
	hangTime = 500 * time.Millisecond
	// sourceInterval is the time between two answers of the source.
	sourceInterval = time.Second
)

// fleet is several daemons under virtual time. The source answers those that are served.
type fleet struct {
	now      time.Time
	names    []string
	replicas map[string]*antientropy.Replica
	served   map[string]bool
	cut      map[string]bool
	newest   uint64
	queries  int
	// values counts the values that were sent.
	values   int
	arriving []arrival
}

// arrival is the outcome of a query that is under way.
type arrival struct {
	at    time.Time
	apply func()
}

func newFleet(size int, seed uint64) *fleet {
	f := &fleet{now: time.Unix(1_700_000_000, 0), replicas: make(map[string]*antientropy.Replica), served: make(map[string]bool), cut: make(map[string]bool), newest: 1}
	for i := range size {
		name := fmt.Sprintf("d%d", i)
		f.names = append(f.names, name)
		f.served[name] = true
		f.replicas[name] = antientropy.New(antientropy.Options{ConfirmInterval: confirmInterval, Rand: rand.New(rand.NewPCG(seed, uint64(i)))}, f.now)
	}
	return f
}

// run lets time pass.
func (f *fleet) run(d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); f.now = f.now.Add(step) {
		f.arrive()
		for i, name := range f.names {
			r := f.replicas[name]
			// Daemons read at different times.
			if due := f.now.UnixMilli()/step.Milliseconds()%(sourceInterval.Milliseconds()/step.Milliseconds()) == int64(i)%20; f.served[name] && (due || r.Version() < f.newest) {
				r.Apply(f.newest)
				r.Confirm(f.newest, f.now)
			}
			if !r.Due(f.now) {
				continue
			}
			for _, q := range r.Next(f.now, f.others(name)) {
				f.ask(name, q)
			}
		}
	}
}

func (f *fleet) arrive() {
	var rest []arrival
	for _, a := range f.arriving {
		if a.at.After(f.now) {
			rest = append(rest, a)
			continue
		}
		a.apply()
	}
	f.arriving = rest
}

func (f *fleet) others(self string) []string {
	var out []string
	for _, name := range f.names {
		if name != self {
			out = append(out, name)
		}
	}
	return out
}

func (f *fleet) ask(from string, q antientropy.Query) {
	f.queries++
	to := q.Daemon
	asker, asked, began := f.replicas[from], f.replicas[to], f.now
	known := asker.Version()
	if f.cut[from] != f.cut[to] {
		f.arriving = append(f.arriving, arrival{f.now.Add(hangTime), func() { asker.Failed(to, f.now) }})
		return
	}
	f.arriving = append(f.arriving, arrival{f.now.Add(callTime), func() {
		asked.Hear(from, asker.Version(), f.now)
		age, confirmed := asked.Age(f.now)
		a := antientropy.Answer{Version: asked.Version(), Age: age, Confirmed: confirmed}
		if q.Fetch && a.Version > known {
			f.values++
			asker.Apply(a.Version)
		}
		asker.Answered(to, began, a)
	}})
}

// lag returns the longest time until all daemons that are not cut off have a version that is
// published now.
func (f *fleet) lag(limit time.Duration) time.Duration {
	f.newest++
	began := f.now
	for f.now.Sub(began) < limit {
		f.run(step)
		behind := false
		for _, name := range f.names {
			behind = behind || !f.cut[name] && f.replicas[name].Version() < f.newest
		}
		if !behind {
			break
		}
	}
	return f.now.Sub(began)
}

// Guards against daemons that discover one after another who still reaches the store: with nine
// tenths of the VMs without an answer a version took 3.9 s to reach all (issue 63, CONFIG).
func TestReplica_VersionReachesAllWhileTheSourceLeavesMostUnanswered(t *testing.T) {
	const bound = 2500 * time.Millisecond
	for _, size := range []int{9, 37, 780} {
		for seed := range uint64(20) {
			f := newFleet(size, seed)
			f.run(3 * time.Second)
			if f.queries > 0 {
				t.Fatalf("%d daemons: %d queries while the source answers all", size, f.queries)
			}
			for i, name := range f.names {
				f.served[name] = i%10 == 0
			}
			for version := range 4 {
				if lag := f.lag(10 * time.Second); lag > bound {
					t.Errorf("%d daemons, seed %d: version %d reached all after %s, want %s", size, seed, version, lag, bound)
				}
			}
			if size == 780 && seed == 0 {
				break
			}
		}
	}
}

// Guards against daemons with little processor time that receive a version from each daemon that they
// ask, and are late because of it (issue 63, CONFIG).
func TestReplica_FetchesAVersionOnce(t *testing.T) {
	const size, versions = 37, 10
	f := newFleet(size, 1)
	f.run(3 * time.Second)
	for i, name := range f.names {
		f.served[name] = i%10 == 0
	}
	f.run(3 * time.Second)
	for range versions {
		f.lag(10 * time.Second)
	}
	if perDaemon := float64(f.values) / size / versions; perDaemon > 1 {
		t.Errorf("%.2f values were sent for each daemon and version, want at most 1", perDaemon)
	}
}

// A daemon that hears nobody must know that its copy may be outdated; one that hears another daemon
// must not think so, although the source answers nobody.
func TestReplica_TellsACutFromAnOutage(t *testing.T) {
	f := newFleet(9, 1)
	f.run(3 * time.Second)
	for _, name := range f.names {
		f.served[name] = false
	}
	f.cut["d0"] = true
	f.run(30 * time.Second)
	for _, name := range f.names {
		unconfirmed := f.replicas[name].Unconfirmed(f.now)
		if name == "d0" && unconfirmed < 29*time.Second || name != "d0" && unconfirmed > 2500*time.Millisecond {
			t.Errorf("%s: unconfirmed for %s", name, unconfirmed)
		}
	}
	before := f.queries
	f.run(10 * time.Second)
	if perSecond := float64(f.queries-before) / 10 / 9; perSecond > 4 {
		t.Errorf("%.1f queries a second and daemon in a long outage, want at most 4", perSecond)
	}
	f.cut["d0"] = false
	f.served["d5"] = true
	f.run(3 * time.Second)
	if lag := f.lag(10 * time.Second); lag > 2*time.Second {
		t.Errorf("a version reached all %s after the cut, want at most 2s", lag)
	}
}

// A daemon that names a later version is asked for it, once, and not before the source could
// deliver it; versions never go back.
func TestReplica_AsksWhoIsAhead(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	r := antientropy.New(antientropy.Options{ConfirmInterval: confirmInterval, Rand: rand.New(rand.NewPCG(1, 1))}, now)
	r.Apply(5)
	r.Confirm(5, now)
	r.Hear("b", 7, now)
	r.Hear("c", 5, now)
	if got := r.Next(now, []string{"b", "c"}); len(got) > 0 {
		t.Errorf("asks %v at once, want nobody", got)
	}
	now = now.Add(150 * time.Millisecond)
	if got := r.Next(now, []string{"b", "c"}); len(got) != 1 || got[0] != (antientropy.Query{Daemon: "b", Fetch: true}) {
		t.Errorf("asks %v, want b", got)
	}
	if got := r.Next(now, []string{"b", "c"}); len(got) > 0 {
		t.Errorf("asks %v again, want nobody while b is asked", got)
	}
	// Its value cannot be used.
	r.Answered("b", now, antientropy.Answer{Version: 7, Confirmed: true})
	if r.Version() != 5 || r.Unconfirmed(now) == 0 {
		t.Errorf("version %d, unconfirmed for %s, after a version that was not applied", r.Version(), r.Unconfirmed(now))
	}
	if !r.Apply(6) || r.Apply(6) || r.Apply(4) || r.Version() != 6 {
		t.Errorf("version %d, want 6, applied once", r.Version())
	}
	r.Confirm(5, now)
	if age, _ := r.Age(now); age == 0 {
		t.Error("version 6 is confirmed by a read that showed 5")
	}
}
