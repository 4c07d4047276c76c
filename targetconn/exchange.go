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
)

// maxForeign is how many answers of other requests are passed over before the
// connection is given up.
const maxForeign = 2

// maxInterim bounds the interim answers before the final one.
const maxInterim = 4

// Request is one request at one target.
type Request struct {
	Target fleet.TargetID
	Addr   string
	// Method, URI and Host are sent unchanged.
	Method, URI, Host string
	Header            http.Header
	Body              []byte
	// Fresh asks for a connection that cannot have been closed for idleness.
	Fresh bool
	// Owns tells whether an answer with this head belongs to the request. An
	// answer of another request on a kept connection is passed over.
	Owns func(status int, h http.Header) bool
}

// Answer is one answer under way. It belongs to one goroutine; Close may be called
// more than once. The exchange's context aborts it from elsewhere.
type Answer struct {
	Status int
	Header http.Header
	// Length is the body's length; -1 where it is not known beforehand.
	Length int64
	// Framed says that the end of the body is marked. The body of an answer
	// that is not framed ends with its connection.
	Framed bool

	pool    *Pool
	conn    *conn
	ctx     context.Context
	unhook  func() bool
	body    io.ReadCloser
	written chan error
	keep    time.Duration
	ended   bool
}

// Do sends a request and returns once the head of its answer has arrived. The
// exchange ends with ctx: its connection is then closed.
func (p *Pool) Do(ctx context.Context, r *Request) (*Answer, error) {
	c, err := p.get(ctx, r.Target, r.Addr, r.Fresh)
	if err != nil {
		return nil, err
	}
	a := &Answer{pool: p, conn: c, ctx: ctx, written: make(chan error, 1)}
	a.unhook = context.AfterFunc(ctx, func() { _ = c.Close() })
	if err := a.exchange(r); err != nil {
		a.Close()
		return nil, err
	}
	return a, nil
}

// inlineBody is the size up to which a body is written before the answer is
// read; a larger one is written beside, since a target may answer before it has
// read all of it.
const inlineBody = 32 << 10

func (a *Answer) exchange(r *Request) error {
	if len(r.Body) <= inlineBody {
		err := write(a.conn, r)
		a.written <- err
		if err != nil && !a.readable() {
			return a.broken(err)
		}
	} else {
		go func() { a.written <- write(a.conn, r) }()
	}
	return a.readHead(r)
}

// readable reports whether an answer came although the request could not be
// written whole.
func (a *Answer) readable() bool {
	_ = a.conn.SetReadDeadline(time.Now().Add(10 * time.Millisecond))
	_, err := a.conn.reader.Peek(1)
	_ = a.conn.SetReadDeadline(time.Time{})
	return err == nil
}

func write(c *conn, r *Request) error {
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

func (a *Answer) readHead(r *Request) error {
	for range maxForeign + 1 {
		response, err := a.final(r.Method)
		if err != nil {
			return a.broken(err)
		}
		if r.Owns == nil || r.Owns(response.StatusCode, response.Header) {
			a.take(response)
			return nil
		}
		if _, err := io.Copy(io.Discard, response.Body); err != nil || response.Close {
			return ErrForeign
		}
	}
	return ErrForeign
}

// final reads heads until one that is not interim.
func (a *Answer) final(method string) (*http.Response, error) {
	for range maxInterim {
		response, err := http.ReadResponse(a.conn.reader, &http.Request{Method: method})
		if err != nil {
			return nil, err
		}
		if response.StatusCode >= http.StatusOK {
			return response, nil
		}
	}
	return nil, errors.New("targetconn: too many interim answers")
}

func (a *Answer) take(response *http.Response) {
	a.Status, a.Header, a.Length = response.StatusCode, response.Header, response.ContentLength
	chunked := len(response.TransferEncoding) > 0
	a.Framed = chunked || response.ContentLength >= 0
	a.body = response.Body
	if a.Framed && !response.Close {
		a.keep = keepTime(response.Header.Get("Keep-Alive"))
	}
}

// keepTime reads the target's idle timeout from a Keep-Alive field.
func keepTime(text string) time.Duration {
	for param := range strings.SplitSeq(text, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(param), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		seconds, err := strconv.ParseFloat(value, 64)
		if err != nil || seconds < 0 {
			return defaultKeep
		}
		return time.Duration(seconds * keepShare * float64(time.Second))
	}
	return defaultKeep
}

// Read reads the body as it arrives; io.EOF means that it is whole.
func (a *Answer) Read(p []byte) (int, error) {
	n, err := a.body.Read(p)
	if err == io.EOF {
		a.finish()
	} else if err != nil {
		err = a.broken(err)
	}
	return n, err
}

// finish gives the connection back after a whole answer.
func (a *Answer) finish() {
	if a.ended {
		return
	}
	a.ended = true
	unhooked := a.unhook()
	select {
	case err := <-a.written:
		if unhooked && err == nil {
			a.pool.put(a.conn, a.keep)
			return
		}
	default:
	}
	_ = a.conn.Close()
}

// Reused reports whether the connection had served an exchange before.
func (a *Answer) Reused() bool {
	return a.conn.reused
}

// Close aborts what is not yet read.
func (a *Answer) Close() {
	if a.ended {
		return
	}
	a.ended = true
	a.unhook()
	_ = a.conn.Close()
}

func (a *Answer) broken(err error) error {
	if ended := context.Cause(a.ctx); ended != nil {
		err = ended
	}
	return fmt.Errorf("%w: %w", ErrBroken, err)
}
