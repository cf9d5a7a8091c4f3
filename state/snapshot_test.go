package state_test

import (
	"fmt"
	"testing"

	"github.com/currantwinch/currantwinch/logclient"
	"github.com/currantwinch/currantwinch/record"
	"github.com/currantwinch/currantwinch/state"
	"pgregory.net/rapid"
)

// drawRecord draws a record with few different names, so that records conflict
// with each other.
func drawRecord(t *rapid.T, i int) (author string, r record.Record) {
	key := fmt.Sprint("k", rapid.IntRange(0, max(1, i)).Draw(t, "key"))
	n := rapid.IntRange(0, 3).Draw(t, "n")
	name, incarnation := fmt.Sprint("n", n%2), fmt.Sprint("i", n)
	epochOf := rapid.Uint64Range(1, 3).Draw(t, "epoch")
	author = rapid.SampledFrom([]string{alice, system, otherAuthor}).Draw(t, "author")
	id := fmt.Sprint("job", n)
	return author, rapid.SampledFrom([]record.Record{
		publish(key, "checks", rapid.Uint64Range(0, 3).Draw(t, "base"), text("checks", "search", 1+n)),
		publish(key, "checks", epochOf, nil),
		publish(key, "mixers", 0, []byte("{")),
		submit(key, id, 0), cancelJob(key, id), done(key, id), bill(key, id),
		join(key, name, incarnation), claim(key, name, incarnation, share("1", epochOf), share("2", 1)),
		release(key, name, incarnation, share("1", epochOf)),
	}).Draw(t, "record")
}

// Applies the same records in batches of any size, with any repetition, and
// with a snapshot taken and restored at any point: the digest must be the
// same.
func TestApply_AnyOrderOfBatchesSameDigest(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		n := rapid.IntRange(1, 60).Draw(rt, "records")
		log := make([]logclient.StoredRecord, n)
		straight := state.New()
		for i := range log {
			author, r := drawRecord(rt, i)
			log[i] = stored(t, uint64(i), author, r)
			apply(rt, straight, log[i])
		}
		replayed := state.New()
		for replayed.Next() < uint64(n) {
			from := replayed.Next() - min(replayed.Next(), rapid.Uint64Range(0, 5).Draw(rt, "repeat"))
			to := min(uint64(n), replayed.Next()+rapid.Uint64Range(1, 9).Draw(rt, "batch"))
			for _, r := range log[from:to] {
				apply(rt, replayed, r)
			}
			_ = replayed.View()
			if rapid.IntRange(0, 3).Draw(rt, "restart") == 0 {
				replayed = restart(rt, replayed)
			}
		}
		if straight.Digest() != replayed.Digest() {
			rt.Fatalf("digests differ after %d records", n)
		}
	})
}

func apply(t *rapid.T, s *state.State, r logclient.StoredRecord) {
	if _, err := s.Apply(r); err != nil {
		t.Fatal(err)
	}
}

func restart(t *rapid.T, s *state.State) *state.State {
	data, err := s.View().EncodeSnapshot()
	if err != nil {
		t.Fatal(err)
	}
	var a state.SnapshotAssembly
	for _, p := range state.SplitSnapshot("s", s.Next(), data) {
		if err := a.Add(p); err != nil {
			t.Fatal(err)
		}
	}
	restored, err := a.State()
	if err != nil {
		t.Fatal(err)
	}
	return restored
}

func TestView_NeverChanges(t *testing.T) {
	s := state.New()
	for i := range 200 {
		if _, err := s.Apply(stored(t, s.Next(), system, bill(fmt.Sprint("k", i), fmt.Sprint("r", i)))); err != nil {
			t.Fatal(err)
		}
	}
	view := s.View()
	before := view.Digest()
	for i := range 200 {
		if _, err := s.Apply(stored(t, s.Next(), system, bill(fmt.Sprint("x", i), fmt.Sprint("y", i)))); err != nil {
			t.Fatal(err)
		}
	}
	if view.Digest() != before || s.Digest() == before {
		t.Error("a view changed, or the state did not")
	}
}

func TestSnapshotAssembly_RejectsFaults(t *testing.T) {
	s := state.New()
	for i := range 9000 {
		if _, err := s.Apply(stored(t, s.Next(), system, bill(fmt.Sprintf("%x-%d", i*2654435761, i), fmt.Sprintf("%x", i*40503)))); err != nil {
			t.Fatal(err)
		}
	}
	data, err := s.View().EncodeSnapshot()
	if err != nil {
		t.Fatal(err)
	}
	parts := state.SplitSnapshot("a", s.Next(), data)
	if len(parts) < 2 {
		t.Fatalf("want several parts, got %d", len(parts))
	}
	cases := []struct {
		name    string
		corrupt func(p []record.SnapshotPart) []record.SnapshotPart
	}{
		{"part missing", func(p []record.SnapshotPart) []record.SnapshotPart { return p[1:] }},
		{"bytes changed", func(p []record.SnapshotPart) []record.SnapshotPart {
			p[0].Data = append([]byte(nil), p[0].Data...)
			p[0].Data[100] ^= 1
			return p
		}},
		{"wrong offset", func(p []record.SnapshotPart) []record.SnapshotPart {
			for i := range p {
				p[i].Offset++
			}
			return p
		}},
		{"wrong sum", func(p []record.SnapshotPart) []record.SnapshotPart {
			for i := range p {
				p[i].Sum++
			}
			return p
		}},
		{"wrong count", func(p []record.SnapshotPart) []record.SnapshotPart {
			for i := range p {
				p[i].Count = 1
			}
			return p[:1]
		}},
	}
	for _, c := range cases {
		var a state.SnapshotAssembly
		for _, p := range c.corrupt(append([]record.SnapshotPart(nil), parts...)) {
			if err := a.Add(p); err != nil {
				t.Errorf("%s: %v", c.name, err)
			}
		}
		if _, err := a.State(); err == nil {
			t.Errorf("%s: the snapshot was accepted", c.name)
		}
	}
}

func FuzzDecode(f *testing.F) {
	s := state.New()
	if _, err := s.Apply(stored(f, 0, alice, publish("d1", "checks", 0, text("checks", "search", 3)))); err != nil {
		f.Fatal(err)
	}
	data, err := s.View().EncodeSnapshot()
	if err != nil {
		f.Fatal(err)
	}
	f.Add(data)
	f.Add(data[:len(data)/2])
	f.Add([]byte("\x28\xb5\x2f\xfd"))
	f.Fuzz(func(t *testing.T, data []byte) {
		s, err := state.DecodeSnapshot(data)
		if err != nil {
			return
		}
		if _, err := s.View().EncodeSnapshot(); err != nil {
			t.Fatal(err)
		}
	})
}

func FuzzApply(f *testing.F) {
	for _, r := range []record.Record{
		publish("d1", "checks", 0, text("checks", "search", 3)), submit("j", "a", 0), cancelJob("c", "a"), done("e", "a"),
		join("n", "n1", "i1"), claim("l", "n1", "i1", share("1", 1)), release("r", "n1", "i1", share("1", 1)), bill("b", "r"),
	} {
		f.Add(stored(f, 0, system, r).Data, system)
	}
	f.Fuzz(func(t *testing.T, data []byte, author string) {
		s := state.New()
		for _, first := range []record.Record{publish("d1", "checks", 0, text("checks", "search", 3)), submit("j", "a", 0)} {
			if _, err := s.Apply(stored(t, s.Next(), alice, first)); err != nil {
				t.Fatal(err)
			}
		}
		if _, err := s.Apply(logclient.StoredRecord{Offset: s.Next(), Author: author, Data: data}); err != nil {
			t.Fatal(err)
		}
		encoded, err := s.View().EncodeSnapshot()
		if err != nil {
			t.Fatal(err)
		}
		restored, err := state.DecodeSnapshot(encoded)
		if err != nil {
			t.Fatalf("the snapshot of a state cannot be restored: %v", err)
		}
		if restored.Digest() != s.Digest() {
			t.Fatal("the restored state has another digest")
		}
	})
}
