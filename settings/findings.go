package settings

import (
	"cmp"
	"slices"
	"strings"
)

// Finding describes one error in a document.
type Finding struct {
	// File is the document's path relative to the settings directory, such as
	// services/assistente.json. Objects read from the platform get the path that
	// their document would have. For a start file it is the path as given.
	File string `json:"file"`
	// Pointer is the JSON pointer (RFC 6901) of the invalid value; empty means
	// the whole document.
	Pointer string `json:"pointer"`
	Message string `json:"message"`

	// ignorable is set for an unknown key. A stored document that has only such
	// findings is still used, so that a key written by a later release does not
	// invalidate the rest of the document.
	ignorable bool
}

// String returns the finding as "file: /json/pointer: message".
func (f Finding) String() string {
	pointer := f.Pointer
	if pointer == "" {
		pointer = "/"
	}
	return f.File + ": " + pointer + ": " + f.Message
}

// Findings is a list of findings. As an error it prints one line for each.
type Findings []Finding

// Error returns the findings, one per line.
func (f Findings) Error() string {
	lines := make([]string, len(f))
	for i, finding := range f {
		lines[i] = finding.String()
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

// ForFile returns the findings on one file.
func (f Findings) ForFile(file string) Findings {
	var matching Findings
	for _, finding := range f {
		if finding.File == file {
			matching = append(matching, finding)
		}
	}
	return matching
}

func (f Findings) allIgnorable() bool {
	for _, finding := range f {
		if !finding.ignorable {
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
