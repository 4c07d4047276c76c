package keys

import (
	"crypto/tls"
	"errors"
	"net"
	"testing"
)

func handshake(t *testing.T, server, client *tls.Config) (tls.ConnectionState, error) {
	t.Helper()
	l, err := tls.Listen("tcp", "127.0.0.1:0", server)
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	type result struct {
		state tls.ConnectionState
		err   error
	}
	accepted := make(chan result, 1)
	go func() {
		conn, err := l.Accept()
		if err != nil {
			accepted <- result{err: err}
			return
		}
		defer conn.Close()
		srv := conn.(*tls.Conn)
		err = srv.Handshake()
		accepted <- result{srv.ConnectionState(), err}
	}()
	raw, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer raw.Close()
	clientErr := tls.Client(raw, client).Handshake()
	if clientErr != nil {
		raw.Close()
	}
	got := <-accepted
	return got.state, errors.Join(clientErr, got.err)
}

func peerConfig(t *testing.T, ca *Authority, name string) *tls.Config {
	t.Helper()
	pair, err := ca.Issue(name, []string{"127.0.0.1"})
	if err != nil {
		t.Fatal(err)
	}
	cfg, err := PeerTLS(pair, ca.KeyPair().Cert, "test")
	if err != nil {
		t.Fatal(err)
	}
	return cfg
}

func TestPeerTLSAcceptsOnlyItsAuthority(t *testing.T) {
	ca, err := NewAuthority("ca")
	if err != nil {
		t.Fatal(err)
	}
	other, err := NewAuthority("other")
	if err != nil {
		t.Fatal(err)
	}
	state, err := handshake(t, peerConfig(t, ca, "r1"), peerConfig(t, ca, "r2"))
	if err != nil {
		t.Fatal(err)
	}
	if got := state.PeerCertificates[0].Subject.CommonName; got != "r2" {
		t.Fatalf("got peer name %q, want r2", got)
	}
	if _, err := handshake(t, peerConfig(t, ca, "r1"), peerConfig(t, other, "r3")); err == nil {
		t.Fatal("certificate of another authority: got no error, want one")
	}
}

func TestAuthorityRoundTrip(t *testing.T) {
	ca, err := NewAuthority("ca")
	if err != nil {
		t.Fatal(err)
	}
	loaded, err := LoadAuthority(ca.KeyPair())
	if err != nil {
		t.Fatal(err)
	}
	if _, err := handshake(t, peerConfig(t, ca, "r1"), peerConfig(t, loaded, "r2")); err != nil {
		t.Fatal(err)
	}
}
