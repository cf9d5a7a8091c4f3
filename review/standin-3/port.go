//go:build review3

package main

import (
	"net"
	"net/http"
	"time"
)

// exitTime is how long a daemon that can't start is given to exit.
const exitTime = 30 * time.Second

// portTaken: another process listens at the address for readiness checks when a daemon starts.
// Without the trouble the daemon is to run on.
func portTaken(w *world, trouble bool) verdict {
	w.configure(1, route("r-1", "/jobs/", "alpha"))
	if err := w.addRunners("alpha", 8); err != nil {
		return w.cannotRun(err)
	}
	if err := w.addDaemon(); err != nil {
		return w.cannotRun(err)
	}
	d := w.front[0]
	if trouble {
		taken := d.reserved[1]
		defer func() { _ = taken.Close() }()
		d.reserved = append(d.reserved[:1:1], d.reserved[2:]...)
		w.note("another process listens at the address for readiness checks")
	}
	if err := w.start(d); err != nil {
		return w.cannotRun(err)
	}
	exited := make(chan struct{})
	go func() { _ = d.process.Wait(); close(exited) }()
	select {
	case <-exited:
		w.note("the daemon has exited")
		if trouble {
			return held
		}
		return w.cannotRun("it was to run on")
	case <-time.After(exitTime):
	}
	w.note("the daemon hasn't exited within %s", exitTime)
	c, err := net.DialTimeout("tcp", d.frontend, time.Second)
	w.note("connection to its address for callers: %v", err)
	if err == nil {
		_ = c.Close()
		w.call(d, http.MethodGet, "/jobs/00000000000000e1", nil)
	}
	if trouble {
		return broken
	}
	return held
}
