package command

import (
	"bytes"
	"encoding/json"
	"log"
	"log/slog"
	"strings"
	"testing"

	"github.com/currantwinch/currantwinch/internal/events"
)

func TestRedirectLibraryLog_WritesEvents(t *testing.T) {
	const longest = 1 << 10
	cases := []struct{ name, line, want string }{
		{"plain", "unsolicited response", "unsolicited response"},
		{"newline inside stays one event", "a\nb", "a\nb"},
		{"too long", strings.Repeat("x", 2*longest), strings.Repeat("x", longest)},
		{"not UTF-8", "a\xffb", "a?b"},
	}
	before := log.Writer()
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var out bytes.Buffer
			undo := redirectLibraryLog(events.NewLogger(slog.New(slog.NewJSONHandler(&out, nil))))
			log.Print(c.line)
			undo()
			var got struct{ Msg, Message string }
			if err := json.Unmarshal(out.Bytes(), &got); err != nil {
				t.Fatalf("%v: %s", err, out.Bytes())
			}
			if got.Msg != "library_message" || got.Message != c.want {
				t.Errorf("got %+v, want %q", got, c.want)
			}
			if log.Writer() != before {
				t.Error("the standard logger was not restored")
			}
		})
	}
}
