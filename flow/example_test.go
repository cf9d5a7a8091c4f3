package flow_test

import (
	"fmt"
	"time"

	"github.com/currantwinch/currantwinch/flow"
)

func Example() {
	now := time.Unix(0, 0)
	q := flow.NewQueue[string](now, 400*time.Millisecond, 2*time.Second)
	q.Add(now, flow.Call[string]{Class: flow.ClassStart, Receiver: "server-1", Value: "start a task"})
	q.Add(now, flow.Call[string]{Class: flow.ClassStop, Receiver: "server-1", Value: "stop another"})
	for c, ok := q.Next(now); ok; c, ok = q.Next(now) {
		fmt.Println(c.Value)
		q.Answered(now.Add(15*time.Millisecond), c, 15*time.Millisecond)
	}
	// Output:
	// stop another
	// start a task
}
