// Package conntest has servers for tests of how clients treat broken peers: what they
// send is not bound to any protocol.
package conntest

import (
	"net"
	"testing"
)

// Serve is ServeAt on a free loopback address.
func Serve(t testing.TB, f func(c net.Conn)) string {
	t.Helper()
	return ServeAt(t, "127.0.0.1:0", f)
}

// ServeAt listens on an address, which it returns as host:port, and calls f in a goroutine
// of its own for each connection until the test ends. The connection is closed when f
// returns.
func ServeAt(t testing.TB, addr string, f func(c net.Conn)) string {
	t.Helper()
	l, err := net.Listen("tcp4", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				f(c)
			}()
		}
	}()
	return l.Addr().String()
}

// Flood writes head and then block again and again, until the peer closes c.
func Flood(c net.Conn, head, block string) {
	_, err := c.Write([]byte(head))
	for data := []byte(block); err == nil; {
		_, err = c.Write(data)
	}
}
