package peer

import (
	"bytes"
	"encoding/binary"
	"errors"
	"io"
	"testing"
)

const fuzzLimit = 1 << 12

// FuzzReadFrame reads frames from any bytes. What is read must be what was
// sent, no frame may be over the limit, and every end has one of the package's
// errors.
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
				checkEnd(t, err, raw[at:])
				return
			}
			if len(payload) > fuzzLimit {
				t.Fatalf("a frame of %d bytes passed", len(payload))
			}
			want := raw[at+frameHeaderBytes:][:len(payload)]
			if kind != FrameKind(raw[at]) || !bytes.Equal(payload, want) {
				t.Fatalf("read %d %x, sent %d %x", kind, payload, raw[at], want)
			}
			buffer = payload[:cap(payload)]
		}
	})
}

// checkEnd wants io.EOF exactly between frames.
func checkEnd(t *testing.T, err error, rest []byte) {
	t.Helper()
	tooLarge := len(rest) >= frameHeaderBytes && binary.BigEndian.Uint32(rest[1:]) > fuzzLimit
	switch {
	case len(rest) == 0 && errors.Is(err, io.EOF):
	case tooLarge && errors.Is(err, ErrFrameTooLarge):
	case len(rest) > 0 && !tooLarge && errors.Is(err, ErrBroken):
	default:
		t.Fatalf("%d bytes left: %v", len(rest), err)
	}
}
