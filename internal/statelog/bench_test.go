package statelog_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"runtime"
	"testing"
	"testing/synctest"
	"time"

	"github.com/currantwinch/currantwinch/cluster"
	"github.com/currantwinch/currantwinch/duty"
	"github.com/currantwinch/currantwinch/internal/adapter/loghttp"
	"github.com/currantwinch/currantwinch/internal/roles"
	"github.com/currantwinch/currantwinch/internal/standin/logstandin"
	"github.com/currantwinch/currantwinch/internal/standin/memnet"
	"github.com/currantwinch/currantwinch/internal/statelog"
	"github.com/currantwinch/currantwinch/logclient"
	"github.com/currantwinch/currantwinch/record"
	"github.com/currantwinch/currantwinch/state"
)

// stateSize is the number of rows in a state.
type stateSize struct {
	documents, openJobs, endedJobs, bills, shares int
}

// designSize has five services per team, and 15,000 tasks in jobs of ten.
var designSize = stateSize{documents: 550, openJobs: 1500, endedJobs: state.MaxEndedJobs, bills: state.MaxBills, shares: 142}

// recordWriter creates the records of a log.
type recordWriter struct {
	records []logclient.StoredRecord
}

func (w *recordWriter) add(author string, r record.Record) {
	data, err := record.Encode(r)
	if err != nil {
		panic(err)
	}
	offset := uint64(len(w.records))
	at := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC).Add(time.Duration(offset) * 800 * time.Millisecond)
	w.records = append(w.records, logclient.StoredRecord{Offset: offset, Author: author, Time: at, Data: data})
}

// history returns records that result in a state of this size.
func (s stateSize) history() []logclient.StoredRecord {
	w := new(recordWriter)
	w.add("system/a", record.Record{Key: "join", Kind: record.KindJoin, Join: &record.Join{Daemon: cluster.Daemon{Name: "a", Incarnation: "a-1"}}})
	for i := range s.shares {
		w.add("system/a", record.Record{Key: fmt.Sprint("claim", i), Kind: record.KindClaim, Claim: &record.Claim{
			Name: "a", Incarnation: "a-1", Witnesses: []string{"a-1", "b-1", "c-1", "d-1", "e-1", "f-1", "g-1", "h-1", "i-1"},
			Shares: []record.ShareEpoch{{Share: cluster.Share{Kind: cluster.ShareRack, Name: fmt.Sprint("north.rack", i)}, Epoch: 1}},
		}})
	}
	service := func(i int) string { return fmt.Sprintf("service%d", i%max(1, s.documents)) }
	for i := range s.documents {
		w.add("search/alice", publish(fmt.Sprintf("publish/%032x", i), service(i), 0, 1+i%7))
	}
	for i := range s.endedJobs + s.openJobs {
		id := fmt.Sprintf("%s/review/%032x", service(i), i)
		w.add("search/alice", record.Record{Key: "job/" + id, Kind: record.KindJob, Job: &record.Job{
			ID: id, Service: service(i), Workload: "review", Revision: 1,
		}})
		if i < s.endedJobs {
			w.add("system/a", record.Record{Key: "done/" + id, Kind: record.KindDone, Done: &record.Done{JobID: id, Succeeded: 10}})
		}
	}
	for i := range s.bills {
		w.add("system/a", record.Record{Key: fmt.Sprintf("bill/%032x", i), Kind: record.KindBill, Bill: &record.Bill{
			RequestKey: fmt.Sprintf("%032x", i), Service: service(i), Team: "search", Revision: 1,
			Caller: fmt.Sprint("desk", i%300), Kind: "check", RunTime: 120 * time.Millisecond,
		}})
	}
	return w.records
}

func applyRecords(b testing.TB, records []logclient.StoredRecord) *state.State {
	s := state.New()
	for _, r := range records {
		if _, err := s.Apply(r); err != nil {
			b.Fatal(err)
		}
	}
	return s
}

// BenchmarkRecovery starts a daemon from a snapshot of the design size and the
// longest tail that may follow it, and from the whole log without a snapshot.
func BenchmarkRecovery(b *testing.B) {
	history := designSize.history()
	tail := stateSize{documents: 1, openJobs: statelog.DefaultMaxRecordsBetweenSnapshots}.history()
	for _, withSnapshot := range []bool{false, true} {
		b.Run(fmt.Sprint("snapshot=", withSnapshot), func(b *testing.B) {
			log := logstandin.New(time.Now)
			appendAll(b, log, history)
			if withSnapshot {
				appendAll(b, log, snapshotRecords(b, applyRecords(b, history).View()))
			}
			appendAll(b, log, tail)
			before := log.Counts().ReadBytes
			for b.Loop() {
				startStore(b, log)
			}
			b.ReportMetric(float64(log.Counts().ReadBytes-before)/float64(b.N), "read-bytes/op")
		})
	}
}

func appendAll(b *testing.B, log *logstandin.Log, records []logclient.StoredRecord) {
	for _, r := range records {
		credential := logclient.Credential(r.Author + ":secret")
		if _, err := log.Append(context.Background(), credential, [][]byte{r.Data}); err != nil {
			b.Fatal(err)
		}
	}
}

func snapshotRecords(b *testing.B, view *state.View) []logclient.StoredRecord {
	data, err := view.EncodeSnapshot()
	if err != nil {
		b.Fatal(err)
	}
	w := new(recordWriter)
	for _, p := range state.SplitSnapshot("s", view.Offset(), data) {
		w.add("system/a", record.Record{Key: fmt.Sprint("p", p.Index), Kind: record.KindSnapshot, Snapshot: &p})
	}
	return w.records
}

func startStore(b *testing.B, log *logstandin.Log) {
	duties := duty.New(time.Now)
	s := statelog.New(statelog.Options{
		Base: roles.Base{Self: cluster.Daemon{Name: "a"}, Now: time.Now, Duties: duties},
		Log:  log, SystemCredential: systemCredential,
	})
	if err := s.Start(context.Background()); err != nil {
		b.Fatal(err)
	}
	if got := s.Source(); !got.Confirmed {
		b.Fatalf("not recovered: %+v", got)
	}
	if err := duties.Stop(context.Background()); err != nil {
		b.Fatal(err)
	}
}

// BenchmarkFold applies a history of the design size, and encodes and decodes
// its snapshot.
func BenchmarkFold(b *testing.B) {
	history := designSize.history()
	b.Run("records", func(b *testing.B) {
		for b.Loop() {
			applyRecords(b, history)
		}
		b.ReportMetric(float64(len(history))*float64(b.N)/b.Elapsed().Seconds(), "records/s")
	})
	view := applyRecords(b, history).View()
	data, err := view.EncodeSnapshot()
	if err != nil {
		b.Fatal(err)
	}
	b.Run("encode", func(b *testing.B) {
		for b.Loop() {
			if _, err := view.EncodeSnapshot(); err != nil {
				b.Fatal(err)
			}
		}
		b.ReportMetric(float64(len(data)), "snapshot-bytes")
	})
	b.Run("decode", func(b *testing.B) {
		for b.Loop() {
			if _, err := state.DecodeSnapshot(data); err != nil {
				b.Fatal(err)
			}
		}
	})
	b.Run("one record and a view", func(b *testing.B) {
		s, err := state.DecodeSnapshot(data)
		if err != nil {
			b.Fatal(err)
		}
		// More bills than are remembered, so that none is a duplicate.
		bills := stateSize{bills: 2 * state.MaxBills}.history()
		for i := 0; b.Loop(); i++ {
			r := bills[i%len(bills)]
			r.Offset = s.Next()
			if _, err := s.Apply(r); err != nil {
				b.Fatal(err)
			}
			s.View()
		}
	})
}

// BenchmarkMemory reports the heap bytes per row of a state, at four sizes.
func BenchmarkMemory(b *testing.B) {
	rowKinds := []struct {
		name string
		of   func(n int) stateSize
	}{
		{"document", func(n int) stateSize { return stateSize{documents: n} }},
		{"open job", func(n int) stateSize { return stateSize{documents: 1, openJobs: n} }},
		{"ended job", func(n int) stateSize { return stateSize{documents: 1, endedJobs: n} }},
		{"bill", func(n int) stateSize { return stateSize{bills: n} }},
		{"share", func(n int) stateSize { return stateSize{shares: n} }},
	}
	for _, kind := range rowKinds {
		for _, n := range []int{500, 1000, 2000, 4000} {
			b.Run(fmt.Sprintf("%s/%d", kind.name, n), func(b *testing.B) {
				data, err := applyRecords(b, kind.of(n).history()).View().EncodeSnapshot()
				if err != nil {
					b.Fatal(err)
				}
				for b.Loop() {
					b.ReportMetric(restoredHeapBytes(b, data)/float64(n), "heap-bytes/row")
				}
				b.ReportMetric(float64(len(data))/float64(n), "snapshot-bytes/row")
			})
		}
	}
	b.Run("design size", func(b *testing.B) {
		data, err := applyRecords(b, designSize.history()).View().EncodeSnapshot()
		if err != nil {
			b.Fatal(err)
		}
		for b.Loop() {
			b.ReportMetric(restoredHeapBytes(b, data), "heap-bytes")
		}
	})
}

// restoredHeapBytes returns the heap bytes that a decoded state keeps in use.
func restoredHeapBytes(b *testing.B, data []byte) float64 {
	var before, after runtime.MemStats
	runGC()
	runtime.ReadMemStats(&before)
	s, err := state.DecodeSnapshot(data)
	if err != nil {
		b.Fatal(err)
	}
	runGC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(s)
	return float64(after.HeapAlloc) - float64(before.HeapAlloc)
}

// runGC runs the garbage collector three times, since pools and weak
// references keep memory over one collection.
func runGC() {
	for range 3 {
		runtime.GC()
	}
}

// maxIdleBytesPerSecond limits all control traffic of an idle daemon, in bytes
// per second.
const maxIdleBytesPerSecond = 14 << 10

func TestStore_IdleTrafficBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const address = "10.0.0.1:80"
		network := memnet.New()
		listener, err := network.Host("log", "platform").Listen(address)
		if err != nil {
			t.Fatal(err)
		}
		server := &http.Server{Handler: logstandin.New(time.Now).Handler()}
		go func() { _ = server.Serve(listener) }()
		transport := &http.Transport{DialContext: network.Host("daemon", "cell").Dial}
		duties := duty.New(time.Now)
		s := statelog.New(statelog.Options{
			Base: roles.Base{Self: cluster.Daemon{Name: "a"}, Now: time.Now, Duties: duties},
			Log:  loghttp.New("http://"+address, &http.Client{Transport: transport}), SystemCredential: systemCredential,
		})
		if err := s.Start(t.Context()); err != nil {
			t.Fatal(err)
		}
		total := func() uint64 { return network.BytesSent("daemon", "log") + network.BytesSent("log", "daemon") }
		if total() == 0 {
			total = func() uint64 { return network.BytesSent("cell", "platform") + network.BytesSent("platform", "cell") }
		}
		before := total()
		time.Sleep(time.Minute)
		rate := float64(total()-before) / 60
		t.Logf("%.0f bytes/s between an idle daemon and the log, %d goroutines", rate, runtime.NumGoroutine())
		if rate == 0 || rate > maxIdleBytesPerSecond {
			t.Errorf("%.0f bytes/s, bound %d", rate, maxIdleBytesPerSecond)
		}
		if err := duties.Stop(context.Background()); err != nil {
			t.Error(err)
		}
		transport.CloseIdleConnections()
		_ = server.Close()
		network.Close()
	})
}

// BenchmarkReadAtHead measures what an idle daemon does twice a second: one
// read over HTTP that finds nothing, compared with a read of the log in
// memory.
func BenchmarkReadAtHead(b *testing.B) {
	stand := logstandin.New(time.Now)
	server := httptest.NewServer(stand.Handler())
	defer server.Close()
	logs := map[string]logclient.Log{"memory": stand, "http": loghttp.New(server.URL, server.Client())}
	for _, name := range []string{"memory", "http"} {
		b.Run(name, func(b *testing.B) {
			client := logclient.New(logclient.Options{Log: logs[name], Now: time.Now})
			for b.Loop() {
				if _, err := client.Read(context.Background(), 0, 0); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
