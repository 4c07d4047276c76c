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

// response reads an HTTP response as a sequence of events.
type response struct {
	exchange *httpconn.Exchange
	config   ClientConfig
	// events is nil for a response that is not streamed.
	events *sse.Reader
	event  *sse.Event
	// limit bounds each event; nil like events.
	limit *eventLimit
	// nextSeq is the sequence number of the next event to return.
	nextSeq uint64
	// bodyRead is set once the body of a response that is not streamed was returned.
	bodyRead bool
	done     bool
}

func newResponse(x *httpconn.Exchange, from uint64, config ClientConfig) *response {
	r := &response{exchange: x, config: config, nextSeq: from}
	if !strings.HasPrefix(x.Header("Content-Type"), "text/event-stream") {
		return r
	}
	// sse.NewReader reads only from a protocol.Response.
	var wrapper protocol.Response
	wrapper.Header.SetContentType("text/event-stream")
	limit := newEventLimit(x, config.MaxEventBytes)
	wrapper.SetBodyStream(limit, -1)
	events, err := sse.NewReader(&wrapper)
	if err != nil {
		return r
	}
	events.SetMaxBufferSize(config.MaxEventBytes)
	r.events, r.limit = events, limit
	r.event = sse.NewEvent()
	return r
}

// Status implements Response.
func (r *response) Status() int {
	return r.exchange.Status()
}

// CachedTokens implements Response.
func (r *response) CachedTokens() int {
	n, err := strconv.Atoi(r.exchange.Header(HeaderCachedTokens))
	if err != nil {
		return -1
	}
	return n
}

// Next implements Response.
func (r *response) Next() (Event, error) {
	if r.done {
		return Event{}, io.EOF
	}
	if r.events == nil {
		return r.nextBody()
	}
	return r.nextEvent()
}

// nextBody returns the complete body on the first call and the end of the
// response on the second. A body cannot continue a stream.
func (r *response) nextBody() (Event, error) {
	if r.bodyRead {
		r.done = true
		return Event{Seq: r.nextSeq, Done: true}, nil
	}
	if r.nextSeq > 0 {
		return Event{}, fmt.Errorf("%w: resumed stream has no events, status %d", ErrBroken, r.Status())
	}
	body, err := r.exchange.ReadAll(r.config.MaxResponseBytes)
	if err != nil {
		return Event{}, wrapConnError(err)
	}
	if r.Status() == 200 && !json.Valid(body) {
		return Event{}, fmt.Errorf("%w: body is not JSON", ErrTruncated)
	}
	r.nextSeq, r.bodyRead = 1, true
	return Event{Data: body}, nil
}

// nextEvent returns the next event of a stream. It discards and counts events
// that were received before. A gap in the sequence numbers ends the response.
func (r *response) nextEvent() (Event, error) {
	for {
		seq, err := r.readEvent()
		if err != nil {
			return Event{}, err
		}
		if seq < r.nextSeq {
			r.config.OnDiscard(reason.AnswerMismatch)
			continue
		}
		if seq > r.nextSeq {
			return Event{}, fmt.Errorf("%w: got event %d, want %d", ErrBroken, seq, r.nextSeq)
		}
		r.nextSeq++
		return r.decodeEvent(seq)
	}
}

// readEvent reads an event into r.event and returns its sequence number.
func (r *response) readEvent() (uint64, error) {
	r.limit.nextEvent()
	err := r.events.Read(r.event)
	if err == io.EOF {
		return 0, fmt.Errorf("%w: no end marker", ErrTruncated)
	}
	if errors.Is(err, httpconn.ErrBroken) || errors.Is(err, httpconn.ErrTruncated) {
		return 0, wrapConnError(err)
	}
	if err != nil {
		return 0, fmt.Errorf("%w: %w", ErrBroken, err)
	}
	seq, err := strconv.ParseUint(r.event.ID, 10, 64)
	if err != nil {
		return 0, fmt.Errorf("%w: event without a sequence number", ErrBroken)
	}
	return seq, nil
}

// decodeEvent returns the event in r.event. It closes the exchange if the event
// is the end marker of the stream.
func (r *response) decodeEvent(seq uint64) (Event, error) {
	if bytes.Equal(r.event.Data, []byte(doneMarker)) {
		r.done = true
		r.exchange.Close()
		return Event{Seq: seq, Done: true}, nil
	}
	if !json.Valid(r.event.Data) {
		return Event{}, fmt.Errorf("%w: event %d is not JSON", ErrTruncated, seq)
	}
	return Event{Seq: seq, Data: r.event.Data}, nil
}

// Close implements Response. It closes the connection.
func (r *response) Close() error {
	r.exchange.Close()
	return nil
}
