package state

import (
	"fmt"
	"strings"

	"github.com/currantwinch/currantwinch/document"
	"github.com/currantwinch/currantwinch/logclient"
	"github.com/currantwinch/currantwinch/record"
)

// newEntry cleans the author of bytes that a snapshot could not hold.
func newEntry(stored logclient.StoredRecord, r record.Record) entry {
	stored.Author = strings.ToValidUTF8(stored.Author, "?")
	team, _, _ := strings.Cut(stored.Author, "/")
	return entry{StoredRecord: stored, Record: r, team: team}
}

// checkSystem refuses a record of the daemons' own kinds by anyone else.
func (s *State) checkSystem(e entry) (refused string) {
	if e.team == document.SystemTeam {
		return ""
	}
	return fmt.Sprintf("author %s is not a daemon", e.Author)
}

// checkTeam refuses a record by an author who is not of the owning team.
func checkTeam(e entry, owner string) (refused string) {
	if e.team == owner && e.team != document.SystemTeam {
		return ""
	}
	return fmt.Sprintf("author %s is not of team %s", e.Author, owner)
}

// BySystem reports whether a daemon appended the record, as the log states.
func BySystem(stored logclient.StoredRecord) bool {
	team, _, _ := strings.Cut(stored.Author, "/")
	return team == document.SystemTeam
}
