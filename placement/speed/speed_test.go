package speed_test

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/currantwinch/currantwinch/placement/speed"
)

// fleet runs tasks of one queue on servers of given speeds. Two thirds of the tasks take
// between 0.6 and 1.6 times usualTime on a server of speed 1, declared times are off by up to 0.9 in
// either direction, and 3 of 100 tasks take seven times as long.
type fleet struct {
	random  *rand.Rand
	now     time.Time
	usual   speed.UsualWork
	speeds  []float64
	servers []speed.Estimator
	group   uint64
	// slots is the number of tasks that a server runs at a time.
	slots int
}

func newFleet(seed uint64, speeds ...float64) *fleet {
	return &fleet{
		random: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(1_700_000_000, 0), speeds: speeds, servers: make([]speed.Estimator, len(speeds)), slots: 1,
	}
}

// usualTime is the usual time of the fleet's tasks.
const usualTime = 50 * time.Millisecond

// run runs one task on a server.
func (f *fleet) run(i int) {
	work := math.Exp(0.5*f.random.NormFloat64()) * float64(usualTime)
	declared := time.Duration(work * (1 + 0.9*(2*f.random.Float64()-1)))
	took := work / f.speeds[i]
	if f.random.IntN(100) < 3 {
		took *= 7
	}
	f.now = f.now.Add(time.Duration(took) / time.Duration(f.slots))
	f.group++
	f.servers[i].Observe(f.group, f.usual.Work(declared), time.Duration(took), f.now)
	f.usual.Observe(declared, time.Duration(took), f.servers[i].Speed(f.now))
}

// class returns the class of a server among those of the fleet.
func (f *fleet) class(i int) int {
	all := make([]*speed.Estimator, len(f.servers))
	for k := range all {
		all[k] = &f.servers[k]
	}
	return f.servers[i].Class(f.now, speed.Base(all, f.now))
}

// Fast servers must be known as such in spite of declared times that are far off and of
// stragglers. Otherwise the most urgent work runs on any server.
func TestEstimator_TellsFastServersFromSlowOnes(t *testing.T) {
	wrong, pairs, slow, servers := 0, 0, 0, 0
	for seed := range uint64(20) {
		f := newFleet(seed, 0.7, 0.7, 1.7, 0.7, 0.7, 1.7, 0.7, 0.7, 1.7)
		for n := range 40 * len(f.speeds) {
			f.run(n % len(f.speeds))
		}
		for i := range f.servers {
			for k := range f.servers {
				if f.speeds[i] > f.speeds[k] {
					pairs++
					if f.class(i) <= f.class(k) {
						wrong++
					}
				}
			}
			servers++
			if speed.Slow(f.class(i)) {
				slow++
			}
		}
	}
	if wrong*50 > pairs {
		t.Errorf("%d of %d pairs of servers in the wrong order, want at most 2%%", wrong, pairs)
	}
	if slow*50 > servers {
		t.Errorf("%d of %d servers count as ones to work round, want at most 2%%", slow, servers)
	}
}

// Chance must not tell alike servers apart: the placement would leave them half full.
func TestEstimator_AlikeServersAreOfOneClass(t *testing.T) {
	other, looks := 0, 0
	for seed := range uint64(10) {
		f := newFleet(seed, 1, 1, 1, 1, 1, 1, 1, 1)
		for n := range 100 * len(f.speeds) {
			f.run(n % len(f.speeds))
			looks++
			if f.class(n%len(f.speeds)) != 0 {
				other++
			}
		}
	}
	if other*50 > looks {
		t.Errorf("%d of %d looks found a server unlike the others, want at most 2%%", other, looks)
	}
}

// A server that turns slow must be worked round within a few runs, and used again once it
// is not slow any more, although nothing ran there meanwhile.
func TestEstimator_ServerSlowForAWhile(t *testing.T) {
	found := 0
	for seed := range uint64(50) {
		f := newFleet(seed, 1, 1, 1, 1)
		for n := range 120 {
			f.run(n % 4)
		}
		f.speeds[0] = 0.2
		for range 6 {
			f.run(0)
		}
		if !speed.Slow(f.class(0)) {
			continue
		}
		found++
		f.speeds[0] = 1
		f.now = f.now.Add(40 * time.Second)
		if class := f.class(0); speed.Slow(class) {
			t.Errorf("seed %d: class %d after 40 s without a run, want one that is used again", seed, class)
		}
		for range 6 {
			f.run(0)
		}
		if class := f.class(0); speed.Slow(class) {
			t.Errorf("seed %d: class %d after 6 runs at full speed", seed, class)
		}
	}
	if found < 45 {
		t.Errorf("a server that turned slow was found after 6 runs in %d of 50 cases, want 45", found)
	}
}

// On a slow server the first run ends late. Its runs in progress must show before that
// that it has turned slow. Those of one step must not: its declared time may be wrong.
func TestEstimator_RunsInProgressShowASlowServer(t *testing.T) {
	f := newFleet(1, 1)
	for range 30 {
		f.run(0)
	}
	e := &f.servers[0]
	f.now = f.now.Add(5 * usualTime)
	late := func(group uint64) speed.Running {
		return speed.Running{Group: group, Expected: usualTime, Age: 4 * usualTime}
	}
	e.SetOverdue([]speed.Running{late(1), late(1), late(1), late(1)}, f.now)
	if class := e.Class(f.now, 0); speed.Slow(class) {
		t.Errorf("class %d with overdue runs of one step, want none to work round", class)
	}
	e.SetOverdue([]speed.Running{late(1), late(2), late(3), late(4)}, f.now)
	if class := e.Class(f.now, 0); !speed.Slow(class) {
		t.Errorf("class %d with overdue runs of four steps, want a slow one", class)
	}
	e.SetOverdue(nil, f.now)
	if class := e.Class(f.now, 0); speed.Slow(class) {
		t.Errorf("class %d after the overdue runs are gone", class)
	}
}

// A busy server always has some stragglers among its runs in progress, since each lasts
// seven times as long. They must not count as a change while other runs end as usual.
func TestEstimator_StragglersInProgressAreNoChange(t *testing.T) {
	f := newFleet(3, 1)
	f.slots = 10
	e := &f.servers[0]
	slow := 0
	for range 1000 {
		f.run(0)
		stragglers := make([]speed.Running, 5)
		for i := range stragglers {
			stragglers[i] = speed.Running{Group: uint64(i), Expected: usualTime, Age: 5 * usualTime}
		}
		e.SetOverdue(stragglers, f.now)
		if speed.Slow(e.Class(f.now, 0)) {
			slow++
		}
	}
	if slow > 10 {
		t.Errorf("%d of 1000 looks found a slow server beside stragglers in progress, want at most 1%%", slow)
	}
}

func TestEstimator_KnowsNothingAtFirst(t *testing.T) {
	var e speed.Estimator
	if got := e.Speed(time.Now()); got != 1 {
		t.Errorf("speed %v, want the prior of 1", got)
	}
	e.Observe(1, time.Second, 7*time.Second, time.Now())
	if class := e.Class(time.Now(), 0); class != 0 {
		t.Errorf("class %d after one straggler, want 0", class)
	}
}

// Declared times that are worthless must not spoil an estimate that the queue's usual
// time makes exact.
func TestUsual_TrustsWhatIsReliable(t *testing.T) {
	var byUsual, byDeclared speed.UsualWork
	random := rand.New(rand.NewPCG(1, 1))
	for range 100 {
		byUsual.Observe(time.Duration(1+random.IntN(1000))*time.Millisecond, time.Second, 1)
		d := time.Duration(1+random.IntN(1000)) * time.Millisecond
		byDeclared.Observe(d, 2*d, 1)
	}
	if got := byUsual.Work(10 * time.Millisecond); got < 800*time.Millisecond || got > 1200*time.Millisecond {
		t.Errorf("%v expected where every task takes 1 s", got)
	}
	if got := byDeclared.Work(10 * time.Millisecond); got < 15*time.Millisecond || got > 30*time.Millisecond {
		t.Errorf("%v expected where every task takes twice its declared time of 10ms", got)
	}
}

// A step with a wrong declared time has all its tasks take longer than expected, on a server
// that is as fast as the others.
func TestEstimator_StepWithAWrongDeclaredTimeCountsOnce(t *testing.T) {
	f := newFleet(1, 1)
	for range 30 {
		f.run(0)
	}
	for range 20 {
		f.servers[0].Observe(1000, usualTime/10, usualTime, f.now)
	}
	if class := f.class(0); class != 0 {
		t.Errorf("class %d after 20 runs of one step, want 0", class)
	}
}

// Tasks on a slow server must not make each other look as if they took long by themselves.
func TestSiblings_OnlyThoseOnOtherServersCount(t *testing.T) {
	var s speed.Siblings
	for range 5 {
		s.Observe(1, 5*time.Second, 1)
	}
	if _, ok := s.Work(1); ok {
		t.Error("runs on the server itself tell what its runs should take")
	}
	for range 3 {
		s.Observe(2, time.Second, 1)
	}
	if work, ok := s.Work(1); !ok || work < 990*time.Millisecond || work > 1010*time.Millisecond {
		t.Errorf("work %v, %t, want the 1s of the tasks on another server", work, ok)
	}
}

func BenchmarkEstimator_Class(b *testing.B) {
	f := newFleet(1, 1)
	for range 40 {
		f.run(0)
	}
	for b.Loop() {
		f.class(0)
	}
}

func BenchmarkEstimator_Observe(b *testing.B) {
	f := newFleet(1, 1)
	for b.Loop() {
		f.run(0)
	}
}
