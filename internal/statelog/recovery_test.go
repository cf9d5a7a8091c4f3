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
	appendTruncated := func(t *testing.T, c *testCell, view *state.View) {
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
		name   string
		inject func(t *testing.T, c *testCell, view *state.View)
	}{
		{"whole", func(*testing.T, *testCell, *state.View) {}},
		{"newest truncated", appendTruncated},
		{"newest by an author who is no daemon", func(t *testing.T, c *testCell, _ *state.View) {
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
				tc.inject(t, c, a.View().(*state.View))
				time.Sleep(time.Second)
				if oldest, _ := c.log.Bounds(); oldest == 0 {
					t.Fatal("the log dropped nothing")
				}
				c.net.remove("a") // no peer to recover from
				b := c.start("b", nil)
				if got := b.Source(); got.From != "log" || !got.Confirmed {
					t.Errorf("source %+v", got)
				}
				if a.digest() != b.digest() {
					t.Error("the restarted daemon has a different state")
				}
				a.stop(t)
				b.stop(t)
			})
		})
	}
}

func TestStore_NoStateWithoutSnapshotOrPeer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCell(t)
		c.log.SetRetention(20)
		a := c.start("a", nil) // writes no snapshots
		a.fill(t, 40)
		a.stop(t)
		c.net.remove("a")
		b := c.start("b", nil)
		if b.Source().Recovered || b.View().Offset() != 0 {
			t.Errorf("recovered without a snapshot or a peer: %+v", b.Source())
		}
		before := c.log.Counts().ReadBytes
		time.Sleep(20 * time.Second)
		if again := c.log.Counts().ReadBytes - before; again > 0 {
			t.Errorf("the log was searched again within 20 s: %d bytes read", again)
		}
		if _, _, err := b.ReadNow(t.Context()); err == nil {
			t.Error("ReadNow succeeded without state")
		}
		b.stop(t)
		lossy := c.start("c", func(o *statelog.Options) { o.AllowDataLoss = true })
		if !lossy.Source().Recovered {
			t.Error("not recovered with AllowDataLoss")
		}
		lossy.stop(t)
	})
}

// Guards against serving an older document for a newer one: the only snapshot
// ends before the log's oldest record, so the records in between are lost.
func TestStore_SkipsSnapshotBeforeOldestRecord(t *testing.T) {
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

// Guards against serving an old state: a daemon starts from an old snapshot
// while the log is so slow that catching up takes long.
func TestStore_HidesStateUntilCaughtUp(t *testing.T) {
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
						t.Errorf("revision %d is visible", d.Revision)
					}
					time.Sleep(500 * time.Millisecond)
				}
				if !b.Source().Recovered {
					t.Error("not recovered after 15 s")
				}
				a.stop(t)
				b.stop(t)
			})
		})
	}
}

// slowLog delays reads.
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

// Reads a backlog of several pages. newCell's OnRead function checks on every
// call that the state has reached the head.
func TestStore_ReadNowReachesHead(t *testing.T) {
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
		old.logClient.SetUnreachable(true)
		c.net.remove("old", statelog.MethodRecords)
		a.append(t, aliceCredential, job("late"))
		c.log.SetDown(true)
		b := c.start("b", nil)
		if got := b.Source(); got.From != "a" || got.Confirmed {
			t.Errorf("source %+v, want the furthest peer, not confirmed", got)
		}
		if a.digest() != b.digest() {
			t.Error("the newly started daemon has a different state")
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

func TestStore_StartsFromPeersWhileLogHangs(t *testing.T) {
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

// Guards against treating a log that takes 10 s per call as down: everything
// continues, with delay.
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

func TestStore_DaemonWithoutLogFollowsPeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCell(t)
		a := c.start("a", nil)
		b := c.start("b", nil)
		a.fill(t, 5)
		b.logClient.SetUnreachable(true)
		time.Sleep(5 * time.Second)
		before := len(b.completedReads())
		a.append(t, aliceCredential, publish("d2", "checks", 1, 4))
		time.Sleep(5 * time.Second)
		if d, _ := b.View().Document("checks"); d.Revision != 2 {
			t.Errorf("revision %d on the daemon without the log", d.Revision)
		}
		if len(b.completedReads()) != before {
			t.Error("a peer's records were counted as a read of the log")
		}
		if b.Health() != logclient.HealthDown || b.Source().Confirmed {
			t.Errorf("health %v, source %+v", b.Health(), b.Source())
		}
		b.logClient.SetUnreachable(false)
		time.Sleep(10 * time.Second)
		if a.digest() != b.digest() || !b.Source().Confirmed {
			t.Errorf("not caught up with the log: %+v", b.Source())
		}
		a.stop(t)
		b.stop(t)
	})
}

// A daemon returns after the log has dropped its next record. No snapshot
// helps, so it recovers from a peer.
func TestStore_RecoversAfterNextRecordWasDropped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCell(t)
		c.log.SetRetention(20)
		a, b := c.start("a", nil), c.start("b", nil)
		a.fill(t, 1)
		time.Sleep(time.Second)
		b.logClient.SetUnreachable(true)
		handlers := c.net.detach("a")
		for i := range 50 {
			a.append(t, aliceCredential, job(fmt.Sprint("more", i)))
		}
		b.logClient.SetUnreachable(false)
		time.Sleep(10 * time.Second)
		if d := b.View().Offset(); d != 2 || b.Health() != logclient.HealthTruncated {
			t.Errorf("at %d with health %v", d, b.Health())
		}
		c.net.attach("a", handlers)
		time.Sleep(10 * time.Second)
		if a.digest() != b.digest() || b.Health() != logclient.HealthFresh || !b.Source().Confirmed {
			t.Errorf("not caught up with the log: %+v, health %v", b.Source(), b.Health())
		}
		a.stop(t)
		b.stop(t)
	})
}

// A peer must refuse records to a daemon that has read a different log: the
// checksums of the record before them differ.
func TestRecordsHandler_RefusesDifferentLog(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCell(t)
		a := c.start("a", nil)
		a.fill(t, 5)
		for sum, want := range map[uint64]bool{0: true, 1: false} {
			var answer statelog.RecordsResponse
			request := statelog.RecordsRequest{From: 3, Sum: sum}
			if err := (testPeers{"b", c.net}).Call(t.Context(), "a", statelog.MethodRecords, request, &answer); err != nil {
				t.Fatal(err)
			}
			if answer.Found != want || (len(answer.Records) > 0) != want {
				t.Errorf("sum %d: found %v, %d records", sum, answer.Found, len(answer.Records))
			}
		}
		a.stop(t)
	})
}

// Guards against following a log that was truncated, or truncated and extended
// with other records, while the daemon could not read it.
func TestStore_RejectsTruncatedOrRewrittenLog(t *testing.T) {
	for _, regrown := range []bool{false, true} {
		t.Run(fmt.Sprint("regrown ", regrown), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCell(t)
				a := c.start("a", nil)
				a.fill(t, 10)
				before := a.digest()
				a.logClient.SetUnreachable(true)
				time.Sleep(time.Second)
				c.log.TruncateTail(3)
				if regrown {
					for range 6 {
						if _, err := c.log.Append(t.Context(), aliceCredential, [][]byte{{1}}); err != nil {
							t.Fatal(err)
						}
					}
				}
				a.logClient.SetUnreachable(false)
				time.Sleep(10 * time.Second)
				if a.digest() != before {
					t.Error("the state was changed by a different log")
				}
				if a.Health() != logclient.HealthTruncated {
					t.Errorf("health %v", a.Health())
				}
				var rewritten *logclient.RewrittenError
				var truncated *logclient.TruncatedError
				if _, _, err := a.ReadNow(t.Context()); !errors.As(err, &rewritten) && !errors.As(err, &truncated) {
					t.Errorf("ReadNow succeeded on a different log: %v", err)
				}
				a.stop(t)
			})
		})
	}
}

func TestStore_AcceptedRecordSurvivesCrash(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCell(t)
		a, b := c.start("a", nil), c.start("b", nil)
		a.fill(t, 0)
		c.log.SetDelay(100*time.Millisecond, 100*time.Millisecond)
		if _, err := a.Append(t.Context(), aliceCredential, job("j")); err != nil {
			t.Fatal(err)
		}
		a.logClient.SetUnreachable(true) // the daemon never reaches the log again
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
		result := make(chan error, 1)
		go func() {
			_, err := a.Append(context.Background(), aliceCredential, job("j"))
			result <- err
		}()
		time.Sleep(100 * time.Millisecond) // the append is in flight
		a.stop(t)
		if err := <-result; err != nil {
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
		if a, b := a.dump().Snapshot, b.dump().Snapshot; !a.Complete || a != b || a.Offset < 60 {
			t.Errorf("newest snapshot: %+v on the writer, %+v on the other", a, b)
		}
		if n := b.dump().Client.Appends; n != 0 {
			t.Errorf("the other daemon appended %d times", n)
		}
		a.stop(t)
		b.stop(t)
	})
}
