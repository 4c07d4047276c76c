package engine

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"

	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/cloudwego/hertz/pkg/protocol/sse"

	"ragwortpond.example/ragwortpond/httpconn"
	"ragwortpond.example/ragwortpond/reason"
)

const doneMarker = "[DONE]"

// answer reads one HTTP answer as events.
type answer struct {
	x      *httpconn.Exchange
	config ClientConfig
	// events is nil for an answer that is not streamed.
	events *sse.Reader
	event  *sse.Event
	next   uint64
	done   bool
}

func newAnswer(x *httpconn.Exchange, from uint64, config ClientConfig) *answer {
	a := &answer{x: x, config: config, next: from}
	if !strings.HasPrefix(x.Header("Content-Type"), "text/event-stream") {
		return a
	}
	var head protocol.Response
	head.Header.SetContentType("text/event-stream")
	head.SetBodyStream(x, -1)
	events, err := sse.NewReader(&head)
	if err != nil {
		return a
	}
	events.SetMaxBufferSize(config.EventBytes)
	a.events = events
	a.event = sse.NewEvent()
	return a
}

// Status implements Answer.
func (a *answer) Status() int {
	return a.x.Status()
}

// CachedTokens implements Answer.
func (a *answer) CachedTokens() int {
	n, err := strconv.Atoi(a.x.Header(HeaderCachedTokens))
	if err != nil {
		return -1
	}
	return n
}

// Next implements Answer.
func (a *answer) Next() (Event, error) {
	if a.done {
		return Event{}, io.EOF
	}
	if a.events == nil {
		return a.whole()
	}
	return a.nextEvent()
}

// whole returns the body first and then the end.
func (a *answer) whole() (Event, error) {
	if a.next > 0 {
		a.done = true
		return Event{Seq: a.next, Done: true}, nil
	}
	body, err := a.x.ReadAll(a.config.AnswerBytes)
	if err != nil {
		return Event{}, classify(err)
	}
	if a.Status() == 200 && !json.Valid(body) {
		return Event{}, fmt.Errorf("%w: body is not JSON", ErrTruncated)
	}
	a.next = 1
	return Event{Data: body}, nil
}

// nextEvent returns the next event in sequence. An event that came before is
// discarded and counted; a gap ends the answer.
func (a *answer) nextEvent() (Event, error) {
	for {
		seq, err := a.read()
		if err != nil {
			return Event{}, err
		}
		if seq < a.next {
			a.config.Discarded(reason.AnswerMismatch)
			continue
		}
		if seq > a.next {
			return Event{}, fmt.Errorf("%w: event %d where %d was due", ErrBroken, seq, a.next)
		}
		a.next++
		return a.take(seq)
	}
}

func (a *answer) read() (uint64, error) {
	err := a.events.Read(a.event)
	if err == io.EOF {
		return 0, fmt.Errorf("%w: no end marker", ErrTruncated)
	}
	if errors.Is(err, httpconn.ErrBroken) || errors.Is(err, httpconn.ErrTruncated) {
		return 0, classify(err)
	}
	if err != nil {
		return 0, fmt.Errorf("%w: %w", ErrBroken, err)
	}
	seq, err := strconv.ParseUint(a.event.ID, 10, 64)
	if err != nil {
		return 0, fmt.Errorf("%w: event without a number", ErrBroken)
	}
	return seq, nil
}

func (a *answer) take(seq uint64) (Event, error) {
	if bytes.Equal(a.event.Data, []byte(doneMarker)) {
		a.done = true
		a.x.Close()
		return Event{Seq: seq, Done: true}, nil
	}
	if !json.Valid(a.event.Data) {
		return Event{}, fmt.Errorf("%w: event %d is not JSON", ErrTruncated, seq)
	}
	return Event{Seq: seq, Data: a.event.Data}, nil
}

// Close implements Answer: it aborts the connection.
func (a *answer) Close() error {
	a.x.Close()
	return nil
}
