package relay

import (
	"context"
	"errors"
	"fmt"
	"io"
	"mime"
	"net/http"
	"time"

	"ragwortpond.example/ragwortpond/attemptloop"
	"ragwortpond.example/ragwortpond/catalog"
	"ragwortpond.example/ragwortpond/eventstream"
	"ragwortpond.example/ragwortpond/reason"
	"ragwortpond.example/ragwortpond/targetconn"
)

// forwardStream forwards a stream event by event, skipping events that the client
// already has. The response head is sent with the first event.
func (s *requestState) forwardStream(ctx context.Context, t chosenTarget, result *attemptResult, timer *attemptloop.GiveUpTimer) {
	events := eventstream.NewReader(result.response)
	recordEvent, unregister := s.relay.health.TrackStream(t.ID, t.Domain, time.Now())
	defer unregister()
	timeout := max(silencePauseFactor*s.route.MaxEventGap, minSilenceTimeout)
	continues, received := s.continuesStream(), 0
	for {
		ev, err := events.Next()
		// A client that reads slowly is not the target's silence.
		timer.Pause()
		if errors.Is(err, io.EOF) {
			s.finishStream(ctx, t, result, ev.Raw, received)
			return
		}
		if err == nil && continues && ev.HasFields && !ev.HasID {
			err = errNoContinuation
		}
		if err != nil {
			result.reason, result.err = reason.AnswerTruncated, err
			return
		}
		if received++; received == 1 {
			s.recordBeginning(t.Target, result)
		}
		recordEvent(time.Now())
		if s.hasEvent && ev.HasID && ev.ID <= s.lastEventID {
			timer.Restart(timeout)
			continue
		}
		if s.route.RunPolicy != catalog.Resumable || (ev.HasFields && !ev.HasID) {
			if err := result.commit(timer); err != nil {
				result.reason, result.err = reason.AnswerTruncated, err
				return
			}
		}
		s.keepVersion(t.Target)
		if err := s.forwardEvent(result, ev, !events.Buffered()); err != nil {
			result.err, result.clientGone = err, true
			return
		}
		timer.Restart(timeout)
	}
}

// continuesStream reports whether the next answer has to continue a stream of which the client has a
// part.
func (s *requestState) continuesStream() bool {
	return s.hasEvent && s.isResumableStream()
}

// isResumableStream reports whether the request is for a stream that another target can continue.
func (s *requestState) isResumableStream() bool {
	return s.route.RunPolicy == catalog.Resumable && s.route.Stream
}

// continuationError returns an error if the head of a response does not announce the rest of a
// stream of which the client has a part.
func (s *requestState) continuationError(response *targetconn.Response) error {
	mediaType, _, err := mime.ParseMediaType(response.Header.Get("Content-Type"))
	sameType := err == nil && s.headSent && mediaType == s.mediaType
	switch {
	case response.Status != http.StatusOK:
		return fmt.Errorf("%w: status %d", errNoContinuation, response.Status)
	case response.Header.Get("Content-Type") != "" && mediaType != eventStreamType && !sameType:
		return fmt.Errorf("%w: media type %q", errNoContinuation, mediaType)
	default:
		return nil
	}
}

// eventStreamType is the media type of streams.
const eventStreamType = "text/event-stream"

// finishStream ends a stream after its last event. rest is the data after that event:
// an incomplete event, after which the stream is not complete. A stream of which no event was
// received is complete only if its framing says so.
func (s *requestState) finishStream(ctx context.Context, t chosenTarget, result *attemptResult, rest []byte, received int) {
	switch {
	case len(rest) > 0:
		result.reason, result.err = reason.AnswerTruncated, errPartialEvent
		return
	case received == 0 && !result.response.Delimited:
		result.reason, result.err = reason.AnswerTruncated, errNoEvent
		return
	}
	if err := s.confirmEnd(ctx, t.Target, result); err != nil {
		result.reason, result.err = reason.AnswerTruncated, err
		return
	}
	if !s.headSent {
		s.writeHead(result, -1)
	}
	result.complete = true
}

// forwardEvent writes one event to the client, after the response head if it is the
// first, and flushes it if flush is set.
func (s *requestState) forwardEvent(result *attemptResult, ev eventstream.Event, flush bool) error {
	if !s.headSent {
		s.writeHead(result, -1)
	}
	if _, err := s.w.Write(ev.Raw); err != nil {
		return err
	}
	s.events++
	s.recordProgress()
	if ev.HasID {
		s.hasEvent, s.lastEventID = true, ev.ID
	}
	if !flush {
		return nil
	}
	return http.NewResponseController(s.w).Flush()
}
