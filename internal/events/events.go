// Package events is the catalogue of everything the daemon logs. Each event
// has a number that never changes, and docs/EVENTS.md says what an operator
// does about it.
package events

import (
	"context"
	"log/slog"
	"time"
)

// Event is one entry of the catalogue.
type Event struct {
	// Number identifies the event for ever.
	Number int
	Level  slog.Level
	// Name is the log message, in lower snake case.
	Name string
	// Fields are the attributes that the event carries.
	Fields []string
	// Meaning says what happened.
	Meaning string
	// Action says what an operator does; empty means nothing.
	Action string
}

// Logger writes catalogued events.
type Logger struct {
	log *slog.Logger
	// limit bounds the lines of each event; nil means no bound.
	limit *limiter
}

// NewLogger returns a Logger that writes to log.
func NewLogger(log *slog.Logger) *Logger { return &Logger{log: log} }

// Discard returns a Logger that writes nothing.
func Discard() *Logger { return NewLogger(slog.New(slog.DiscardHandler)) }

// With returns a Logger that adds attributes to every event.
func (l *Logger) With(attrs ...any) *Logger {
	return &Logger{log: l.log.With(attrs...), limit: l.limit}
}

// Log writes one event. Attributes are alternating names and values, in the
// order of the event's Fields.
func (l *Logger) Log(e Event, attrs ...any) {
	ctx := context.Background()
	if !l.log.Enabled(ctx, e.Level) {
		return
	}
	if l.limit != nil {
		leftOut, ok := l.limit.allow(e.Number)
		if !ok {
			return
		}
		if leftOut > 0 {
			l.write(LinesSuppressed, "of", e.Number, "count", leftOut)
		}
	}
	l.write(e, attrs...)
}

func (l *Logger) write(e Event, attrs ...any) {
	r := slog.NewRecord(time.Now(), e.Level, e.Name, 0)
	r.AddAttrs(slog.Int("event", e.Number))
	r.Add(attrs...)
	_ = l.log.Handler().Handle(context.Background(), r)
}

// ErrorText is what an event says of an error that may be nil: nothing then.
func ErrorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// All returns the whole catalogue in the order of numbers. Each file of this
// package holds one area and its range of numbers.
func All() []Event {
	areas := [][]Event{daemonEvents, logEvents, ownershipEvents, requestEvents, placementEvents, submissionEvents}
	var all []Event
	for _, area := range areas {
		all = append(all, area...)
	}
	return all
}
