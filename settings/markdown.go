package settings

import (
	_ "embed"
	"fmt"
	"strings"
)

//go:embed intro.md
var intro string

// Markdown returns the content of docs/SETTINGS.md.
func Markdown() string {
	var out strings.Builder
	out.WriteString(intro)
	out.WriteString("| Key | Type | Unit | Range | Default | Read at | Effect |\n")
	out.WriteString("| --- | --- | --- | --- | --- | --- | --- |\n")
	for _, k := range table {
		fmt.Fprintf(&out, "| `%s` | %s | %s | %s | %s | %s | %s |\n",
			k.Name, k.Type, k.Unit, k.Range(), k.Default(), k.LevelNames(), k.Description)
	}
	return out.String()
}

// Range returns the range of allowed values, as "MIN to MAX".
func (k Key) Range() string {
	return formatNumber(k.Min) + " to " + formatNumber(k.Max)
}

// LevelNames returns the levels at which the router reads the key, separated by
// commas.
func (k Key) LevelNames() string {
	names := make([]string, len(k.Levels))
	for i, l := range k.Levels {
		names[i] = string(l)
	}
	return strings.Join(names, ", ")
}

// Explain returns a description of the key of several lines, for the command
// line.
func (k Key) Explain() string {
	var out strings.Builder
	fmt.Fprintf(&out, "%s\n  %s\n", k.Name, k.Description)
	fmt.Fprintf(&out, "  type:    %s\n", k.Type)
	if k.Unit != unitNone {
		fmt.Fprintf(&out, "  unit:    %s\n", k.Unit)
	}
	fmt.Fprintf(&out, "  range:   %s\n  default: %s\n  read at: %s\n", k.Range(), k.Default(), k.LevelNames())
	return out.String()
}
