package document

import (
	"reflect"

	"github.com/currantwinch/currantwinch/cluster"
	"github.com/currantwinch/currantwinch/strictjson"
)

// Limits of a document's text.
const (
	// MaxBytes bounds the text.
	MaxBytes = 64 << 10
	// MaxDepth bounds the nesting of objects and arrays.
	MaxDepth = 12
)

// FieldError is one thing that is wrong with a document.
type FieldError = strictjson.FieldError

// Errors is everything that is wrong with a document, by line.
type Errors = strictjson.Errors

// The words that fields of these types may hold.
var (
	classes    = []Class{ClassService, ClassBatch, ClassGang}
	priorities = []Priority{PriorityLow, PriorityNormal, PriorityHigh, PriorityUrgent}
	spreads    = []Spread{SpreadNone, SpreadRack, SpreadFailureDomain}
	starts     = []Start{StartPublished, StartSubmitted}
)

// types says how the types that are not plain JSON are written.
var types = strictjson.Types{
	reflect.TypeFor[Duration]():          strictjson.DecodeDuration,
	reflect.TypeFor[cluster.Resources](): decodeResources,
	reflect.TypeFor[Class]():             strictjson.DecodeEnum(classes...),
	reflect.TypeFor[Priority]():          strictjson.DecodeEnum(priorities...),
	reflect.TypeFor[Spread]():            strictjson.DecodeEnum(spreads...),
	reflect.TypeFor[Start]():             strictjson.DecodeEnum(starts...),
}

// Parse reads a document written in JSON with comments, fills in defaults and
// checks it. The error is an Errors that lists all that is wrong at once.
// Equal texts give equal results on every daemon.
func Parse(text []byte) (*Document, error) {
	doc := new(Document)
	d := strictjson.Decode(text, doc, strictjson.Limits{MaxBytes: MaxBytes, MaxDepth: MaxDepth}, types)
	if d.Parsed() {
		applyDefaults(doc)
		validate(doc, d.Report)
	}
	if err := d.Err(); err != nil {
		return nil, err
	}
	return doc, nil
}
