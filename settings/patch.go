package settings

import (
	"bytes"
	"encoding/json"
	"maps"
	"reflect"
	"slices"
	"strconv"
)

// MergePatch returns a document with a JSON merge patch (RFC 7396) applied.
func MergePatch(document, patch []byte) ([]byte, error) {
	original, err := decodeJSON(document)
	if err != nil {
		return nil, err
	}
	change, err := decodeJSON(patch)
	if err != nil {
		return nil, err
	}
	return json.Marshal(mergeValues(original, change))
}

func decodeJSON(data []byte) (any, error) {
	d := json.NewDecoder(bytes.NewReader(data))
	d.UseNumber()
	var v any
	err := d.Decode(&v)
	return v, err
}

func mergeValues(original, patch any) any {
	changes, ok := patch.(map[string]any)
	if !ok {
		return patch
	}
	result, ok := original.(map[string]any)
	if !ok {
		result = map[string]any{}
	}
	for name, change := range changes {
		if change == nil {
			delete(result, name)
			continue
		}
		result[name] = mergeValues(result[name], change)
	}
	return result
}

// Difference is a value that differs between two documents.
type Difference struct {
	Pointer string `json:"pointer"`
	// Old and New are the old and the new value; nil if the value is absent.
	Old json.RawMessage `json:"was,omitempty"`
	New json.RawMessage `json:"now,omitempty"`
}

// Diff returns the values that differ between two documents, in the order of
// their pointers. An empty document stands for one that does not exist.
func Diff(was, now []byte) []Difference {
	a, _ := decodeJSON(was)
	b, _ := decodeJSON(now)
	return diffValues("", a, b)
}

func diffValues(pointer string, was, now any) []Difference {
	if reflect.DeepEqual(was, now) {
		return nil
	}
	oldMembers, newMembers := members(was), members(now)
	if oldMembers == nil || newMembers == nil {
		return []Difference{{Pointer: pointer, Old: marshalValue(was), New: marshalValue(now)}}
	}
	all := maps.Clone(oldMembers)
	maps.Copy(all, newMembers)
	var differences []Difference
	for _, name := range slices.Sorted(maps.Keys(all)) {
		differences = append(differences, diffValues(childPointer(pointer, name), oldMembers[name], newMembers[name])...)
	}
	return differences
}

// members returns the members of an object by name or the elements of an array
// by index; nil for any other value.
func members(v any) map[string]any {
	switch v := v.(type) {
	case map[string]any:
		return v
	case []any:
		byName := map[string]any{}
		for i, e := range v {
			byName[strconv.Itoa(i)] = e
		}
		return byName
	}
	return nil
}

// marshalValue returns v as JSON; nil if v is nil.
func marshalValue(v any) json.RawMessage {
	if v == nil {
		return nil
	}
	data, err := json.Marshal(v)
	if err != nil {
		return nil
	}
	return data
}
