package relay

import (
	"errors"
	"io"
	"sync/atomic"
)

// errBodyMemory means that the bodies of the requests in flight take all the memory that they may.
var errBodyMemory = errors.New("relay: no memory for request bodies left")

// bodyMemory counts the bytes of the bodies of the requests in flight. It is safe for concurrent
// use.
type bodyMemory struct {
	// limit is their maximum; zero means that there is none.
	limit int64
	used  atomic.Int64
}

// chargedBody is a body whose bytes count until release is called. It is used by its request's
// goroutine only.
type chargedBody struct {
	io.ReadCloser
	memory  *bodyMemory
	charged int64
}

// Read implements io.Reader. It fails with errBodyMemory once the limit is reached.
func (b *chargedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	b.charged += int64(n)
	if used := b.memory.used.Add(int64(n)); b.memory.limit > 0 && used > b.memory.limit {
		return n, errBodyMemory
	}
	return n, err
}

// release takes back what was counted. It must be called once, after the last read.
func (b *chargedBody) release() {
	b.memory.used.Add(-b.charged)
}
