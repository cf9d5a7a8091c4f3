package statelog_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/currantwinch/currantwinch/cluster"
	"github.com/currantwinch/currantwinch/internal/standin/logstandin"
	"github.com/currantwinch/currantwinch/logclient"
	"github.com/currantwinch/currantwinch/record"
)

// The design size.
const (
	daemons         = 9
	teams           = 110
	appendRateLimit = 120 // appends per second of all daemons together
)

// stream produces records of one kind at a constant rate, spread over daemons
// and teams.
type stream struct {
	name string
	// rate is in records per second of all daemons together.
	rate float64
	make func(i, team int) (logclient.Credential, record.Record)
}

func teamCredential(team int) logclient.Credential {
	return logclient.Credential(fmt.Sprintf("team%d/alice:secret", team))
}

func system(r record.Record) (logclient.Credential, record.Record) { return systemCredential, r }

// peakLoad is the load of the busiest minute at the design size: ten times the
// daily mean of jobs and documents, a restart of all daemons within ten
// minutes, and 300 billed requests per second.
var peakLoad = []stream{
	{"document", 510 * 10 / 86400.0, func(i, team int) (logclient.Credential, record.Record) {
		return teamCredential(team), publish(fmt.Sprint("d", i), fmt.Sprint("s", team), 0, 1)
	}},
	{"job", 10_000 * 10 / 86400.0, func(i, team int) (logclient.Credential, record.Record) {
		return teamCredential(team), job(fmt.Sprint("j", i))
	}},
	{"cancel", 10_000 / 86400.0, func(i, team int) (logclient.Credential, record.Record) {
		return teamCredential(team), record.Record{Key: fmt.Sprint("c", i), Kind: record.KindCancel, Cancel: &record.Cancel{JobID: fmt.Sprint("j", i)}}
	}},
	{"done", 10_000 * 10 / 86400.0, func(i, _ int) (logclient.Credential, record.Record) {
		return system(record.Record{Key: fmt.Sprint("e", i), Kind: record.KindDone, Done: &record.Done{JobID: fmt.Sprint("j", i)}})
	}},
	{"bill", 300, func(i, _ int) (logclient.Credential, record.Record) {
		return system(record.Record{Key: fmt.Sprint("b", i), Kind: record.KindBill, Bill: &record.Bill{
			RequestKey: fmt.Sprintf("%032x", i), Service: "checks", Team: "search", Caller: "desk", Kind: "check",
		}})
	}},
	// A restart takes a release, a leave, a join and four claims.
	{"join, leave, claim, release", 9 * 7 / 600.0, func(i, _ int) (logclient.Credential, record.Record) {
		return system(record.Record{Key: fmt.Sprint("m", i), Kind: record.KindJoin, Join: &record.Join{
			Daemon: cluster.Daemon{Name: fmt.Sprint("n", i%9), Incarnation: fmt.Sprint(i)},
		}})
	}},
}

// overload is 230 task starts per second, each a job of one task.
var overload = []stream{{"job", 230, peakLoad[1].make}, {"done", 230, peakLoad[3].make}}

// loadResult is the result of one run.
type loadResult struct {
	records, refused int
	appends          uint64
	// maxAppendsPerSecond is the number of appends in the busiest second.
	maxAppendsPerSecond uint64
}

// runLoad runs streams against nine clients for a minute of virtual time.
func runLoad(t *testing.T, streams []stream) (out loadResult) {
	const length = time.Minute
	synctest.Test(t, func(t *testing.T) {
		log := logstandin.New(time.Now)
		log.SetDelay(10*time.Millisecond, 10*time.Millisecond)
		ctx, cancel := context.WithCancel(context.Background())
		var senders, callers sync.WaitGroup
		var clients []*logclient.Client
		for i := range daemons {
			c := logclient.New(logclient.Options{Log: log, Now: time.Now, Seed: uint64(i)})
			for range 4 {
				senders.Go(func() { _ = c.RunAppends(ctx, func() {}) })
			}
			clients = append(clients, c)
		}
		var mu sync.Mutex
		random := rand.New(rand.NewPCG(1, 1))
		for _, s := range streams {
			for i := range int(s.rate * length.Seconds()) {
				at := time.Duration(random.Int64N(int64(length)))
				client, team := clients[random.IntN(daemons)], random.IntN(teams)
				out.records++
				callers.Go(func() {
					time.Sleep(at)
					credential, r := s.make(i, team)
					if _, err := client.Append(ctx, credential, r); err != nil {
						mu.Lock()
						defer mu.Unlock()
						out.refused++
					}
				})
			}
		}
		var before uint64
		for range int(length.Seconds()) {
			time.Sleep(time.Second)
			now := log.Counts().Appends
			out.maxAppendsPerSecond, before = max(out.maxAppendsPerSecond, now-before), now
		}
		callers.Wait()
		out.appends = log.Counts().Appends
		cancel()
		senders.Wait()
	})
	return out
}

// Runs the peak load, by kind and combined, and then an overload that the
// append budget must limit.
func TestAppendRate_BelowTarget(t *testing.T) {
	report := func(name string, got loadResult) {
		t.Logf("%-28s %8.2f records/s %7.2f appends/s, %3d in the busiest second, %d refused",
			name, float64(got.records)/60, float64(got.appends)/60, got.maxAppendsPerSecond, got.refused)
	}
	for _, s := range peakLoad {
		if testing.Short() && s.rate > 100 {
			continue
		}
		report(s.name, runLoad(t, []stream{s}))
	}
	if testing.Short() {
		return
	}
	all := runLoad(t, peakLoad)
	report("all", all)
	if all.maxAppendsPerSecond >= appendRateLimit || all.refused > 0 {
		t.Errorf("%d appends in the busiest second, %d refused", all.maxAppendsPerSecond, all.refused)
	}
	over := runLoad(t, overload)
	report("230 jobs/s of 110 teams", over)
	if over.maxAppendsPerSecond >= appendRateLimit {
		t.Errorf("%d appends in the busiest second of an overload", over.maxAppendsPerSecond)
	}
}
