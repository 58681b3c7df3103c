// Package jsonc decodes JSON with comments into structs. Mistakes don't stop the
// decoding: unknown, repeated and missing keys and values of a wrong type are
// collected as findings, each with its position in the file. Only a syntax
// error is reported alone. Users of a decoded document add findings about its
// values with Report, such as values out of range.
package jsonc

import (
	"encoding"
	"fmt"
	"os"
	"reflect"
	"strconv"
	"strings"

	"github.com/tailscale/hujson"
)

// Document is a decoded file with the position of each of its values and the
// mistakes found in it.
type Document struct {
	file      string
	text      []byte
	positions map[string]Position
	findings  Findings
}

// DecodeFile reads a file and decodes it into target, a pointer to a struct, as
// Decode does. The error is set only if the file can't be read.
func DecodeFile(file string, target any) (*Document, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, fmt.Errorf("read %s: %w", file, err)
	}
	return Decode(file, text, target), nil
}

// Decode decodes text, the content of file, into target, a pointer to a struct
// whose fields all have json tags. Mistakes become findings of the document. A
// key is required unless its json tag has "omitempty" or its field in target
// has a non-zero value already, its default.
func Decode(file string, text []byte, target any) *Document {
	doc := &Document{file: file, text: text, positions: map[string]Position{}}
	if offset, found := findNesting(text, maxNesting); found {
		doc.add(doc.positionAt(offset), "", "the values are nested too deeply", fmt.Sprintf("up to %d levels", maxNesting))
		return doc
	}
	root, err := hujson.Parse(text)
	if err != nil {
		doc.syntaxError(err)
		return doc
	}
	doc.decodeValue("", root, reflect.ValueOf(target).Elem())
	return doc
}

// Findings returns the mistakes found so far, ordered by position.
func (d *Document) Findings() Findings {
	d.findings.Sort()
	return d.findings
}

// Report adds a finding for the value at path, such as "teams[3].name". If the
// file does not contain that value, the finding has the position of the nearest
// parent in the file.
func (d *Document) Report(path, problem, allowed string) {
	d.add(d.nearestPosition(path), path, problem, allowed)
}

func (d *Document) nearestPosition(path string) Position {
	for {
		if position, found := d.positions[path]; found {
			return position
		}
		cut := strings.LastIndexAny(path, ".[")
		if cut < 0 {
			break
		}
		path = path[:cut]
	}
	if position, found := d.positions[""]; found {
		return position
	}
	return Position{Line: 1, Column: 1}
}

func (d *Document) add(position Position, path, problem, allowed string) {
	if path == "" {
		path = "(file)"
	}
	finding := Finding{File: d.file, Position: position, Path: path, Problem: problem, Allowed: allowed}
	d.findings = append(d.findings, finding)
}

func (d *Document) syntaxError(err error) {
	position := Position{Line: 1, Column: 1}
	message := err.Error()
	// hujson formats its errors as "hujson: line L, column C: MESSAGE".
	if _, scanErr := fmt.Sscanf(message, "hujson: line %d, column %d:", &position.Line, &position.Column); scanErr == nil {
		parts := strings.SplitN(message, ": ", 3)
		message = parts[len(parts)-1]
	}
	d.add(position, "", message, "JSON with // and /* */ comments and trailing commas")
}

// positionAt returns the position of a byte offset in the text.
func (d *Document) positionAt(offset int) Position {
	before := string(d.text[:min(offset, len(d.text))])
	line := strings.Count(before, "\n") + 1
	column := len(before) - strings.LastIndex(before, "\n")
	return Position{Line: line, Column: column}
}

var textUnmarshaler = reflect.TypeFor[encoding.TextUnmarshaler]()

func (d *Document) decodeValue(path string, value hujson.Value, target reflect.Value) {
	position := d.positionAt(value.StartOffset)
	d.positions[path] = position
	switch {
	case target.Addr().Type().Implements(textUnmarshaler):
		d.decodeText(path, position, value, target)
	case target.Kind() == reflect.Struct:
		d.decodeObject(path, position, value, target)
	case target.Kind() == reflect.Slice:
		d.decodeArray(path, position, value, target)
	default:
		d.decodeLiteral(path, position, value, target)
	}
}

// decodeText decodes a string into a target that implements encoding.TextUnmarshaler.
func (d *Document) decodeText(path string, position Position, value hujson.Value, target reflect.Value) {
	literal, ok := value.Value.(hujson.Literal)
	if !ok || literal.Kind() != '"' {
		d.add(position, path, "is "+kindName(value), "a string with a unit")
		return
	}
	unmarshaler := target.Addr().Interface().(encoding.TextUnmarshaler)
	if err := unmarshaler.UnmarshalText([]byte(literal.String())); err != nil {
		d.add(position, path, strconv.Quote(literal.String())+" is "+err.Error(), "")
	}
}

func (d *Document) decodeObject(path string, position Position, value hujson.Value, target reflect.Value) {
	object, ok := value.Value.(*hujson.Object)
	if !ok {
		d.add(position, path, "is "+kindName(value), "an object")
		return
	}
	fields := structFields(target.Type())
	seen := map[string]bool{}
	for _, member := range object.Members {
		name := member.Name.Value.(hujson.Literal).String()
		memberPosition := d.positionAt(member.Name.StartOffset)
		child := join(path, name)
		field, known := fields[name]
		switch {
		case seen[name]:
			d.add(memberPosition, child, "the key is repeated", "each key once")
		case !known:
			d.add(memberPosition, child, "the key is unknown", strings.Join(fieldNames(target.Type()), ", "))
		default:
			d.decodeValue(child, member.Value, target.Field(field.index))
		}
		seen[name] = true
	}
	d.reportMissing(path, position, target, seen)
}

func (d *Document) reportMissing(path string, position Position, target reflect.Value, seen map[string]bool) {
	for _, name := range fieldNames(target.Type()) {
		field := structFields(target.Type())[name]
		hasDefault := !target.Field(field.index).IsZero()
		if seen[name] || field.optional || hasDefault {
			continue
		}
		d.add(position, join(path, name), "the key is missing", "")
	}
}

func (d *Document) decodeArray(path string, position Position, value hujson.Value, target reflect.Value) {
	array, ok := value.Value.(*hujson.Array)
	if !ok {
		d.add(position, path, "is "+kindName(value), "an array")
		return
	}
	target.Set(reflect.MakeSlice(target.Type(), len(array.Elements), len(array.Elements)))
	for i, element := range array.Elements {
		d.decodeValue(path+"["+strconv.Itoa(i)+"]", element, target.Index(i))
	}
}

func (d *Document) decodeLiteral(path string, position Position, value hujson.Value, target reflect.Value) {
	literal, ok := value.Value.(hujson.Literal)
	if !ok {
		d.add(position, path, "is "+kindName(value), allowedType(target))
		return
	}
	if !setLiteral(literal, target) {
		d.add(position, path, strings.TrimSpace(literalText(literal))+" is not allowed here", allowedType(target))
	}
}

func literalText(literal hujson.Literal) string { return string(literal) }

// setLiteral stores literal in target and reports whether its type and range
// match the target's.
func setLiteral(literal hujson.Literal, target reflect.Value) bool {
	kind := literal.Kind()
	switch target.Kind() {
	case reflect.String:
		if kind != '"' {
			return false
		}
		target.SetString(literal.String())
	case reflect.Bool:
		if kind != 't' && kind != 'f' {
			return false
		}
		target.SetBool(literal.Bool())
	case reflect.Int, reflect.Int64:
		number, err := strconv.ParseInt(string(literal), 10, 64)
		if err != nil {
			return false
		}
		target.SetInt(number)
	case reflect.Uint64:
		number, err := strconv.ParseUint(string(literal), 10, 64)
		if err != nil {
			return false
		}
		target.SetUint(number)
	case reflect.Float64:
		number, err := strconv.ParseFloat(string(literal), 64)
		if kind != '0' || err != nil {
			return false
		}
		target.SetFloat(number)
	default:
		return false
	}
	return true
}

func allowedType(target reflect.Value) string {
	switch target.Kind() {
	case reflect.String:
		return "a string"
	case reflect.Bool:
		return "true or false"
	case reflect.Int, reflect.Int64:
		return "a whole number"
	case reflect.Uint64:
		return "a whole number, 0 or more"
	case reflect.Float64:
		return "a number"
	}
	return target.Type().String()
}

func kindName(value hujson.Value) string {
	switch kind := value.Value.Kind(); kind {
	case '{':
		return "an object"
	case '[':
		return "an array"
	case '"':
		return "a string"
	case 'n':
		return "null"
	case 't', 'f':
		return "a boolean"
	}
	return "a number"
}

func join(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}
