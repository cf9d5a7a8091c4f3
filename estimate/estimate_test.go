package estimate_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/currantwinch/currantwinch/estimate"
)

var start = time.Unix(0, 0)

// observe records n measurements of one caller, a second apart.
func observe(e *estimate.Estimator, kind, caller string, n int, runTime time.Duration) {
	for i := range n {
		now := start.Add(time.Duration(i) * time.Second)
		e.Observe(estimate.Key{Service: "s", Kind: kind, Caller: caller}, runTime, now)
	}
}

// newTrained returns an Estimator with measurements of short checks and long
// reviews by ten callers.
func newTrained() *estimate.Estimator {
	e := estimate.New(estimate.Options{})
	for i := range 100 {
		caller := fmt.Sprintf("c%d", i%10)
		observe(e, "check", caller, 2, 20*time.Millisecond)
		observe(e, "review", caller, 2, 400*time.Millisecond)
	}
	return e
}

func predict(e *estimate.Estimator, kind, caller string) estimate.Prediction {
	return e.Predict(estimate.Key{Service: "s", Kind: kind, Caller: caller})
}

func TestEstimator_Classes(t *testing.T) {
	cases := []struct {
		name   string
		before func(*estimate.Estimator)
		kind   string
		caller string
		class  estimate.Class
		source estimate.Source
	}{
		{"known caller's check", nil, "check", "c1", estimate.Short, estimate.SourceCaller},
		{"known caller's review", nil, "review", "c1", estimate.Long, estimate.SourceCaller},
		{"new caller inherits the kind", nil, "review", "new", estimate.Long, estimate.SourceKind},
		{"unknown kind is long", nil, "other", "new", estimate.Long, estimate.SourceDefault},
		{"declared until measured", func(e *estimate.Estimator) {
			e.Declare("s", "audit", time.Millisecond)
		}, "audit", "new", estimate.Short, estimate.SourceDeclared},
		{"measurements override a wrong declaration", func(e *estimate.Estimator) {
			e.Declare("s", "audit", time.Millisecond)
			observe(e, "audit", "c1", 8, time.Second)
		}, "audit", "c1", estimate.Long, estimate.SourceCaller},
		{"caller with long checks is classified by its own measurements", func(e *estimate.Estimator) {
			observe(e, "check", "liar", 8, 400*time.Millisecond)
		}, "check", "liar", estimate.Long, estimate.SourceCaller},
		{"caller with long checks does not change the class for others", func(e *estimate.Estimator) {
			for range 20 {
				observe(e, "check", "liar", 20, 400*time.Millisecond)
				for i := range 10 {
					observe(e, "check", fmt.Sprintf("c%d", i), 1, 20*time.Millisecond)
				}
			}
		}, "check", "new", estimate.Short, estimate.SourceKind},
		{"many very long requests of one caller do not make reviews short", func(e *estimate.Estimator) {
			observe(e, "review", "flooder", 10000, 20*time.Second)
		}, "review", "c1", estimate.Long, estimate.SourceCaller},
		{"few outliers do not change the class", func(e *estimate.Estimator) {
			for range 20 {
				observe(e, "check", "c1", 49, 20*time.Millisecond)
				observe(e, "check", "c1", 1, time.Second)
			}
		}, "check", "c1", estimate.Short, estimate.SourceCaller},
		{"class follows a change of run times", func(e *estimate.Estimator) {
			observe(e, "check", "c1", 256, 400*time.Millisecond)
		}, "check", "c1", estimate.Long, estimate.SourceCaller},
	}
	for _, c := range cases {
		e := newTrained()
		if c.before != nil {
			c.before(e)
		}
		got := predict(e, c.kind, c.caller)
		if got.Class != c.class || got.Source != c.source {
			t.Errorf("%s: got %v from %v, want %v from %v", c.name, got.Class, got.Source, c.class, c.source)
		}
	}
}

func TestEstimator_QuantileAccuracy(t *testing.T) {
	e := estimate.New(estimate.Options{})
	for i := range 100 {
		observe(e, "k", "c", 1, time.Duration(i+1)*10*time.Millisecond)
	}
	p := predict(e, "k", "c")
	for _, c := range []struct{ got, want time.Duration }{{p.P50, 500 * time.Millisecond}, {p.P95, 950 * time.Millisecond}} {
		if ratio := float64(c.got) / float64(c.want); ratio < 0.8 || ratio > 1.25 {
			t.Errorf("got %v, want about %v", c.got, c.want)
		}
	}
}

// A caller or kind whose measured run times cause all of its requests to be
// refused gets no new measurements. Without decay it would be refused forever.
func TestEstimator_MeasurementsDecayWithoutRequests(t *testing.T) {
	e := newTrained()
	e.Declare("s", "check", 20*time.Millisecond)
	for range 20 {
		for i := range 10 {
			observe(e, "check", fmt.Sprintf("c%d", i), 10, time.Minute)
		}
	}
	for i := range 10000 {
		if predict(e, "check", fmt.Sprintf("c%d", i%10)).P50 < time.Second {
			return
		}
	}
	t.Error("prediction did not fall below 1 s in 10000 predictions without a measurement")
}

func TestEstimator_MemoryIsBounded(t *testing.T) {
	e := estimate.New(estimate.Options{MaxKeys: 100})
	for i := range 1000 {
		observe(e, "check", fmt.Sprint(i), 1, time.Millisecond)
	}
	if e.Keys() != 100 {
		t.Fatalf("%d callers with measurements, want 100", e.Keys())
	}
	e.Forget("s")
	if e.Keys() != 0 {
		t.Fatalf("%d callers of a removed service still have measurements", e.Keys())
	}
}

func BenchmarkEstimator_ObserveAndPredict(b *testing.B) {
	e := newTrained()
	key := estimate.Key{Service: "s", Kind: "check", Caller: "c1"}
	b.ReportAllocs()
	for b.Loop() {
		e.Observe(key, 20*time.Millisecond, start)
		e.Predict(key)
	}
}
