package limit_test

import (
	"fmt"
	"time"

	"github.com/currantwinch/currantwinch/limit"
)

func Example() {
	rates := limit.NewRateLimiter(0)
	check := limit.Check{
		Key:  limit.Key{Scope: limit.ScopeCaller, Service: "orders", Name: "a"},
		Rate: limit.Rate{PerSecond: 2, Burst: 1},
	}
	now := time.Unix(0, 0)
	_, ok := rates.Allow(now, check)
	fmt.Println(ok)
	retryAfter, ok := rates.Allow(now, check)
	fmt.Println(ok, retryAfter)
	// Output:
	// true
	// false 500ms
}

func ExampleBudget() {
	retries := limit.NewBudget(0.1, 1)
	fmt.Println(retries.TrySpend(), retries.TrySpend())
	// Output: true false
}
