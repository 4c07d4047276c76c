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

// checker gathers the findings of one document.
type checker struct {
	file     string
	findings Findings
}

// check examines the value at a JSON pointer.
type check func(c *checker, at string, v any)

// field describes one member of a JSON object.
type field struct {
	name     string
	required bool
	check    check
}

func (c *checker) add(at, format string, args ...any) {
	c.findings = append(c.findings, Finding{File: c.file, Pointer: at, Message: fmt.Sprintf(format, args...)})
}

// decode parses one JSON value and reports malformed or trailing input.
func (c *checker) decode(data []byte) (any, bool) {
	d := json.NewDecoder(bytes.NewReader(data))
	d.UseNumber()
	var v any
	if err := d.Decode(&v); err != nil {
		c.add("", "not valid JSON at byte %d: %v", d.InputOffset(), err)
		return nil, false
	}
	if _, err := d.Token(); err != io.EOF {
		c.add("", "text after the JSON value at byte %d", d.InputOffset())
		return nil, false
	}
	return v, true
}

// child returns the JSON pointer of a member.
func child(at, name string) string {
	name = strings.ReplaceAll(name, "~", "~0")
	return at + "/" + strings.ReplaceAll(name, "/", "~1")
}

// object checks the members of an object against its fields.
func object(fields ...field) check {
	return func(c *checker, at string, v any) {
		members, ok := v.(map[string]any)
		if !ok {
			c.add(at, "must be an object, is %s", typeName(v))
			return
		}
		c.members(at, members, fields)
	}
}

// members checks the known members and removes the others.
func (c *checker) members(at string, members map[string]any, fields []field) {
	known := map[string]bool{}
	for _, f := range fields {
		known[f.name] = true
		v, present := members[f.name]
		if present {
			f.check(c, child(at, f.name), v)
			continue
		}
		if f.required {
			c.add(at, "%q is required", f.name)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(members)) {
		if !known[name] {
			c.add(child(at, name), "unknown key")
			c.findings[len(c.findings)-1].harmless = true
			delete(members, name)
		}
	}
}

// list checks each element.
func list(element check) check {
	return func(c *checker, at string, v any) {
		elements, ok := v.([]any)
		if !ok {
			c.add(at, "must be an array, is %s", typeName(v))
			return
		}
		for i, e := range elements {
			element(c, child(at, strconv.Itoa(i)), e)
		}
	}
}

// text checks a string by a predicate; want says what is expected.
func text(want string, valid func(string) bool) check {
	return func(c *checker, at string, v any) {
		s, ok := v.(string)
		if !ok {
			c.add(at, "must be a string, is %s", typeName(v))
			return
		}
		if !valid(s) {
			c.add(at, "%q is not %s", s, want)
		}
	}
}

// oneOf checks a string against the allowed ones.
func oneOf(allowed ...string) check {
	return text("one of "+strings.Join(allowed, ", "), func(s string) bool { return slices.Contains(allowed, s) })
}

// number checks a number's range; whole numbers only if whole is set.
func number(lowest, highest float64, whole bool) check {
	return func(c *checker, at string, v any) {
		n, ok := v.(json.Number)
		if !ok {
			c.add(at, "must be a number, is %s", typeName(v))
			return
		}
		if _, err := n.Int64(); whole && err != nil {
			c.add(at, "must be a whole number, is %s", n)
			return
		}
		f, err := n.Float64()
		if err != nil || f < lowest || f > highest {
			c.add(at, "%s is out of range %s to %s", n, plainNumber(lowest), plainNumber(highest))
		}
	}
}

// boolean checks for true or false.
func boolean(c *checker, at string, v any) {
	if _, ok := v.(bool); !ok {
		c.add(at, "must be true or false, is %s", typeName(v))
	}
}

func plainNumber(f float64) string {
	return strconv.FormatFloat(f, 'f', -1, 64)
}

func typeName(v any) string {
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
