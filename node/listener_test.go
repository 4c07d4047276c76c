package node

import (
	"errors"
	"net"
	"testing"
	"time"
)

// TestListenerLimitsConnections checks that a connection beyond the limit is accepted once another
// one is closed, and that Close ends a waiting Accept.
func TestListenerLimitsConnections(t *testing.T) {
	raw, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l := limitConns(raw, 2)
	accepted, ended := make(chan net.Conn), make(chan error, 1)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				ended <- err
				return
			}
			accepted <- c
		}
	}()
	for range 3 {
		c, err := net.Dial("tcp4", raw.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
	}
	first, second := <-accepted, <-accepted
	select {
	case <-accepted:
		t.Fatal("a third connection was accepted beside two open ones")
	case <-time.After(50 * time.Millisecond):
	}
	for range 2 {
		// A second close must not free another slot.
		_ = first.Close()
	}
	third := <-accepted
	defer third.Close()
	if err := l.Close(); err != nil {
		t.Errorf("Close: got error %v, want none", err)
	}
	if err := <-ended; !errors.Is(err, net.ErrClosed) {
		t.Errorf("Accept after Close: got error %v, want net.ErrClosed", err)
	}
	_ = second.Close()
}
