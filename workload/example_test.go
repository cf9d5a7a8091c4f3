package workload_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/currantwinch/currantwinch/workload"
)

func ExampleSubmission_Due() {
	s := workload.Submission{FirstRun: 1_000_000, Interval: 90 * time.Second, Repeat: 3}
	for k := range s.Occurrences() {
		fmt.Println(s.Due(k))
	}
	// Output:
	// 1000000
	// 1090000
	// 1180000
}

func TestResources_FitCount(t *testing.T) {
	need := workload.Resources{CPU: 9000, MemoryMB: 4000}
	for _, c := range []struct {
		free  workload.Resources
		limit int
		want  int
	}{
		{workload.Resources{CPU: 32000, MemoryMB: 64000}, 9, 3},
		{workload.Resources{CPU: 32000, MemoryMB: 64000}, 2, 2},
		{workload.Resources{CPU: 32000, MemoryMB: 3999}, 9, 0},
		{workload.Resources{CPU: -1, MemoryMB: 64000}, 9, 0},
		{workload.Resources{CPU: 32000, MemoryMB: 64000, GPU: -1}, 9, 0},
	} {
		if got := need.FitCount(c.free, c.limit); got != c.want {
			t.Errorf("%+v at most %d: %d, want %d", c.free, c.limit, got, c.want)
		}
	}
}

func TestTaskID_RoundTrip(t *testing.T) {
	id := workload.TaskID{Submission: "00000000000000a1", Occurrence: 2, Step: 1, Index: 17}
	if got, ok := workload.ParseTaskID(id.String()); !ok || got != id {
		t.Errorf("got %+v, %t", got, ok)
	}
	for _, bad := range []string{"", "a.1.2", "a.1.2.3.4", "a.x.2.3", "a.1.-2.3"} {
		if _, ok := workload.ParseTaskID(bad); ok {
			t.Errorf("%q was accepted", bad)
		}
	}
}

func TestSubmission_Validate(t *testing.T) {
	step := workload.Step{Count: 1}
	good := workload.Submission{ID: "00000000000000a1", Steps: []workload.Step{step}}
	if err := good.Validate(); err != nil {
		t.Error(err)
	}
	for name, change := range map[string]func(s *workload.Submission){
		"ID":              func(s *workload.Submission) { s.ID = "xyz" },
		"no steps":        func(s *workload.Submission) { s.Steps = nil },
		"no tasks":        func(s *workload.Submission) { s.Steps = []workload.Step{{}} },
		"negative size":   func(s *workload.Submission) { s.Steps = []workload.Step{{Count: 1, Need: workload.Resources{CPU: -1}}} },
		"later step":      func(s *workload.Submission) { s.Steps = []workload.Step{{Count: 1, After: []int{1}}, step} },
		"too many tasks":  func(s *workload.Submission) { s.Steps = []workload.Step{{Count: 60_000}}; s.Repeat = 2 },
		"negative repeat": func(s *workload.Submission) { s.Repeat = -1 },
	} {
		s := good
		change(&s)
		if s.Validate() == nil {
			t.Errorf("%s: no error", name)
		}
	}
}

func TestProgress_RoundTrip(t *testing.T) {
	want := workload.Progress{
		Steps: []workload.StepProgress{{Step: 1, Done: []byte{5}}},
		Tasks: []workload.TaskProgress{{Index: 3, Run: 4, FailedRuns: []int{1, 3}, Checkpoint: "c"}},
	}
	data, err := workload.Encode(want)
	if err != nil {
		t.Fatal(err)
	}
	var got workload.Progress
	if err := workload.Decode(data, &got); err != nil || fmt.Sprint(got) != fmt.Sprint(want) {
		t.Errorf("%+v, %v", got, err)
	}
}
