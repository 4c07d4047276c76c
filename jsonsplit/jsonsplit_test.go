package jsonsplit

import (
	"bytes"
	"encoding/json"
	"strings"
	"testing"
)

func TestSplitsWhatDecodersReject(t *testing.T) {
	deep := strings.Repeat("[", 20_000) + strings.Repeat("]", 20_000)
	members, err := Object([]byte(` {"a" : ` + deep + `, "b\"}" : 1e999, "c":"x,]\\"} `))
	if err != nil || len(members) != 3 || string(members["a"]) != deep || string(members[`b"}`]) != "1e999" || string(members["c"]) != `"x,]\\"` {
		t.Errorf("got %d members, error %v, want a, b\"} and c as written", len(members), err)
	}
	elements, err := Array([]byte(`[17, ` + deep + `,{"x":[1,2]},bad]`))
	if err != nil || len(elements) != 4 || string(elements[2]) != `{"x":[1,2]}` || string(elements[3]) != "bad" {
		t.Errorf("got %d elements, error %v, want 4", len(elements), err)
	}
}

func TestSplitRejectsWhatIsNotBalanced(t *testing.T) {
	for _, text := range []string{"", "[", "]", "[}", "[1,]", "[,1]", "[[]", "[]]", `["]`, `["\"]`, "{}", "null"} {
		if got, err := Array([]byte(text)); err == nil {
			t.Errorf("%q: got %q, want an error", text, got)
		}
	}
	for _, text := range []string{"", "{", `{"a"}`, `{"a"1}`, `{a:1}`, `{1:2}`, `{"a":1,}`, "[]", "null"} {
		if got, err := Object([]byte(text)); err == nil {
			t.Errorf("%q: got %q, want an error", text, got)
		}
	}
}

// FuzzSplit compares the members of valid texts with those that encoding/json finds.
func FuzzSplit(f *testing.F) {
	for _, text := range []string{`{"a":1,"b":[{"c":"}"}],"a":"x"}`, `["a",{"b":[]},null,-1e5]`, `{}`, `[]`, `{"\u0061":"\\"}`, `{"":{}}`} {
		f.Add([]byte(text))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		members, objectErr := Object(data)
		elements, arrayErr := Array(data)
		var wantMembers map[string]json.RawMessage
		if err := json.Unmarshal(data, &wantMembers); err == nil && wantMembers != nil {
			if objectErr != nil || len(members) != len(wantMembers) {
				t.Fatalf("%q: got members %q, error %v, want %q", data, members, objectErr, wantMembers)
			}
			for name, want := range wantMembers {
				if !bytes.Equal(members[name], want) {
					t.Errorf("%q: got member %q = %q, want %q", data, name, members[name], want)
				}
			}
		}
		var wantElements []json.RawMessage
		if err := json.Unmarshal(data, &wantElements); err == nil && wantElements != nil {
			if arrayErr != nil || len(elements) != len(wantElements) {
				t.Fatalf("%q: got elements %q, error %v, want %q", data, elements, arrayErr, wantElements)
			}
			for i, want := range wantElements {
				if !bytes.Equal(elements[i], want) {
					t.Errorf("%q: got element %d %q, want %q", data, i, elements[i], want)
				}
			}
		}
	})
}
