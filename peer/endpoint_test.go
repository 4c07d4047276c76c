package peer

import (
	"bytes"
	"context"
	"errors"
	"io"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"ragwortpond.example/ragwortpond/fleet"
	"ragwortpond.example/ragwortpond/keys"
	"ragwortpond.example/ragwortpond/task"
)

const testTimeout = 10 * time.Second

func startNode(t *testing.T, ca *keys.Authority, name string, mux *Mux) *Endpoint {
	t.Helper()
	return startNodeWithHandlers(t, ca, name, mux, 64)
}

// startNodeWithHandlers starts a node that runs at most the given number of
// handlers at once.
func startNodeWithHandlers(t *testing.T, ca *keys.Authority, name string, mux *Mux, handlers int) *Endpoint {
	t.Helper()
	pair, err := ca.Issue(name, []string{"127.0.0.1"})
	if err != nil {
		t.Fatal(err)
	}
	cfg, err := keys.PeerTLS(pair, ca.KeyPair().Cert, Protocol)
	if err != nil {
		t.Fatal(err)
	}
	pool, err := task.NewPool(handlers)
	if err != nil {
		t.Fatal(err)
	}
	n, err := Listen(Config{Addr: "127.0.0.1:0", TLS: cfg, Mux: mux, Pool: pool, Log: zerolog.Nop()})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		n.Close()
		pool.Release()
	})
	return n
}

type echoMessage struct {
	Text string         `cbor:"1,keyasint"`
	From fleet.RouterID `cbor:"2,keyasint"`
}

func startPair(t *testing.T, mux *Mux) (client, server *Endpoint) {
	t.Helper()
	ca, err := keys.NewAuthority("ca")
	if err != nil {
		t.Fatal(err)
	}
	return startNode(t, ca, "r1", NewMux()), startNode(t, ca, "r2", mux)
}

func TestCallIdentifiesCaller(t *testing.T) {
	mux := NewMux()
	mux.HandleCall(MethodStatus, func(_ context.Context, from fleet.RouterID, payload []byte) (any, error) {
		var in echoMessage
		if err := Decode(payload, &in); err != nil {
			return nil, err
		}
		in.From = from
		return in, nil
	})
	client, server := startPair(t, mux)
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	var out echoMessage
	if err := client.Call(ctx, server.Addr(), MethodStatus, echoMessage{Text: "a"}, &out); err != nil {
		t.Fatal(err)
	}
	if out.Text != "a" || out.From != "r1" {
		t.Fatalf("got %+v, want text a from r1", out)
	}
	if err := client.Call(ctx, server.Addr(), MethodLoad, echoMessage{}, &out); !errors.Is(err, ErrNoHandler) {
		t.Fatalf("unknown method: got %v, want ErrNoHandler", err)
	}
	if err := client.Call(ctx, server.Addr(), MethodStatus, 7, &out); !errors.Is(err, ErrRemote) {
		t.Fatalf("undecodable payload: got %v, want ErrRemote", err)
	}
	if server.BadFrames() != 1 {
		t.Fatalf("got %d bad frames, want 1", server.BadFrames())
	}
}

func TestOversizedFrameClosesOnlyItsStream(t *testing.T) {
	mux := NewMux()
	mux.HandleStream(MethodForward, func(_ context.Context, _ fleet.RouterID, s *Stream) {
		for {
			kind, payload, err := s.Receive()
			if err != nil {
				return
			}
			if s.Send(kind, payload) != nil {
				return
			}
		}
	})
	client, server := startPair(t, mux)
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	good, err := client.Open(ctx, server.Addr(), MethodForward)
	if err != nil {
		t.Fatal(err)
	}
	bad, err := client.Open(ctx, server.Addr(), MethodForward)
	if err != nil {
		t.Fatal(err)
	}
	bad.out = append(bad.out, 1, 0xff, 0xff, 0xff, 0xff)
	if err := bad.Flush(); err != nil {
		t.Fatal(err)
	}
	if _, _, err := bad.Receive(); err == nil {
		t.Fatal("oversized frame: got an answer, want an error")
	}
	if server.BadFrames() != 1 {
		t.Fatalf("got %d bad frames, want 1", server.BadFrames())
	}
	if err := good.Send(3, []byte("whole")); err != nil {
		t.Fatal(err)
	}
	kind, payload, err := good.Receive()
	if err != nil || kind != 3 || !bytes.Equal(payload, []byte("whole")) {
		t.Fatalf("got kind %d, payload %q, error %v, want kind 3, payload \"whole\"", kind, payload, err)
	}
	if err := good.Close(); err != nil {
		t.Fatal(err)
	}
	if _, _, err := good.Receive(); !errors.Is(err, io.EOF) {
		t.Fatalf("after close: got %v, want io.EOF", err)
	}
}

func TestDeadPeerIsUnreachable(t *testing.T) {
	client, server := startPair(t, NewMux())
	addr := server.Addr()
	server.Close()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	if _, err := client.Open(ctx, addr, MethodForward); !errors.Is(err, ErrUnreachable) {
		t.Fatalf("got %v, want ErrUnreachable", err)
	}
}

func TestBusyPeerRefusesStream(t *testing.T) {
	mux := NewMux()
	entered := make(chan struct{}, 1)
	release := make(chan struct{})
	mux.HandleStream(MethodForward, func(context.Context, fleet.RouterID, *Stream) {
		entered <- struct{}{}
		<-release
	})
	ca, err := keys.NewAuthority("ca")
	if err != nil {
		t.Fatal(err)
	}
	client, server := startNode(t, ca, "r1", NewMux()), startNodeWithHandlers(t, ca, "r2", mux, 1)
	defer close(release)
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	first, err := client.Open(ctx, server.Addr(), MethodForward)
	if err != nil {
		t.Fatal(err)
	}
	if err := first.Flush(); err != nil {
		t.Fatal(err)
	}
	<-entered
	second, err := client.Open(ctx, server.Addr(), MethodForward)
	if err != nil {
		t.Fatal(err)
	}
	if err := second.Flush(); err != nil {
		t.Fatal(err)
	}
	if _, _, err := second.Receive(); !errors.Is(err, ErrBusy) {
		t.Fatalf("got %v, want ErrBusy", err)
	}
}
