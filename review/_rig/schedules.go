package main

import (
	"fmt"
	"syscall"
	"time"
)

const (
	// memoryLimitMB is memory_mb of the settings.
	memoryLimitMB = 284
	// memoryCheck is the time between two looks at the memory of a process.
	memoryCheck = 50 * time.Millisecond
	// restartDelay is the time from the end of a process to its next start.
	restartDelay = 500 * time.Millisecond
)

// EnforceMemory kills each process that exceeds the limit, as the platform does, and
// starts it again. It returns a function that stops that and gives the kills of each
// daemon.
func (f *Fleet) EnforceMemory() (stop func() map[string]int) {
	kills := make(map[string]int)
	over := make(chan struct{})
	done := make(chan struct{})
	go func() {
		defer close(done)
		for {
			for _, d := range f.Daemons {
				mb := d.MemoryMB()
				if mb <= memoryLimitMB {
					continue
				}
				f.Ledger.Note("platform %s has %d MB, over its %d MB, and is killed", d.Name, mb, memoryLimitMB)
				d.Signal(syscall.SIGKILL)
				d.AwaitEnd(time.Second)
				kills[d.Name]++
				time.AfterFunc(restartDelay, func() { _ = d.Start() })
			}
			select {
			case <-over:
				return
			case <-time.After(memoryCheck):
			}
		}
	}()
	return func() map[string]int {
		close(over)
		<-done
		return kills
	}
}

// schedules: teams hand in submissions that run once a minute for a week. See
// review/REPORT.md: it is a trial, not a case.
func schedules(f *Fleet, trouble bool) ([]string, error) {
	const (
		number     = 70
		apart      = 150 * time.Millisecond
		finish     = 14 * time.Second
		answerTime = 5 * time.Second
		endsAFault = 3
		machines   = 2
	)
	repeat := 7 * 24 * 60
	if !trouble {
		repeat = 60
	}
	stop := f.EnforceMemory()
	type outcome struct {
		id string
		ok bool
	}
	outcomes := make(chan outcome, number)
	for _, id := range ids(1, number) {
		go func() {
			step := Step{Count: 1, CPU: 500, MemMB: 64, EstimatedMS: 300}
			outcomes <- outcome{id, f.SubmitTimed(id, "ms=300", time.Now().Add(time.Minute), time.Minute, repeat, step)}
		}()
		time.Sleep(apart)
	}
	var accepted []string
	for range number {
		if o := <-outcomes; o.ok {
			accepted = append(accepted, o.id)
		}
	}
	f.Ledger.Note("%d of %d submissions are accepted", len(accepted), number)
	if len(accepted) == 0 {
		return nil, fmt.Errorf("no submission was accepted")
	}
	time.Sleep(finish)
	var broken []string
	unanswered := 0
	for _, id := range accepted[:min(len(accepted), 3)] {
		state := ""
		for until := time.Now().Add(answerTime); state == "" && time.Now().Before(until); time.Sleep(200 * time.Millisecond) {
			state = f.State(id)
		}
		if state == "" {
			unanswered++
			broken = append(broken, fmt.Sprintf("LOST: submission %s was accepted, and %s after the end of the traffic its state gets no answer", id, finish))
		}
	}
	kills := stop()
	often := 0
	for name, n := range kills {
		f.Ledger.Note("platform %s was over its memory %d times", name, n)
		if n >= endsAFault {
			often++
		}
	}
	if often >= machines {
		broken = append(broken, fmt.Sprintf("Fault: the processes of %d of %d machines ended by themselves %d times or more", often, len(f.Daemons), endsAFault))
	}
	return broken, nil
}
