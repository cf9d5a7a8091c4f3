// Command rig plays the scripts of the review. It starts the project's daemons as
// processes, stands in for the store, the runners and the requesters on loopback
// addresses, and exits with 1 if a rule was broken, 0 if it held and 2 if the
// scenario could not run.
package main

import (
	"fmt"
	"os"
	"syscall"
	"time"
)

// Exit codes.
const (
	exitHeld     = 0
	exitBroken   = 1
	exitNoResult = 2
)

// scenario plays a case with or without its disruption, and returns the broken rules.
type scenario struct {
	options Options
	script  func(f *Fleet, trouble bool) (broken []string, err error)
}

var scenarios = map[string]scenario{
	"reborn-ack":   {Options{Daemons: 3, Runners: 8, CPU: 32000, MemMB: 131072, MaxHold: 6 * time.Second}, rebornAck},
	"wide":         {Options{Daemons: 3, Runners: 8, CPU: 32000, MemMB: 131072, MaxHold: 6 * time.Second}, wide},
	"schedules":    {Options{Daemons: 3, Runners: 8, CPU: 32000, MemMB: 131072, MaxHold: 6 * time.Second}, schedules},
	"deadly":       {Options{Daemons: 5, Runners: 10, CPU: 32000, MemMB: 131072, MaxHold: 6 * time.Second}, deadly},
	"stale-cancel": {Options{Daemons: 3, Runners: 8, CPU: 32000, MemMB: 131072, MaxHold: 6 * time.Second}, staleCancel},
	"other-kind":   {Options{Daemons: 3, Runners: 9, CPU: 32000, MemMB: 65536, MaxHold: 6 * time.Second}, otherKind},
	"crashing":     {Options{Daemons: 3, Runners: 8, CPU: 32000, MemMB: 131072, MaxHold: 6 * time.Second}, crashing},
	"lost-rack":    {Options{Daemons: 3, Runners: 400, CPU: 32000, MemMB: 131072, MaxHold: 6 * time.Second, RackSize: 20, KindOf: firstTwoRacks}, lostRack},
	"long-name":    {Options{Daemons: 3, Runners: 8, CPU: 32000, MemMB: 131072, MaxHold: 6 * time.Second}, longName},
	"many-ends":    {Options{Daemons: 3, Runners: 8, CPU: 32000, MemMB: 131072, MaxHold: 6 * time.Second}, manyEnds},
}

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: rig SCENARIO RECORD")
		os.Exit(exitNoResult)
	}
	os.Exit(play(os.Args[1], os.Args[2]))
}

func play(name, record string) int {
	s, ok := scenarios[name]
	if !ok {
		fmt.Fprintln(os.Stderr, "no such scenario:", name)
		return exitNoResult
	}
	f, err := NewFleet(s.options, record)
	if f != nil {
		defer f.Close()
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNoResult
	}
	broken, err := s.script(f, os.Getenv("TROUBLE") != "0")
	if err != nil {
		f.Ledger.Note("could not run: %v", err)
		fmt.Println("could not run:", err)
		return exitNoResult
	}
	tasks, runs := f.Ledger.RunsOf()
	f.Ledger.Note("%d tasks, %d runs", tasks, runs)
	for _, b := range broken {
		f.Ledger.Note("BROKEN  %s", b)
	}
	fmt.Printf("%s: %d tasks, %d runs, broken %d times\n", name, tasks, runs, len(broken))
	if len(broken) > 0 {
		fmt.Println("first:", broken[0])
		return exitBroken
	}
	return exitHeld
}

// rebornAck: a runner crashes and is back under its id while the store is down, with
// an end that the scheduler has read and could not store. See review/2/claim.txt.
func rebornAck(f *Fleet, trouble bool) ([]string, error) {
	const (
		width        = 40
		outage       = 4000 * time.Millisecond
		crashAfter   = 900 * time.Millisecond
		reuseAfter   = 2100 * time.Millisecond
		longRun      = "ms=1500"
		beforeOutage = time.Second
	)
	short := Step{Count: width, CPU: 2000, MemMB: 1024, EstimatedMS: 300}
	first := ids(1, 12)
	if !f.SubmitAll(first, "ms=300", short) || !f.AwaitDone(first, len(first)*width, 20*time.Second) {
		return nil, fmt.Errorf("the first submissions were not done")
	}
	time.Sleep(500 * time.Millisecond)
	long := Step{Count: width, CPU: 2000, MemMB: 1024, EstimatedMS: 1500}
	second := ids(2, 3)
	if !f.SubmitAll(second, longRun, long) || !f.AwaitRunning(len(second)*width, 5*time.Second) {
		return nil, fmt.Errorf("the second submissions did not start")
	}
	time.Sleep(beforeOutage)
	if trouble {
		victim := f.Runners[0]
		for _, r := range f.Runners {
			if r.RunningCount() > victim.RunningCount() {
				victim = r
			}
		}
		f.Ledger.Note("DISRUPTION the store is down")
		f.Store.SetDown(true)
		time.Sleep(crashAfter)
		f.Ledger.Note("DISRUPTION %s crashes", victim)
		victim.Crash()
		time.Sleep(reuseAfter)
		f.Ledger.Note("DISRUPTION %s is back under its id", victim)
		if err := victim.Start(); err != nil {
			return nil, err
		}
		time.Sleep(outage - crashAfter - reuseAfter)
		f.Store.SetDown(false)
		f.Ledger.Note("DISRUPTION the store is up")
	}
	if !f.AwaitDone(second, len(second)*width, 20*time.Second) {
		return nil, fmt.Errorf("the second submissions were not done")
	}
	time.Sleep(5 * time.Second)
	third := ids(3, 3)
	if !f.SubmitAll(third, "ms=500", Step{Count: width, CPU: 2000, MemMB: 1024, EstimatedMS: 500}) {
		return nil, fmt.Errorf("the third submissions were not accepted")
	}
	f.AwaitDone(third, len(third)*width, 10*time.Second)
	time.Sleep(5 * time.Second)
	for _, id := range third {
		f.State(id)
	}
	return f.Ledger.CheckTwice(), nil
}

// manyEnds: the daemon that schedules is killed, and more runs end on one runner
// than it lists at a time before another daemon has taken over. See
// review/3/claim.txt.
func manyEnds(f *Fleet, trouble bool) ([]string, error) {
	const (
		width     = 50
		number    = 15
		killAfter = 3700 * time.Millisecond
		downFor   = 3 * time.Second
	)
	all := ids(1, number)
	began := time.Now()
	if !f.SubmitAll(all, "ms=4000", Step{Count: width, CPU: 40, MemMB: 64, EstimatedMS: 4000}) || !f.AwaitRunning(number*width, 10*time.Second) {
		return nil, fmt.Errorf("not all tasks run at the same time")
	}
	f.Ledger.Note("all tasks run")
	for _, r := range f.Runners {
		f.Ledger.Note("runner  %s has %d tasks", r, r.RunningCount())
	}
	time.Sleep(time.Until(began.Add(killAfter)))
	if trouble {
		owner := f.Owner()
		if owner == nil {
			return nil, fmt.Errorf("no daemon owns the submissions")
		}
		f.Ledger.Note("DISRUPTION")
		owner.Signal(syscall.SIGKILL)
		owner.AwaitEnd(time.Second)
		time.AfterFunc(downFor, func() { _ = owner.Start() })
	}
	if !f.AwaitDone(all, number*width, 30*time.Second) {
		return nil, fmt.Errorf("the tasks were not done")
	}
	time.Sleep(12 * time.Second)
	for _, id := range all[:3] {
		f.State(id)
	}
	return f.Ledger.CheckTwice(), nil
}
