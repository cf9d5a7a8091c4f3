// Package events defines the catalogue of all events that a daemon logs, and
// the logger that writes them. The number of an event never changes.
// docs/EVENTS.md, generated from the catalogue, tells operators what to do.
package events

import (
	"context"
	"log/slog"
	"time"
)

// Event is one entry of the catalogue. It is logged with Logger.Log.
type Event struct {
	// Number identifies the event. It is never changed or reused.
	Number int
	Level  slog.Level
	// Name is the log message, in lower snake case.
	Name string
	// Fields are the names of the event's attributes.
	Fields []string
	// Meaning describes what happened.
	Meaning string
	// Action describes what an operator should do; empty means nothing.
	Action string
}

// Logger writes catalogued events.
type Logger struct {
	log *slog.Logger
	// limit limits the lines of each event; nil means no limit.
	limit *rateLimiter
}

// NewLogger returns a Logger that writes to log without a rate limit.
func NewLogger(log *slog.Logger) *Logger { return &Logger{log: log} }

// Discard returns a Logger that writes nothing.
func Discard() *Logger { return NewLogger(slog.New(slog.DiscardHandler)) }

// With returns a Logger that adds attributes to every event.
func (l *Logger) With(attrs ...any) *Logger {
	return &Logger{log: l.log.With(attrs...), limit: l.limit}
}

// Log writes one event. attrs are alternating names and values, in the order of
// the event's Fields.
func (l *Logger) Log(e Event, attrs ...any) {
	ctx := context.Background()
	if !l.log.Enabled(ctx, e.Level) {
		return
	}
	if l.limit != nil {
		suppressed, ok := l.limit.allow(e.Number)
		if !ok {
			return
		}
		if suppressed > 0 {
			l.write(LinesSuppressed, "of", e.Number, "count", suppressed)
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

// ErrorText returns the text of err, or an empty string if err is nil.
func ErrorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// All returns the whole catalogue, area by area. The events of each area share a
// range of numbers.
func All() []Event {
	areas := [][]Event{daemonEvents, logEvents, ownershipEvents, requestEvents, placementEvents, submissionEvents, intakeEvents}
	var all []Event
	for _, area := range areas {
		all = append(all, area...)
	}
	return all
}
