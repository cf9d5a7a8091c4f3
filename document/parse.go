package document

import (
	"reflect"

	"github.com/currantwinch/currantwinch/cluster"
	"github.com/currantwinch/currantwinch/strictjson"
)

// Limits of a document's text.
const (
	// MaxBytes is the maximum size of the text.
	MaxBytes = 64 << 10
	// MaxDepth is the maximum nesting depth of objects and arrays.
	MaxDepth = 12
)

// FieldError describes one invalid field of a document.
type FieldError = strictjson.FieldError

// Errors lists all errors of a document, sorted by line.
type Errors = strictjson.Errors

// Allowed values of the enumerated types.
var (
	classes    = []Class{ClassService, ClassBatch, ClassGang}
	priorities = []Priority{PriorityLow, PriorityNormal, PriorityHigh, PriorityUrgent}
	spreads    = []Spread{SpreadNone, SpreadRack, SpreadFailureDomain}
	starts     = []Start{StartPublished, StartSubmitted}
)

// typeDecoders decodes the types whose text form is not plain JSON.
var typeDecoders = strictjson.Types{
	reflect.TypeFor[Duration]():          strictjson.DecodeDuration,
	reflect.TypeFor[cluster.Resources](): decodeResources,
	reflect.TypeFor[Class]():             strictjson.DecodeEnum(classes...),
	reflect.TypeFor[Priority]():          strictjson.DecodeEnum(priorities...),
	reflect.TypeFor[Spread]():            strictjson.DecodeEnum(spreads...),
	reflect.TypeFor[Start]():             strictjson.DecodeEnum(starts...),
}

// Parse decodes a document written in JSON with comments, applies defaults and
// validates it. The error is an Errors that lists all errors found. The same
// text gives the same result on every daemon.
func Parse(text []byte) (*Document, error) {
	doc := new(Document)
	d := strictjson.Decode(text, doc, strictjson.Limits{MaxBytes: MaxBytes, MaxDepth: MaxDepth}, typeDecoders)
	if d.Parsed() {
		applyDefaults(doc)
		validate(doc, d.Report)
	}
	if err := d.Err(); err != nil {
		return nil, err
	}
	return doc, nil
}
