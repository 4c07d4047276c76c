package targetconn

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"ragwortpond.example/ragwortpond/await"
	"ragwortpond.example/ragwortpond/conntest"
)

// TestLossBeforeRenewalTellsNothingOfLaterEnd guards against breaking answers off because a target closed an idle connection long
// before their end, and the next one was opened after it.
func TestLossBeforeRenewalTellsNothingOfLaterEnd(t *testing.T) {
	s, p := startSilentServer(t, 50*time.Millisecond), NewPool(nil, nil)
	defer p.Watch("t", s.addr)()
	await.Until(t, "the connection that follows the lost one", func() bool { return s.accepted() == 2 })
	endedAt := time.Now().Add(-10 * time.Millisecond)
	time.Sleep(minWatchAge)
	if got := p.PresenceSince("t", s.addr, endedAt.Add(-time.Second), endedAt); got != PresenceUnknown {
		t.Errorf("%v after the loss: got %d, want %d", watchPause, got, PresenceUnknown)
	}
}

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
	if got := p.PresenceSince("t", "127.0.0.1:1", time.Time{}, time.Now()); got != PresenceUnknown {
		t.Errorf("got %d, want %d", got, PresenceUnknown)
	}
}
