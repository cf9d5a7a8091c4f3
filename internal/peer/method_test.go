package peer

import (
	"strings"
	"testing"
	"time"

	"github.com/currantwinch/currantwinch/internal/intake"
)

// A client of the port for daemons chooses the names of the methods that it calls. Answers that
// repeated names of 100 kB, and calls that counted without them, took a process of 72 MB beyond
// its memory beside other load.
func TestPeers_LongMethodNames(t *testing.T) {
	const length = 100_000
	method := strings.Repeat("m", length)
	if _, err := (&Peers{}).handle(t.Context(), "a", method, nil); err == nil || len(err.Error()) > 1000 {
		t.Errorf("error of %d bytes for a method of %d, want at most 1000", len(err.Error()), length)
	}
	s := &stream{messages: Messages{Received: intake.NewBudget(length/2, time.Now)}}
	if release, ok := s.holdCall(length); ok {
		release()
		t.Error("a call of twice the budget is held")
	}
}
