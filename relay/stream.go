package relay

import (
	"errors"
	"io"
	"net/http"
	"time"

	"ragwortpond.example/ragwortpond/catalog"
	"ragwortpond.example/ragwortpond/eventstream"
	"ragwortpond.example/ragwortpond/retry"
)

// silence ends an attempt whose target says nothing for too long. It belongs to
// one goroutine.
type silence struct {
	timer *time.Timer
	limit time.Duration
}

// newSilence calls expire after limit without a sign; a limit of zero never
// expires.
func newSilence(limit time.Duration, expire func()) *silence {
	s := &silence{limit: limit}
	if limit > 0 {
		s.timer = time.AfterFunc(limit, expire)
	}
	return s
}

// heard begins the wait anew, with another limit.
func (s *silence) heard(limit time.Duration) {
	if s.timer != nil {
		s.timer.Reset(limit)
	}
}

func (s *silence) stop() {
	if s.timer != nil {
		s.timer.Stop()
	}
}

// receiveStream passes a stream on event by event, after those that the client
// has. The head goes with the first event.
func (s *serving) receiveStream(e *ended, silence *silence) {
	events := eventstream.NewReader(e.answer)
	pause := max(pauses*s.route.Pause, leastSilence)
	for {
		ev, err := events.Next()
		if errors.Is(err, io.EOF) {
			s.endStream(e, ev.Raw)
			return
		}
		if err != nil {
			e.ending, e.err = retry.Lost, err
			return
		}
		silence.heard(pause)
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
		e.ending, e.err = retry.Lost, errPartial
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
