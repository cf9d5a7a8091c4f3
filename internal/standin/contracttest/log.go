package contracttest

import (
	"context"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/currantwinch/currantwinch/internal/standin/logstandin"
	"github.com/currantwinch/currantwinch/logclient"
	"github.com/currantwinch/currantwinch/verdict"
)

// LogPlatform is a log under test with control over the stand-in behind it.
type LogPlatform struct {
	Log     logclient.Log
	StandIn *logstandin.Log
	// Transport is nil if the log is called directly, without HTTP.
	Transport *LogTransport
}

// LogTransport injects faults between the client and the log.
type LogTransport struct {
	// SetRefusing makes the log's host refuse new connections, or ends that.
	SetRefusing func(refuse bool)
	// ResetConnections resets the open connections.
	ResetConnections func()
	// SetResponseFault corrupts all later responses.
	SetResponseFault func(logstandin.ResponseFault)
}

const (
	logCredential  = logclient.Credential("team/name:secret")
	logCallTimeout = 5 * time.Second
)

// logFault is a fault of the log and its expected effect on a call.
type logFault struct {
	name   string
	inject func(p LogPlatform)
	append verdict.Verdict
	// records is the number of records in the log after the append.
	records uint64
	// readOK is true if the fault does not affect reads.
	readOK bool
}

var logFaults = []logFault{
	{"none", func(LogPlatform) {}, verdict.Ran, 1, true},
	{"refused", func(p LogPlatform) { p.StandIn.RefuseAppends(1) }, verdict.NotRun, 0, true},
	{"down", func(p LogPlatform) { p.StandIn.SetDown(true) }, verdict.NotRun, 0, false},
	{"slow", func(p LogPlatform) { p.StandIn.SetDelay(2*time.Second, 2*time.Second) }, verdict.Ran, 1, true},
	{"too slow before the effect", func(p LogPlatform) { p.StandIn.SetDelay(9*time.Second, 0) }, verdict.MayHaveRun, 0, false},
	{"too slow after the effect", func(p LogPlatform) { p.StandIn.SetDelay(0, 9*time.Second) }, verdict.MayHaveRun, 1, false},
	{"hung", func(p LogPlatform) { p.StandIn.SetHang(true) }, verdict.MayHaveRun, 0, false},
	{"reset before the effect", func(p LogPlatform) { p.StandIn.LoseRequests(1) }, verdict.MayHaveRun, 0, true},
	{"reset after the effect", func(p LogPlatform) { p.StandIn.LoseResponses(1) }, verdict.MayHaveRun, 1, true},
}

var transportFaults = []logFault{
	{"connection refused", func(p LogPlatform) { p.Transport.SetRefusing(true) }, verdict.NotRun, 0, false},
	{"reset during the call", func(p LogPlatform) {
		p.StandIn.SetDelay(2*time.Second, 0)
		time.AfterFunc(time.Second, p.Transport.ResetConnections)
	}, verdict.MayHaveRun, 0, false},
	{"truncated response", func(p LogPlatform) { p.Transport.SetResponseFault(logstandin.ResponseTruncated) }, verdict.MayHaveRun, 1, false},
	{"malformed response", func(p LogPlatform) { p.Transport.SetResponseFault(logstandin.ResponseMalformed) }, verdict.MayHaveRun, 1, false},
	{"empty response", func(p LogPlatform) { p.Transport.SetResponseFault(logstandin.ResponseEmpty) }, verdict.MayHaveRun, 1, false},
	{"oversized response", func(p LogPlatform) { p.Transport.SetResponseFault(logstandin.ResponseOversized) }, verdict.MayHaveRun, 1, false},
}

// Log checks an implementation of logclient.Log against an empty log, in the
// virtual time of testing/synctest.
func Log(t *testing.T, newPlatform func(t *testing.T) LogPlatform) {
	run := func(name string, f func(t *testing.T, p LogPlatform)) {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { f(t, newPlatform(t)) })
		})
	}
	run("order", logOrder)
	run("concurrent appends", logConcurrentAppends)
	run("duplicate", logDuplicate)
	run("wait at the head", logWait)
	run("retention", logRetention)
	run("bad credential", func(t *testing.T, p LogPlatform) {
		_, err := p.Log.Append(t.Context(), "nobody", [][]byte{{1}})
		if verdict.Of(err) != verdict.NotRun || verdict.ReasonOf(err) != logclient.ReasonBadCredential {
			t.Errorf("got %v", err)
		}
	})
	for _, fault := range slices.Concat(logFaults, transportFaults) {
		run("append: "+fault.name, func(t *testing.T, p LogPlatform) { appendUnder(t, p, fault) })
		run("read: "+fault.name, func(t *testing.T, p LogPlatform) { readUnder(t, p, fault) })
	}
}

func (f logFault) applies(p LogPlatform) bool {
	return p.Transport != nil || !slices.ContainsFunc(transportFaults, func(o logFault) bool { return o.name == f.name })
}

func appendUnder(t *testing.T, p LogPlatform, fault logFault) {
	if !fault.applies(p) {
		return
	}
	fault.inject(p)
	ctx, cancel := context.WithTimeout(t.Context(), logCallTimeout)
	defer cancel()
	_, err := p.Log.Append(ctx, logCredential, [][]byte{{1}})
	if got := verdict.Of(err); got != fault.append {
		t.Errorf("verdict %v, want %v: %v", got, fault.append, err)
	}
	time.Sleep(time.Minute)
	if _, head := p.StandIn.Bounds(); head != fault.records {
		t.Errorf("log has %d records, want %d", head, fault.records)
	}
}

func readUnder(t *testing.T, p LogPlatform, fault logFault) {
	if !fault.applies(p) {
		return
	}
	if _, err := p.StandIn.Append(t.Context(), logCredential, [][]byte{{1}}); err != nil {
		t.Fatal(err)
	}
	fault.inject(p)
	ctx, cancel := context.WithTimeout(t.Context(), logCallTimeout)
	defer cancel()
	page, err := p.Log.Read(ctx, 0, 10, 0)
	if (err == nil) != fault.readOK {
		t.Errorf("got error %v", err)
	}
	if err == nil && (len(page.Records) != 1 || page.Head != 1) {
		t.Errorf("got %+v", page)
	}
	if err != nil && (len(page.Records) > 0 || page.Head > 0) {
		t.Errorf("got page %+v with an error, want none", page)
	}
}

func logOrder(t *testing.T, p LogPlatform) {
	for i, entries := range [][][]byte{{{0}, {1}}, {{2}}, {{3}, {4}, {5}}} {
		first, err := p.Log.Append(t.Context(), logCredential, entries)
		if err != nil || first != uint64(entries[0][0]) {
			t.Fatalf("append %d: offset %d, %v", i, first, err)
		}
	}
	page, err := p.Log.Read(t.Context(), 1, 3, time.Hour)
	if err != nil || len(page.Records) != 3 || page.Oldest != 0 || page.Head != 6 {
		t.Fatalf("got %+v, %v", page, err)
	}
	for i, r := range page.Records {
		if r.Offset != uint64(i+1) || r.Data[0] != byte(i+1) || r.Author != "team/name" || r.Time.IsZero() {
			t.Errorf("record %d is %+v", i, r)
		}
	}
}

// logDuplicate checks that the log does not deduplicate: equal entries are
// stored twice.
func logDuplicate(t *testing.T, p LogPlatform) {
	for want := range uint64(2) {
		if first, err := p.Log.Append(t.Context(), logCredential, [][]byte{{1}}); err != nil || first != want {
			t.Errorf("offset %d, %v", first, err)
		}
	}
}

func logConcurrentAppends(t *testing.T, p LogPlatform) {
	p.StandIn.SetDelay(time.Second, time.Second)
	var wg sync.WaitGroup
	for i := range byte(2) {
		wg.Go(func() {
			if _, err := p.Log.Append(t.Context(), logCredential, [][]byte{{i}, {i}, {i}}); err != nil {
				t.Error(err)
			}
		})
	}
	wg.Wait()
	page, err := p.Log.Read(t.Context(), 0, 10, 0)
	if err != nil || len(page.Records) != 6 {
		t.Fatalf("got %+v, %v", page, err)
	}
	for i, r := range page.Records {
		if r.Data[0] != page.Records[i/3*3].Data[0] {
			t.Errorf("record %d: entries of concurrent appends are interleaved", i)
		}
	}
}

func logWait(t *testing.T, p LogPlatform) {
	start := time.Now()
	page, err := p.Log.Read(t.Context(), 0, 10, 3*time.Second)
	if waited := time.Since(start); err != nil || len(page.Records) > 0 || waited < 3*time.Second {
		t.Errorf("got %+v, %v after %v", page, err, waited)
	}
	time.AfterFunc(time.Second, func() { _, _ = p.StandIn.Append(context.Background(), logCredential, [][]byte{{1}}) })
	start = time.Now()
	page, err = p.Log.Read(t.Context(), 0, 10, time.Hour)
	if waited := time.Since(start); err != nil || len(page.Records) != 1 || waited > 2*time.Second {
		t.Errorf("got %+v, %v after %v", page, err, waited)
	}
}

func logRetention(t *testing.T, p LogPlatform) {
	p.StandIn.SetRetention(2)
	if _, err := p.Log.Append(t.Context(), logCredential, [][]byte{{0}, {1}, {2}, {3}, {4}}); err != nil {
		t.Fatal(err)
	}
	for _, from := range []uint64{0, 2, 9} {
		page, err := p.Log.Read(t.Context(), from, 10, time.Hour)
		if err != nil || len(page.Records) > 0 || page.Oldest != 3 || page.Head != 5 {
			t.Errorf("from %d: %+v, %v", from, page, err)
		}
	}
	page, err := p.Log.Read(t.Context(), 3, 10, 0)
	if err != nil || len(page.Records) != 2 {
		t.Errorf("got %+v, %v", page, err)
	}
}
