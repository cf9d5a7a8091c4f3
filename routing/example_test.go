package routing_test

import (
	"fmt"
	"testing"

	"github.com/currantwinch/currantwinch/routing"
)

func config() *routing.Configuration {
	return &routing.Configuration{Queues: []routing.Queue{
		{Name: "all", Host: "desk.example", PathPrefix: "/work/"},
		{Name: "urgent", Host: "desk.example", PathPrefix: "/work/urgent/"},
	}}
}

func ExampleConfiguration_Match() {
	queue, rest, ok := config().Match("desk.example:80", "/work/urgent/00000000000000a1")
	fmt.Println(queue.Name, rest, ok)
	// Output: urgent 00000000000000a1 true
}

func TestMatch(t *testing.T) {
	for _, c := range []struct{ host, path, queue string }{
		{"desk.example", "/work/x", "all"},
		{"DESK.example", "/work/urgent/x", "urgent"},
		{"desk.example", "/work", ""},
		{"other.example", "/work/x", ""},
	} {
		queue, _, ok := config().Match(c.host, c.path)
		if ok != (c.queue != "") || ok && queue.Name != c.queue {
			t.Errorf("%s%s: %v, want %q", c.host, c.path, queue, c.queue)
		}
	}
}
