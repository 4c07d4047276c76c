package settings

import (
	"cmp"
	"slices"
	"strings"
)

// Finding is one fault of a document.
type Finding struct {
	// File is the document's path below the settings directory, such as
	// services/assistente.json; objects of the platform are named the same way.
	File string `json:"file"`
	// Pointer is the JSON pointer (RFC 6901) of the faulty value; empty means
	// the whole document.
	Pointer string `json:"pointer"`
	Message string `json:"message"`

	// harmless findings do not keep a stored document from being used: a key
	// written by a later release must not undo the rest of its document.
	harmless bool
}

// String returns the finding as "file: /json/pointer: message".
func (f Finding) String() string {
	pointer := f.Pointer
	if pointer == "" {
		pointer = "/"
	}
	return f.File + ": " + pointer + ": " + f.Message
}

// Findings are all faults found at once. As an error it prints one line each.
type Findings []Finding

// Error implements error.
func (f Findings) Error() string {
	lines := make([]string, len(f))
	for i, one := range f {
		lines[i] = one.String()
	}
	return strings.Join(lines, "\n")
}

// Err returns the findings as an error, or nil if there are none.
func (f Findings) Err() error {
	if len(f) == 0 {
		return nil
	}
	return f
}

// Of returns the findings of one file.
func (f Findings) Of(file string) Findings {
	var own Findings
	for _, one := range f {
		if one.File == file {
			own = append(own, one)
		}
	}
	return own
}

func (f Findings) harmless() bool {
	for _, one := range f {
		if !one.harmless {
			return false
		}
	}
	return true
}

func (f Findings) sorted() Findings {
	slices.SortStableFunc(f, func(a, b Finding) int {
		return cmp.Or(cmp.Compare(a.File, b.File), cmp.Compare(a.Pointer, b.Pointer))
	})
	return f
}
