package untrusted

import (
	"os"
	"syscall"
	"time"
)

// slicePeriod is the time in which a process gets its part of a core once.
const slicePeriod = 50 * time.Millisecond

// slowDown gives the process a part of a core until restore is called: it is stopped for the rest
// of each period.
func (p *process) slowDown(cores float64) (restore func()) {
	if cores >= 1 {
		return func() {}
	}
	running := time.Duration(cores * float64(slicePeriod))
	stop, done := make(chan struct{}), make(chan struct{})
	process, err := os.FindProcess(p.pid)
	if err != nil {
		p.t.Fatal(err)
	}
	go func() {
		defer close(done)
		for {
			_ = process.Signal(syscall.SIGSTOP)
			time.Sleep(slicePeriod - running)
			_ = process.Signal(syscall.SIGCONT)
			select {
			case <-stop:
				return
			case <-time.After(running):
			}
		}
	}()
	return func() { close(stop); <-done }
}
