package statelog_test

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/currantwinch/currantwinch/internal/statelog"
	"github.com/currantwinch/currantwinch/logclient"
	"github.com/currantwinch/currantwinch/record"
	"github.com/currantwinch/currantwinch/state"
	"github.com/currantwinch/currantwinch/verdict"
)

func snapshotter(o *statelog.Options) {
	o.WritesSnapshots = func() bool { return true }
	o.MaxRecordsBetweenSnapshots, o.MinSnapshotInterval = 40, time.Second
}

func (n *node) digest() uint64 { return n.View().(*state.View).Digest() }

func (n *node) dump() statelog.Dump { return n.Dump().(statelog.Dump) }

// fill publishes a document and appends jobs.
func (n *node) fill(t *testing.T, jobs int) {
	t.Helper()
	n.append(t, aliceCredential, publish("d1", "checks", 0, 3))
	for i := range jobs {
		n.append(t, aliceCredential, job(fmt.Sprint("job", i)))
	}
}

func TestStore_RecoversFromSnapshotAndTail(t *testing.T) {
	tear := func(t *testing.T, c *cell, view *state.View) {
		data, err := view.EncodeSnapshot()
		if err != nil {
			t.Fatal(err)
		}
		part := state.SplitSnapshot("torn", view.Offset(), data)[0]
		part.Data = part.Data[:len(part.Data)-1]
		encoded, err := record.Encode(record.Record{Key: "torn", Kind: record.KindSnapshot, Snapshot: &part})
		if err != nil {
			t.Fatal(err)
		}
		if _, err := c.log.Append(t.Context(), systemCredential, [][]byte{encoded}); err != nil {
			t.Fatal(err)
		}
	}
	cases := []struct {
		name  string
		spoil func(t *testing.T, c *cell, view *state.View)
	}{
		{"whole", func(*testing.T, *cell, *state.View) {}},
		{"newest torn", tear},
		{"newest by a stranger", func(t *testing.T, c *cell, _ *state.View) {
			view := state.NewAt(10_000).View()
			data, _ := view.EncodeSnapshot()
			part := state.SplitSnapshot("forged", view.Offset(), data)[0]
			encoded, _ := record.Encode(record.Record{Key: "f", Kind: record.KindSnapshot, Snapshot: &part})
			if _, err := c.log.Append(t.Context(), aliceCredential, [][]byte{encoded}); err != nil {
				t.Fatal(err)
			}
		}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCell(t)
				c.log.SetRetention(100)
				a := c.start("a", snapshotter)
				a.fill(t, 300)
				time.Sleep(time.Minute)
				tc.spoil(t, c, a.View().(*state.View))
				time.Sleep(time.Second)
				if oldest, _ := c.log.Bounds(); oldest == 0 {
					t.Fatal("the log dropped nothing")
				}
				c.net.remove("a") // no peer to take state from
				b := c.start("b", nil)
				if got := b.Source(); got.From != "log" || !got.Confirmed {
					t.Errorf("source %+v", got)
				}
				if a.digest() != b.digest() {
					t.Error("the restarted daemon has another state")
				}
				a.stop(t)
				b.stop(t)
			})
		})
	}
}

func TestStore_MissingStateServesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCell(t)
		c.log.SetRetention(20)
		a := c.start("a", nil) // writes no snapshots
		a.fill(t, 40)
		a.stop(t)
		c.net.remove("a")
		b := c.start("b", nil)
		if b.Source().Recovered || b.View().Offset() != 0 {
			t.Errorf("state out of nothing: %+v", b.Source())
		}
		before := c.log.Counts().ReadBytes
		time.Sleep(20 * time.Second)
		if again := c.log.Counts().ReadBytes - before; again > 0 {
			t.Errorf("the log was searched again at once: %d bytes", again)
		}
		if _, _, err := b.ReadNow(t.Context()); err == nil {
			t.Error("evidence without state")
		}
		b.stop(t)
		lossy := c.start("c", func(o *statelog.Options) { o.AllowDataLoss = true })
		if !lossy.Source().Recovered {
			t.Error("the accepted loss was not accepted")
		}
		lossy.stop(t)
	})
}

// TestStore_PassesOverStaleSnapshot keeps only a snapshot that ends before the
// log's oldest record: what lies between is lost, and an older document must
// not be served for a newer one.
func TestStore_PassesOverStaleSnapshot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCell(t)
		a := c.start("a", nil)
		a.fill(t, 5)
		data, err := a.View().(*state.View).EncodeSnapshot()
		if err != nil {
			t.Fatal(err)
		}
		part := state.SplitSnapshot("stale", a.View().Offset(), data)[0]
		a.append(t, aliceCredential, publish("d2", "checks", 1, 4))
		r := record.Record{Key: "stale", Kind: record.KindSnapshot, Snapshot: &part}
		if _, err := a.Append(t.Context(), systemCredential, r); err != nil {
			t.Fatal(err)
		}
		c.log.SetRetention(1)
		c.net.remove("a")
		b := c.start("b", nil)
		if b.Source().Recovered {
			t.Errorf("state from %+v", b.Source())
		}
		a.stop(t)
		b.stop(t)
	})
}

// TestStore_ShowsNothingOld starts a daemon whose only snapshot is old, while
// the log is so slow that reading on takes long.
func TestStore_ShowsNothingOld(t *testing.T) {
	for _, peers := range []bool{false, true} {
		t.Run(fmt.Sprint("peers ", peers), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCell(t)
				a := c.start("a", nil)
				a.fill(t, 5)
				snapshot := state.SplitSnapshot("s", a.View().Offset(), mustEncode(t, a))[0]
				r := record.Record{Key: "s", Kind: record.KindSnapshot, Snapshot: &snapshot}
				if _, err := a.Append(t.Context(), systemCredential, r); err != nil {
					t.Fatal(err)
				}
				a.append(t, aliceCredential, publish("d2", "checks", 1, 4))
				if !peers {
					c.net.remove("a")
				}
				b := c.start("b", func(o *statelog.Options) { o.Log = slowLog{o.Log, 4 * time.Second} })
				for range 30 {
					if d, ok := b.View().Document("checks"); ok && d.Revision != 2 {
						t.Errorf("revision %d is shown", d.Revision)
					}
					time.Sleep(500 * time.Millisecond)
				}
				if !b.Source().Recovered {
					t.Error("not recovered in the end")
				}
				a.stop(t)
				b.stop(t)
			})
		})
	}
}

// slowLog answers late.
type slowLog struct {
	logclient.Log
	late time.Duration
}

func (l slowLog) Read(ctx context.Context, from uint64, limit int, wait time.Duration) (logclient.Page, error) {
	time.Sleep(l.late)
	return l.Log.Read(ctx, from, limit, wait)
}

func mustEncode(t *testing.T, n *node) []byte {
	t.Helper()
	data, err := n.View().(*state.View).EncodeSnapshot()
	if err != nil {
		t.Fatal(err)
	}
	return data
}

// TestStore_EvidenceOnlyAtHead reads a backlog of several pages. That evidence
// never names a head that the state has not reached is checked on every call.
func TestStore_EvidenceOnlyAtHead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCell(t)
		a := c.start("a", nil)
		for range 3 {
			entries := make([][]byte, logclient.MaxPageRecords)
			if _, err := c.log.Append(t.Context(), aliceCredential, entries); err != nil {
				t.Fatal(err)
			}
		}
		if _, head, err := a.ReadNow(t.Context()); err != nil || head != 3*logclient.MaxPageRecords {
			t.Errorf("head %d, %v", head, err)
		}
		a.stop(t)
	})
}

func TestStore_StartsDuringOutageFromPeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCell(t)
		a, old := c.start("a", nil), c.start("old", nil)
		a.fill(t, 10)
		old.path.SetUnreachable(true)
		c.net.remove("old", statelog.MethodRecords)
		a.append(t, aliceCredential, job("late"))
		c.log.SetDown(true)
		b := c.start("b", nil)
		if got := b.Source(); got.From != "a" || got.Confirmed {
			t.Errorf("source %+v, want the furthest peer, not confirmed", got)
		}
		if a.digest() != b.digest() {
			t.Error("the newcomer has another state")
		}
		if _, err := b.Append(t.Context(), aliceCredential, job("refused")); verdict.Of(err) != verdict.NotRun {
			t.Errorf("append in an outage: %v", err)
		}
		c.log.SetDown(false)
		time.Sleep(10 * time.Second)
		if got := b.Source(); !got.Confirmed {
			t.Errorf("source %+v after the outage", got)
		}
		b.append(t, aliceCredential, job("after"))
		for _, n := range []*node{a, old, b} {
			n.stop(t)
		}
	})
}

func TestStore_StartsFromPeersWhileTheLogHangs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCell(t)
		a := c.start("a", nil)
		a.fill(t, 10)
		c.log.SetHang(true)
		began := time.Now()
		b := c.start("b", nil)
		if took := time.Since(began); b.Source().From != "a" || took > 6*time.Second {
			t.Errorf("source %+v after %v", b.Source(), took)
		}
		a.stop(t)
		b.stop(t)
	})
}

// TestStore_VerySlowLog has the log take 10 s for each call: an ordinary state
// in which all goes on, late.
func TestStore_VerySlowLog(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCell(t)
		a, b := c.start("a", nil), c.start("b", nil)
		a.fill(t, 1)
		c.log.SetDelay(5*time.Second, 5*time.Second)
		time.Sleep(time.Minute)
		if a.Health() != logclient.HealthSlow {
			t.Errorf("health %v", a.Health())
		}
		a.append(t, aliceCredential, publish("d2", "checks", 1, 4))
		time.Sleep(20 * time.Second)
		if d, _ := b.View().Document("checks"); d.Revision != 2 {
			t.Errorf("revision %d on the other daemon", d.Revision)
		}
		a.stop(t)
		b.stop(t)
	})
}

func TestStore_CutOffDaemonFollowsPeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCell(t)
		a := c.start("a", nil)
		b := c.start("b", nil)
		a.fill(t, 5)
		b.path.SetUnreachable(true)
		time.Sleep(5 * time.Second)
		before := len(b.evidence())
		a.append(t, aliceCredential, publish("d2", "checks", 1, 4))
		time.Sleep(5 * time.Second)
		if d, _ := b.View().Document("checks"); d.Revision != 2 {
			t.Errorf("revision %d on the daemon that is cut off", d.Revision)
		}
		if len(b.evidence()) != before {
			t.Error("a peer's records were taken for evidence")
		}
		if b.Health() != logclient.HealthDown || b.Source().Confirmed {
			t.Errorf("health %v, source %+v", b.Health(), b.Source())
		}
		b.path.SetUnreachable(false)
		time.Sleep(10 * time.Second)
		if a.digest() != b.digest() || !b.Source().Confirmed {
			t.Errorf("not rejoined: %+v", b.Source())
		}
		a.stop(t)
		b.stop(t)
	})
}

// TestStore_AwayForTooLong brings back a daemon whose next record the log has
// dropped, where no snapshot helps but a peer does.
func TestStore_AwayForTooLong(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCell(t)
		c.log.SetRetention(20)
		a, b := c.start("a", nil), c.start("b", nil)
		a.fill(t, 1)
		time.Sleep(time.Second)
		b.path.SetUnreachable(true)
		handlers := c.net.take("a")
		for i := range 50 {
			a.append(t, aliceCredential, job(fmt.Sprint("more", i)))
		}
		b.path.SetUnreachable(false)
		time.Sleep(10 * time.Second)
		if d := b.View().Offset(); d != 2 || b.Health() != logclient.HealthTruncated {
			t.Errorf("at %d with health %v", d, b.Health())
		}
		c.net.put("a", handlers)
		time.Sleep(10 * time.Second)
		if a.digest() != b.digest() || b.Health() != logclient.HealthFresh || !b.Source().Confirmed {
			t.Errorf("not rejoined: %+v, health %v", b.Source(), b.Health())
		}
		a.stop(t)
		b.stop(t)
	})
}

// TestRecords_OnlyOfTheSameLog asks a peer for records after one that it has
// read differently.
func TestRecords_OnlyOfTheSameLog(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCell(t)
		a := c.start("a", nil)
		a.fill(t, 5)
		for sum, want := range map[uint64]bool{0: true, 1: false} {
			var answer statelog.RecordsResponse
			request := statelog.RecordsRequest{From: 3, Sum: sum}
			if err := (port{"b", c.net}).Call(t.Context(), "a", statelog.MethodRecords, request, &answer); err != nil {
				t.Fatal(err)
			}
			if answer.Found != want || (len(answer.Records) > 0) != want {
				t.Errorf("sum %d: found %v, %d records", sum, answer.Found, len(answer.Records))
			}
		}
		a.stop(t)
	})
}

// TestStore_LogChangedUnderneath loses the log's end, and lets it grow again
// with other records while the daemons could not read it.
func TestStore_LogChangedUnderneath(t *testing.T) {
	for _, regrown := range []bool{false, true} {
		t.Run(fmt.Sprint("regrown ", regrown), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCell(t)
				a := c.start("a", nil)
				a.fill(t, 10)
				before := a.digest()
				a.path.SetUnreachable(true)
				time.Sleep(time.Second)
				c.log.TruncateTail(3)
				if regrown {
					for range 6 {
						if _, err := c.log.Append(t.Context(), aliceCredential, [][]byte{{1}}); err != nil {
							t.Fatal(err)
						}
					}
				}
				a.path.SetUnreachable(false)
				time.Sleep(10 * time.Second)
				if a.digest() != before {
					t.Error("the state was changed by a log that is not the same")
				}
				if a.Health() != logclient.HealthTruncated {
					t.Errorf("health %v", a.Health())
				}
				var rewritten *logclient.RewrittenError
				var truncated *logclient.TruncatedError
				if _, _, err := a.ReadNow(t.Context()); !errors.As(err, &rewritten) && !errors.As(err, &truncated) {
					t.Errorf("evidence from a log that is not the same: %v", err)
				}
				a.stop(t)
			})
		})
	}
}

func TestStore_AcceptedSurvivesCrash(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCell(t)
		a, b := c.start("a", nil), c.start("b", nil)
		a.fill(t, 0)
		c.log.SetDelay(100*time.Millisecond, 100*time.Millisecond)
		if _, err := a.Append(t.Context(), aliceCredential, job("j")); err != nil {
			t.Fatal(err)
		}
		a.path.SetUnreachable(true) // nothing of it is heard again
		if err := a.duties.Stop(t.Context()); err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Second)
		if _, ok := b.View().Job("j"); !ok {
			t.Error("an accepted job is lost")
		}
		b.stop(t)
	})
}

func TestStore_StopFinishesAppends(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCell(t)
		a := c.start("a", nil)
		a.fill(t, 0)
		c.log.SetDelay(time.Second, time.Second)
		fate := make(chan error, 1)
		go func() {
			_, err := a.Append(context.Background(), aliceCredential, job("j"))
			fate <- err
		}()
		time.Sleep(100 * time.Millisecond) // the append is under way
		a.stop(t)
		if err := <-fate; err != nil {
			t.Error(err)
		}
	})
}

func TestStore_OneDaemonWritesSnapshots(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCell(t)
		a, b := c.start("a", snapshotter), c.start("b", nil)
		a.fill(t, 100)
		time.Sleep(time.Minute)
		if a, b := a.dump().Snapshot, b.dump().Snapshot; !a.Whole || a != b || a.Offset < 60 {
			t.Errorf("newest snapshot: %+v on the writer, %+v on the other", a, b)
		}
		if n := b.dump().Client.Appends; n != 0 {
			t.Errorf("the other daemon appended %d times", n)
		}
		a.stop(t)
		b.stop(t)
	})
}
