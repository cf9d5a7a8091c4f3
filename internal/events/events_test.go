package events_test

import (
	"bytes"
	"flag"
	"log/slog"
	"os"
	"strings"
	"testing"

	"github.com/currantwinch/currantwinch/internal/events"
)

const catalogueFile = "../../docs/EVENTS.md"

var update = flag.Bool("update", false, "write docs/EVENTS.md from the catalogue")

func TestCatalogue_MatchesPage(t *testing.T) {
	want := events.Markdown()
	if *update {
		if err := os.WriteFile(catalogueFile, []byte(want), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	got, err := os.ReadFile(catalogueFile)
	if err != nil {
		t.Fatal(err)
	}
	if string(got) != want {
		t.Error("docs/EVENTS.md differs from the catalogue; run go test ./internal/events -update")
	}
}

func TestCatalogue_EntriesAreComplete(t *testing.T) {
	numbers := make(map[int]string)
	names := make(map[string]bool)
	for _, e := range events.All() {
		if other, ok := numbers[e.Number]; ok {
			t.Errorf("%s and %s have the same number %d", e.Name, other, e.Number)
		}
		if names[e.Name] {
			t.Errorf("name %s is used twice", e.Name)
		}
		numbers[e.Number], names[e.Name] = e.Name, true
		if e.Name != strings.ToLower(e.Name) || e.Meaning == "" {
			t.Errorf("event %d is incomplete: %+v", e.Number, e)
		}
		if e.Level >= slog.LevelWarn && e.Action == "" {
			t.Errorf("event %d has level %s but no Action for operators", e.Number, e.Level)
		}
	}
}

func TestLogger_WritesNumberAndAttributes(t *testing.T) {
	var out bytes.Buffer
	log := events.NewLogger(slog.New(slog.NewTextHandler(&out, nil))).With("daemon", "d1")
	log.Log(events.DutyFailed, "error", "boom")
	for _, want := range []string{"event=1005", "duty_failed", "error=boom", "daemon=d1", "level=ERROR"} {
		if !strings.Contains(out.String(), want) {
			t.Errorf("%q lacks %q", out.String(), want)
		}
	}
}
