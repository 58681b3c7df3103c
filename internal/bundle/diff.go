package bundle

import (
	"encoding/json"
	"fmt"
	"sort"
	"strconv"
)

// Change is one difference between two bundles.
type Change struct {
	// Path locates the value, such as "models[lace].version".
	Path string
	// Old and New are the JSON of the value, or "" if the value is absent.
	Old string
	New string
}

// String returns c as one line: "+" marks a new value, "-" a removed one, and "~"
// a changed one.
func (c Change) String() string {
	switch {
	case c.Old == "":
		return fmt.Sprintf("+ %s: %s", c.Path, c.New)
	case c.New == "":
		return fmt.Sprintf("- %s: %s", c.Path, c.Old)
	}
	return fmt.Sprintf("~ %s: %s -> %s", c.Path, c.Old, c.New)
}

// Diff returns the differences between two bundles, ordered by path. Elements of
// lists are matched by name. A nil bundle counts as empty.
func Diff(before, after *Bundle) ([]Change, error) {
	oldValues, err := flatten(before)
	if err != nil {
		return nil, err
	}
	newValues, err := flatten(after)
	if err != nil {
		return nil, err
	}
	var changes []Change
	for path, value := range oldValues {
		if newValues[path] != value {
			changes = append(changes, Change{Path: path, Old: value, New: newValues[path]})
		}
	}
	for path, value := range newValues {
		if _, found := oldValues[path]; !found {
			changes = append(changes, Change{Path: path, New: value})
		}
	}
	sort.Slice(changes, func(i, j int) bool { return changes[i].Path < changes[j].Path })
	return changes, nil
}

// flatten returns the JSON of each value of b that is neither an object nor a
// list, by path.
func flatten(b *Bundle) (map[string]string, error) {
	values := map[string]string{}
	if b == nil {
		return values, nil
	}
	content, err := Canonical(b)
	if err != nil {
		return nil, err
	}
	var tree any
	if err := json.Unmarshal(content, &tree); err != nil {
		return nil, fmt.Errorf("decode the bundle: %w", err)
	}
	flattenValue("", tree, values)
	return values, nil
}

// flattenValue adds the values in value, which is at path, to values.
func flattenValue(path string, value any, values map[string]string) {
	switch typed := value.(type) {
	case map[string]any:
		for name, child := range typed {
			childPath := name
			if path != "" {
				childPath = path + "." + name
			}
			flattenValue(childPath, child, values)
		}
	case []any:
		for i, child := range typed {
			flattenValue(path+"["+elementName(i, child)+"]", child, values)
		}
	default:
		text, err := json.Marshal(typed)
		if err != nil {
			text = []byte(fmt.Sprint(typed))
		}
		values[path] = string(text)
	}
}

// elementName returns the name of a list element, or its index if it has no name.
func elementName(index int, element any) string {
	if object, ok := element.(map[string]any); ok {
		if name, ok := object["name"].(string); ok {
			return name
		}
	}
	return strconv.Itoa(index)
}
