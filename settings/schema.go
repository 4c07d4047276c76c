package settings

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strconv"
	"strings"
)

// checker collects the findings of one document.
type checker struct {
	file     string
	findings Findings
}

// check validates the value at a JSON pointer and adds findings to c.
type check func(c *checker, at string, v any)

// field describes one member of a JSON object.
type field struct {
	name     string
	required bool
	check    check
}

func (c *checker) addFinding(pointer, format string, args ...any) {
	c.findings = append(c.findings, Finding{File: c.file, Pointer: pointer, Message: fmt.Sprintf(format, args...)})
}

// decode parses one JSON value. It adds a finding and returns false for
// malformed or trailing input.
func (c *checker) decode(data []byte) (any, bool) {
	d := json.NewDecoder(bytes.NewReader(data))
	d.UseNumber()
	var v any
	if err := d.Decode(&v); err != nil {
		c.addFinding("", "not valid JSON at byte %d: %v", d.InputOffset(), err)
		return nil, false
	}
	if _, err := d.Token(); err != io.EOF {
		c.addFinding("", "text after the JSON value at byte %d", d.InputOffset())
		return nil, false
	}
	return v, true
}

// childPointer returns the JSON pointer of a member of the value at pointer.
func childPointer(pointer, name string) string {
	name = strings.ReplaceAll(name, "~", "~0")
	return pointer + "/" + strings.ReplaceAll(name, "/", "~1")
}

// object returns a check of an object's members against fields.
func object(fields ...field) check {
	return func(c *checker, pointer string, v any) {
		members, ok := v.(map[string]any)
		if !ok {
			c.addFinding(pointer, "must be an object, is %s", jsonTypeName(v))
			return
		}
		c.checkMembers(pointer, members, fields)
	}
}

// checkMembers checks the known members. It reports unknown ones as ignorable
// and deletes them from the map.
func (c *checker) checkMembers(pointer string, members map[string]any, fields []field) {
	known := map[string]bool{}
	for _, f := range fields {
		known[f.name] = true
		v, set := members[f.name]
		if set {
			f.check(c, childPointer(pointer, f.name), v)
			continue
		}
		if f.required {
			c.addFinding(pointer, "%q is required", f.name)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(members)) {
		if !known[name] {
			c.addFinding(childPointer(pointer, name), "unknown key")
			c.findings[len(c.findings)-1].ignorable = true
			delete(members, name)
		}
	}
}

// list returns a check of each element of an array.
func list(element check) check {
	return func(c *checker, pointer string, v any) {
		elements, ok := v.([]any)
		if !ok {
			c.addFinding(pointer, "must be an array, is %s", jsonTypeName(v))
			return
		}
		for i, e := range elements {
			element(c, childPointer(pointer, strconv.Itoa(i)), e)
		}
	}
}

// text returns a check of a string by a predicate. expected completes the
// message "... is not".
func text(expected string, valid func(string) bool) check {
	return func(c *checker, pointer string, v any) {
		s, ok := v.(string)
		if !ok {
			c.addFinding(pointer, "must be a string, is %s", jsonTypeName(v))
			return
		}
		if !valid(s) {
			c.addFinding(pointer, "%q is not %s", s, expected)
		}
	}
}

// oneOf returns a check that a string is one of the allowed ones.
func oneOf(allowed ...string) check {
	return text("one of "+strings.Join(allowed, ", "), func(s string) bool { return slices.Contains(allowed, s) })
}

// number returns a check of a number's range, both ends included. If integer is
// set, only whole numbers are valid.
func number(minimum, maximum float64, integer bool) check {
	return func(c *checker, pointer string, v any) {
		n, ok := v.(json.Number)
		if !ok {
			c.addFinding(pointer, "must be a number, is %s", jsonTypeName(v))
			return
		}
		if _, err := n.Int64(); integer && err != nil {
			c.addFinding(pointer, "must be a whole number, is %s", n)
			return
		}
		value, err := n.Float64()
		if err != nil || value < minimum || value > maximum {
			c.addFinding(pointer, "%s is out of range %s to %s", n, formatNumber(minimum), formatNumber(maximum))
		}
	}
}

// boolean checks that a value is true or false.
func boolean(c *checker, pointer string, v any) {
	if _, ok := v.(bool); !ok {
		c.addFinding(pointer, "must be true or false, is %s", jsonTypeName(v))
	}
}

func formatNumber(f float64) string {
	return strconv.FormatFloat(f, 'f', -1, 64)
}

func jsonTypeName(v any) string {
	switch v.(type) {
	case nil:
		return "null"
	case string:
		return "a string"
	case json.Number:
		return "a number"
	case bool:
		return "a boolean"
	case []any:
		return "an array"
	}
	return "an object"
}
