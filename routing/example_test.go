package routing_test

import (
	"fmt"
	"testing"

	"github.com/currantwinch/currantwinch/routing"
	"github.com/currantwinch/currantwinch/workload"
)

func config() *routing.Configuration {
	return &routing.Configuration{Queues: []routing.Queue{
		{Name: "all", Host: "desk.example", PathPrefix: "/jobs/"},
		{Name: "urgent", Host: "desk.example", PathPrefix: "/jobs/urgent/"},
	}}
}

func ExampleConfiguration_Match() {
	queue, rest, ok := config().Match("desk.example:80", "/jobs/urgent/00000000000000a1")
	fmt.Println(queue.Name, rest, ok)
	// Output: urgent 00000000000000a1 true
}

func TestMatch(t *testing.T) {
	for _, c := range []struct{ host, path, queue string }{
		{"desk.example", "/jobs/x", "all"},
		{"DESK.example", "/jobs/urgent/x", "urgent"},
		{"desk.example", "/jobs", ""},
		{"other.example", "/jobs/x", ""},
	} {
		queue, _, ok := config().Match(c.host, c.path)
		if ok != (c.queue != "") || ok && queue.Name != c.queue {
			t.Errorf("%s%s: %v, want %q", c.host, c.path, queue, c.queue)
		}
	}
}

// Guards against work that loses its queue, or gets another one, by how a host is written.
func TestQueueAt_FindsTheAddressOfEachMatch(t *testing.T) {
	for _, c := range []struct{ host, path string }{{"DESK.example:80", "/jobs/x"}, {"desk.example", "/jobs/urgent/x"}} {
		matched, _, _ := config().Match(c.host, c.path)
		if found, ok := config().QueueAt(matched.Address()); !ok || found.Name != matched.Name {
			t.Errorf("%s%s: queue %v at %q, want %q", c.host, c.path, found, matched.Address(), matched.Name)
		}
	}
	for _, address := range []workload.QueueAddress{"", "desk.example/job", "desk.example/jobs/urgent/x", "other.example/jobs/"} {
		if q, ok := config().QueueAt(address); ok {
			t.Errorf("%q: queue %q, want none", address, q.Name)
		}
	}
}
