package record_test

import (
	"testing"

	"github.com/currantwinch/currantwinch/record"
	"github.com/google/go-cmp/cmp"
)

func TestCodec_Cases(t *testing.T) {
	job := &record.Job{ID: "a", Service: "s", Workload: "w", Revision: 3}
	cases := []struct {
		name string
		rec  record.Record
		ok   bool
	}{
		{"job", record.Record{Key: "k", Kind: record.KindJob, Job: job}, true},
		{"no key", record.Record{Kind: record.KindJob, Job: job}, false},
		{"wrong body", record.Record{Key: "k", Kind: record.KindCancel, Job: job}, false},
		{"two bodies", record.Record{Key: "k", Kind: record.KindJob, Job: job, Leave: &record.Leave{}}, false},
	}
	for _, c := range cases {
		data, err := record.Encode(c.rec)
		if err != nil {
			t.Fatalf("%s: encode: %v", c.name, err)
		}
		got, err := record.Decode(data)
		if (err == nil) != c.ok {
			t.Errorf("%s: decode: %v", c.name, err)
		}
		if c.ok && !cmp.Equal(got, c.rec) {
			t.Errorf("%s: %s", c.name, cmp.Diff(c.rec, got))
		}
	}
}

func FuzzDecode(f *testing.F) {
	data, err := record.Encode(record.Record{Key: "k", Kind: record.KindCancel, Cancel: &record.Cancel{JobID: "j"}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(data)
	f.Add([]byte{0xa1, 0x01})
	f.Fuzz(func(t *testing.T, data []byte) {
		r, err := record.Decode(data)
		if err != nil {
			return
		}
		if _, err := record.Encode(r); err != nil {
			t.Fatalf("cannot encode a decoded record: %v", err)
		}
	})
}
