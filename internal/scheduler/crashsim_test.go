package scheduler

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/currantwinch/currantwinch/workload"
)

var (
	crashSeeds = flag.Int("crashseeds", 3, "number of seeds of each crash scenario")
	crashSeed  = flag.Uint64("crashseed", 1, "first seed of each crash scenario")
)

// crashScenario is a load with tasks that crash their servers, and what else goes
// wrong.
type crashScenario struct {
	name string
	// disturb is called at each step with the time since the load began.
	disturb func(w *crashWorld, at time.Duration)
	// gangs makes every fourth submission a gang.
	gangs bool
	// poison is the number of submissions with a task that crashes its servers.
	poison int
}

const (
	scenarioMachines    = 48
	scenarioSubmissions = 150
	scenarioArrivals    = 20 * time.Second
	scenarioEnd         = 90 * time.Second
)

// at reports whether a moment lies in the present step.
func at(now, moment time.Duration) bool { return now <= moment && moment < now+worldStep }

// crashWhere crashes the machines whose numbers match.
func (w *crashWorld) crashWhere(match func(i int) bool) {
	for i, m := range w.machines {
		if m.life != nil && match(i) {
			w.crash(m)
		}
	}
}

func crashScenarios() []crashScenario {
	fifth := func(w *crashWorld) { w.crashWhere(func(int) bool { return w.rng.IntN(5) == 0 }) }
	return []crashScenario{
		{name: "poison tasks alone", poison: 6},
		{name: "no poison task, a fifth crashes twice", disturb: func(w *crashWorld, now time.Duration) {
			if at(now, 5*time.Second) || at(now, 9*time.Second) {
				fifth(w)
			}
		}},
		{name: "a rack crashes twice", poison: 4, disturb: func(w *crashWorld, now time.Duration) {
			if at(now, 6*time.Second) || at(now, 10*time.Second) {
				w.crashWhere(func(i int) bool { return i/8 == 2 })
			}
		}},
		{name: "a fifth crashes three times", poison: 4, disturb: func(w *crashWorld, now time.Duration) {
			if at(now, 5*time.Second) || at(now, 9*time.Second) || at(now, 13*time.Second) {
				fifth(w)
			}
		}},
		{name: "a flapping machine", poison: 4, disturb: func(w *crashWorld, now time.Duration) {
			if now%(5*time.Second) < worldStep {
				w.crashWhere(func(i int) bool { return i == 7 })
			}
		}},
		{name: "faulty machines", poison: 4, disturb: func(w *crashWorld, now time.Duration) {
			if at(now, 0) {
				w.faultyAfter[w.machines[3]], w.faultyAfter[w.machines[30]] = 20*time.Millisecond, 500*time.Millisecond
			}
		}},
		{name: "owners end every 4 s", poison: 5, disturb: func(w *crashWorld, now time.Duration) {
			if now%(4*time.Second) < worldStep && now < 40*time.Second {
				w.takeOver()
			}
		}},
		{name: "store away", poison: 5, disturb: func(w *crashWorld, now time.Duration) {
			if at(now, 6*time.Second) {
				w.holdStores = true
			}
			if at(now, 11*time.Second) {
				w.holdStores = false
				w.storeAll()
			}
		}},
		{name: "gangs", poison: 6, gangs: true},
		{name: "a burst of poison tasks", poison: 20},
	}
}

// crashResult counts what a play came to.
type crashResult struct {
	healthyFailed, unfinished, poisonOpen, crashes, worstRestarts int
}

// play runs a scenario on one seed.
func (sc crashScenario) play(t *testing.T, seed uint64) crashResult {
	w := newCrashWorld(t, scenarioMachines, seed)
	rng := rand.New(rand.NewPCG(seed, 2))
	poison := make(map[string]bool)
	durations := make(map[string]time.Duration)
	w.runTime = func(id workload.TaskID) time.Duration {
		if w.gangs[id.Submission] > 0 {
			return durations[id.Submission]
		}
		return durations[id.Submission] * time.Duration(80+(id.Index*37)%40) / 100
	}
	type arrival struct {
		at   time.Duration
		id   string
		step workload.Step
	}
	var arrivals []arrival
	for i := range scenarioSubmissions {
		id := fmt.Sprintf("%016x", i+1)
		step := oneTask(int64(1000 + rng.IntN(4000)))
		step.Count = 1 + rng.IntN(10)
		durations[id] = time.Duration(500+rng.IntN(4000)) * time.Millisecond
		if sc.gangs && i%4 == 0 && step.Count > 1 {
			step.Gang = true
			w.gangs[id] = step.Count
		}
		if i < sc.poison*4 && i%4 == 0 {
			poison[id] = true
			after := []time.Duration{10, 10, 200, 400}[rng.IntN(4)] * time.Millisecond
			w.crashAfter[workload.TaskID{Submission: id, Index: rng.IntN(step.Count)}] = after
		}
		when := time.Duration(rng.Int64N(int64(scenarioArrivals)))
		arrivals = append(arrivals, arrival{when, id, step})
	}
	begun := w.now
	for {
		now := w.now.Sub(begun)
		if now >= scenarioEnd {
			break
		}
		for _, a := range arrivals {
			if at(now, a.at) {
				w.submit(a.id, a.step)
			}
		}
		if sc.disturb != nil {
			sc.disturb(w, now)
		}
		w.step()
	}
	var out crashResult
	out.crashes = w.crashes
	for _, a := range arrivals {
		status := w.status(a.id)
		switch {
		case poison[a.id] && status != workload.StatusFailed:
			out.poisonOpen++
		case !poison[a.id] && status == workload.StatusFailed:
			out.healthyFailed++
		case !poison[a.id] && status != workload.StatusCompleted:
			out.unfinished++
		}
	}
	for task := range w.crashAfter {
		out.worstRestarts = max(out.worstRestarts, w.startsAfterThirdCrash(task))
	}
	return out
}

// Tasks that crash their servers, among many that do not, while servers crash for
// causes of their own, owners end and the store is away. No submission that can be
// done may be given up, and no task may be started three times more after it has
// crashed three servers.
func TestCore_GivesUpPoisonTasksAndNoOthers(t *testing.T) {
	for _, sc := range crashScenarios() {
		t.Run(sc.name, func(t *testing.T) {
			seeds := *crashSeeds
			if testing.Short() {
				seeds = 1
			}
			var sum crashResult
			for i := range seeds {
				seed := *crashSeed + uint64(i)
				r := sc.play(t, seed)
				if r.healthyFailed > 0 || r.unfinished > 0 || r.poisonOpen > 0 || r.worstRestarts >= 3 {
					t.Errorf("seed %d: %d healthy submissions failed, %d did not end, %d poison ones not given up, %d starts after a third crash",
						seed, r.healthyFailed, r.unfinished, r.poisonOpen, r.worstRestarts)
				}
				sum.crashes += r.crashes
				sum.healthyFailed += r.healthyFailed
				sum.unfinished += r.unfinished
				sum.poisonOpen += r.poisonOpen
				sum.worstRestarts = max(sum.worstRestarts, r.worstRestarts)
			}
			t.Logf("%d seeds: %d servers crashed, %d healthy submissions failed, %d did not end, %d poison ones not given up, at most %d starts after a third crash",
				seeds, sum.crashes, sum.healthyFailed, sum.unfinished, sum.poisonOpen, sum.worstRestarts)
		})
	}
}
