package usage_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/currantwinch/currantwinch/cluster"
	"github.com/currantwinch/currantwinch/document"
	"github.com/currantwinch/currantwinch/placement/book"
	"github.com/currantwinch/currantwinch/placement/usage"
	"pgregory.net/rapid"
)

var now = time.Unix(1000, 0)

func amount(cpu, memory int64) cluster.Resources { return cluster.Resources{CPU: cpu, Memory: memory} }

func task(name string, declared, used cluster.Resources, f func(*usage.Task)) usage.Task {
	t := usage.Task{
		ID: book.ID{Job: name}, Class: document.ClassBatch, Declared: declared, Used: used,
		ReportAge: 5 * time.Second, RunTime: time.Minute,
	}
	if t.ExceedsDeclared() {
		t.ExceededSince = now.Add(-time.Minute)
	}
	if f != nil {
		f(&t)
	}
	return t
}

func TestDecide_Cases(t *testing.T) {
	within := task("within", amount(50, 50), amount(40, 50), nil)
	cpu := task("cpu", amount(40, 40), amount(60, 40), nil)
	memory := task("memory", amount(40, 40), amount(40, 60), nil)
	service := task("service", amount(40, 40), amount(40, 70), func(t *usage.Task) { t.Class = document.ClassService })
	cases := []struct {
		name  string
		tasks []usage.Task
		want  string
	}{
		{"within its size", []usage.Task{within}, "[]"},
		{"a little over is tolerated", []usage.Task{task("a", amount(100, 10), amount(105, 10), nil)}, "[]"},
		{"over CPU is throttled first", []usage.Task{cpu}, "[cpu:1]"},
		{"no longer over is unthrottled", []usage.Task{task("a", amount(40, 40), amount(40, 40), func(t *usage.Task) { t.Throttled = true })}, "[a:2]"},
		{"memory over without pressure", []usage.Task{memory}, "[]"},
		{"memory over under pressure", []usage.Task{memory, within}, "[memory:3]"},
		{"lowest class first, and no more than needed", []usage.Task{service, memory}, "[memory:3]"},
		{"a task within its size is never stopped", []usage.Task{within, task("b", amount(50, 60), amount(50, 60), nil)}, "[]"},
		{"not before the stop delay", []usage.Task{within, task("m", amount(40, 40), amount(40, 60), func(t *usage.Task) { t.ExceededSince = now })}, "[]"},
		{"a task without a report counts with its declared size", []usage.Task{memory, task("y", amount(40, 40), amount(0, 0), func(t *usage.Task) { t.RunTime = time.Second })}, "[memory:3]"},
	}
	for _, c := range cases {
		got := []string{}
		for _, a := range usage.Decide(amount(100, 100), c.tasks, now) {
			got = append(got, fmt.Sprintf("%s:%d", a.ID.Job, a.Kind))
		}
		if fmt.Sprint(got) != c.want {
			t.Errorf("%s: got %v, want %s", c.name, got, c.want)
		}
	}
}

// For any measurements, the estimated size is at least the declared size and at
// most the worker's capacity.
func TestEstimates_NeverBelowDeclared(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		e := usage.NewEstimates(4)
		most := amount(1000, 1000)
		declared := amount(rapid.Int64Range(1, 1000).Draw(t, "cpu"), rapid.Int64Range(1, 1000).Draw(t, "mem"))
		for range rapid.IntRange(0, 100).Draw(t, "n") {
			e.Add(usage.Key{}, usage.Sample{Peak: amount(rapid.Int64Range(0, 5000).Draw(t, "c"), rapid.Int64Range(0, 5000).Draw(t, "m"))})
		}
		got := e.Size(usage.Key{}, declared, most)
		if !declared.Fits(got) || !got.Fits(most) {
			t.Fatalf("declared %+v, estimated %+v", declared, got)
		}
	})
}

func TestEstimates_LearnAndEvict(t *testing.T) {
	e := usage.NewEstimates(1)
	k := usage.Key{Service: "s"}
	for i := range 100 {
		s := usage.Sample{Peak: amount(300, 10), RunTime: time.Minute}
		if i%50 == 0 {
			s.RunTime = 50 * time.Minute
		}
		e.Add(k, s)
	}
	if got := e.Size(k, amount(100, 100), amount(1000, 1000)); got != amount(300, 100) {
		t.Errorf("estimated size %+v, want CPU 300 and memory 100", got)
	}
	if got := e.RunTime(k, time.Hour); got != time.Minute {
		t.Errorf("two outliers in a hundred move the run time to %v, want 1m0s", got)
	}
	e.Add(usage.Key{Service: "other"}, usage.Sample{})
	if got := e.RunTime(k, time.Hour); got != time.Hour {
		t.Errorf("evicted workload still has an estimate: %v", got)
	}
}

func Example() {
	tasks := []usage.Task{{ID: book.ID{Job: "greedy"}, Declared: amount(100, 10), Used: amount(250, 10), RunTime: time.Minute}}
	fmt.Println(usage.Decide(amount(1000, 1000), tasks, now)[0].Kind == usage.Throttle)
	// Output: true
}
