package state

import (
	"fmt"
	"strings"

	"github.com/currantwinch/currantwinch/document"
	"github.com/currantwinch/currantwinch/logclient"
	"github.com/currantwinch/currantwinch/record"
)

// newLogEntry returns a decoded record with its author and team. It replaces
// bytes of the author that are not valid UTF-8, since a snapshot could not
// hold them.
func newLogEntry(stored logclient.StoredRecord, r record.Record) logEntry {
	stored.Author = strings.ToValidUTF8(stored.Author, "?")
	team, _, _ := strings.Cut(stored.Author, "/")
	return logEntry{StoredRecord: stored, Record: r, team: team}
}

// requireDaemonAuthor refuses a record that only daemons may write, if its
// author is not a daemon.
func (s *State) requireDaemonAuthor(e logEntry) (refused string) {
	if e.team == document.SystemTeam {
		return ""
	}
	return fmt.Sprintf("author %s is not a daemon", e.Author)
}

// requireTeam refuses a record by an author who does not belong to the owning
// team.
func requireTeam(e logEntry, owner string) (refused string) {
	if e.team == owner && e.team != document.SystemTeam {
		return ""
	}
	return fmt.Sprintf("author %s is not of team %s", e.Author, owner)
}

// BySystem reports whether a daemon appended the record, according to the
// author that the log states.
func BySystem(stored logclient.StoredRecord) bool {
	team, _, _ := strings.Cut(stored.Author, "/")
	return team == document.SystemTeam
}
