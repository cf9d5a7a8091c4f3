package host_test

import (
	"log/slog"
	"net/http"
	"strings"
	"testing"

	"github.com/currantwinch/currantwinch/internal/events"
)

// Guards against a refusal of which nobody can tell afterwards by which version of the
// configuration it was given, on the daemon that was called and on the owner.
func TestHost_RefusedCallNamesItsVersions(t *testing.T) {
	var log logBuffer
	s := newDeployment(t, 1)
	s.events = events.NewLogger(slog.New(slog.NewTextHandler(&log, nil)))
	_, address := s.start()
	if status, _ := s.call("POST", address, "/none/"+id, work); status != http.StatusNotFound {
		t.Fatalf("status %d, want 404", status)
	}
	if status, _ := s.call("GET", address, "/q/00000000000000ff", ""); status != http.StatusGone {
		t.Fatalf("status %d, want 410", status)
	}
	for _, want := range []string{"status=404 reason=no_queue", "status=410 reason=no_submission"} {
		line := lineWith(log.String(), want)
		owner := "ownerVersion=0"
		if strings.Contains(want, "410") {
			owner = "ownerVersion=1"
		}
		if !strings.Contains(line, " version=1 unconfirmed=") || !strings.Contains(line, owner) {
			t.Errorf("line %q, want version 1 and %s", line, owner)
		}
	}
	if line := lineWith(log.String(), "configuration_taken"); !strings.Contains(line, `from=""`) || !strings.Contains(line, "offset=0") {
		t.Errorf("line %q, want the store as the source, and its offset", line)
	}
	if _, text := s.call("GET", s.ready, "/metrics", ""); !strings.Contains(text, "currantwinch_configuration_version 1\n") || !strings.Contains(text, "currantwinch_configuration_unconfirmed_seconds") {
		t.Error("the metrics lack the version of the configuration, or its age")
	}
}

// lineWith returns the first line that contains a text.
func lineWith(log, text string) string {
	for line := range strings.Lines(log) {
		if strings.Contains(line, text) {
			return line
		}
	}
	return ""
}
