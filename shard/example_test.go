package shard_test

import (
	"fmt"

	"github.com/currantwinch/currantwinch/shard"
)

// A service of 800 servers in 20 racks gets three shards. A rack keeps its
// shard when others are added.
func Example() {
	racks := make(map[string]int)
	for i := range 20 {
		racks[fmt.Sprintf("rack-%d", i)] = 40
	}
	layout := shard.NewLayout(racks, 12)
	before, _ := layout.ShardOfRack("rack-7")

	racks["rack-20"] = 40
	layout, changed := layout.Extend(racks)
	after, _ := layout.ShardOfRack("rack-7")

	fmt.Println(layout.Shards, "shards, changed:", changed, "same shard:", before == after)
	fmt.Println("a submission's shard is always", layout.ShardOfSubmission("5c0e7a21d94b36f8"))
	// Output:
	// 3 shards, changed: true same shard: true
	// a submission's shard is always 0
}
