package command

import (
	"log"

	"github.com/currantwinch/currantwinch/internal/events"
)

// redirectLibraryLog turns what libraries write to the standard logger of the
// process, such as the HTTP client, into events. It returns how to undo that.
func redirectLibraryLog(l *events.Logger) (undo func()) {
	out, flags, prefix := log.Writer(), log.Flags(), log.Prefix()
	log.SetOutput(&events.LineWriter{Logger: l, Event: events.LibraryMessage, Field: "message"})
	log.SetFlags(0)
	log.SetPrefix("")
	return func() {
		log.SetOutput(out)
		log.SetFlags(flags)
		log.SetPrefix(prefix)
	}
}
