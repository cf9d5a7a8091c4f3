package delay_test

import (
	"fmt"
	"time"

	"github.com/currantwinch/currantwinch/placement/delay"
)

func ExampleTask_Waits() {
	task := delay.Task{LocalTime: 2 * time.Second, RemoteFactor: 2, Left: 10 * time.Second}
	fmt.Println(task.Waits(500*time.Millisecond), task.Waits(5*time.Second))
	// Output: true false
}
