package logclient_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/currantwinch/currantwinch/internal/standin/logstandin"
	"github.com/currantwinch/currantwinch/logclient"
	"github.com/currantwinch/currantwinch/record"
	"github.com/currantwinch/currantwinch/verdict"
)

const credential = logclient.Credential("team/name:secret")

func job(key string) record.Record {
	return record.Record{Key: key, Kind: record.KindJob, Job: &record.Job{ID: key}}
}

func bill(key string) record.Record {
	return record.Record{Key: key, Kind: record.KindBill, Bill: &record.Bill{RequestKey: key}}
}

// testClient is a client of a stand-in log in virtual time.
type testClient struct {
	log    *logstandin.Log
	client *logclient.Client
	stop   func()
}

func newTestClient(t *testing.T, change func(*logclient.Options)) *testClient {
	log := logstandin.New(time.Now)
	o := logclient.Options{Log: log, Now: time.Now, Seed: 1}
	if change != nil {
		change(&o)
	}
	b := &testClient{log: log, client: logclient.New(o)}
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	for range 2 {
		wg.Go(func() { _ = b.client.RunAppends(ctx, func() {}) })
	}
	wg.Go(func() { b.tail(ctx) })
	b.stop = func() { cancel(); wg.Wait() }
	t.Cleanup(b.stop)
	return b
}

// tail reads the log and passes each record to ObserveRecord.
func (b *testClient) tail(ctx context.Context) {
	next := uint64(0)
	for ctx.Err() == nil {
		batch, err := b.client.Read(ctx, next, logclient.MaxReadWait)
		if err != nil {
			time.Sleep(200 * time.Millisecond)
			continue
		}
		for _, stored := range batch.Records {
			if r, err := record.Decode(stored.Data); err == nil {
				b.client.ObserveRecord(r.Key, stored)
			}
		}
		next = batch.Next
	}
}

func TestClient_AppendUnderFaults(t *testing.T) {
	cases := []struct {
		name    string
		inject  func(l *logstandin.Log)
		verdict verdict.Verdict
		// records is the number of records in the log at the end.
		records uint64
	}{
		{"none", func(*logstandin.Log) {}, verdict.Ran, 1},
		{"refused twice", func(l *logstandin.Log) { l.RefuseAppends(2) }, verdict.Ran, 1},
		{"answer lost", func(l *logstandin.Log) { l.LoseResponses(1) }, verdict.Ran, 1},
		{"call lost", func(l *logstandin.Log) { l.LoseRequests(1) }, verdict.Ran, 1},
		{"down", func(l *logstandin.Log) { l.SetDown(true) }, verdict.NotRun, 0},
		{"slow", func(l *logstandin.Log) { l.SetDelay(time.Second, time.Second) }, verdict.Ran, 1},
		{"answer too slow, but read", func(l *logstandin.Log) { l.SetDelay(0, 11*time.Second) }, verdict.Ran, 1},
		{"too slow", func(l *logstandin.Log) { l.SetDelay(11*time.Second, 0) }, verdict.MayHaveRun, 1},
		{"hung", func(l *logstandin.Log) { l.SetHang(true) }, verdict.MayHaveRun, 0},
		{"down after a lost call", func(l *logstandin.Log) {
			l.LoseRequests(1)
			time.AfterFunc(50*time.Millisecond, func() { l.SetDown(true) })
		}, verdict.MayHaveRun, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newTestClient(t, nil)
				synctest.Wait()
				c.inject(b.log)
				ctx, cancel := context.WithTimeout(t.Context(), 8*time.Second)
				defer cancel()
				_, err := b.client.Append(ctx, credential, job("a"))
				if got := verdict.Of(err); got != c.verdict {
					t.Errorf("verdict %v, want %v: %v", got, c.verdict, err)
				}
				time.Sleep(time.Minute)
				if _, head := b.log.Bounds(); head != c.records {
					t.Errorf("the log has %d records, want %d", head, c.records)
				}
			})
		})
	}
}

// Guards against taking another author's record under the same key as proof of
// an append: the call is lost, and the other record is written before the log
// goes down.
func TestClient_SameKeyByOtherAuthorProvesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestClient(t, nil)
		synctest.Wait()
		b.log.LoseRequests(1)
		time.AfterFunc(30*time.Millisecond, func() {
			data, _ := record.Encode(bill("a"))
			_, _ = b.log.Append(context.Background(), "others/mallet:secret", [][]byte{data})
		})
		time.AfterFunc(40*time.Millisecond, func() { b.log.SetDown(true) })
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		defer cancel()
		if _, err := b.client.Append(ctx, credential, job("a")); verdict.Of(err) != verdict.MayHaveRun {
			t.Errorf("verdict %v: %v", verdict.Of(err), err)
		}
	})
}

func TestClient_BatchesAppends(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestClient(t, nil)
		var wg sync.WaitGroup
		offsets := make([]uint64, 300)
		for i := range offsets {
			wg.Go(func() {
				offset, err := b.client.Append(t.Context(), credential, bill(fmt.Sprint(i)), bill(fmt.Sprint(i, "b")))
				if err != nil {
					t.Error(err)
				}
				offsets[i] = offset
			})
		}
		wg.Wait()
		if n := b.log.Counts().Appends; n > 2 {
			t.Errorf("%d appends for 600 bills at once", n)
		}
		page, err := b.log.Read(t.Context(), 0, 1000, 0)
		if err != nil || len(page.Records) != 600 {
			t.Fatalf("%d records, %v", len(page.Records), err)
		}
		for i, offset := range offsets {
			if r, _ := record.Decode(page.Records[offset].Data); r.Key != fmt.Sprint(i, "b") {
				t.Fatalf("offset %d of call %d holds %s", offset, i, r.Key)
			}
		}
	})
}

func TestClient_RefusesAboveLimits(t *testing.T) {
	cases := []struct {
		name   string
		change func(*logclient.Options)
		reason verdict.Reason
	}{
		{"budget", func(o *logclient.Options) { o.Rate, o.Burst = 2, 8 }, logclient.ReasonBudget},
		{"queue", func(o *logclient.Options) { o.MaxQueued = 5 }, logclient.ReasonQueueFull},
		{"bytes", func(o *logclient.Options) { o.MaxQueuedBytes = 200 }, logclient.ReasonQueueFull},
		{"large", func(o *logclient.Options) { o.MaxBatchBytes = 5 }, logclient.ReasonTooLarge},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newTestClient(t, c.change)
				synctest.Wait()
				var wg sync.WaitGroup
				var mu sync.Mutex
				refused := 0
				for i := range 60 {
					wg.Go(func() {
						team := logclient.Credential(fmt.Sprintf("team%d/name:secret", i))
						_, err := b.client.Append(t.Context(), team, job(fmt.Sprint(i)))
						if err == nil {
							return
						}
						mu.Lock()
						defer mu.Unlock()
						refused++
						if verdict.Of(err) != verdict.NotRun || verdict.ReasonOf(err) != c.reason {
							t.Errorf("got %v", err)
						}
						if c.reason != logclient.ReasonTooLarge && verdict.RetryAfterOf(err) <= 0 {
							t.Errorf("no retry-after: %v", err)
						}
					})
				}
				wg.Wait()
				_, head := b.log.Bounds()
				if refused == 0 || int(head) != 60-refused {
					t.Errorf("%d refused, %d appended", refused, head)
				}
			})
		})
	}
}

func TestClient_UrgentGoesFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestClient(t, func(o *logclient.Options) { o.Rate, o.Burst = 2, 8 })
		var wg sync.WaitGroup
		for i := range 20 {
			wg.Go(func() {
				team := logclient.Credential(fmt.Sprintf("team%d/name:secret", i))
				_, _ = b.client.Append(t.Context(), team, job(fmt.Sprint(i)))
			})
		}
		time.Sleep(100 * time.Millisecond)
		began := time.Now()
		claim := record.Record{Key: "c", Kind: record.KindClaim, Claim: &record.Claim{Name: "n"}}
		if _, err := b.client.Append(t.Context(), credential, claim); err != nil {
			t.Error(err)
		}
		if waited := time.Since(began); waited > 0 {
			t.Errorf("an urgent claim waited %v behind jobs", waited)
		}
		wg.Wait()
	})
}

// Guards against false verdicts: appends under changing faults, and compares
// the verdict that each caller got with what the log holds in the end.
func TestClient_VerdictsMatchLog(t *testing.T) {
	seeds := uint64(50)
	if testing.Short() {
		seeds = 10
	}
	verdicts := make(map[verdict.Verdict]int)
	for seed := range seeds {
		synctest.Test(t, func(t *testing.T) {
			for key, got := range appendUnderFaults(t, seed) {
				verdicts[got.verdict]++
				if got.verdict == verdict.NotRun && got.inLog || got.verdict == verdict.Ran && !got.inLog {
					t.Errorf("seed %d: %s got verdict %v, in the log: %v", seed, key, got.verdict, got.inLog)
				}
			}
		})
	}
	for _, v := range []verdict.Verdict{verdict.Ran, verdict.NotRun, verdict.MayHaveRun} {
		if verdicts[v] == 0 {
			t.Errorf("no append ended as %v: the faults do not cover it", v)
		}
	}
}

type result struct {
	verdict verdict.Verdict
	inLog   bool
}

func appendUnderFaults(t *testing.T, seed uint64) map[string]result {
	random := rand.New(rand.NewPCG(seed, 7))
	b := newTestClient(t, func(o *logclient.Options) { o.Seed = seed })
	results := make(map[string]result)
	var mu sync.Mutex
	var wg sync.WaitGroup
	for i := range 40 {
		wait, timeout := time.Duration(random.IntN(20_000))*time.Millisecond, time.Duration(50+random.IntN(6_000))*time.Millisecond
		wg.Go(func() {
			time.Sleep(wait)
			ctx, cancel := context.WithTimeout(context.Background(), timeout)
			defer cancel()
			key := fmt.Sprint(i)
			_, err := b.client.Append(ctx, credential, job(key))
			mu.Lock()
			defer mu.Unlock()
			results[key] = result{verdict: verdict.Of(err)}
		})
	}
	for range 20 {
		changeFaults(b.log, random)
		time.Sleep(time.Second)
	}
	wg.Wait()
	b.log.SetDown(false)
	b.log.SetHang(false)
	time.Sleep(time.Minute) // for attempts that reach the log late
	page, err := b.log.Read(context.Background(), 0, 10_000, 0)
	if err != nil {
		t.Fatal(err)
	}
	for _, stored := range page.Records {
		if r, err := record.Decode(stored.Data); err == nil {
			results[r.Key] = result{results[r.Key].verdict, true}
		}
	}
	return results
}

func changeFaults(log *logstandin.Log, random *rand.Rand) {
	log.SetDown(random.IntN(4) == 0)
	log.SetHang(random.IntN(5) == 0)
	log.SetDelay(time.Duration(random.IntN(2000))*time.Millisecond, time.Duration(random.IntN(2000))*time.Millisecond)
	log.LoseResponses(random.IntN(3))
	log.LoseRequests(random.IntN(2))
	log.RefuseAppends(random.IntN(2))
}
