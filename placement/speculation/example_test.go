package speculation_test

import (
	"fmt"
	"time"

	"github.com/currantwinch/currantwinch/placement/speculation"
)

func ExampleRun_Pays() {
	straggler := speculation.Run{Age: 7 * time.Second, Expected: 2 * time.Second, Uncertainty: 1}
	usual := speculation.Run{Age: time.Second, Expected: 2 * time.Second, Uncertainty: 1}
	fmt.Println(straggler.Pays(2*time.Second), usual.Pays(2*time.Second))
	// Output: true false
}
