package scheduler

import (
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/currantwinch/currantwinch/crashloop"
	"github.com/currantwinch/currantwinch/internal/events"
	"github.com/currantwinch/currantwinch/partition"
	"github.com/currantwinch/currantwinch/workload"
)

// FuzzNewCore feeds stored progress to a new owner. A record that crashes the daemon that
// reads it would crash one owner of the partition after another.
func FuzzNewCore(f *testing.F) {
	for _, p := range []workload.Progress{
		{Steps: []workload.StepProgress{{Occurrence: -1}}},
		{Steps: []workload.StepProgress{{Step: 7, Done: []byte{255, 255}}}},
		{Tasks: []workload.TaskProgress{{Index: -1, Run: -5}}},
		{Tasks: []workload.TaskProgress{{Occurrence: 1, Step: -3, Index: 1 << 40}}},
		{Tasks: []workload.TaskProgress{{
			Run: 3, FailedRuns: []int{1, 1}, Crashes: &crashloop.History{Crashes: []crashloop.Crash{{Run: 1, Kind: 9}}, PassedTrials: -7, LongestMS: -1},
			Exposure: &workload.Exposure{Server: "s", Run: 2, AgeMS: -5, Trial: true},
		}}},
	} {
		data, err := workload.Encode(p)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, progress []byte) {
		sub := workload.Submission{ID: id1, Queue: testQueue, Service: testService, Spec: "x", Steps: []workload.Step{oneTask(1000), oneTask(500)}}
		gang := oneTask(100)
		gang.Count, gang.Gang = 3, true
		sub.Steps = append(sub.Steps, gang)
		records := []partition.Record{
			recordOf(keyAccepted, id1, sub),
			recordOf(keyServer, "s", workload.ServerRecord{Service: testService, Address: "10.0.0.1:80"}),
			{Key: string(keyProgress) + id1, Value: progress},
		}
		now := time.Unix(1_700_000_000, 0)
		c := NewCore(2, Bounds{MaxLease: time.Second}, records, events.Discard(), NewMetrics(metrics.NewSet()), now, now.UnixMilli())
		c.PollAll()
		c.Finish(true)
		for born := int64(1); born <= 2; born++ {
			c.PollCompleted(c.servers["s"].instance(), now, PollResponse{ClockMS: 5 * born, StartedAtMS: born}, nil)
		}
		c.Finish(true)
	})
}
