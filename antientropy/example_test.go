package antientropy_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/currantwinch/currantwinch/antientropy"
)

// A daemon reads version 7 from the source, which then falls silent.
func Example() {
	now := time.Unix(1_700_000_000, 0)
	r := antientropy.New(antientropy.Options{ConfirmInterval: time.Second, Rand: rand.New(rand.NewPCG(1, 2))}, now)
	r.Apply(7)
	r.Confirm(7, now)
	fmt.Println("in time:", r.Next(now.Add(500*time.Millisecond), []string{"b"}))

	now = now.Add(2 * time.Second)
	fmt.Println("overdue:", r.Next(now, []string{"b"}))

	// Daemon b has version 8, and is asked for its value.
	later := antientropy.Answer{Version: 8, Age: 300 * time.Millisecond, Confirmed: true}
	r.Answered("b", now, later)
	fmt.Println("behind:", r.Next(now, []string{"b"}))
	r.Apply(8)
	r.Answered("b", now, later)
	age, confirmed := r.Age(now)
	fmt.Println(r.Version(), age, confirmed)
	// Output:
	// in time: []
	// overdue: [{b false}]
	// behind: [{b true}]
	// 8 300ms true
}
