// Package explaintest records log lines in tests and returns the lines about a request
// from them.
package explaintest

import (
	"bytes"
	"sync"
	"testing"

	"ragwortpond.example/ragwortpond/explain"
)

// Log is a log output that keeps all lines in memory. The zero value is ready for
// use. It is safe for concurrent use.
type Log struct {
	mu   sync.Mutex
	text bytes.Buffer
}

// Write implements io.Writer.
func (l *Log) Write(line []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(line)
}

// RequestLines returns the lines about a request, as explain.RequestLines does, from the lines
// written so far. It fails the test on an error.
func (l *Log) RequestLines(t testing.TB, id string) []explain.Line {
	t.Helper()
	l.mu.Lock()
	defer l.mu.Unlock()
	lines, err := explain.RequestLines(id, bytes.NewReader(l.text.Bytes()))
	if err != nil {
		t.Fatal(err)
	}
	return lines
}
