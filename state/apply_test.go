package state_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/currantwinch/currantwinch/cluster"
	"github.com/currantwinch/currantwinch/logclient"
	"github.com/currantwinch/currantwinch/record"
	"github.com/currantwinch/currantwinch/state"
)

var epoch = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

const (
	system      = "system/north-1"
	alice       = "search/alice"
	otherAuthor = "others/mallet"
)

// text returns a document with a service workload, a batch workload that is
// submitted, and one that starts when published.
func text(service, team string, count int) []byte {
	return fmt.Appendf(nil, `{
		"format": 1, "service": %q, "team": %q,
		"workloads": [
			{"name": "web", "class": "service", "count": %d, "resources": {"cpu": "500m", "memory": "1GiB"}},
			{"name": "review", "class": "batch", "count": 2, "resources": {"cpu": "1", "memory": "1GiB"}},
			{"name": "nightly", "class": "batch", "start": "published", "count": 1, "resources": {"cpu": "1", "memory": "1GiB"}},
		],
	}`, service, team, count)
}

func stored(t testing.TB, offset uint64, author string, r record.Record) logclient.StoredRecord {
	t.Helper()
	data, err := record.Encode(r)
	if err != nil {
		t.Fatal(err)
	}
	return logclient.StoredRecord{Offset: offset, Author: author, Time: epoch.Add(time.Duration(offset) * time.Second), Data: data}
}

func publish(key, service string, base uint64, body []byte) record.Record {
	return record.Record{Key: key, Kind: record.KindDocument, Document: &record.Document{Service: service, Base: base, Text: body}}
}

func submit(key, id string, revision uint64) record.Record {
	return record.Record{Key: key, Kind: record.KindJob, Job: &record.Job{ID: id, Service: "checks", Workload: "review", Revision: revision}}
}

func cancelJob(key, id string) record.Record {
	return record.Record{Key: key, Kind: record.KindCancel, Cancel: &record.Cancel{JobID: id}}
}

func done(key, id string) record.Record {
	return record.Record{Key: key, Kind: record.KindDone, Done: &record.Done{JobID: id, Succeeded: 2}}
}

func join(key, name, incarnation string) record.Record {
	return record.Record{Key: key, Kind: record.KindJoin, Join: &record.Join{Daemon: cluster.Daemon{Name: name, Incarnation: incarnation}}}
}

func claim(key, name, incarnation string, epochs ...record.ShareEpoch) record.Record {
	return record.Record{Key: key, Kind: record.KindClaim, Claim: &record.Claim{Name: name, Incarnation: incarnation, Shares: epochs}}
}

func release(key, name, incarnation string, epochs ...record.ShareEpoch) record.Record {
	return record.Record{Key: key, Kind: record.KindRelease, Release: &record.Release{Name: name, Incarnation: incarnation, Shares: epochs}}
}

func bill(key, request string) record.Record {
	return record.Record{Key: key, Kind: record.KindBill, Bill: &record.Bill{RequestKey: request, Service: "checks", Team: "search"}}
}

func share(n string, epoch uint64) record.ShareEpoch {
	return record.ShareEpoch{Share: cluster.Share{Kind: cluster.ShareKey, Name: n}, Epoch: epoch}
}

// step is one record and whether it must take effect.
type step struct {
	author string
	record record.Record
	ok     bool
}

func TestApply_Rules(t *testing.T) {
	v1 := publish("d1", "checks", 0, text("checks", "search", 3))
	cases := []struct {
		name  string
		steps []step
	}{
		{"documents need the revision in force as base", []step{
			{alice, v1, true},
			{alice, publish("d2", "checks", 0, text("checks", "search", 4)), false},
			{alice, publish("d3", "checks", 1, text("checks", "search", 4)), true},
			{alice, publish("d4", "checks", 1, text("checks", "search", 5)), false},
			{alice, publish("d5", "checks", 2, nil), true},
			{alice, publish("d6", "checks", 3, nil), false},
			{alice, publish("d7", "checks", 0, text("checks", "search", 5)), true},
			{alice, publish("d8", "checks", 3, text("checks", "search", 5)), false},
		}},
		{"documents belong to their team", []step{
			{otherAuthor, v1, false},
			{system, publish("d2", "checks", 0, text("checks", "search", 4)), false},
			{alice, publish("d3", "checks", 0, text("checks", "search", 4)), true},
			{otherAuthor, publish("d4", "checks", 1, text("checks", "others", 4)), false},
			{alice, publish("d5", "checks", 1, text("checks", "others", 4)), false},
			{alice, publish("d6", "checks", 1, text("other-service", "search", 4)), false},
			{alice, publish("d7", "checks", 1, []byte("{")), false},
			{otherAuthor, publish("d8", "checks", 1, nil), false},
		}},
		{"first record of a key takes effect", []step{
			{alice, v1, true}, {alice, v1, false},
			{alice, submit("k", "a", 1), true}, {alice, submit("k", "b", 1), false},
			{alice, submit("k2", "a", 1), false},
		}},
		{"jobs", []step{
			{alice, submit("j0", "a", 0), false},
			{alice, v1, true},
			{otherAuthor, submit("j1", "a", 0), false},
			{alice, submit("j2", "a", 7), false},
			{alice, submit("j3", "checks/web@9", 1), false},
			{alice, submit("j4", "a", 1), true},
			{otherAuthor, cancelJob("c1", "a"), false},
			{alice, done("e1", "a"), false},
			{system, done("e2", "a"), true},
			{system, done("e3", "a"), false},
			{alice, cancelJob("c2", "a"), false},
			{alice, cancelJob("c3", "none"), false},
			{alice, submit("j5", "b", 1), true},
			{alice, cancelJob("c4", "b"), true},
			{system, done("e4", "b"), true},
		}},
		{"shares", []step{
			{system, claim("c0", "n1", "i1", share("1", 1)), false},
			{alice, join("j0", "n1", "i1"), false},
			{system, join("j1", "n1", "i1"), true},
			{system, join("j1b", "n1", "i1"), false},
			{system, claim("c1", "n1", "i1", share("1", 2)), false},
			{system, claim("c2", "n1", "i1", share("1", 1)), true},
			{system, claim("c3", "n1", "i1", share("1", 1)), false},
			{system, join("j2", "n2", "i2"), true},
			{system, release("r1", "n2", "i2", share("1", 1)), false},
			{system, claim("c4", "n2", "i2", share("1", 2)), true},
			{system, release("r2", "n1", "i1", share("1", 1)), false},
			{system, release("r3", "n2", "i2", share("1", 2)), true},
			{system, release("r4", "n2", "i2", share("1", 2)), false},
			{system, join("j3", "n1", "i1b"), true},
			{system, claim("c5", "n1", "i1", share("1", 3)), false},
			{system, record.Record{Key: "l", Kind: record.KindLeave, Leave: &record.Leave{Name: "n1", Incarnation: "i1"}}, false},
			{system, record.Record{Key: "l2", Kind: record.KindLeave, Leave: &record.Leave{Name: "n1", Incarnation: "i1b"}}, true},
		}},
		{"bills", []step{
			{alice, bill("b0", "r"), false},
			{system, bill("b1", "r"), true},
			{system, bill("b2", "r"), false},
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := state.New()
			for i, step := range c.steps {
				got, err := s.Apply(stored(t, uint64(i), step.author, step.record))
				if err != nil {
					t.Fatal(err)
				}
				if (got.RefusalReason == "") != step.ok {
					t.Errorf("step %d (%s): refused %q, want effect %v", i, step.record.Key, got.RefusalReason, step.ok)
				}
			}
		})
	}
}

func TestApply_PublishedJobs(t *testing.T) {
	s := state.New()
	apply := func(author string, r record.Record) {
		t.Helper()
		if got, err := s.Apply(stored(t, s.Next(), author, r)); err != nil || got.RefusalReason != "" {
			t.Fatalf("%s: %v, %s", r.Key, err, got.RefusalReason)
		}
	}
	want := func(id string, phase state.JobPhase) {
		t.Helper()
		if job, ok := s.View().Job(id); !ok || job.Phase != phase {
			t.Errorf("job %s: %v in phase %v, want %v", id, ok, job.Phase, phase)
		}
	}
	apply(alice, publish("d1", "checks", 0, text("checks", "search", 3)))
	want("checks/web@1", state.JobAccepted)
	want("checks/nightly@1", state.JobAccepted)
	apply(alice, publish("d2", "checks", 1, text("checks", "search", 3)))
	want("checks/web@1", state.JobAccepted)
	apply(alice, publish("d3", "checks", 2, text("checks", "search", 4)))
	want("checks/web@1", state.JobAccepted)
	if job, _ := s.View().Job("checks/web@1"); job.Revision != 3 || job.Workload.Count != 4 {
		t.Errorf("after the change: revision %d, %d tasks", job.Revision, job.Workload.Count)
	}
	want("checks/nightly@1", state.JobAccepted)
	apply(alice, publish("d4", "checks", 3, nil))
	want("checks/web@1", state.JobCancelled)
	want("checks/nightly@1", state.JobAccepted)
	for _, id := range []string{"checks/web@3", "checks/nightly@3"} {
		if _, ok := s.View().Job(id); ok {
			t.Errorf("%s was started although the workload has a job", id)
		}
	}
	apply(alice, publish("d5", "checks", 4, text("checks", "search", 4)))
	want("checks/web@1", state.JobCancelled)
	want("checks/web@5", state.JobAccepted)
}

func TestApply_GapAndRepetition(t *testing.T) {
	s := state.New()
	first := stored(t, 0, alice, publish("d1", "checks", 0, text("checks", "search", 3)))
	if _, err := s.Apply(stored(t, 1, alice, publish("d2", "x", 0, nil))); err == nil {
		t.Fatal("a gap was not detected")
	}
	if _, err := s.Apply(first); err != nil {
		t.Fatal(err)
	}
	before := s.Digest()
	if got, err := s.Apply(first); err != nil || !got.AlreadyApplied {
		t.Errorf("repetition: %+v, %v", got, err)
	}
	if s.Digest() != before {
		t.Error("repetition changed the state")
	}
}

// Guards against one team using up a key that the daemons or another team are
// about to use: the keys of different teams are separate.
func TestApply_KeysAreSeparatePerTeam(t *testing.T) {
	s := state.New()
	put := func(author string, r record.Record) string {
		t.Helper()
		got, err := s.Apply(stored(t, s.Next(), author, r))
		if err != nil {
			t.Fatal(err)
		}
		return got.RefusalReason
	}
	put(otherAuthor, cancelJob("publish", "x"))
	put(otherAuthor, cancelJob("bill/r", "x"))
	for _, step := range []struct {
		author string
		record record.Record
	}{
		{alice, publish("publish", "checks", 0, text("checks", "search", 1))},
		{system, bill("bill/r", "r")},
	} {
		if refused := put(step.author, step.record); refused != "" {
			t.Errorf("%s: %s", step.record.Key, refused)
		}
	}
	view := s.View()
	if got, _ := view.Outcome("bill/r"); got.RefusalReason != "" || got.Offset != 3 {
		t.Errorf("outcome of the daemons' record: %+v", got)
	}
	if got, _ := view.Outcome("publish"); got.Offset != 0 {
		t.Errorf("outcome of the first record: %+v", got)
	}
	if got, _ := view.OutcomeOf("search", "publish"); got.RefusalReason != "" || got.Offset != 2 {
		t.Errorf("outcome of the team's record: %+v", got)
	}
}

func TestApply_EndedJobsAreBounded(t *testing.T) {
	s := state.New()
	put := func(author string, r record.Record) {
		if got, err := s.Apply(stored(t, s.Next(), author, r)); err != nil || got.RefusalReason != "" {
			t.Fatal(err, got.RefusalReason)
		}
	}
	put(alice, publish("d", "checks", 0, text("checks", "search", 1)))
	put(alice, submit("open", "open", 1))
	for i := range state.MaxEndedJobs + 10 {
		id := fmt.Sprint("j", i)
		put(alice, submit("s"+id, id, 1))
		put(alice, cancelJob("c"+id, id))
	}
	counts := s.View().Counts()
	if counts.EndedJobs != state.MaxEndedJobs || counts.OpenJobs != 3 {
		t.Errorf("got %+v", counts)
	}
	if _, ok := s.View().Job("j0"); ok {
		t.Error("the job that ended first is still remembered")
	}
	if _, ok := s.View().Job("open"); !ok {
		t.Error("an open job was dropped")
	}
}

func TestApply_RememberedKeysAreBounded(t *testing.T) {
	s := state.New()
	put := func(r record.Record) state.Applied {
		got, err := s.Apply(stored(t, s.Next(), system, r))
		if err != nil {
			t.Fatal(err)
		}
		return got
	}
	for i := range state.MaxBills + 10 {
		if got := put(bill(fmt.Sprint("k", i), fmt.Sprint("r", i))); got.RefusalReason != "" {
			t.Fatal(got.RefusalReason)
		}
	}
	if n := s.View().Counts().Bills; n != state.MaxBills {
		t.Errorf("%d bills are remembered, want %d", n, state.MaxBills)
	}
	late := bill("k3", "r3")
	late.CreatedAfter = 2
	if got := put(late); got.RefusalReason == "" {
		t.Error("a record created before the remembered keys took effect")
	}
	data, err := s.View().EncodeSnapshot()
	if err != nil {
		t.Fatal(err)
	}
	if s, err = state.DecodeSnapshot(data); err != nil {
		t.Fatal(err)
	}
	late.Key = "again"
	if got := put(late); got.RefusalReason == "" {
		t.Error("after a restart, a record created before the remembered keys took effect")
	}
	late.Key, late.CreatedAfter = "fresh", s.Next()
	if got := put(late); got.RefusalReason != "" {
		t.Errorf("a new record was refused: %s", got.RefusalReason)
	}
}
