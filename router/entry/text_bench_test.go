package entry

import "testing"

// BenchmarkTextAdd measures storing the 500 events of one stream.
func BenchmarkTextAdd(b *testing.B) {
	event := []byte(`{"id":"chatcmpl-0123456789abcdef0123456789abcdef","object":"chat.completion.chunk",` +
		`"choices":[{"index":0,"delta":{"content":" w12ab34"},"finish_reason":null}]}`)
	b.ReportAllocs()
	for b.Loop() {
		var t answerText
		for range 500 {
			t.add(event)
		}
	}
}
