package document

import (
	"reflect"

	"github.com/currantwinch/currantwinch/cluster"
	"github.com/currantwinch/currantwinch/strictjson"
)

// Schema patterns of the values that are encoded as text.
const (
	durationPattern = `^([0-9]+(\.[0-9]+)?(ns|us|µs|ms|s|m|h))+$`
	cpuPattern      = `^[0-9]+m?$`
	memoryPattern   = `^[0-9]+(B|KiB|MiB|GiB|TiB)$`
)

// SchemaNode is a node of a JSON Schema.
type SchemaNode struct {
	Schema               string                 `json:"$schema,omitempty"`
	Title                string                 `json:"title,omitempty"`
	Type                 string                 `json:"type,omitempty"`
	Const                int                    `json:"const,omitempty"`
	Pattern              string                 `json:"pattern,omitempty"`
	MaxLength            int                    `json:"maxLength,omitempty"`
	MaxItems             int                    `json:"maxItems,omitempty"`
	Minimum              *int                   `json:"minimum,omitempty"`
	Enum                 []string               `json:"enum,omitempty"`
	Required             []string               `json:"required,omitempty"`
	Properties           map[string]*SchemaNode `json:"properties,omitempty"`
	AdditionalProperties *bool                  `json:"additionalProperties,omitempty"`
	Items                *SchemaNode            `json:"items,omitempty"`
}

// Schema returns the JSON Schema of documents, for use by editors. Parse is
// stricter: it also validates relations between fields.
func Schema() *SchemaNode {
	root := schemaOf(reflect.TypeFor[Document](), "")
	root.Schema = "https://json-schema.org/draft/2020-12/schema"
	root.Title = "currantwinch document"
	return root
}

// requiredFields lists the required members of each object type.
var requiredFields = map[reflect.Type][]string{
	reflect.TypeFor[Document]():    {"format", "service", "team"},
	reflect.TypeFor[Requests]():    {"pool", "kinds"},
	reflect.TypeFor[RequestKind](): {"name", "deadline"},
	reflect.TypeFor[Workload]():    {"name", "class", "count", "resources"},
}

// enumValues lists the allowed values of each enumerated type.
var enumValues = map[reflect.Type][]string{
	reflect.TypeFor[Class]():    toStrings(classes),
	reflect.TypeFor[Priority](): toStrings(priorities),
	reflect.TypeFor[Spread]():   toStrings(spreads),
	reflect.TypeFor[Start]():    toStrings(starts),
}

func toStrings[T ~string](words []T) []string {
	out := make([]string, len(words))
	for i, w := range words {
		out[i] = string(w)
	}
	return out
}

// nameFields are the fields whose values must match namePattern.
var nameFields = map[string]bool{
	"service": true, "team": true, "pool": true, "name": true, "acceleratorKind": true, "regions": true,
}

// maxItems is the maximum length of each list field.
var maxItems = map[string]int{
	"kinds": maxKinds, "workloads": maxWorkloads, "regions": maxRegions, "command": maxCommand,
}

func schemaOf(t reflect.Type, field string) *SchemaNode {
	switch {
	case t == reflect.TypeFor[Duration]():
		return &SchemaNode{Type: "string", Pattern: durationPattern}
	case t == reflect.TypeFor[cluster.Resources]():
		return resourcesSchema()
	case enumValues[t] != nil:
		return &SchemaNode{Type: "string", Enum: enumValues[t]}
	}
	switch t.Kind() {
	case reflect.Pointer:
		return schemaOf(t.Elem(), field)
	case reflect.Struct:
		return objectSchema(t)
	case reflect.Slice:
		return &SchemaNode{Type: "array", MaxItems: maxItems[field], Items: schemaOf(t.Elem(), field)}
	default:
		return scalarSchema(t, field)
	}
}

func objectSchema(t reflect.Type) *SchemaNode {
	node := closedObject()
	node.Required = requiredFields[t]
	f := strictjson.FieldsOf(t)
	for _, name := range f.Names {
		node.Properties[name] = schemaOf(t.Field(f.Index[name]).Type, name)
	}
	return node
}

func closedObject() *SchemaNode {
	return &SchemaNode{Type: "object", Properties: make(map[string]*SchemaNode), AdditionalProperties: new(bool)}
}

func resourcesSchema() *SchemaNode {
	node := closedObject()
	node.Properties["cpu"] = &SchemaNode{Type: "string", Pattern: cpuPattern}
	node.Properties["memory"] = &SchemaNode{Type: "string", Pattern: memoryPattern}
	node.Properties["accelerators"] = &SchemaNode{Type: "integer", Minimum: new(int)}
	return node
}

func scalarSchema(t reflect.Type, field string) *SchemaNode {
	switch t.Kind() {
	case reflect.String:
		if nameFields[field] {
			return &SchemaNode{Type: "string", Pattern: namePattern.String(), MaxLength: maxNameLength}
		}
		return &SchemaNode{Type: "string"}
	case reflect.Bool:
		return &SchemaNode{Type: "boolean"}
	case reflect.Float64:
		return &SchemaNode{Type: "number", Minimum: new(int)}
	}
	if field == "format" {
		return &SchemaNode{Const: FormatVersion}
	}
	return &SchemaNode{Type: "integer", Minimum: new(int)}
}
