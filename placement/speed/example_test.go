package speed_test

import (
	"fmt"
	"time"

	"github.com/currantwinch/currantwinch/placement/speed"
)

func ExampleEstimator() {
	var server speed.Estimator
	now := time.Unix(0, 0)
	for group := range uint64(48) {
		now = now.Add(time.Second)
		// Each run takes half of what it takes on the usual server.
		server.Observe(group, time.Second, 500*time.Millisecond, now)
	}
	fmt.Println(server.Speed(now) > 1.5)
	// Output: true
}
