package bundle

import (
	"encoding/json"
	"fmt"
	"sort"
	"strconv"
)

// Change is one difference between two bundles.
type Change struct {
	// Path names the value, such as "models[lace].version".
	Path string
	// Old and New are the JSON of the value; empty means absent.
	Old string
	New string
}

// String formats c for an operator.
func (c Change) String() string {
	switch {
	case c.Old == "":
		return fmt.Sprintf("+ %s: %s", c.Path, c.New)
	case c.New == "":
		return fmt.Sprintf("- %s: %s", c.Path, c.Old)
	}
	return fmt.Sprintf("~ %s: %s -> %s", c.Path, c.Old, c.New)
}

// Diff lists what differs between two bundles, ordered by path. Entries of
// lists are matched by their name. Either may be nil.
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

// flatten maps the path of each value that is no object or list to its JSON.
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

func elementName(index int, element any) string {
	if object, ok := element.(map[string]any); ok {
		if name, ok := object["name"].(string); ok {
			return name
		}
	}
	return strconv.Itoa(index)
}
