// Package strictjson decodes JSON with comments into Go values. It rejects
// unknown and repeated fields, wrong types, and texts that exceed the limits on
// size and nesting. It reports all errors at once, each with its line and field.
// Packages that read documents and settings use it.
package strictjson

import (
	"fmt"
	"reflect"
	"sort"
	"strings"

	"github.com/pkg/errors"
	"github.com/tailscale/hujson"
)

// TypeFunc decodes v, the value at path, into a Go value of one type. It reports
// errors with Decoder.AddError.
type TypeFunc func(d *Decoder, path string, v hujson.Value, into reflect.Value)

// Types maps Go types whose text form is not plain JSON to their decoders.
type Types map[reflect.Type]TypeFunc

// Limits are checked before a text is parsed.
type Limits struct {
	// MaxBytes is the maximum size of the text.
	MaxBytes int
	// MaxDepth is the maximum nesting depth of objects and arrays.
	MaxDepth int
}

// FieldError describes one error in a text.
type FieldError struct {
	// Line is the line number, starting at 1.
	Line int `json:"line"`
	// Field is the path of the field, such as "workloads[0].count".
	Field string `json:"field"`
	// Found is the value in the text, shortened if it is long.
	Found string `json:"found"`
	// Allowed describes the allowed values.
	Allowed string `json:"allowed"`
}

// Error formats the error on one line.
func (e FieldError) Error() string {
	return fmt.Sprintf("line %d: %s: found %s, allowed: %s", e.Line, e.Field, e.Found, e.Allowed)
}

// Errors lists all errors in a text, sorted by line. It is never empty when it
// is returned as an error.
type Errors []FieldError

// Error formats the errors, one per line.
func (e Errors) Error() string {
	lines := make([]string, len(e))
	for i, f := range e {
		lines[i] = f.Error()
	}
	return strings.Join(lines, "\n")
}

// Decode decodes text into the struct that into points to. Fields that are
// missing in the text keep their values. The caller then validates the struct
// and adds the errors found with Report; Err returns all errors.
func Decode(text []byte, into any, limits Limits, types Types) *Decoder {
	d := &Decoder{text: text, types: types, lines: make(map[string]int)}
	if len(text) > limits.MaxBytes {
		d.errs = Errors{{Line: 1, Found: fmt.Sprintf("%d bytes", len(text)), Allowed: fmt.Sprintf("at most %d bytes", limits.MaxBytes)}}
		return d
	}
	if line, ok := tooDeep(text, limits.MaxDepth); ok {
		d.errs = Errors{{Line: line, Found: "deeper nesting", Allowed: fmt.Sprintf("at most %d levels", limits.MaxDepth)}}
		return d
	}
	root, err := hujson.Parse(text)
	if err != nil {
		d.errs = syntaxError(err)
		return d
	}
	d.parsed = true
	d.value("", root, reflect.ValueOf(into).Elem())
	d.decodeErrors = len(d.errs)
	return d
}

// Parsed reports whether the text is syntactically valid, so that the decoded
// value can be validated.
func (d *Decoder) Parsed() bool { return d.parsed }

// Err returns all errors, sorted by line, as an Errors, or nil if there are none.
func (d *Decoder) Err() error {
	if len(d.errs) == 0 {
		return nil
	}
	sort.SliceStable(d.errs, func(i, j int) bool { return d.errs[i].Line < d.errs[j].Line })
	return d.errs
}

// RecordLine records the line of v for path. A TypeFunc that decodes members by
// itself calls it for each of them.
func (d *Decoder) RecordLine(path string, v hujson.Value) { d.lines[path] = d.line(v.StartOffset) }

// AsErrors returns the Errors in err's chain, if any.
func AsErrors(err error) (Errors, bool) {
	var e Errors
	ok := errors.As(err, &e)
	return e, ok
}

func syntaxError(err error) Errors {
	line, column := 1, 0
	text := strings.TrimPrefix(err.Error(), "hujson: ")
	if _, scanErr := fmt.Sscanf(text, "line %d, column %d:", &line, &column); scanErr == nil {
		_, text, _ = strings.Cut(text, ": ")
	}
	return Errors{{Line: line, Found: text, Allowed: "JSON with comments"}}
}

// tooDeep returns the line at which nesting exceeds limit. It runs before the
// parser because the parser recurses for each level.
func tooDeep(text []byte, limit int) (line int, found bool) {
	line = 1
	depth := 0
	for i := 0; i < len(text); i++ {
		switch text[i] {
		case '\n':
			line++
		case '"':
			i = skipString(text, i)
		case '/':
			end := skipComment(text, i)
			line += strings.Count(string(text[i:min(end+1, len(text))]), "\n")
			i = end
		case '{', '[':
			if depth++; depth > limit {
				return line, true
			}
		case '}', ']':
			depth--
		}
	}
	return 0, false
}

// skipString returns the index of the closing quote of the string that starts
// at i, or of the line break that cuts it off.
func skipString(text []byte, i int) int {
	for i++; i < len(text); i++ {
		switch text[i] {
		case '\\':
			i++
		case '"', '\n':
			return i
		}
	}
	return i
}

// skipComment returns the index of the last byte of the comment that starts at
// i, or i if there is no comment.
func skipComment(text []byte, i int) int {
	rest := string(text[i:])
	var end string
	switch {
	case strings.HasPrefix(rest, "//"):
		end = "\n"
	case strings.HasPrefix(rest, "/*"):
		end = "*/"
	default:
		return i
	}
	n := strings.Index(rest[2:], end)
	if n < 0 {
		return len(text)
	}
	return i + 2 + n + len(end) - 1
}
