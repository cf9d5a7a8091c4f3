package idempotency_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/currantwinch/currantwinch/cluster"
	"github.com/currantwinch/currantwinch/idempotency"
	"github.com/currantwinch/currantwinch/verdict"
	"pgregory.net/rapid"
)

var (
	share = cluster.Share{Kind: cluster.ShareKey, Name: "7"}
	start = time.Unix(1000, 0)
)

func random(seed uint64) func() uint64 { return rand.New(rand.NewPCG(seed, 1)).Uint64 }

func attempt(key, holder string) idempotency.Attempt[string] {
	return idempotency.Attempt[string]{Key: key, Holder: holder, Fingerprint: 1, OutcomeDeadline: start.Add(time.Minute), Metadata: holder}
}

func ran(body string) idempotency.Outcome {
	return idempotency.Outcome{Verdict: verdict.Ran, Status: 200, Body: []byte(body)}
}

func TestTable_IssuesKeyOfShare(t *testing.T) {
	table := idempotency.NewTable[string](idempotency.DefaultConfig(), share, 3, start)
	text := table.Issue(start, random(1))
	if got := cluster.KeyShare(text); got != share {
		t.Errorf("share of %s: got %v, want %v", text, got, share)
	}
	if key, err := idempotency.ParseKey(text); err != nil || key.Epoch != 3 {
		t.Errorf("got %+v, %v", key, err)
	}
}

// TestTable_BeginAfterTransitions begins an attempt with a key in each state.
func TestTable_BeginAfterTransitions(t *testing.T) {
	type table = idempotency.Table[string]
	begin := func(tb *table, key string) {
		if d := tb.Begin(start, attempt(key, "a")); d.State != idempotency.Fresh {
			panic(fmt.Sprint(d))
		}
	}
	cases := []struct {
		name    string
		prepare func(tb *table, key string)
		later   time.Duration
		state   idempotency.State
		verdict verdict.Verdict
		reason  verdict.Reason
	}{
		{name: "new", prepare: func(*table, string) {}, state: idempotency.Fresh},
		{name: "running", prepare: begin, state: idempotency.InProgress},
		{name: "released", prepare: func(tb *table, k string) { begin(tb, k); tb.Release(k, "a") }, state: idempotency.Fresh},
		{name: "done", prepare: func(tb *table, k string) { begin(tb, k); tb.Finish(k, "a", ran("x")) }, state: idempotency.Done},
		{
			name:    "finished without outcome",
			prepare: func(tb *table, k string) { begin(tb, k); tb.Finish(k, "a", idempotency.Outcome{}) },
			reason:  idempotency.ReasonOutcomeLost, verdict: verdict.MayHaveRun,
		},
		{
			name:    "overdue",
			prepare: func(tb *table, k string) { begin(tb, k); tb.Expire(start.Add(time.Minute)) },
			reason:  idempotency.ReasonOutcomeLost, verdict: verdict.MayHaveRun,
		},
		{
			name: "overdue, then finished",
			prepare: func(tb *table, k string) {
				begin(tb, k)
				tb.Expire(start.Add(time.Minute))
				tb.Finish(k, "a", ran("late"))
			},
			state: idempotency.Done,
		},
		{
			name: "another's finish has no effect",
			prepare: func(tb *table, k string) {
				begin(tb, k)
				tb.Finish(k, "b", ran("x"))
				tb.Release(k, "b")
			},
			state: idempotency.InProgress,
		},
		{
			name:    "outcome pushed out by newer ones",
			prepare: func(tb *table, k string) { begin(tb, k); tb.Finish(k, "a", ran("longer than ten bytes")) },
			reason:  idempotency.ReasonOutcomeForgotten, verdict: verdict.MayHaveRun,
		},
		{
			name:    "ran, past the window",
			prepare: func(tb *table, k string) { begin(tb, k); tb.Finish(k, "a", ran("x")); tb.Expire(start.Add(time.Hour)) },
			later:   time.Hour, reason: idempotency.ReasonKeyExpired, verdict: verdict.MayHaveRun,
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			config := idempotency.DefaultConfig()
			config.MaxOutcomeBytes = 10
			tb := idempotency.NewTable[string](config, share, 3, start)
			key := tb.Issue(start, random(1))
			c.prepare(tb, key)
			d := tb.Begin(start.Add(c.later), attempt(key, "c"))
			if d.State != c.state {
				t.Fatalf("got state %d (%v), want %d", d.State, d.Err, c.state)
			}
			if c.state == idempotency.Refused && (d.Err.Reason != c.reason || d.Err.Verdict != c.verdict) {
				t.Errorf("got %v, want %v %v", d.Err, c.verdict, c.reason)
			}
		})
	}
}

func TestTable_UnknownKeys(t *testing.T) {
	issued := func(epoch uint64, share cluster.Share, after time.Duration) string {
		return idempotency.NewTable[string](idempotency.DefaultConfig(), share, epoch, start).Issue(start.Add(after), random(2))
	}
	other := cluster.Share{Kind: cluster.ShareKey, Name: "8"}
	cases := []struct {
		name, key string
		reason    verdict.Reason
		verdict   verdict.Verdict
	}{
		{"earlier epoch", issued(2, share, 0), idempotency.ReasonEarlierEpoch, verdict.MayHaveRun},
		{"later epoch", issued(4, share, 0), idempotency.ReasonLaterEpoch, verdict.MayHaveRun},
		{"other share", issued(3, other, 0), idempotency.ReasonKeyInvalid, verdict.NotRun},
		{"never issued", issued(3, share, time.Hour), idempotency.ReasonKeyInvalid, verdict.NotRun},
		{"malformed", "mine", idempotency.ReasonKeyInvalid, verdict.NotRun},
		{"second spelling", "03-0-0123456789abcdef", idempotency.ReasonKeyInvalid, verdict.NotRun},
	}
	for _, c := range cases {
		tb := idempotency.NewTable[string](idempotency.DefaultConfig(), share, 3, start)
		d := tb.Begin(start, attempt(c.key, "a"))
		if d.State != idempotency.Refused || d.Err.Reason != c.reason || d.Err.Verdict != c.verdict {
			t.Errorf("%s: got %+v, want %v %v", c.name, d, c.verdict, c.reason)
		}
	}
}

func TestTable_BeginTwiceBySameHolder(t *testing.T) {
	tb := idempotency.NewTable[string](idempotency.DefaultConfig(), share, 3, start)
	key := tb.Issue(start, random(1))
	for range 2 {
		if d := tb.Begin(start, attempt(key, "a")); d.State != idempotency.Fresh {
			t.Fatalf("got %+v", d)
		}
	}
	reused := attempt(key, "b")
	reused.Fingerprint = 2
	if d := tb.Begin(start, reused); d.Err == nil || d.Err.Reason != idempotency.ReasonKeyReused {
		t.Errorf("got %+v", d)
	}
}

func TestTable_ExpireReturnsMetadata(t *testing.T) {
	tb := idempotency.NewTable[string](idempotency.DefaultConfig(), share, 3, start)
	key := tb.Issue(start, random(1))
	tb.Begin(start, attempt(key, "a"))
	lost := tb.Expire(start.Add(time.Minute))
	if len(lost) != 1 || lost[0].Key != key || lost[0].Metadata != "a" {
		t.Errorf("got %+v", lost)
	}
	if again := tb.Expire(start.Add(time.Hour)); len(again) != 0 || tb.Len() != 0 {
		t.Errorf("got %+v, %d keys", again, tb.Len())
	}
}

// TestTable_AtMostOnce takes random steps on tables of successive epochs, of which some
// get the snapshot of the one before, early or late. No key may be started twice without
// a release in between.
func TestTable_AtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		config := idempotency.Config{GenerationPeriod: time.Second, ValidityWindow: 3 * time.Second, MaxKeys: 6, MaxOutcomeBytes: 4}
		now, epoch, draw := start, uint64(1), random(rapid.Uint64().Draw(t, "seed"))
		tb := idempotency.NewTable[string](config, share, epoch, now)
		var keys []string
		started := map[string]int{}
		holder := map[string]string{}
		for step := range rapid.IntRange(1, 120).Draw(t, "steps") {
			switch rapid.IntRange(0, 6).Draw(t, "action") {
			case 0:
				keys = append(keys, tb.Issue(now, draw))
			case 1:
				now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond)
				tb.Expire(now)
			case 2:
				if rapid.IntRange(0, 5).Draw(t, "takeover") == 0 {
					epoch++
					snapshot := tb.Snapshot(now)
					tb = idempotency.NewTable[string](config, share, epoch, now)
					if rapid.Bool().Draw(t, "handover") {
						now = now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "late ms")) * time.Millisecond)
						tb.ImportSnapshot(now, snapshot)
					}
				}
			default:
				if len(keys) == 0 {
					continue
				}
				key := rapid.SampledFrom(keys).Draw(t, "key")
				stepOnKey(t, tb, now, key, fmt.Sprint(step), started, holder)
			}
		}
	})
}

func stepOnKey(t *rapid.T, tb *idempotency.Table[string], now time.Time, key, name string, started map[string]int, holder map[string]string) {
	switch rapid.IntRange(0, 3).Draw(t, "on key") {
	case 0, 1:
		d := tb.Begin(now, idempotency.Attempt[string]{Key: key, Holder: name, OutcomeDeadline: now.Add(time.Second)})
		if d.State != idempotency.Fresh {
			return
		}
		started[key]++
		if started[key] > 1 {
			t.Fatalf("key %s may run twice", key)
		}
		holder[key] = name
	case 2:
		tb.Finish(key, holder[key], ran("abc"))
	case 3:
		if tb.Release(key, holder[key]) {
			started[key]--
		}
	}
}

func ExampleTable() {
	table := idempotency.NewTable[string](idempotency.DefaultConfig(), share, 1, start)
	key := table.Issue(start, random(1))
	fmt.Println(table.Begin(start, attempt(key, "first")).State == idempotency.Fresh)
	table.Finish(key, "first", ran("booked"))
	again := table.Begin(start, attempt(key, "second"))
	fmt.Println(again.State == idempotency.Done, string(again.Outcome.Body))
	// Output:
	// true
	// true booked
}

func TestTable_ImportsPredecessorSnapshot(t *testing.T) {
	old := idempotency.NewTable[string](idempotency.DefaultConfig(), share, 3, start)
	draw := random(5)
	keys := map[string]string{}
	for _, name := range []string{"unused", "running", "released", "done", "lost"} {
		keys[name] = old.Issue(start, draw)
	}
	for _, name := range []string{"running", "released", "done", "lost"} {
		old.Begin(start, attempt(keys[name], "a"))
	}
	old.Release(keys["released"], "a")
	old.Finish(keys["done"], "a", ran("x"))
	old.Finish(keys["lost"], "a", idempotency.Outcome{})
	// The successor's clock shows another time.
	now := start.Add(1000 * time.Hour)
	table := idempotency.NewTable[string](idempotency.DefaultConfig(), share, 4, now)
	before := table.Begin(now, attempt(keys["unused"], "b"))
	if before.State != idempotency.Refused || before.Err.Reason != idempotency.ReasonEarlierEpoch {
		t.Errorf("before: got %+v", before)
	}
	old.RenewClaim(4)
	if table.ImportSnapshot(now, old.Snapshot(start.Add(time.Second))) {
		t.Error("imported a snapshot with the table's own epoch")
	}
	old.RenewClaim(5)
	table = idempotency.NewTable[string](idempotency.DefaultConfig(), share, 6, now)
	if table.ImportSnapshot(now, idempotency.Snapshot[string]{Epoch: 4}) {
		t.Error("imported a snapshot from two epochs before")
	}
	if !table.ImportSnapshot(now, old.Snapshot(start.Add(time.Second))) {
		t.Fatal("did not import the predecessor's snapshot")
	}
	states := map[string]idempotency.State{
		"unused": idempotency.Fresh, "running": idempotency.InProgress, "released": idempotency.Fresh,
		"done": idempotency.Done, "lost": idempotency.Refused,
	}
	for name, want := range states {
		if d := table.Lookup(now, keys[name], 1); d.State != want {
			t.Errorf("%s: got %+v, want state %d", name, d, want)
		}
	}
	if lost := table.Expire(now.Add(time.Minute)); len(lost) != 1 || lost[0].Metadata != "a" {
		t.Errorf("got lost %+v", lost)
	}
	if d := table.Lookup(now.Add(time.Hour), keys["unused"], 1); d.State != idempotency.Refused || d.Err.Reason != idempotency.ReasonKeyExpired {
		t.Errorf("after the validity window: got %+v", d)
	}
}
