package events

import "strings"

// maxLine bounds what is kept of a line that a library wrote, in bytes.
// Libraries quote what they were sent.
const maxLine = 1 << 10

// LineWriter turns lines that a library logs into events.
type LineWriter struct {
	// Logger gets one event a line, with the line under Field after Attrs.
	Logger *Logger
	Event  Event
	Field  string
	Attrs  []any
}

// Write takes one line.
func (w *LineWriter) Write(line []byte) (int, error) {
	text := strings.TrimSpace(string(line[:min(len(line), maxLine)]))
	attrs := append(append([]any(nil), w.Attrs...), w.Field, strings.ToValidUTF8(text, "?"))
	w.Logger.Log(w.Event, attrs...)
	return len(line), nil
}
