package targetconn

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"ragwortpond.example/ragwortpond/conntest"
)

// TestConnToAnotherAddressIsNoPresence guards against evidence by a connection to the address that a target had before.
func TestConnToAnotherAddressIsNoPresence(t *testing.T) {
	before := conntest.Serve(t, func(c net.Conn) {
		reader := bufio.NewReader(c)
		for {
			if _, err := http.ReadRequest(reader); err != nil {
				return
			}
			_, _ = fmt.Fprint(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
		}
	})
	p := NewPool(nil, nil)
	response, err := p.Do(t.Context(), &Request{Target: "t", Addr: before, Method: http.MethodGet, URI: "/", Host: before})
	if err != nil {
		t.Fatal(err)
	}
	_, _ = response.Read(make([]byte, 1))
	if p.IdleConns() != 1 {
		t.Fatal("the connection is not kept")
	}
	// Nothing listens there.
	if p.HasOpenSince("t", "127.0.0.1:1", time.Now()) {
		t.Error("got a connection to the former address as evidence, want none")
	}
}
