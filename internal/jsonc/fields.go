package jsonc

import (
	"reflect"
	"strings"
)

// structField is a field that can be set from a file.
type structField struct {
	// index is the field's index in its struct type.
	index int
	// optional is true if the json tag has "omitempty".
	optional bool
}

// structFields maps the JSON names of a struct type to its fields.
func structFields(structType reflect.Type) map[string]structField {
	fields := make(map[string]structField, structType.NumField())
	for i := range structType.NumField() {
		name, options, _ := strings.Cut(structType.Field(i).Tag.Get("json"), ",")
		fields[name] = structField{index: i, optional: strings.Contains(options, "omitempty")}
	}
	return fields
}

// fieldNames lists the JSON names of a struct type in the order of its fields.
func fieldNames(structType reflect.Type) []string {
	names := make([]string, structType.NumField())
	for i := range structType.NumField() {
		names[i], _, _ = strings.Cut(structType.Field(i).Tag.Get("json"), ",")
	}
	return names
}
