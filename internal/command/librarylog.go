package command

import (
	"log"

	"github.com/currantwinch/currantwinch/internal/events"
)

// redirectLibraryLog redirects the process's standard logger, which libraries
// such as net/http write to, into events. The returned function restores it.
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
