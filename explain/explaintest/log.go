// Package explaintest lets tests read the story of a request from what was
// logged so far.
package explaintest

import (
	"bytes"
	"sync"
	"testing"

	"ragwortpond.example/ragwortpond/explain"
)

// Log keeps what is logged. The zero value is ready; it is safe for concurrent
// use.
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

// Story returns the lines about a request in the order of time.
func (l *Log) Story(t testing.TB, id string) []explain.Line {
	t.Helper()
	l.mu.Lock()
	defer l.mu.Unlock()
	lines, err := explain.Story(id, bytes.NewReader(l.text.Bytes()))
	if err != nil {
		t.Fatal(err)
	}
	return lines
}
