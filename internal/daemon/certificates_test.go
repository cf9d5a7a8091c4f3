package daemon

import (
	"bytes"
	"log/slog"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/currantwinch/currantwinch/internal/certs"
	"github.com/currantwinch/currantwinch/internal/events"
	"github.com/currantwinch/currantwinch/internal/standin/testca"
)

func TestCertificateMonitor_Events(t *testing.T) {
	now := time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
	clock := func() time.Time { return now }
	cell, err := testca.NewCellAuthorities(t.TempDir(), clock)
	if err != nil {
		t.Fatal(err)
	}
	var files certs.Files
	issue := func(days int) {
		if files, err = cell.Daemon(testca.Request{Name: "a", NotAfter: now.Add(time.Duration(days) * 24 * time.Hour)}); err != nil {
			t.Fatal(err)
		}
	}
	issue(9)
	store, err := certs.Open(files, "a", clock)
	if err != nil {
		t.Fatal(err)
	}
	var out bytes.Buffer
	w := &certificateMonitor{store: store, now: clock, events: events.NewLogger(slog.New(slog.NewTextHandler(&out, nil)))}
	steps := []struct {
		name   string
		after  time.Duration
		change func()
		want   []string
	}{
		{"expires within two weeks", 0, func() {}, []string{"certificate_expires"}},
		{"already warned", time.Hour, func() {}, nil},
		{"a day later", 24 * time.Hour, func() {}, []string{"certificate_expires"}},
		{"renewed, still expires soon", time.Minute, func() { issue(8) }, []string{"certificate_renewed", "certificate_expires"}},
		{"spoilt", time.Minute, func() { _ = os.WriteFile(files.Key, nil, 0o600) }, []string{"certificate_unusable"}},
		{"still corrupt", time.Minute, func() {}, nil},
		{"mended", time.Minute, func() { issue(9) }, []string{"certificate_renewed", "certificate_expires"}},
	}
	for _, step := range steps {
		now = now.Add(step.after)
		step.change()
		out.Reset()
		w.check()
		got := out.String()
		if strings.Count(got, "\n") != len(step.want) {
			t.Errorf("%s: events %q, want %v", step.name, got, step.want)
		}
		for _, name := range step.want {
			if !strings.Contains(got, name) {
				t.Errorf("%s: events %q, want %s", step.name, got, name)
			}
		}
	}
}
