package gateway_test

import (
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/currantwinch/currantwinch/internal/gateway"
)

func runFor(d time.Duration) func(gateway.Request) time.Duration {
	return func(gateway.Request) time.Duration { return d }
}

// waitForBackends waits until the daemons have found the backend servers.
func waitForBackends() { time.Sleep(time.Second) }

func TestGateway_ReturnsResponse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, rigOptions{daemons: 3, backends: 6, slots: 2, runTime: runFor(10 * time.Millisecond)})
		defer r.close()
		waitForBackends()
		for _, d := range r.daemons {
			p := d.send(t.Context(), "peek", "hello")
			if p.status != 200 || p.body != "hello" || p.verdict() != "ran" || p.header.Get("Currantwinch-Revision") != "7" {
				t.Errorf("daemon %d: got %+v", d.index, p)
			}
		}
		r.checkSlots()
	})
}

func TestGateway_KeyRunsOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, rigOptions{daemons: 3, backends: 6, slots: 2, runTime: runFor(10 * time.Millisecond)})
		defer r.close()
		waitForBackends()
		key := r.daemons[0].issueKey()
		for _, d := range r.daemons {
			p := d.send(t.Context(), "check", "book", "Idempotency-Key", key)
			if p.status != 200 || p.body != "book" || p.verdict() != "ran" {
				t.Errorf("daemon %d: got %+v", d.index, p)
			}
		}
		if n := len(r.runs()); n != 1 {
			t.Errorf("got %d runs, want 1", n)
		}
		time.Sleep(time.Second)
		bills := r.bills()
		if b := bills[key]; len(bills) != 1 || b.Team != "red" || b.Revision != 7 || b.Caller != "ann" {
			t.Errorf("got bills %+v, want one of red, revision 7, ann", bills)
		}
	})
}

// TestSlots_ServerMissingFromList removes a busy backend server from the platform's
// list for 600 ms. Its slots must not be overcommitted when it is listed again, and
// it must get work again.
func TestSlots_ServerMissingFromList(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, rigOptions{daemons: 3, backends: 3, slots: 2, runTime: runFor(1900 * time.Millisecond)})
		defer r.close()
		waitForBackends()
		var calls sync.WaitGroup
		for i := range 200 {
			calls.Go(func() {
				time.Sleep(time.Duration(i) * 50 * time.Millisecond)
				r.daemons[i%3].send(t.Context(), "peek", "x")
			})
		}
		time.Sleep(200 * time.Millisecond)
		r.mu.Lock()
		vms := r.vms
		r.vms = vms[1:]
		r.mu.Unlock()
		time.Sleep(600 * time.Millisecond)
		r.mu.Lock()
		r.vms = vms
		r.mu.Unlock()
		calls.Wait()
		r.checkSlots()
		if n := len(r.backends["b0"].Runs()); n < 3 {
			t.Errorf("the server got %d requests, want at least 3: it got no work after it was listed again", n)
		}
	})
}
