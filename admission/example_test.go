package admission_test

import (
	"fmt"
	"time"

	"github.com/currantwinch/currantwinch/admission"
	"github.com/currantwinch/currantwinch/estimate"
	"github.com/currantwinch/currantwinch/fairqueue"
)

func Example() {
	now := time.Unix(0, 0)
	request := admission.Request{
		Prediction: estimate.Prediction{P50: 100 * time.Millisecond, Class: estimate.Long},
		Deadline:   now.Add(2100 * time.Millisecond),
	}
	state := admission.State{
		Load:  fairqueue.Load{Backlog: 16 * time.Second, Share: 0.5},
		Slots: 8,
	}
	d := admission.Decide(request, state, admission.Options{}, now)
	fmt.Println(d.Admit, d.Reason, d.RetryAfter)
	// Output: false overloaded 3s
}
