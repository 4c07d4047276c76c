package relay

import (
	"errors"
	"io"
	"net/http"
	"sync"
	"time"

	"ragwortpond.example/ragwortpond/catalog"
	"ragwortpond.example/ragwortpond/eventstream"
	"ragwortpond.example/ragwortpond/reason"
)

// muteCheck is how often a silent target is compared with its other streams.
const muteCheck = 100 * time.Millisecond

// silence ends an attempt whose target says nothing for too long, or nothing on
// any stream. It is safe for concurrent use.
type silence struct {
	mu     sync.Mutex
	timer  *time.Timer
	until  time.Time
	mute   func() bool
	expire func()
}

// newSilence calls expire after limit without a sign, or earlier once the target
// is mute; a limit of zero never expires.
func newSilence(limit time.Duration, mute func() bool, expire func()) *silence {
	s := &silence{mute: mute, expire: expire}
	if limit > 0 {
		s.until = time.Now().Add(limit)
		s.timer = time.AfterFunc(min(limit, muteCheck), s.check)
	}
	return s
}

func (s *silence) check() {
	s.mu.Lock()
	defer s.mu.Unlock()
	left := time.Until(s.until)
	if left <= 0 || s.mute() {
		s.expire()
		return
	}
	s.timer.Reset(min(left, muteCheck))
}

// heard begins the wait anew, with another limit.
func (s *silence) heard(limit time.Duration) {
	if s.timer == nil {
		return
	}
	s.mu.Lock()
	s.until = time.Now().Add(limit)
	s.mu.Unlock()
}

func (s *silence) stop() {
	if s.timer != nil {
		s.timer.Stop()
	}
}

// receiveStream passes a stream on event by event, after those that the client
// has. The head goes with the first event.
func (s *serving) receiveStream(t placed, e *ended, silence *silence) {
	events := eventstream.NewReader(e.answer)
	heard, streamEnded := s.relay.book.StreamBegan(t.ID, t.Domain, time.Now())
	defer streamEnded()
	pause := max(pauses*s.route.Pause, leastSilence)
	for {
		ev, err := events.Next()
		if errors.Is(err, io.EOF) {
			s.endStream(e, ev.Raw)
			return
		}
		if err != nil {
			e.why, e.err = reason.AnswerTruncated, err
			return
		}
		silence.heard(pause)
		heard(time.Now())
		if ev.Numbered && ev.ID <= s.last {
			continue
		}
		if err := s.passEvent(e, ev, !events.Buffered()); err != nil {
			e.err, e.left = err, true
			return
		}
	}
}

// endStream ends a stream after its last event. What is left of an incomplete
// event belongs to the answer where nothing can go on after it.
func (s *serving) endStream(e *ended, rest []byte) {
	if len(rest) > 0 && s.route.Repetition == catalog.Resumable {
		e.why, e.err = reason.AnswerTruncated, errPartial
		return
	}
	if !s.started {
		s.startAnswer(e, -1)
	}
	if len(rest) > 0 {
		if _, err := s.w.Write(rest); err != nil {
			e.err, e.left = err, true
			return
		}
	}
	e.whole = true
}

func (s *serving) passEvent(e *ended, ev eventstream.Event, flush bool) error {
	if !s.started {
		s.startAnswer(e, -1)
	}
	if _, err := s.w.Write(ev.Raw); err != nil {
		return err
	}
	s.events++
	if ev.Numbered {
		s.last = ev.ID
	}
	if !flush {
		return nil
	}
	return http.NewResponseController(s.w).Flush()
}
