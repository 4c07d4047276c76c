package event

import (
	"fmt"
	"strings"
)

// Markdown returns the content of docs/EVENTS.md.
func Markdown() string {
	var b strings.Builder
	b.WriteString("# Log events\n\nEvery log line carries `event` (the number) and `name`. Numbers are stable; each package has a block of one\n")
	b.WriteString("hundred. This page is generated from the catalogue in package `event`.\n\n")
	b.WriteString("| number | name | level | meaning |\n| --- | --- | --- | --- |\n")
	for _, e := range All() {
		fmt.Fprintf(&b, "| %d | `%s` | %s | %s |\n", e.Number, e.Name, e.Level, e.Text)
	}
	return b.String()
}
