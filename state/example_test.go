package state_test

import (
	"fmt"

	"github.com/currantwinch/currantwinch/logclient"
	"github.com/currantwinch/currantwinch/record"
	"github.com/currantwinch/currantwinch/state"
)

func Example() {
	text := []byte(`{"format": 1, "service": "checks", "team": "search"}`)
	data, err := record.Encode(record.Record{
		Key: "publish/1", Kind: record.KindDocument,
		Document: &record.Document{Service: "checks", Text: text},
	})
	if err != nil {
		panic(err)
	}
	s := state.New()
	if _, err := s.Apply(logclient.StoredRecord{Offset: 0, Author: "search/alice", Data: data}); err != nil {
		panic(err)
	}
	doc, ok := s.View().Document("checks")
	fmt.Println(ok, doc.Revision, doc.Team, s.Next())
	// Output: true 1 search 1
}
