package document_test

import (
	"strings"
	"testing"
	"time"

	"github.com/currantwinch/currantwinch/cluster"
	"github.com/currantwinch/currantwinch/document"
	"github.com/currantwinch/currantwinch/strictjson"
	"github.com/google/go-cmp/cmp"
)

const validDocument = `// The checks service.
{
	"format": 1,
	"service": "checks",
	"team": "search",
	"requests": {
		"pool": "runners",
		"kinds": [{"name": "check", "repeatable": true, "deadline": "2s"}],
		"callerRate": 2.5,
	},
	"workloads": [
		{"name": "review", "class": "batch", "count": 2, "runTime": "5m",
		 "resources": {"cpu": "1500m", "memory": "2GiB", "accelerators": 1}},
	],
	"quota": {"guaranteed": {"cpu": "8"}, "limit": {"cpu": "16", "memory": "64GiB"}},
}`

func TestParse_AppliesDefaults(t *testing.T) {
	got, err := document.Parse([]byte(validDocument))
	if err != nil {
		t.Fatal(err)
	}
	want := &document.Document{
		Format: 1, Service: "checks", Team: "search",
		Requests: &document.Requests{
			Pool:       "runners",
			Kinds:      []document.RequestKind{{Name: "check", Repeatable: true, Deadline: document.Duration(2 * time.Second)}},
			CallerRate: 2.5, CallerBurst: 3, MaxQueued: 1024, MaxBodyBytes: 1 << 20, MaxResponseBytes: 4 << 20,
		},
		Workloads: []document.Workload{{
			Name: "review", Class: document.ClassBatch, Priority: document.PriorityNormal, Start: document.StartSubmitted,
			Count: 2, Resources: cluster.Resources{CPU: 1500, Memory: 2 << 30, Accelerators: 1},
			RunTime: document.Duration(5 * time.Minute), MaxAttempts: 3,
		}},
		Quota: document.Quota{
			Weight: 1, Guaranteed: cluster.Resources{CPU: 8000}, Limit: cluster.Resources{CPU: 16000, Memory: 64 << 30},
		},
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
}

func TestParse_Errors(t *testing.T) {
	replace := func(old, text string) string {
		if !strings.Contains(validDocument, old) {
			t.Fatalf("%q is not in the document", old)
		}
		return strings.Replace(validDocument, old, text, 1)
	}
	cases := []struct {
		name, text string
		line       int
		field      string
	}{
		{"unknown field", replace(`"pool"`, `"pol": 1, "pool"`), 7, "requests.pol"},
		{"field twice", replace(`"pool"`, `"pool": "a", "pool"`), 7, "requests.pool"},
		{"wrong type", replace(`"count": 2`, `"count": "2"`), 12, "workloads[0].count"},
		{"fraction", replace(`"count": 2`, `"count": 2.5`), 12, "workloads[0].count"},
		{"null", replace(`"search"`, `null`), 5, "team"},
		{"no unit of time", replace(`"5m"`, `5`), 12, "workloads[0].runTime"},
		{"bad unit of time", replace(`"5m"`, `"5 minutes"`), 12, "workloads[0].runTime"},
		{"no unit of memory", replace(`"2GiB"`, `"2"`), 13, "workloads[0].resources.memory"},
		{"number for cpu", replace(`"1500m"`, `1500`), 13, "workloads[0].resources.cpu"},
		{"too much memory", replace(`"2GiB"`, `"99999999TiB"`), 13, "workloads[0].resources.memory"},
		{"negative accelerators", replace(`"accelerators": 1`, `"accelerators": -1`), 13, "workloads[0].resources.accelerators"},
		{"unknown word", replace(`"batch"`, `"job"`), 12, "workloads[0].class"},
		{"bad name", replace(`"review"`, `"Review"`), 12, "workloads[0].name"},
		{"missing service", replace(`"service": "checks",`, ``), 2, "service"},
		{"future format", replace(`"format": 1`, `"format": 2`), 3, "format"},
		{"the daemons' team", replace(`"search"`, `"system"`), 5, "team"},
		{"guaranteed over limit", replace(`"cpu": "8"`, `"cpu": "17"`), 15, "quota.guaranteed"},
		{"no count", replace(`"count": 2, `, ``), 12, "workloads[0].count"},
		{"syntax", replace(`"team":`, `"team"`), 5, ""},
		{"too deep", strings.Repeat("[", 13), 1, ""},
		{"too large", strings.Repeat(" ", document.MaxBytes+1), 1, ""},
		{"empty", "", 1, ""},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			_, err := document.Parse([]byte(c.text))
			errs, ok := strictjson.AsErrors(err)
			if !ok || len(errs) != 1 {
				t.Fatalf("want one field error, got %v", err)
			}
			if errs[0].Line != c.line || errs[0].Field != c.field {
				t.Errorf("got %s, want line %d, field %q", errs[0], c.line, c.field)
			}
		})
	}
}

func TestParse_ReportsAllErrors(t *testing.T) {
	text := strings.NewReplacer(`"2s"`, `2`, `"batch"`, `"job"`, `"2GiB"`, `2`, `"count": 2`, `"count": 0`).Replace(validDocument)
	_, err := document.Parse([]byte(text))
	errs, _ := strictjson.AsErrors(err)
	var fields []string
	for _, e := range errs {
		fields = append(fields, e.Field)
	}
	want := []string{"requests.kinds[0].deadline", "workloads[0].class", "workloads[0].count", "workloads[0].resources.memory"}
	if diff := cmp.Diff(want, fields); diff != "" {
		t.Errorf("%s\n%v", diff, err)
	}
}

func TestDiff_ChangedFields(t *testing.T) {
	a, err := document.Parse([]byte(validDocument))
	if err != nil {
		t.Fatal(err)
	}
	b, err := document.Parse([]byte(strings.NewReplacer(`"2GiB"`, `"512MiB"`, `"2s"`, `"3s"`).Replace(validDocument)))
	if err != nil {
		t.Fatal(err)
	}
	want := []document.Change{
		{Field: "requests.kinds[check].deadline", Before: "2s", After: "3s"},
		{Field: "workloads[review].resources.memory", Before: "2GiB", After: "512MiB"},
	}
	if diff := cmp.Diff(want, document.Diff(a, b)); diff != "" {
		t.Error(diff)
	}
	if n := len(document.Diff(nil, a)); n < 10 {
		t.Errorf("diff of a new document: got %d changes, want at least 10", n)
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(validDocument))
	f.Add([]byte(`{"format": 1, "service": "a", "team": "b"}`))
	f.Add([]byte(`{"format": 1, /* x */ "workloads": [{"resources": {"cpu": "1m"}}]} // end`))
	f.Add([]byte("{\"a\\\"\n[[[[[[[[[[[[["))
	f.Fuzz(func(t *testing.T, text []byte) {
		doc, err := document.Parse(text)
		if err != nil {
			errs, ok := strictjson.AsErrors(err)
			if !ok || len(errs) == 0 {
				t.Fatalf("parse error without field errors: %v", err)
			}
			for _, e := range errs {
				if e.Line < 1 || e.Line > 1+strings.Count(string(text), "\n") {
					t.Fatalf("error reports line %d, which is not in the text", e.Line)
				}
			}
			return
		}
		if changes := document.Diff(doc, doc); len(changes) > 0 {
			t.Fatalf("diff of a document with itself: got %v, want no changes", changes)
		}
	})
}
