package partition_test

import (
	"context"
	"fmt"

	"github.com/currantwinch/currantwinch/partition"
)

func ExampleAll() {
	log := &memoryLog{records: []partition.Record{record("a", "old"), record("b", "kept"), record("a", "new")}}
	records, end, err := partition.ReadAll(context.Background(), log, partition.ID{Topic: "keyed.example"})
	if err != nil {
		fmt.Println(err)
		return
	}
	for _, r := range records {
		fmt.Printf("%s=%s\n", r.Key, r.Value)
	}
	fmt.Println("read on from", end)
	// Output:
	// a=new
	// b=kept
	// read on from 3
}
