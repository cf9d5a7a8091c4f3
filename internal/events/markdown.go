package events

import (
	"fmt"
	"strings"
)

// Markdown returns the catalogue as the contents of docs/EVENTS.md.
func Markdown() string {
	var b strings.Builder
	b.WriteString("# Events\n\nEvery log line carries `event`, its number, which never changes.\n`currantwinch explain NUMBER` prints the same text.\n\n")
	b.WriteString("| event | level | name | fields | meaning | what an operator does |\n| --- | --- | --- | --- | --- | --- |\n")
	for _, e := range All() {
		action := e.Action
		if action == "" {
			action = "nothing"
		}
		fmt.Fprintf(&b, "| %d | %s | `%s` | %s | %s | %s |\n", e.Number, e.Level, e.Name, strings.Join(e.Fields, ", "), e.Meaning, action)
	}
	return b.String()
}
