package strictjson

import (
	"bytes"
	"fmt"
	"math"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/tailscale/hujson"
)

// Decoder decodes a parsed text into a Go value and records the line of each
// field, so that errors found by later validation can state it.
type Decoder struct {
	text  []byte
	types Types
	lines map[string]int
	errs  Errors
	// decodeErrors is the number of errors found by decoding.
	decodeErrors int
	// parsed is set once the text is syntactically valid JSON with comments.
	parsed bool
}

func (d *Decoder) line(offset int) int { return 1 + bytes.Count(d.text[:offset], []byte("\n")) }

// AddError adds an error about v, the value at path. Allowed describes the values
// that are allowed there.
func (d *Decoder) AddError(path string, v hujson.Value, allowed string) {
	found := string(d.text[v.StartOffset:v.EndOffset])
	if len(found) > 40 {
		found = found[:40] + "..."
	}
	d.errs = append(d.errs, FieldError{d.line(v.StartOffset), path, strings.ToValidUTF8(found, "?"), allowed})
}

// Report adds an error found by validation after decoding. An error about a
// field that is missing in the text is given the line of the nearest enclosing
// object. A field that could not be decoded, or that contains or lies in such a
// field, is not reported again.
func (d *Decoder) Report(path, found, allowed string) {
	for _, e := range d.errs[:d.decodeErrors] {
		if e.Field == path || strings.HasPrefix(e.Field, path+".") || strings.HasPrefix(path, e.Field+".") {
			return
		}
	}
	at := path
	line, ok := d.lines[at]
	for !ok && at != "" {
		at = parentPath(at)
		line, ok = d.lines[at]
	}
	d.errs = append(d.errs, FieldError{max(line, 1), path, found, allowed})
}

func parentPath(path string) string {
	return path[:max(0, strings.LastIndexAny(path, ".["))]
}

func (d *Decoder) value(path string, v hujson.Value, into reflect.Value) {
	d.lines[path] = d.line(v.StartOffset)
	t := into.Type()
	if decode := d.types[t]; decode != nil {
		decode(d, path, v, into)
		return
	}
	switch t.Kind() {
	case reflect.Pointer:
		into.Set(reflect.New(t.Elem()))
		d.value(path, v, into.Elem())
	case reflect.Struct:
		d.object(path, v, into)
	case reflect.Slice:
		d.array(path, v, into)
	default:
		d.scalar(path, v, into)
	}
}

func (d *Decoder) object(path string, v hujson.Value, into reflect.Value) {
	fields := FieldsOf(into.Type())
	d.Members(path, v, fields.Names, func(name, path string, member hujson.Value) {
		d.value(path, member, into.Field(fields.Index[name]))
	})
}

// Members calls each once for every member of an object whose name is in names.
// It adds errors for unknown and repeated members.
func (d *Decoder) Members(path string, v hujson.Value, names []string, each func(name, path string, v hujson.Value)) {
	object, ok := v.Value.(*hujson.Object)
	if !ok {
		d.AddError(path, v, "an object")
		return
	}
	seen := make(map[string]bool)
	for _, m := range object.Members {
		name := m.Name.Value.(hujson.Literal).String()
		memberPath := JoinPath(path, name)
		switch {
		case !slices.Contains(names, name):
			d.AddError(memberPath, m.Name, "one of the fields "+strings.Join(names, ", "))
		case seen[name]:
			d.AddError(memberPath, m.Name, "each field once")
		default:
			seen[name] = true
			each(name, memberPath, m.Value)
		}
	}
}

// JoinPath appends a field name to a path, as in "quota.weight".
func JoinPath(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

func (d *Decoder) array(path string, v hujson.Value, into reflect.Value) {
	array, ok := v.Value.(*hujson.Array)
	if !ok {
		d.AddError(path, v, "an array")
		return
	}
	into.Set(reflect.MakeSlice(into.Type(), len(array.Elements), len(array.Elements)))
	for i, e := range array.Elements {
		d.value(fmt.Sprintf("%s[%d]", path, i), e, into.Index(i))
	}
}

// StringOf returns the value of a string literal; ok is false for other values.
func StringOf(v hujson.Value) (string, bool) {
	l, ok := v.Value.(hujson.Literal)
	if !ok || l.Kind() != '"' {
		return "", false
	}
	return l.String(), true
}

// DecodeDuration is a TypeFunc for any type of kind int64 whose text form is a
// non-negative duration with its unit.
func DecodeDuration(d *Decoder, path string, v hujson.Value, into reflect.Value) {
	s, ok := StringOf(v)
	parsed, err := time.ParseDuration(s)
	if !ok || err != nil || parsed < 0 || s == "0" {
		d.AddError(path, v, `a duration with its unit, such as "1.5s"`)
		return
	}
	into.SetInt(int64(parsed))
}

// DecodeEnum returns a TypeFunc for a string type with a fixed set of values.
func DecodeEnum[T ~string](allowed ...T) TypeFunc {
	return func(d *Decoder, path string, v hujson.Value, into reflect.Value) {
		s, ok := StringOf(v)
		if !ok || !slices.Contains(allowed, T(s)) {
			d.AddError(path, v, fmt.Sprintf("one of %q", allowed))
			return
		}
		into.SetString(s)
	}
}

func (d *Decoder) scalar(path string, v hujson.Value, into reflect.Value) {
	l, ok := v.Value.(hujson.Literal)
	if !ok {
		d.AddError(path, v, "a "+into.Kind().String())
		return
	}
	switch into.Kind() {
	case reflect.String:
		if l.Kind() != '"' {
			d.AddError(path, v, "a string")
			return
		}
		into.SetString(l.String())
	case reflect.Bool:
		if l.Kind() != 't' && l.Kind() != 'f' {
			d.AddError(path, v, "true or false")
			return
		}
		into.SetBool(l.Bool())
	case reflect.Int, reflect.Int64:
		d.integer(path, v, l, into)
	case reflect.Float64:
		f, err := strconv.ParseFloat(string(l), 64)
		if l.Kind() != '0' || err != nil || math.IsInf(f, 0) {
			d.AddError(path, v, "a number")
			return
		}
		into.SetFloat(f)
	}
}

func (d *Decoder) integer(path string, v hujson.Value, l hujson.Literal, into reflect.Value) {
	n, err := strconv.ParseInt(string(l), 10, 64)
	if err != nil {
		d.AddError(path, v, "a whole number")
		return
	}
	into.SetInt(n)
}

// Fields are the JSON member names of a struct, taken from its tags.
type Fields struct {
	Names []string
	// Index maps a member name to the index of its field in the struct.
	Index map[string]int
}

// FieldsOf returns the member names of struct type t in field order. Every field
// must have a json tag.
func FieldsOf(t reflect.Type) Fields {
	f := Fields{Index: make(map[string]int)}
	for i := range t.NumField() {
		name, _, _ := strings.Cut(t.Field(i).Tag.Get("json"), ",")
		f.Names = append(f.Names, name)
		f.Index[name] = i
	}
	return f
}
