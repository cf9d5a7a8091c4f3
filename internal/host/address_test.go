package host_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"
)

// The entry of a server names the address of another one while a task runs there. The
// other server refuses what is not meant for it, which says nothing of the first one. The
// task goes on there, and must not be started a second time beside itself.
func TestHost_EntryWithAnotherServersAddressStartsNothingTwice(t *testing.T) {
	const submission = "00000000000000f1"
	s := newDeployment(t, 2)
	for _, server := range s.servers {
		server.RunDuration = time.Minute
	}
	_, address := s.start()
	if status, text := s.call("POST", address, "/q/"+submission, `{"spec":"x","steps":[{"count":1,"cpu":1000,"mem_mb":100}]}`); status != http.StatusOK {
		t.Fatalf("%d %s", status, text)
	}
	const task = submission + ".0.0.0"
	s.await("running", func() bool { return s.servers[0].Runs(task) || s.servers[1].Runs(task) })
	at, other := s.servers[0], s.servers[1]
	if other.Runs(task) {
		at, other = other, at
	}
	changed := time.Now()
	s.store.Put("keyed.servers", 0, at.ID, fmt.Appendf(nil, soundEntry, s.addresses[other.ID], at.Born()))
	for time.Since(changed) < 3*time.Second {
		if at.Runs(task) && other.Runs(task) {
			t.Fatalf("the task runs on two servers at once, %s after its server's entry changed", time.Since(changed).Round(time.Millisecond))
		}
		time.Sleep(20 * time.Millisecond)
	}
}
