// Package httpconn does one HTTP/1.1 exchange over a connection of its own, so
// that three things are exact which a connection pool blurs: whether any byte
// of a request left, that closing an answer aborts its connection, and that
// nothing is ever sent twice.
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
	"github.com/cloudwego/hertz/pkg/protocol/http1/ext"
	"github.com/cloudwego/hertz/pkg/protocol/http1/req"
	"github.com/cloudwego/hertz/pkg/protocol/http1/resp"

	"github.com/cloudwego/hertz/pkg/common/bytebufferpool"
	hertzerrors "github.com/cloudwego/hertz/pkg/common/errors"
)

// Errors of an exchange. Callers test them with errors.Is.
var (
	// ErrNotSent means that no byte of the request left.
	ErrNotSent = errors.New("httpconn: not sent")
	// ErrBroken means that the connection broke, or the context ended, after
	// the request began to leave.
	ErrBroken = errors.New("httpconn: connection broken")
	// ErrTruncated means that the answer does not say where it ends, or ended
	// before that.
	ErrTruncated = errors.New("httpconn: truncated answer")
	// ErrTooLarge means that the answer is over the limit.
	ErrTooLarge = errors.New("httpconn: answer too large")
)

const (
	chunkedLength  = -1
	unframedLength = -2
)

// Exchange is one answer under way. Close may be called at any time and from
// any goroutine; the other methods belong to one goroutine.
type Exchange struct {
	conn   network.Conn
	ctx    context.Context
	unhook func() bool
	head   protocol.Response
	body   io.Reader
}

// Start dials addr, sends r and returns once the answer's head has arrived. The
// exchange ends with ctx: its connection is then closed.
func Start(ctx context.Context, addr string, dialTimeout time.Duration, r *protocol.Request) (*Exchange, error) {
	conn, err := dial(ctx, addr, dialTimeout)
	if err != nil {
		return nil, err
	}
	x := &Exchange{conn: conn, ctx: ctx}
	x.unhook = context.AfterFunc(ctx, func() { _ = conn.Close() })
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
		return x.broken(err)
	}
	if err := x.conn.Flush(); err != nil {
		return x.broken(err)
	}
	if err := resp.ReadHeaders(&x.head, x.conn); err != nil {
		return x.broken(err)
	}
	x.head.SkipBody = r.Header.IsHead()
	return nil
}

// broken wraps a fault of the connection, or the context's error behind it.
func (x *Exchange) broken(err error) error {
	if ended := x.ctx.Err(); ended != nil {
		err = ended
	}
	return fmt.Errorf("%w: %w", ErrBroken, err)
}

// Status is the answer's HTTP status.
func (x *Exchange) Status() int {
	return x.head.StatusCode()
}

// Header returns a header field of the answer, empty where it is missing.
func (x *Exchange) Header(name string) string {
	return string(x.head.Header.Peek(name))
}

// VisitHeader calls f for each header field of the answer.
func (x *Exchange) VisitHeader(f func(name, value string)) {
	x.head.Header.VisitAll(func(k, v []byte) { f(string(k), string(v)) })
}

// ReadAll reads the whole body of at most limit bytes and closes the exchange.
func (x *Exchange) ReadAll(limit int) ([]byte, error) {
	defer x.Close()
	length := x.head.Header.ContentLength()
	if x.head.MustSkipBody() || length == 0 {
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
		return nil, x.ended(err)
	}
	return body, nil
}

// ended tells an answer that stopped short from one that the context ended.
func (x *Exchange) ended(err error) error {
	if x.ctx.Err() != nil {
		return x.broken(err)
	}
	return fmt.Errorf("%w: %w: %w", ErrTruncated, ErrBroken, err)
}

// Read reads from a chunked body as it arrives; io.EOF is returned only after
// the end marker of the body.
func (x *Exchange) Read(p []byte) (int, error) {
	if x.body == nil {
		if x.head.Header.ContentLength() != chunkedLength {
			return 0, ErrTruncated
		}
		empty := &bytebufferpool.ByteBuffer{}
		x.body = ext.AcquireBodyStream(empty, x.conn, x.head.Header.Trailer(), chunkedLength)
	}
	n, err := x.body.Read(p)
	if err != nil && err != io.EOF {
		err = x.broken(err)
	}
	return n, err
}

// Close aborts what is not yet read.
func (x *Exchange) Close() {
	x.unhook()
	_ = x.conn.Close()
}
