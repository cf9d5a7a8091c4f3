package scheduler

import (
	"math"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/currantwinch/currantwinch/internal/events"
	"github.com/currantwinch/currantwinch/partition"
	"github.com/currantwinch/currantwinch/workload"
)

// Another daemon's question, handover or answer may be malformed, and so may a record. None
// of them may end the daemon that reads it, nor keep it from its own work.
func TestShards_MalformedInputHarmsNothing(t *testing.T) {
	h := newHarness(t, 1)
	h.answerAllPolls()
	sub := workload.Submission{ID: id2, Queue: testQueue, Service: testService, Spec: "x", Steps: []workload.Step{oneTask(1000)}}
	odd := workload.Progress{
		Steps: []workload.StepProgress{{Occurrence: -1, Step: 7, Done: []byte{255}}},
		Tasks: []workload.TaskProgress{{Index: 1 << 40, Run: -5}, {Run: math.MinInt, Exposure: &workload.Exposure{AgeMS: -1}}},
	}
	needs := [][]Need{nil, {{Count: -3}}, {{Count: math.MaxInt / 2, Task: workload.Resources{CPU: -1}}}, {{MaxPerServer: -1, Gang: true}}}
	h.do(func(c *Core) {
		c.TakeOver(Handover{Submission: sub, Number: math.MinInt, MaxRun: math.MinInt, Progress: odd}, func(Reply) {})
		c.TakeOver(Handover{Submission: sub, Number: math.MaxInt, Progress: odd}, func(Reply) {})
		if got := len(c.Room(RoomQuestion{Service: testService, Needs: needs}).Fits); got != len(needs) {
			t.Errorf("%d answers to %d needs", got, len(needs))
		}
		c.Room(RoomQuestion{Service: "unknown"})
		c.RoomAnswered(RoomQuestion{Needs: needs}, []RoomAnswer{{}, {Fits: make([]Fit, 9)}, {Fits: []Fit{9, 9, 9, 9}, FreeCPU: math.MinInt64}})
		c.HandoverCompleted("unknown", 1, nil)
		c.HeldCompleted(1, []string{id1}, nil, nil)
	})
	h.advance(time.Second)
	if got := h.status(h.runOne(id1, 1000).Order.Task.Submission); got != workload.StatusRunning {
		t.Errorf("status %q of a submission that came after that, want running", got)
	}
}

// The same for the records of a handover that an earlier owner has left.
func TestShards_MalformedRecordsHarmNothing(t *testing.T) {
	h := newHarness(t, 1)
	records := []partition.Record{
		{Key: string(keyHandover), Value: []byte{0xff}}, {Key: string(keyHandover) + id1, Value: []byte{1}},
		{Key: string(keyForward) + id1, Value: []byte{0xff, 0}}, recordOf(keyHandover, id2, workload.Handover{}),
		recordOf(keyForward, "", workload.Forward{To: -1, Number: -1, At: math.MinInt64}),
		recordOf(keyProgress, id2, workload.Progress{Tasks: []workload.TaskProgress{{Run: math.MaxInt}}}),
	}
	c := NewCore(2, h.bounds, records, events.Discard(), NewMetrics(metrics.NewSet()), h.now, h.wall)
	c.Configure(h.config)
	c.SetSharded(func(string) bool { return true })
	c.ResumeHandovers()
	for range 30 {
		h.now, h.wall = h.now.Add(time.Second), h.wall+1000
		c.SetTime(h.now, h.wall)
		c.Tick()
		c.Finish(true)
	}
	if len(c.departures) != 0 {
		t.Errorf("%d handovers from records that cannot be read, want none", len(c.departures))
	}
}
