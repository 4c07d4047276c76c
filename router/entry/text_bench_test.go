package entry

import "testing"

// BenchmarkTextAdd is what keeping the text costs for each event of a stream.
func BenchmarkTextAdd(b *testing.B) {
	event := []byte(`{"id":"chatcmpl-0123456789abcdef0123456789abcdef","object":"chat.completion.chunk",` +
		`"choices":[{"index":0,"delta":{"content":" w12ab34"},"finish_reason":null}]}`)
	b.ReportAllocs()
	for b.Loop() {
		var t text
		for range 500 {
			t.add(event)
		}
	}
}
