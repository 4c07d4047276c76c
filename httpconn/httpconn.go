// Package httpconn performs a single HTTP/1.1 exchange over a dedicated
// connection. Unlike a client with a connection pool, it reports whether any
// byte of a request was sent, aborts the connection when a response is closed,
// and never sends a request twice.
package httpconn

import (
	"context"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/cloudwego/hertz/pkg/network"
	"github.com/cloudwego/hertz/pkg/network/standard"
	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/cloudwego/hertz/pkg/protocol/consts"
	"github.com/cloudwego/hertz/pkg/protocol/http1/ext"
	"github.com/cloudwego/hertz/pkg/protocol/http1/req"
	"github.com/cloudwego/hertz/pkg/protocol/http1/resp"

	"github.com/cloudwego/hertz/pkg/common/bytebufferpool"
	hertzerrors "github.com/cloudwego/hertz/pkg/common/errors"
)

// Errors of an exchange. Callers test them with errors.Is.
var (
	// ErrNotSent means that no byte of the request was sent.
	ErrNotSent = errors.New("httpconn: not sent")
	// ErrBroken means that the connection failed, or the context ended, after
	// the client began to send the request.
	ErrBroken = errors.New("httpconn: connection broken")
	// ErrTruncated means that the body of the response ended early, or that the
	// response does not say where its body ends.
	ErrTruncated = errors.New("httpconn: truncated response")
	// ErrTooLarge means that the head or the body of the response is over the limit.
	ErrTooLarge = errors.New("httpconn: response too large")
	// ErrNoStatus means that what arrived does not begin with a status line of HTTP whose status is from 100 to 599.
	ErrNoStatus = errors.New("httpconn: not a response")
)

var errTooManyInterim = errors.New("httpconn: too many interim responses")

// maxResponseHeads bounds the heads read for one response, interim ones included.
const maxResponseHeads = 4

// maxHeadBytes bounds the head of a response, and its trailer.
const maxHeadBytes = 32 << 10

// headReader lets hertz read the head of a response, or a body in parts of at most maxHeadBytes,
// and fails once the head or the trailer exceeds maxHeadBytes. hertz peeks at ever more bytes
// until they are complete.
type headReader struct {
	network.Conn
	// exceeded is set once a peek failed because of the limit.
	exceeded bool
}

// Peek implements network.Reader.
func (r *headReader) Peek(n int) ([]byte, error) {
	if n > maxHeadBytes {
		r.exceeded = true
		return nil, ErrTooLarge
	}
	return r.Conn.Peek(n)
}

// Len implements network.Reader. It hides what exceeds the limit, because hertz peeks
// at all that is buffered.
func (r *headReader) Len() int {
	return min(r.Conn.Len(), maxHeadBytes)
}

// Values that hertz reports as the length of a body without a Content-Length
// header.
const (
	chunkedLength  = -1
	unframedLength = -2
)

// Exchange is a response whose body is still being read. Close may be called at
// any time and from any goroutine; the other methods must be used by one
// goroutine only.
type Exchange struct {
	conn network.Conn
	ctx  context.Context
	// detachContext stops the context from closing the connection.
	detachContext func() bool
	response      protocol.Response
	body          io.Reader
}

// Start connects to addr, sends r and returns once the header of the response
// has arrived. When ctx ends, the connection is closed and the exchange fails.
// Errors wrap ErrNotSent or ErrBroken. The caller must close the exchange.
func Start(ctx context.Context, addr string, dialTimeout time.Duration, r *protocol.Request) (*Exchange, error) {
	conn, err := dial(ctx, addr, dialTimeout)
	if err != nil {
		return nil, err
	}
	x := &Exchange{conn: conn, ctx: ctx}
	x.detachContext = context.AfterFunc(ctx, func() { _ = conn.Close() })
	if err := x.send(r); err != nil {
		x.Close()
		return nil, err
	}
	return x, nil
}

func dial(ctx context.Context, addr string, timeout time.Duration) (network.Conn, error) {
	if err := ctx.Err(); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	if deadline, ok := ctx.Deadline(); ok {
		timeout = min(timeout, time.Until(deadline))
	}
	conn, err := standard.NewDialer().DialConnection("tcp", addr, timeout, nil)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	if err := ctx.Err(); err != nil {
		_ = conn.Close()
		return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	return conn, nil
}

func (x *Exchange) send(r *protocol.Request) error {
	r.SetConnectionClose()
	if err := req.Write(r, x.conn); err != nil {
		return x.wrapBroken(err)
	}
	if err := x.conn.Flush(); err != nil {
		return x.wrapBroken(err)
	}
	head := &headReader{Conn: x.conn}
	if err := x.readHead(head); err != nil {
		if head.exceeded {
			err = ErrTooLarge
		}
		return x.wrapBroken(err)
	}
	x.response.SkipBody = r.Header.IsHead()
	return nil
}

// readHead reads the head of the response and skips those of interim (1xx) responses.
func (x *Exchange) readHead(r network.Reader) error {
	for range maxResponseHeads {
		status, err := PeekStatus(r)
		if err != nil {
			return err
		}
		if err := resp.ReadHeader(&x.response.Header, r); err != nil {
			return err
		}
		if status >= consts.StatusOK {
			return nil
		}
	}
	return errTooManyInterim
}

// wrapBroken wraps err, or the context's error if the context has ended, in
// ErrBroken.
func (x *Exchange) wrapBroken(err error) error {
	if ctxErr := x.ctx.Err(); ctxErr != nil {
		err = ctxErr
	}
	return fmt.Errorf("%w: %w", ErrBroken, err)
}

// Status returns the HTTP status of the response.
func (x *Exchange) Status() int {
	return x.response.StatusCode()
}

// Header returns the value of a header field of the response, or "" if the field
// is missing.
func (x *Exchange) Header(name string) string {
	return string(x.response.Header.Peek(name))
}

// VisitHeader calls f for each header field of the response.
func (x *Exchange) VisitHeader(f func(name, value string)) {
	x.response.Header.VisitAll(func(k, v []byte) { f(string(k), string(v)) })
}

// ReadAll reads the complete body and closes the exchange. It returns
// ErrTooLarge if the body is longer than limit bytes, ErrTruncated if its end
// is missing or not marked, and ErrBroken if the context has ended.
func (x *Exchange) ReadAll(limit int) ([]byte, error) {
	defer x.Close()
	length := x.response.Header.ContentLength()
	if x.response.MustSkipBody() || length == 0 {
		return nil, nil
	}
	if length == unframedLength {
		return nil, ErrTruncated
	}
	if length > limit {
		return nil, ErrTooLarge
	}
	body, err := ext.ReadBody(x.conn, length, limit, nil)
	if errors.Is(err, hertzerrors.ErrBodyTooLarge) {
		return nil, ErrTooLarge
	}
	if err != nil {
		return nil, x.wrapReadError(err)
	}
	return body, nil
}

// wrapReadError wraps an error of reading the body in ErrBroken, and also in
// ErrTruncated unless the context has ended.
func (x *Exchange) wrapReadError(err error) error {
	if x.ctx.Err() != nil {
		return x.wrapBroken(err)
	}
	return fmt.Errorf("%w: %w: %w", ErrTruncated, ErrBroken, err)
}

// Read reads from a chunked body as it arrives. It returns io.EOF only after the
// last chunk, ErrTruncated if the body is not chunked, and otherwise errors that
// wrap ErrBroken.
func (x *Exchange) Read(p []byte) (int, error) {
	if x.body == nil {
		if x.response.Header.ContentLength() != chunkedLength {
			return 0, ErrTruncated
		}
		empty := &bytebufferpool.ByteBuffer{}
		x.body = ext.AcquireBodyStream(empty, &headReader{Conn: x.conn}, x.response.Header.Trailer(), chunkedLength)
	}
	n, err := x.body.Read(p[:min(len(p), maxHeadBytes)])
	if err != nil && err != io.EOF {
		err = x.wrapBroken(err)
	}
	return n, err
}

// Close closes the connection. It aborts a read in progress.
func (x *Exchange) Close() {
	x.detachContext()
	_ = x.conn.Close()
}
