package wire

import (
	"errors"
	"testing"

	"ragwortpond.example/ragwortpond/outcome"
	"ragwortpond.example/ragwortpond/peer"
	"ragwortpond.example/ragwortpond/reason"
)

// discard is a sink that discards the answer.
type discard struct{}

func (discard) Head(Head) error            { return nil }
func (discard) Event(uint64, []byte) error { return nil }
func (discard) Flush() error               { return nil }

// FuzzMessages decodes frames with arbitrary content, as an authenticated but
// faulty peer might send them. They must either decode or be rejected with
// peer.ErrBadFrame.
func FuzzMessages(f *testing.F) {
	forward, err := peer.Encode(Forward{Service: "chat", Target: "e1", Body: []byte("{}")})
	if err != nil {
		f.Fatal(err)
	}
	end, err := peer.Encode(End{Outcome: outcome.Answered, Reason: reason.None})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(uint8(FrameForward), forward)
	f.Add(uint8(FrameEnd), end)
	f.Add(uint8(FrameHead), []byte{0xa1, 0x01, 0x18, 0xc8})
	f.Add(uint8(FrameEvent), []byte{1, 2, 3})
	f.Add(uint8(200), []byte{0xff})
	f.Fuzz(func(t *testing.T, kind uint8, payload []byte) {
		var fwd Forward
		if err := peer.Decode(payload, &fwd); err != nil && !errors.Is(err, peer.ErrBadFrame) {
			t.Fatalf("forward: %v", err)
		}
		_, _, err := deliverFrame(peer.FrameKind(kind), payload, discard{})
		if err != nil && !errors.Is(err, peer.ErrBadFrame) {
			t.Fatalf("kind %d: %v", kind, err)
		}
	})
}
