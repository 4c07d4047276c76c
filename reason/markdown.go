package reason

import (
	"fmt"
	"strings"
)

// Markdown returns the content of docs/REASONS.md.
func Markdown() string {
	var b strings.Builder
	b.WriteString("# Reasons\n\nEvery refusal names one of these codes: in the `Ragwort-Reason` header, in `error.code` of the body, and as the\n")
	b.WriteString("label of the counters `ragwort_refusals_total`, `ragwort_retries_total` and `ragwort_discards_total`. The status is that of\n")
	b.WriteString("the final answer; `Retry-After` is set where a retry is useful. This page is generated from the catalogue in package\n`reason`.\n\n")
	b.WriteString("| code | status | retry useful | meaning |\n| --- | --- | --- | --- |\n")
	for _, c := range All() {
		info := Describe(c)
		fmt.Fprintf(&b, "| `%s` | %d | %s | %s |\n", c, info.Status, yesNo(info.Retriable), info.Text)
	}
	return b.String()
}

func yesNo(v bool) string {
	if v {
		return "yes"
	}
	return "no"
}
