package settings

import (
	_ "embed"
	"fmt"
	"strings"
)

//go:embed intro.md
var intro string

// Markdown returns the text of docs/SETTINGS.md.
func Markdown() string {
	var out strings.Builder
	out.WriteString(intro)
	out.WriteString("| Key | Type | Unit | Range | Default | Read at | Effect |\n")
	out.WriteString("| --- | --- | --- | --- | --- | --- | --- |\n")
	for _, k := range table {
		fmt.Fprintf(&out, "| `%s` | %s | %s | %s | %s | %s | %s |\n",
			k.Name, k.Type, k.Unit, k.Range(), k.Default(), k.LevelNames(), k.Effect)
	}
	return out.String()
}

// Range returns the allowed values as "lowest to highest".
func (k Key) Range() string {
	return plainNumber(k.Min) + " to " + plainNumber(k.Max)
}

// LevelNames returns the levels that the router reads, joined by commas.
func (k Key) LevelNames() string {
	names := make([]string, len(k.Levels))
	for i, l := range k.Levels {
		names[i] = string(l)
	}
	return strings.Join(names, ", ")
}

// Explain describes the key in a few lines for the command line.
func (k Key) Explain() string {
	var out strings.Builder
	fmt.Fprintf(&out, "%s\n  %s\n", k.Name, k.Effect)
	fmt.Fprintf(&out, "  type:    %s\n", k.Type)
	if k.Unit != unitNone {
		fmt.Fprintf(&out, "  unit:    %s\n", k.Unit)
	}
	fmt.Fprintf(&out, "  range:   %s\n  default: %s\n  read at: %s\n", k.Range(), k.Default(), k.LevelNames())
	return out.String()
}
