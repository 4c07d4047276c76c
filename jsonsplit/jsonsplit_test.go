package jsonsplit

import (
	"bytes"
	"encoding/json"
	"errors"
	"strings"
	"testing"
)

func TestSplitsWhatDecodersReject(t *testing.T) {
	deep := strings.Repeat("[", 20_000) + strings.Repeat("]", 20_000)
	members, err := Object([]byte(` {"a" : `+deep+`, "b\"}" : 1e999, "c":"x,]\\"} `), 3)
	if err != nil || len(members) != 3 || string(members["a"]) != deep || string(members[`b"}`]) != "1e999" || string(members["c"]) != `"x,]\\"` {
		t.Errorf("got %d members, error %v, want a, b\"} and c as written", len(members), err)
	}
	elements, err := Array([]byte(`[17, `+deep+`,{"x":[1,2]},bad]`), 4)
	if err != nil || len(elements) != 4 || string(elements[2]) != `{"x":[1,2]}` || string(elements[3]) != "bad" {
		t.Errorf("got %d elements, error %v, want 4", len(elements), err)
	}
}

func TestSplitRejectsWhatIsNotBalanced(t *testing.T) {
	for _, text := range []string{"", "[", "]", "[}", "[1,]", "[,1]", "[[]", "[]]", `["]`, `["\"]`, "{}", "null"} {
		if got, err := Array([]byte(text), len(text)); err == nil {
			t.Errorf("%q: got %q, want an error", text, got)
		}
	}
	for _, text := range []string{"", "{", `{"a"}`, `{"a"1}`, `{a:1}`, `{1:2}`, `{"a":1,}`, "[]", "null"} {
		if got, err := Object([]byte(text), len(text)); err == nil {
			t.Errorf("%q: got %q, want an error", text, got)
		}
	}
}

func TestSplitRejectsTooManyMembers(t *testing.T) {
	if got, err := Array([]byte(`[1,[2,3],4]`), 2); !errors.Is(err, ErrTooMany) {
		t.Errorf("got elements %q, error %v, want ErrTooMany", got, err)
	}
	// Members of one name count each.
	if got, err := Object([]byte(`{"a":1,"a":2,"b":{"c":3}}`), 2); !errors.Is(err, ErrTooMany) {
		t.Errorf("got members %q, error %v, want ErrTooMany", got, err)
	}
}

// FuzzSplit compares the members of valid texts with those that encoding/json finds.
func FuzzSplit(f *testing.F) {
	for _, text := range []string{`{"a":1,"b":[{"c":"}"}],"a":"x"}`, `["a",{"b":[]},null,-1e5]`, `{}`, `[]`, `{"\u0061":"\\"}`, `{"":{}}`} {
		f.Add([]byte(text))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		members, objectErr := Object(data, len(data))
		elements, arrayErr := Array(data, len(data))
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
