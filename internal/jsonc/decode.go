// Package jsonc decodes JSON with comments into typed values. It finds every
// mistake of a file in one pass and reports each with its place: syntax,
// unknown and repeated keys, wrong types, values out of range and missing keys.
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

// Document is a decoded file that knows the place of each of its values.
type Document struct {
	file      string
	text      []byte
	positions map[string]Position
	findings  Findings
}

// DecodeFile reads a file and decodes it into target, a pointer to a struct.
// The error is set only when the file cannot be read.
func DecodeFile(file string, target any) (*Document, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, fmt.Errorf("read %s: %w", file, err)
	}
	return Decode(file, text, target), nil
}

// Decode decodes text into target, a pointer to a struct. Mistakes are held as
// findings of the document. A key without "omitempty" in its json tag is
// required unless target already holds a value other than zero for it.
func Decode(file string, text []byte, target any) *Document {
	doc := &Document{file: file, text: text, positions: map[string]Position{}}
	root, err := hujson.Parse(text)
	if err != nil {
		doc.syntaxError(err)
		return doc
	}
	doc.value("", root, reflect.ValueOf(target).Elem())
	return doc
}

// Findings returns the mistakes found so far, ordered by place.
func (d *Document) Findings() Findings {
	d.findings.Sort()
	return d.findings
}

// Report adds a mistake at the value named by path, such as "teams[3].name".
// Where that value is absent, the place is that of its nearest parent.
func (d *Document) Report(path, problem, allowed string) {
	d.add(d.place(path), path, problem, allowed)
}

func (d *Document) place(path string) Position {
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

func (d *Document) add(at Position, path, problem, allowed string) {
	if path == "" {
		path = "(file)"
	}
	finding := Finding{File: d.file, Position: at, Path: path, Problem: problem, Allowed: allowed}
	d.findings = append(d.findings, finding)
}

func (d *Document) syntaxError(err error) {
	at := Position{Line: 1, Column: 1}
	message := err.Error()
	// hujson reports "hujson: line L, column C: what".
	if _, scanErr := fmt.Sscanf(message, "hujson: line %d, column %d:", &at.Line, &at.Column); scanErr == nil {
		parts := strings.SplitN(message, ": ", 3)
		message = parts[len(parts)-1]
	}
	d.add(at, "", message, "JSON with // and /* */ comments and trailing commas")
}

func (d *Document) position(offset int) Position {
	before := string(d.text[:min(offset, len(d.text))])
	line := strings.Count(before, "\n") + 1
	column := len(before) - strings.LastIndex(before, "\n")
	return Position{Line: line, Column: column}
}

var textUnmarshaler = reflect.TypeFor[encoding.TextUnmarshaler]()

func (d *Document) value(path string, value hujson.Value, target reflect.Value) {
	at := d.position(value.StartOffset)
	d.positions[path] = at
	switch {
	case target.Addr().Type().Implements(textUnmarshaler):
		d.textValue(path, at, value, target)
	case target.Kind() == reflect.Struct:
		d.object(path, at, value, target)
	case target.Kind() == reflect.Slice:
		d.array(path, at, value, target)
	default:
		d.literal(path, at, value, target)
	}
}

func (d *Document) textValue(path string, at Position, value hujson.Value, target reflect.Value) {
	literal, ok := value.Value.(hujson.Literal)
	if !ok || literal.Kind() != '"' {
		d.add(at, path, "is "+kindName(value), "a string with a unit")
		return
	}
	unmarshaler := target.Addr().Interface().(encoding.TextUnmarshaler)
	if err := unmarshaler.UnmarshalText([]byte(literal.String())); err != nil {
		d.add(at, path, strconv.Quote(literal.String())+" is "+err.Error(), "")
	}
}

func (d *Document) object(path string, at Position, value hujson.Value, target reflect.Value) {
	object, ok := value.Value.(*hujson.Object)
	if !ok {
		d.add(at, path, "is "+kindName(value), "an object")
		return
	}
	fields := structFields(target.Type())
	seen := map[string]bool{}
	for _, member := range object.Members {
		name := member.Name.Value.(hujson.Literal).String()
		memberAt := d.position(member.Name.StartOffset)
		child := join(path, name)
		field, known := fields[name]
		switch {
		case seen[name]:
			d.add(memberAt, child, "the key is repeated", "each key once")
		case !known:
			d.add(memberAt, child, "the key is unknown", strings.Join(fieldNames(target.Type()), ", "))
		default:
			d.value(child, member.Value, target.Field(field.index))
		}
		seen[name] = true
	}
	d.reportMissing(path, at, target, seen)
}

func (d *Document) reportMissing(path string, at Position, target reflect.Value, seen map[string]bool) {
	for _, name := range fieldNames(target.Type()) {
		field := structFields(target.Type())[name]
		hasDefault := !target.Field(field.index).IsZero()
		if seen[name] || field.optional || hasDefault {
			continue
		}
		d.add(at, join(path, name), "the key is missing", "")
	}
}

func (d *Document) array(path string, at Position, value hujson.Value, target reflect.Value) {
	array, ok := value.Value.(*hujson.Array)
	if !ok {
		d.add(at, path, "is "+kindName(value), "an array")
		return
	}
	target.Set(reflect.MakeSlice(target.Type(), len(array.Elements), len(array.Elements)))
	for i, element := range array.Elements {
		d.value(path+"["+strconv.Itoa(i)+"]", element, target.Index(i))
	}
}

func (d *Document) literal(path string, at Position, value hujson.Value, target reflect.Value) {
	literal, ok := value.Value.(hujson.Literal)
	if !ok {
		d.add(at, path, "is "+kindName(value), allowedType(target))
		return
	}
	if !setLiteral(literal, target) {
		d.add(at, path, strings.TrimSpace(literalText(literal))+" is not allowed here", allowedType(target))
	}
}

func literalText(literal hujson.Literal) string { return string(literal) }

// setLiteral stores literal in target and reports whether it fits.
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
