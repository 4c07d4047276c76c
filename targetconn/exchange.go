package targetconn

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"ragwortpond.example/ragwortpond/fleet"
	"ragwortpond.example/ragwortpond/netconn"
)

// maxSkippedResponses is the number of responses to other requests that are skipped
// before the exchange fails with ErrMismatch.
const maxSkippedResponses = 2

// maxResponseHeads bounds the heads read for one response: those of interim (1xx)
// responses and that of the final one.
const maxResponseHeads = 4

// Statuses of HTTP. What has another one is no response.
const (
	minStatus = 100
	maxStatus = 599
)

var (
	errInvalidStatus = errors.New("targetconn: not a status of HTTP")
	// errCutRequest means that the connection ended before the target had the whole request, or by a reset.
	errCutRequest = errors.New("targetconn: connection did not end in order after the whole request")
)

// Request is one request to one target.
type Request struct {
	Target fleet.TargetID
	// Addr is the target's address as host:port.
	Addr string
	// Method, URI and Host are sent unchanged.
	Method, URI, Host string
	Header            http.Header
	Body              []byte
	// RequireFreshConn requires a connection that is new or was used so recently that the
	// target has not closed it as idle.
	RequireFreshConn bool
	// RequireNewConn requires a new connection.
	RequireNewConn bool
	// Matches reports whether a response with this status and header belongs to the
	// request; reused tells that the connection carried other requests before, whose
	// responses may arrive late. Responses to other requests are skipped. If Matches
	// is nil, every response belongs to the request.
	Matches func(status int, h http.Header, reused bool) bool
	// Identity, if it is not nil, keeps the request from being sent to another process of the
	// target than the expected one, as far as lost connections tell that there may be one.
	Identity *Identity
}

// Response is a response whose body is still being read. It must be used by one
// goroutine only; to abort it from another goroutine, cancel the context of the
// exchange. Close may be called more than once.
type Response struct {
	Status int
	Header http.Header
	// Length is the length of the body in bytes, or -1 if it is unknown.
	Length int64
	// Delimited is set if the body has a length or is chunked. Otherwise the end of
	// the connection marks the end of the body.
	Delimited bool

	pool *Pool
	conn *conn
	ctx  context.Context
	// headAt is when the head was received.
	headAt time.Time
	// detachContext stops the context from closing the connection. It returns
	// false if the context has already done so.
	detachContext func() bool
	body          io.ReadCloser
	// written receives the result of writing the request.
	written chan error
	// idleTimeout is how long the connection may be kept idle after the exchange;
	// zero if it must be closed.
	idleTimeout time.Duration
	// released is set once the connection is closed or back in the pool.
	released bool
}

// Do sends a request and returns once the header of its response has arrived.
// The caller must read the response to its end or close it. When ctx ends, the
// connection is closed and the exchange fails. Errors wrap ErrNotSent,
// ErrBroken or ErrMismatch.
func (p *Pool) Do(ctx context.Context, r *Request) (*Response, error) {
	get := p.get
	if r.RequireNewConn {
		get = p.dialNew
	}
	c, err := get(ctx, r.Target, r.Addr, r.RequireFreshConn)
	if err != nil {
		return nil, err
	}
	if c, err = p.identified(ctx, c, r); err != nil {
		return nil, err
	}
	a := newResponse(ctx, p, c)
	if err := a.exchange(r); err != nil {
		a.Close()
		return nil, err
	}
	return a, nil
}

// newResponse returns a response that is still to come on a connection. When ctx ends, the
// connection is closed.
func newResponse(ctx context.Context, p *Pool, c *conn) *Response {
	a := &Response{pool: p, conn: c, ctx: ctx, written: make(chan error, 1)}
	a.detachContext = context.AfterFunc(ctx, func() { _ = c.Close() })
	return a
}

// maxInlineBodyBytes is the size up to which a body is written before the
// response is read. A larger body is written in a goroutine while the response
// is read, because a target may respond before it has read the whole body.
const maxInlineBodyBytes = 32 << 10

func (a *Response) exchange(r *Request) error {
	if len(r.Body) <= maxInlineBodyBytes {
		err := writeRequest(a.conn, r)
		a.written <- err
		if err != nil && !a.hasResponse() {
			return a.wrapBroken(err)
		}
	} else {
		go func() { a.written <- writeRequest(a.conn, r) }()
	}
	return a.readHeader(r)
}

// hasResponse reports whether the target sent a response although writing the
// request failed. It waits up to 10 ms.
func (a *Response) hasResponse() bool {
	_ = a.conn.SetReadDeadline(time.Now().Add(10 * time.Millisecond))
	_, err := a.conn.reader.Peek(1)
	_ = a.conn.SetReadDeadline(time.Time{})
	return err == nil
}

func writeRequest(c *conn, r *Request) error {
	w := bufio.NewWriterSize(c.Conn, 4<<10)
	fmt.Fprintf(w, "%s %s HTTP/1.1\r\nHost: %s\r\n", r.Method, r.URI, r.Host)
	if err := r.Header.Write(w); err != nil {
		return err
	}
	if len(r.Body) > 0 || r.Method == http.MethodPost || r.Method == http.MethodPut || r.Method == http.MethodPatch {
		fmt.Fprintf(w, "Content-Length: %d\r\n", len(r.Body))
	}
	if _, err := w.WriteString("\r\n"); err != nil {
		return err
	}
	if _, err := w.Write(r.Body); err != nil {
		return err
	}
	return w.Flush()
}

// readHeader reads the header of the response to r and skips responses to other
// requests.
func (a *Response) readHeader(r *Request) error {
	for range maxSkippedResponses + 1 {
		response, err := a.readFinal(r.Method)
		if err != nil {
			return a.wrapBroken(err)
		}
		if r.Matches == nil || r.Matches(response.StatusCode, response.Header, a.conn.reused) {
			a.setResponse(response)
			return nil
		}
		if response.ContentLength < 0 && len(response.TransferEncoding) == 0 {
			// All that follows belongs to its body.
			return ErrMismatch
		}
		skipped, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxSkippedBytes+1))
		if err != nil || skipped > maxSkippedBytes || response.Close {
			return ErrMismatch
		}
	}
	return ErrMismatch
}

// readFinal reads response headers until one that is not interim. All of them together
// are limited to maxHeadBytes.
func (a *Response) readFinal(method string) (*http.Response, error) {
	a.conn.headLeft = maxHeadBytes
	defer func() { a.conn.headLeft = unlimited }()
	for range maxResponseHeads {
		response, err := http.ReadResponse(a.conn.reader, &http.Request{Method: method})
		if err != nil {
			return nil, err
		}
		switch {
		case response.StatusCode < minStatus || response.StatusCode > maxStatus:
			return nil, fmt.Errorf("%w: %d", errInvalidStatus, response.StatusCode)
		case response.StatusCode >= http.StatusOK:
			return response, nil
		}
	}
	return nil, errors.New("targetconn: too many interim responses")
}

func (a *Response) setResponse(response *http.Response) {
	a.Status, a.Header, a.Length, a.headAt = response.StatusCode, response.Header, response.ContentLength, time.Now()
	chunked := len(response.TransferEncoding) > 0
	a.Delimited = chunked || response.ContentLength >= 0 || response.Request.Method == http.MethodHead
	a.body = response.Body
	if a.Delimited && !response.Close {
		a.idleTimeout = parseIdleTimeout(response.Header.Get("Keep-Alive"))
	}
}

// parseIdleTimeout returns how long a connection may be kept idle, given the
// Keep-Alive header of the target's response: idleTimeoutShare of its timeout
// parameter, or defaultIdleTimeout if that is missing or malformed.
func parseIdleTimeout(text string) time.Duration {
	for param := range strings.SplitSeq(text, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(param), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		seconds, err := strconv.ParseFloat(value, 64)
		if err != nil || seconds < 0 {
			return defaultIdleTimeout
		}
		return time.Duration(seconds * idleTimeoutShare * float64(time.Second))
	}
	return defaultIdleTimeout
}

// Read reads the body as it arrives. It returns io.EOF only after the complete
// body; for a body that is not framed, the end of the connection counts as such if
// EndedInOrder, and the connection stays open until Close. Other errors wrap ErrBroken.
func (a *Response) Read(p []byte) (int, error) {
	n, err := a.readBody(p)
	switch {
	case err == nil:
	case err != io.EOF:
		err = a.wrapBroken(err)
	case a.Delimited:
		a.release()
	}
	return n, err
}

// readBody is Read without its effects on the connection.
func (a *Response) readBody(p []byte) (int, error) {
	n, err := a.body.Read(p)
	if err == io.EOF && !a.Delimited && !a.EndedInOrder() {
		err = errCutRequest
	}
	return n, err
}

// EndedInOrder reports, after the end of a body that is not framed, whether the target closed the connection in order and
// had received the whole request, and whether no reset has followed so far. The error of a reset is reported once, to
// whichever user of the socket comes first, so that reads may end in order after it.
func (a *Response) EndedInOrder() bool {
	// A request that is still being written ends here.
	_ = a.conn.SetWriteDeadline(time.Now())
	err := <-a.written
	a.written <- err
	return err == nil && netconn.ClosedInOrder(a.conn.Conn)
}

// release returns the connection to the pool after a complete response that is framed. It
// closes the connection instead if the request is not completely written,
// because the next request on it would be read as the rest of the body.
func (a *Response) release() {
	if a.released {
		return
	}
	a.released = true
	detached := a.detachContext()
	select {
	case err := <-a.written:
		if detached && err == nil {
			a.pool.put(a.conn, a.idleTimeout)
			return
		}
	default:
	}
	_ = a.conn.Close()
}

// DiscardConn keeps the connection from being used again after this exchange. It must be called
// before the body is read.
func (a *Response) DiscardConn() {
	a.idleTimeout = 0
}

// HeadAt returns when the head was received.
func (a *Response) HeadAt() time.Time {
	return a.headAt
}

// Reused reports whether the connection came from the pool.
func (a *Response) Reused() bool {
	return a.conn.reused
}

// Close closes the connection if the body has not been read to its end.
func (a *Response) Close() {
	if a.released {
		return
	}
	a.released = true
	a.detachContext()
	_ = a.conn.Close()
}

// wrapBroken wraps err, or the context's cause if the context has ended, in
// ErrBroken.
func (a *Response) wrapBroken(err error) error {
	if cause := context.Cause(a.ctx); cause != nil {
		err = cause
	} else {
		a.pool.recordLoss(a.conn.target, a.conn.lastRead)
	}
	return fmt.Errorf("%w: %w", ErrBroken, err)
}
