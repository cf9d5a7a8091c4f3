package cli

import (
	"fmt"
	"io"

	"github.com/currantwinch/currantwinch/internal/operatorapi"
	"github.com/currantwinch/currantwinch/verdict"
	"github.com/pkg/errors"
)

// Exit codes of the command line.
const (
	exitOK         = 0
	exitFailed     = 1
	exitUsage      = 2
	exitRefused    = 3
	exitConflict   = 4
	exitNotRun     = 5
	exitMayHaveRun = 6
	exitNotInForce = 7
)

// errNotInForce is returned when the wait for an offset ends before all live
// daemons have applied it.
var errNotInForce = errors.New("accepted, not yet in force everywhere")

// report prints err and returns the exit code for its kind.
func report(stderr io.Writer, err error) int {
	fmt.Fprintf(stderr, "error: %v\n", err)
	var usage *usageError
	if errors.As(err, &usage) {
		return exitUsage
	}
	if errors.Is(err, errNotInForce) {
		return exitNotInForce
	}
	var failure *operatorapi.Error
	if errors.As(err, &failure) {
		return reportFailure(stderr, failure.Failure)
	}
	var verdictErr *verdict.Error
	if errors.As(err, &verdictErr) {
		return verdictCode(verdictErr.Verdict)
	}
	return exitFailed
}

func reportFailure(stderr io.Writer, f operatorapi.Failure) int {
	fmt.Fprintf(stderr, "verdict: %s, reason: %s\n", f.Verdict, f.Reason)
	for _, field := range f.Fields {
		fmt.Fprintf(stderr, "  line %d: %s: found %s, allowed %s\n", field.Line, field.Field, field.Found, field.Allowed)
	}
	if w := f.CurrentPublication; w != nil {
		fmt.Fprintf(stderr, "  in force: revision %d by %s of team %s at offset %d\n", w.Revision, w.Author, w.Team, w.Offset)
	}
	if f.Verdict == verdict.MayHaveRun && f.Key != "" {
		fmt.Fprintf(stderr, "  resolve it later: currantwinch outcome %s\n", f.Key)
	}
	switch f.Reason {
	case "bad_document":
		return exitUsage
	case "conflict":
		return exitConflict
	case "refused", "unknown_name":
		return exitRefused
	}
	return verdictCode(f.Verdict)
}

func verdictCode(v verdict.Verdict) int {
	switch v {
	case verdict.NotRun:
		return exitNotRun
	case verdict.MayHaveRun:
		return exitMayHaveRun
	}
	return exitFailed
}
