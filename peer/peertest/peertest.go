// Package peertest starts endpoints of package peer for tests.
package peertest

import (
	"testing"
	"time"

	"github.com/rs/zerolog"

	"ragwortpond.example/ragwortpond/keys"
	"ragwortpond.example/ragwortpond/peer"
	"ragwortpond.example/ragwortpond/task"
)

// handlers bounds the handlers that an endpoint runs at a time.
const handlers = 1000

// Listen starts an endpoint on a loopback address, with a certificate of ca for name. It
// is closed when the test ends. idleTimeout is as in peer.Config.
func Listen(t testing.TB, ca *keys.Authority, name string, mux *peer.Mux, idleTimeout time.Duration) *peer.Endpoint {
	t.Helper()
	pair, err := ca.Issue(name, []string{"127.0.0.1"})
	if err != nil {
		t.Fatal(err)
	}
	tlsConfig, err := keys.PeerTLS(pair, ca.KeyPair().Cert, peer.Protocol)
	if err != nil {
		t.Fatal(err)
	}
	pool, err := task.NewPool(handlers)
	if err != nil {
		t.Fatal(err)
	}
	n, err := peer.Listen(peer.Config{
		Addr: "127.0.0.1:0", TLS: tlsConfig, IdleTimeout: idleTimeout, Mux: mux, Pool: pool, Log: zerolog.Nop(),
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = n.Close()
		pool.Release()
	})
	return n
}
