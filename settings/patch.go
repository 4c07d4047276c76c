package settings

import (
	"bytes"
	"encoding/json"
	"maps"
	"reflect"
	"slices"
	"strconv"
)

// MergePatch applies a JSON merge patch (RFC 7396) to a document.
func MergePatch(document, patch []byte) ([]byte, error) {
	target, err := decodeAny(document)
	if err != nil {
		return nil, err
	}
	change, err := decodeAny(patch)
	if err != nil {
		return nil, err
	}
	return json.Marshal(merge(target, change))
}

func decodeAny(data []byte) (any, error) {
	d := json.NewDecoder(bytes.NewReader(data))
	d.UseNumber()
	var v any
	err := d.Decode(&v)
	return v, err
}

func merge(target, patch any) any {
	changes, ok := patch.(map[string]any)
	if !ok {
		return patch
	}
	members, ok := target.(map[string]any)
	if !ok {
		members = map[string]any{}
	}
	for name, change := range changes {
		if change == nil {
			delete(members, name)
			continue
		}
		members[name] = merge(members[name], change)
	}
	return members
}

// Difference is one value that differs between two documents.
type Difference struct {
	Pointer string `json:"pointer"`
	// Was and Now are the values, absent where there is none.
	Was json.RawMessage `json:"was,omitempty"`
	Now json.RawMessage `json:"now,omitempty"`
}

// Diff returns the values that differ between two documents, sorted by pointer.
// An empty document stands for one that does not exist.
func Diff(was, now []byte) []Difference {
	a, _ := decodeAny(was)
	b, _ := decodeAny(now)
	return diff("", a, b)
}

func diff(at string, was, now any) []Difference {
	if reflect.DeepEqual(was, now) {
		return nil
	}
	a, b := children(was), children(now)
	if a == nil || b == nil {
		return []Difference{{Pointer: at, Was: raw(was), Now: raw(now)}}
	}
	all := maps.Clone(a)
	maps.Copy(all, b)
	var found []Difference
	for _, name := range slices.Sorted(maps.Keys(all)) {
		found = append(found, diff(child(at, name), a[name], b[name])...)
	}
	return found
}

// children returns the members of an object or array by name; nil for others.
func children(v any) map[string]any {
	switch v := v.(type) {
	case map[string]any:
		return v
	case []any:
		members := map[string]any{}
		for i, e := range v {
			members[strconv.Itoa(i)] = e
		}
		return members
	}
	return nil
}

func raw(v any) json.RawMessage {
	if v == nil {
		return nil
	}
	data, err := json.Marshal(v)
	if err != nil {
		return nil
	}
	return data
}
