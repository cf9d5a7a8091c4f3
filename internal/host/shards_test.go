package host_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/currantwinch/currantwinch/platform/standin"
	"github.com/currantwinch/currantwinch/shard"
	"github.com/currantwinch/currantwinch/workload"
)

// newShardedDeployment returns a deployment whose service has two shards. Each has one
// rack with two servers of kind b and one with two of kind a.
func newShardedDeployment(t *testing.T, work time.Duration) *deployment {
	s := newDeployment(t, 0)
	layout := shard.Layout{Shards: 2, Racks: map[string]int{"r0": 0, "r1": 1, "r2": 0, "r3": 1}}
	value, err := workload.Encode(layout)
	if err != nil {
		t.Fatal(err)
	}
	s.store.Put(shard.LayoutPartition.Topic, shard.LayoutPartition.Part, "pool", value)
	for i := range 8 {
		server := standin.NewServer(fmt.Sprintf("i-%d", i), work)
		s.servers = append(s.servers, server)
		s.addresses[server.ID] = s.serve(server)
		s.enter(server, kindOfRack[i/2], fmt.Sprintf("r%d", i/2))
	}
	return s
}

// kindOfRack holds the kind of each rack's servers.
var kindOfRack = []string{"b", "b", "a", "a"}

func (s *deployment) enter(server *standin.Server, kind, rack string) {
	entry := fmt.Sprintf(`{"service":"pool","address":%q,"zone":"z","state":"ready","capacity":{"cpu":4000,"mem_mb":8000},"labels":[%q,%q],"born":%d}`,
		s.addresses[server.ID], kind, rack, server.Born())
	s.store.Put("keyed.servers", 0, server.ID, []byte(entry))
}

// lose ends a server for good.
func (s *deployment) lose(server *standin.Server) {
	server.SetFault(standin.Reset)
	s.store.Put("keyed.servers", 0, server.ID, nil)
}

// A shard loses its only rack with the kind that submissions require. Those that had
// begun and those that come later must run in the shard that has the other such rack, as
// callers at any daemon see, and a cancel must reach them there.
func TestHost_SubmissionThatItsShardCannotRunRunsInAnother(t *testing.T) {
	const work = 2 * time.Second
	s := newShardedDeployment(t, work)
	_, address := s.start()
	_, other := s.start()
	submit := func(first int) []string {
		ids := make([]string, 8)
		for i := range ids {
			ids[i] = fmt.Sprintf("%016x", first+i)
			body := `{"spec":"x","steps":[{"count":1,"cpu":250,"mem_mb":100,"requirements":"b"}]}`
			if status, text := s.call("POST", address, "/q/"+ids[i], body); status != http.StatusOK {
				t.Fatalf("%d %s", status, text)
			}
		}
		return ids
	}
	ids := submit(1)
	s.await("running", func() bool { return s.allIn(address, ids, "running") })
	for _, server := range s.servers[:2] {
		s.lose(server)
	}
	ids = append(ids, submit(100)...)
	cancelled := submit(200)
	time.Sleep(3 * time.Second)
	s.cancelAll(other, cancelled)
	for range 20 {
		if s.allIn(other, ids, "completed") {
			return
		}
		time.Sleep(time.Second)
	}
	for _, id := range ids {
		if got := s.state(other, id); got != "completed" {
			t.Errorf("submission %s is %q 20 s after the rack was lost, want completed", id, got)
		}
	}
}

// cancelAll cancels submissions and checks that none of them runs afterwards.
func (s *deployment) cancelAll(address string, ids []string) {
	s.t.Helper()
	for _, id := range ids {
		if status, text := s.call("DELETE", address, "/q/"+id, ""); status != http.StatusOK {
			s.t.Errorf("cancel of %s: %d %s", id, status, text)
		}
	}
	time.Sleep(time.Second)
	for _, id := range ids {
		for _, server := range s.servers {
			if server.Runs(id + ".0.0.0") {
				s.t.Errorf("%s runs on %s after its cancel was acknowledged", id, server.ID)
			}
		}
	}
}

func (s *deployment) allIn(address string, ids []string, state string) bool {
	for _, id := range ids {
		if s.state(address, id) != state {
			return false
		}
	}
	return true
}
