package speculation_test

import (
	"fmt"
	"time"

	"github.com/currantwinch/currantwinch/placement/speculation"
)

func ExampleRun_CopyEndsFirst() {
	straggler := speculation.Run{Age: 7 * time.Second, Expected: 2 * time.Second, Uncertainty: 1}
	usual := speculation.Run{Age: time.Second, Expected: 2 * time.Second, Uncertainty: 1}
	fmt.Println(straggler.CopyEndsFirst(2*time.Second), usual.CopyEndsFirst(2*time.Second))
	// Output: true false
}
