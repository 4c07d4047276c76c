package relay

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"testing/iotest"
)

// TestAnnouncedLengthReservesNoMemory announces a long body of which little arrives.
func TestAnnouncedLengthReservesNoMemory(t *testing.T) {
	stalled := io.MultiReader(strings.NewReader("start"), iotest.ErrReader(io.ErrUnexpectedEOF))
	req := &http.Request{ContentLength: 4 << 20, Body: io.NopCloser(stalled)}
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	_, err := readAll(req, 4<<20)
	runtime.ReadMemStats(&after)
	if !errors.Is(err, io.ErrUnexpectedEOF) {
		t.Errorf("got error %v, want io.ErrUnexpectedEOF", err)
	}
	if allocated := after.TotalAlloc - before.TotalAlloc; allocated > maxBodyPrealloc {
		t.Errorf("got %d KB reserved, want at most %d", allocated>>10, maxBodyPrealloc>>10)
	}
}

func TestReadAllReturnsLongBody(t *testing.T) {
	body := bytes.Repeat([]byte("x"), 3*maxBodyPrealloc)
	for _, length := range []int64{-1, int64(len(body))} {
		req := &http.Request{ContentLength: length, Body: io.NopCloser(bytes.NewReader(body))}
		if got, err := readAll(req, int64(len(body))); err != nil || !bytes.Equal(got, body) {
			t.Errorf("length %d: got %d bytes, error %v, want all", length, len(got), err)
		}
	}
}
