package document_test

import (
	"encoding/json"
	"flag"
	"os"
	"reflect"
	"regexp"
	"testing"
	"time"

	"github.com/currantwinch/currantwinch/document"
	"github.com/google/go-cmp/cmp"
)

var update = flag.Bool("update", false, "write docs/document.schema.json anew")

const schemaFile = "../docs/document.schema.json"

func TestSchema_MatchesTypes(t *testing.T) {
	got, err := json.MarshalIndent(document.Schema(), "", "  ")
	if err != nil {
		t.Fatal(err)
	}
	got = append(got, '\n')
	if *update {
		if err := os.WriteFile(schemaFile, got, 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(schemaFile)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(string(want), string(got)); diff != "" {
		t.Errorf("run go test ./document -update: %s", diff)
	}
}

// TestSchema_AgreesWithParse checks that the schema's patterns accept exactly
// the texts that the parsers accept.
func TestSchema_AgreesWithParse(t *testing.T) {
	root := document.Schema()
	workload := root.Properties["workloads"].Items
	pattern := func(n *document.SchemaNode) func(string) bool { return regexp.MustCompile(n.Pattern).MatchString }
	cases := []struct {
		name    string
		matches func(string) bool
		parses  func(string) bool
		texts   []string
	}{
		{"cpu", pattern(workload.Properties["resources"].Properties["cpu"]),
			func(s string) bool { _, ok := document.ParseCPU(s); return ok }, []string{"1", "500m", "m", "", "1.5", "-1", "1 "}},
		{"memory", pattern(workload.Properties["resources"].Properties["memory"]),
			func(s string) bool { _, ok := document.ParseMemory(s); return ok }, []string{"1GiB", "0B", "1", "GiB", "1GB", "1.5GiB", "+1B"}},
		{"duration", pattern(workload.Properties["runTime"]),
			func(s string) bool { d, err := time.ParseDuration(s); return err == nil && d >= 0 && s != "0" },
			[]string{"1s", "1m30s", "1.5h", "1", "-1s", "", "1d"}},
	}
	for _, c := range cases {
		for _, text := range c.texts {
			if c.matches(text) != c.parses(text) {
				t.Errorf("%s %q: schema %v, parser %v", c.name, text, c.matches(text), c.parses(text))
			}
		}
	}
	if n := reflect.TypeFor[document.Workload]().NumField(); n != len(workload.Properties) {
		t.Errorf("the schema has %d workload properties, the Go type %d fields", len(workload.Properties), n)
	}
}
