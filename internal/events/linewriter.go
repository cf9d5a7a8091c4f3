package events

import "strings"

// maxLineBytes limits what is logged of a line written by a library. Libraries
// quote data from the network, which may be large.
const maxLineBytes = 1 << 10

// LineWriter is an io.Writer that logs each line written by a library as an event.
type LineWriter struct {
	// Logger gets one event per line, with Attrs and the line as attribute Field.
	Logger *Logger
	Event  Event
	Field  string
	Attrs  []any
}

// Write logs one line, truncated to maxLineBytes. It never returns an error.
func (w *LineWriter) Write(line []byte) (int, error) {
	text := strings.TrimSpace(string(line[:min(len(line), maxLineBytes)]))
	attrs := append(append([]any(nil), w.Attrs...), w.Field, strings.ToValidUTF8(text, "?"))
	w.Logger.Log(w.Event, attrs...)
	return len(line), nil
}
