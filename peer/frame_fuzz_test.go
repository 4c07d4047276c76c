package peer

import (
	"bytes"
	"encoding/binary"
	"errors"
	"io"
	"testing"
)

const fuzzLimit = 1 << 12

// FuzzReadFrame reads frames from arbitrary bytes. Frames must be returned as
// sent, no frame may be over the limit, and reading must end with one of the
// package's errors.
func FuzzReadFrame(f *testing.F) {
	f.Add([]byte{})
	f.Add([]byte{1, 0, 0, 0, 0})
	f.Add([]byte{2, 0, 0, 0, 3, 'a', 'b', 'c', 9, 0, 0})
	f.Add([]byte{3, 0xff, 0xff, 0xff, 0xff, 'x'})
	f.Add([]byte{4, 0, 0, 0x10, 0x01})
	f.Fuzz(func(t *testing.T, raw []byte) {
		r := bytes.NewReader(raw)
		var buffer []byte
		for {
			at := len(raw) - r.Len()
			kind, payload, err := readFrame(r, buffer, fuzzLimit)
			if err != nil {
				checkReadError(t, err, raw[at:])
				return
			}
			if len(payload) > fuzzLimit {
				t.Fatalf("got a frame of %d bytes, want at most %d", len(payload), fuzzLimit)
			}
			want := raw[at+frameHeaderBytes:][:len(payload)]
			if kind != FrameKind(raw[at]) || !bytes.Equal(payload, want) {
				t.Fatalf("got frame kind %d, payload %x, want kind %d, payload %x", kind, payload, raw[at], want)
			}
			buffer = payload[:cap(payload)]
		}
	})
}

// checkReadError requires io.EOF exactly between frames, ErrFrameTooLarge for a
// frame over the limit and ErrBroken for a truncated one.
func checkReadError(t *testing.T, err error, rest []byte) {
	t.Helper()
	tooLarge := len(rest) >= frameHeaderBytes && binary.BigEndian.Uint32(rest[1:]) > fuzzLimit
	switch {
	case len(rest) == 0 && errors.Is(err, io.EOF):
	case tooLarge && errors.Is(err, ErrFrameTooLarge):
	case len(rest) > 0 && !tooLarge && errors.Is(err, ErrBroken):
	default:
		t.Fatalf("%d bytes left: got unexpected error %v", len(rest), err)
	}
}
