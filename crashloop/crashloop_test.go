package crashloop_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/currantwinch/currantwinch/crashloop"
)

const ms = time.Millisecond

// A crash that several runs may have caused must not be held against the one that is
// least likely to have caused it, nor against the runs beside a trial.
func TestAttribute(t *testing.T) {
	const nothing = crashloop.Kind(0)
	run := func(age time.Duration) crashloop.Run { return crashloop.Run{Age: age} }
	trial := func(age time.Duration) crashloop.Run { return crashloop.Run{Age: age, OnTrial: true} }
	for _, tc := range []struct {
		name   string
		runs   []crashloop.Run
		outage bool
		want   []crashloop.Kind
	}{
		{"no runs", nil, false, nil},
		{"a single run", []crashloop.Run{run(10 * ms)}, false, []crashloop.Kind{crashloop.Shared}},
		{"started together", []crashloop.Run{run(10 * ms), run(12 * ms)}, false, []crashloop.Kind{crashloop.Shared, crashloop.Shared}},
		{"an old run beside a new one", []crashloop.Run{run(5 * time.Second), run(10 * ms)}, false, []crashloop.Kind{crashloop.Weak, crashloop.Shared}},
		{"older runs only", []crashloop.Run{run(2800 * ms), run(2 * time.Second)}, false, []crashloop.Kind{crashloop.Shared, crashloop.Shared}},
		{"long-running runs only", []crashloop.Run{run(time.Minute), run(5 * time.Second)}, false, []crashloop.Kind{crashloop.Weak, crashloop.Weak}},
		{"an outage", []crashloop.Run{run(10 * ms), run(12 * ms)}, true, []crashloop.Kind{crashloop.Weak, crashloop.Weak}},
		{"a trial alone", []crashloop.Run{trial(10 * ms)}, false, []crashloop.Kind{crashloop.Alone}},
		{"a trial beside settled runs", []crashloop.Run{run(400 * ms), trial(10 * ms)}, false, []crashloop.Kind{nothing, crashloop.Alone}},
		{"a trial beside a run that had just begun", []crashloop.Run{run(100 * ms), trial(10 * ms)}, false, []crashloop.Kind{crashloop.Shared, crashloop.Shared}},
		{"a trial in an outage", []crashloop.Run{run(time.Second), trial(10 * ms)}, true, []crashloop.Kind{crashloop.Weak, crashloop.Weak}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			if got := crashloop.Attribute(tc.runs, tc.outage); !slices.Equal(got, tc.want) {
				t.Errorf("%v, want %v", got, tc.want)
			}
		})
	}
}

func crash(run int, host string, kind crashloop.Kind) crashloop.Crash {
	return crashloop.Crash{Run: run, Host: host, Kind: kind}
}

// A task is given up for crashes in trials on two hosts. A task that was on servers
// that crashed for other causes, or twice on one faulty host, is not.
func TestHistory_GivenUp(t *testing.T) {
	const weak, shared, alone = crashloop.Weak, crashloop.Shared, crashloop.Alone
	for _, tc := range []struct {
		name             string
		crashes          []crashloop.Crash
		suspect, givenUp bool
	}{
		{"none", nil, false, false},
		{"one outage", []crashloop.Crash{crash(1, "a", weak)}, false, false},
		{"two outages", []crashloop.Crash{crash(1, "a", weak), crash(2, "b", weak)}, true, false},
		{"one shared crash", []crashloop.Crash{crash(1, "a", shared)}, true, false},
		{"four shared crashes", []crashloop.Crash{crash(1, "a", shared), crash(2, "b", shared), crash(3, "c", shared), crash(4, "d", shared)}, true, false},
		{"a trial", []crashloop.Crash{crash(1, "a", shared), crash(2, "b", alone)}, true, false},
		{"a trial and an outage", []crashloop.Crash{crash(1, "a", shared), crash(2, "b", alone), crash(3, "c", weak)}, true, false},
		{"two trials on one host", []crashloop.Crash{crash(1, "a", alone), crash(2, "a", alone)}, true, false},
		{"two trials", []crashloop.Crash{crash(1, "a", shared), crash(2, "b", alone), crash(3, "c", alone)}, true, true},
		{"five crashes, one in a trial", []crashloop.Crash{
			crash(1, "a", shared), crash(2, "b", weak), crash(3, "c", alone), crash(4, "d", shared), crash(5, "e", weak),
		}, true, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var h crashloop.History
			for _, c := range tc.crashes {
				if !h.Add(c, 10*ms) {
					t.Errorf("run %d was recorded before", c.Run)
				}
			}
			if h.Suspect() != tc.suspect || h.GivenUp() != tc.givenUp {
				t.Errorf("suspect %v, given up %v, want %v, %v", h.Suspect(), h.GivenUp(), tc.suspect, tc.givenUp)
			}
		})
	}
}

// Members of a gang report the same run; it must not count once a member.
func TestHistory_CountsARunOnce(t *testing.T) {
	var h crashloop.History
	if !h.Add(crash(1, "a", crashloop.Alone), ms) || h.Add(crash(1, "b", crashloop.Alone), ms) {
		t.Fatal("want the first crash of run 1 recorded and the second not")
	}
	if h.GivenUp() {
		t.Error("given up for one run")
	}
}

// A task that crashes late passes a short trial. The next one must be longer, or it
// would crash servers without end.
func TestHistory_TrialGrowsAfterAPassedOne(t *testing.T) {
	var h crashloop.History
	h.Add(crash(1, "a", crashloop.Shared), 800*ms)
	first := h.TrialTime()
	h.Clear()
	if h.Suspect() {
		t.Error("still a suspect after a passed trial")
	}
	h.Add(crash(2, "b", crashloop.Shared), 300*ms)
	if second := h.TrialTime(); first < 800*ms || second < 2*first {
		t.Errorf("trials of %v and %v, want at least 800ms and twice as long", first, second)
	}
}

// Weak evidence against a run that had been going for long must not lead to a trial as
// long: long-running tasks of one step wait for each other's trials.
func TestHistory_WeakEvidenceLeadsToAShortTrial(t *testing.T) {
	var h crashloop.History
	h.Add(crash(1, "a", crashloop.Weak), time.Minute)
	h.Add(crash(2, "b", crashloop.Weak), time.Minute)
	if d := h.TrialTime(); !h.Suspect() || d > time.Second {
		t.Errorf("suspect %v, trial of %v, want at most 1s", h.Suspect(), d)
	}
}

func TestHistory_BackoffGrows(t *testing.T) {
	var h crashloop.History
	last := time.Duration(-1)
	for run := range 8 {
		if d := h.Backoff(); d < last || d > 2*time.Second {
			t.Errorf("backoff %v after %v", d, last)
		} else {
			last = d
		}
		h.Add(crash(run, "a", crashloop.Shared), ms)
	}
	if last != 2*time.Second {
		t.Errorf("backoff %v after seven crashes, want 2s", last)
	}
}

// Servers that go down together do so for a common cause; those whose tasks crash
// them one after another do not, nor do those under trial.
func TestHosts_Outage(t *testing.T) {
	start := time.Unix(1000, 0)
	down := func(host string, after time.Duration, broken, onTrial bool) crashloop.Down {
		return crashloop.Down{Host: host, At: start.Add(after), Broken: broken, OnTrial: onTrial}
	}
	for _, tc := range []struct {
		name   string
		others []crashloop.Down
		want   bool
	}{
		{"alone", nil, false},
		{"with one other", []crashloop.Down{down("b", 0, true, false)}, false},
		{"three together", []crashloop.Down{down("b", 5*ms, true, false), down("c", 9*ms, true, false)}, true},
		{"one host twice", []crashloop.Down{down("b", 5*ms, true, false), down("b", 9*ms, true, false)}, false},
		{"one after another", []crashloop.Down{down("b", 400*ms, true, false), down("c", 800*ms, true, false)}, false},
		{"noticed by time-outs", []crashloop.Down{down("b", 400*ms, false, false), down("c", 800*ms, false, false)}, true},
		{"under trial", []crashloop.Down{down("b", 5*ms, true, true), down("c", 9*ms, true, true)}, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var h crashloop.Hosts
			h.WentDown(down("a", 0, true, false))
			for _, d := range tc.others {
				h.WentDown(d)
			}
			if got := h.Outage("a", start); got != tc.want {
				t.Errorf("outage %v, want %v", got, tc.want)
			}
		})
	}
}

func TestHosts_Unreliable(t *testing.T) {
	var h crashloop.Hosts
	start := time.Unix(1000, 0)
	h.WentDown(crashloop.Down{Host: "a", At: start})
	if h.Unreliable("a", start) {
		t.Error("unreliable after one crash")
	}
	h.WentDown(crashloop.Down{Host: "a", At: start.Add(10 * time.Second)})
	if !h.Unreliable("a", start.Add(11*time.Second)) || h.Unreliable("b", start.Add(11*time.Second)) {
		t.Error("want a, which crashed twice, to be unreliable, and b not")
	}
	if h.Unreliable("a", start.Add(time.Minute)) {
		t.Error("still unreliable a minute later")
	}
}

func Example() {
	var history crashloop.History
	// The task's server crashed with two other runs, one of them much older.
	runs := []crashloop.Run{{Age: 20 * ms}, {Age: 30 * ms}, {Age: 8 * time.Second}}
	kinds := crashloop.Attribute(runs, false)
	history.Add(crashloop.Crash{Run: 1, Host: "10.0.0.1", Kind: kinds[0]}, runs[0].Age)
	fmt.Println(kinds[0], kinds[2], history.Suspect(), history.TrialTime())
	// Its next two starts are trials, and both servers crash.
	for run, host := range []string{"10.0.0.2", "10.0.0.3"} {
		alone := []crashloop.Run{{Age: 20 * ms, OnTrial: true}}
		history.Add(crashloop.Crash{Run: run + 2, Host: host, Kind: crashloop.Attribute(alone, false)[0]}, 20*ms)
	}
	fmt.Println(history.GivenUp())
	// Output:
	// shared weak true 500ms
	// true
}
