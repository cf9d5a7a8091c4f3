// Package strictjson decodes JSON with comments into Go values. Unknown and
// repeated fields, wrong types and texts that are too large or too deep are
// refused, and every fault is reported at once with its line and field.
package strictjson

import (
	"fmt"
	"reflect"
	"sort"
	"strings"

	"github.com/pkg/errors"
	"github.com/tailscale/hujson"
)

// TypeFunc decodes v, found at path, into a value of one type. It reports
// faults by Decoder.Fail.
type TypeFunc func(d *Decoder, path string, v hujson.Value, into reflect.Value)

// Types says how to decode the types that are not plain JSON.
type Types map[reflect.Type]TypeFunc

// Limits bound a text before it is parsed.
type Limits struct {
	// MaxBytes bounds the text.
	MaxBytes int
	// MaxDepth bounds the nesting of objects and arrays.
	MaxDepth int
}

// FieldError is one thing that is wrong with a text.
type FieldError struct {
	// Line is counted from one.
	Line int `json:"line"`
	// Field is the path of the field, such as "workloads[0].count".
	Field string `json:"field"`
	// Found is what the text says.
	Found string `json:"found"`
	// Allowed says what it may say.
	Allowed string `json:"allowed"`
}

// Error is the form for a person to read.
func (e FieldError) Error() string {
	return fmt.Sprintf("line %d: %s: found %s, allowed: %s", e.Line, e.Field, e.Found, e.Allowed)
}

// Errors is everything that is wrong with a text, by line. It is never
// empty when it is returned as an error.
type Errors []FieldError

// Error joins all errors, one a line.
func (e Errors) Error() string {
	lines := make([]string, len(e))
	for i, f := range e {
		lines[i] = f.Error()
	}
	return strings.Join(lines, "\n")
}

// Decode reads text into the struct that into points to. Fields that the text
// leaves out keep their values. The decoder takes further errors, found by
// checking the value, by Report; Err returns all of them.
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
	d.decoded = len(d.errs)
	return d
}

// Parsed reports whether the text has the form of JSON with comments, so that
// it makes sense to check what was decoded.
func (d *Decoder) Parsed() bool { return d.parsed }

// Err returns all faults by line as an Errors, or nil.
func (d *Decoder) Err() error {
	if len(d.errs) == 0 {
		return nil
	}
	sort.SliceStable(d.errs, func(i, j int) bool { return d.errs[i].Line < d.errs[j].Line })
	return d.errs
}

// RecordLine remembers the line of v for path, for a TypeFunc that decodes members
// by itself.
func (d *Decoder) RecordLine(path string, v hujson.Value) { d.lines[path] = d.line(v.StartOffset) }

// AsErrors returns the field errors in err's chain.
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

// tooDeep finds the line where nesting passes limit, ahead of the parser,
// which recurses.
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

// skipString returns the index of the quote that ends the string.
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

// skipComment returns the index of the comment's last byte.
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
