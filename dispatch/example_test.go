package dispatch_test

import (
	"fmt"
	"time"

	"github.com/currantwinch/currantwinch/dispatch"
)

func Example() {
	b := dispatch.New(dispatch.Options{})
	b.Add("b1", 8)
	b.Add("b2", 8)
	now := time.Unix(0, 0)
	i, ok := b.Choose([]dispatch.Candidate{
		{Backend: "b1", Free: 1, Held: 4, Local: true},
		{Backend: "b2", Free: 3, Held: 4, Local: true},
	}, now)
	fmt.Println(i, ok, dispatch.MaxConnections(64, 8, 4, 9))
	// Output: 1 true 10
}
