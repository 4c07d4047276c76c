package targetconn

import (
	"net"
	"sync"
	"testing"
	"time"

	"ragwortpond.example/ragwortpond/await"
	"ragwortpond.example/ragwortpond/conntest"
)

// silentServer keeps the connections that it accepts until it is told to close them.
type silentServer struct {
	addr  string
	mu    sync.Mutex
	conns []net.Conn
}

// startSilentServer starts a server that closes connections after a time; zero means never.
func startSilentServer(t *testing.T, idle time.Duration) *silentServer {
	s := &silentServer{}
	s.addr = conntest.Serve(t, func(c net.Conn) {
		s.mu.Lock()
		s.conns = append(s.conns, c)
		s.mu.Unlock()
		if idle > 0 {
			_ = c.SetReadDeadline(time.Now().Add(idle))
		}
		_, _ = c.Read(make([]byte, 1))
	})
	return s
}

// accepted returns how many connections were accepted.
func (s *silentServer) accepted() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

// closeAll ends all connections, as the end of the process does.
func (s *silentServer) closeAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.conns {
		_ = c.Close()
	}
}

// TestWatchTellsEndOfProcess guards against taking the next process of a target for the one that ended an answer.
func TestWatchTellsEndOfProcess(t *testing.T) {
	s, p := startSilentServer(t, 0), NewPool(nil, nil)
	defer p.Watch("t", s.addr)()
	await.Until(t, "the watch's connection", func() bool { return p.PresenceSince("t", s.addr, time.Time{}, time.Now()) == Present })
	before := time.Now()
	time.Sleep(2 * minWatchAge)
	ended := time.Now()
	s.closeAll()
	await.Until(t, "the end of the process", func() bool { return p.PresenceSince("t", s.addr, time.Time{}, ended) == Absent })
	if got := p.PresenceSince("t", s.addr, time.Now(), ended); got != PresenceUnknown {
		t.Errorf("response of a later process: got %d, want %d", got, PresenceUnknown)
	}
	for _, at := range []time.Time{before.Add(-time.Second), time.Now().Add(time.Second)} {
		if got := p.PresenceSince("t", s.addr, time.Time{}, at); got != PresenceUnknown {
			t.Errorf("at %v after the connection was opened: got %d, want %d", at.Sub(before), got, PresenceUnknown)
		}
	}
}

// TestWatchOfTargetThatClosesAtOnceTellsNothing guards against breaking off answers of targets that keep no idle connections.
func TestWatchOfTargetThatClosesAtOnceTellsNothing(t *testing.T) {
	s, p := startSilentServer(t, time.Nanosecond), NewPool(nil, nil)
	defer p.Watch("t", s.addr)()
	await.Until(t, "the watch's connection", func() bool { return s.accepted() > 0 })
	time.Sleep(minWatchAge)
	if got := p.PresenceSince("t", s.addr, time.Time{}, time.Now()); got != PresenceUnknown {
		t.Errorf("got %d, want %d", got, PresenceUnknown)
	}
}

// TestWatchEndsWithItsLastUser guards against connections that are kept for targets that no response needs.
func TestWatchEndsWithItsLastUser(t *testing.T) {
	s, p := startSilentServer(t, 0), NewPool(nil, nil)
	first, second := p.Watch("t", s.addr), p.Watch("t", s.addr)
	await.Until(t, "the watch's connection", func() bool { return p.OpenConns() > 0 })
	first()
	second()
	await.Until(t, "the end of the watch", func() bool { return p.OpenConns() == 0 })
	if got := s.accepted(); got > 3 {
		t.Errorf("got %d connections for two users, want one and its replacements", got)
	}
}
