package document

import (
	"fmt"
	"reflect"
	"sort"

	"github.com/currantwinch/currantwinch/cluster"
	"github.com/currantwinch/currantwinch/strictjson"
)

// Change is one field that differs between two documents.
type Change struct {
	// Field is the field's path. List elements that have a name are identified
	// by it, as in "workloads[web].count"; others by their index.
	Field string `json:"field"`
	// Before and After are the formatted values with units; an empty string
	// means that the field is absent.
	Before string `json:"before"`
	After  string `json:"after"`
}

// Diff returns the fields that differ between a and b, sorted by path. Either
// may be nil, which stands for a service without a document.
func Diff(a, b *Document) []Change {
	before, after := flatten(a), flatten(b)
	var changes []Change
	for path, value := range before {
		if after[path] != value {
			changes = append(changes, Change{path, value, after[path]})
		}
	}
	for path, value := range after {
		if _, ok := before[path]; !ok {
			changes = append(changes, Change{path, "", value})
		}
	}
	sort.Slice(changes, func(i, j int) bool { return changes[i].Field < changes[j].Field })
	return changes
}

func flatten(doc *Document) map[string]string {
	out := make(map[string]string)
	if doc != nil {
		flattenValue("", reflect.ValueOf(*doc), out)
	}
	return out
}

func flattenValue(path string, v reflect.Value, out map[string]string) {
	switch value := v.Interface().(type) {
	case Duration:
		out[path] = value.Std().String()
		return
	case cluster.Resources:
		out[path+".cpu"] = FormatCPU(value.CPU)
		out[path+".memory"] = FormatMemory(value.Memory)
		out[path+".accelerators"] = fmt.Sprint(value.Accelerators)
		return
	}
	switch v.Kind() {
	case reflect.Pointer:
		if !v.IsNil() {
			flattenValue(path, v.Elem(), out)
		}
	case reflect.Struct:
		f := strictjson.FieldsOf(v.Type())
		for _, name := range f.Names {
			flattenValue(strictjson.JoinPath(path, name), v.Field(f.Index[name]), out)
		}
	case reflect.Slice:
		for i := range v.Len() {
			flattenValue(fmt.Sprintf("%s[%s]", path, elementName(v.Index(i), i)), v.Index(i), out)
		}
	default:
		out[path] = fmt.Sprint(v.Interface())
	}
}

// elementName returns the element's Name field, or its index if it has none.
func elementName(v reflect.Value, index int) string {
	if v.Kind() == reflect.Struct {
		if name := v.FieldByName("Name"); name.IsValid() {
			return name.String()
		}
	}
	return fmt.Sprint(index)
}
