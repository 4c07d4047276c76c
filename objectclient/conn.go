package objectclient

import (
	"errors"
	"net"
	"os"
	"sync/atomic"
	"time"

	"github.com/cloudwego/hertz/pkg/network"
	"github.com/cloudwego/hertz/pkg/protocol/consts"

	"ragwortpond.example/ragwortpond/httpconn"
)

// errResponseTooLarge means that a response exceeds a limit.
var errResponseTooLarge = errors.New("response too large")

// errInterimResponse means that a response has a status below 200.
var errInterimResponse = errors.New("interim response")

const (
	// maxHeadBytes bounds the head of a response, and its trailer.
	maxHeadBytes = 32 << 10
	// maxBodyBytes bounds its body: all objects of one kind.
	maxBodyBytes = 16 << 20
	// maxPeekBytes is more than hertz peeks at in a body that is within its limit.
	maxPeekBytes = maxBodyBytes + 1<<10
)

// trackedConn is a connection that its dialer can close. It bounds each response in size and
// time: hertz peeks at ever more bytes until a head or a trailer is complete, and its timeout is
// that of one read. It is used by one exchange at a time.
type trackedConn struct {
	network.Conn
	dialer *trackingDialer
	// deadline is the time by which the response must have been read, zero if there is none.
	deadline time.Time
	// begun is set once the status of the response was checked.
	begun bool
	// failed is set once a read has failed, also where hertz takes that for the end of a body.
	failed atomic.Bool
	// growing is set while hertz peeks at all that is buffered, again and again.
	growing bool
}

// Close implements net.Conn.
func (c *trackedConn) Close() error {
	c.dialer.remove(c)
	return c.Conn.Close()
}

// SetReadTimeout implements network.Conn. It is called before the response is read.
func (c *trackedConn) SetReadTimeout(timeout time.Duration) error {
	c.deadline, c.begun, c.growing = time.Time{}, false, false
	if timeout > 0 {
		c.deadline = time.Now().Add(timeout)
	}
	return c.Conn.SetReadTimeout(timeout)
}

// Peek implements network.Reader. It fails if what arrives is not a final response.
func (c *trackedConn) Peek(n int) ([]byte, error) {
	err := c.checkStatus()
	if err != nil {
		return nil, err
	}
	b, err := c.peek(n)
	if err != nil {
		c.failed.Store(true)
	}
	return b, err
}

// connAddr is the local address of a connection, by which an exchange finds the connection that it used.
type connAddr struct {
	net.Addr
	conn *trackedConn
}

// LocalAddr implements net.Conn.
func (c *trackedConn) LocalAddr() net.Addr {
	return connAddr{c.Conn.LocalAddr(), c}
}

// checkStatus returns an error if a response begins that is not one of HTTP, or an interim one. The platform sends none of
// these, and hertz would take what follows it for the answer to the next call.
func (c *trackedConn) checkStatus() error {
	if c.begun {
		return nil
	}
	status, err := httpconn.PeekStatus(peeker{c})
	if err == nil && status < consts.StatusOK {
		err = errInterimResponse
	}
	c.begun = err == nil
	return err
}

// peeker reads from a connection whose response has not begun.
type peeker struct{ *trackedConn }

// Peek implements network.Reader.
func (p peeker) Peek(n int) ([]byte, error) {
	return p.peek(n)
}

// peek is Peek once the response has begun.
func (c *trackedConn) peek(n int) ([]byte, error) {
	if n > maxPeekBytes || (c.growing && n > maxHeadBytes) {
		return nil, errResponseTooLarge
	}
	if err := c.limitTime(n); err != nil {
		return nil, err
	}
	return c.Conn.Peek(n)
}

// Len implements network.Reader. It hides what exceeds the limit of a head. hertz asks for it
// before it peeks at all that is buffered, but not before it peeks at a body of known length.
func (c *trackedConn) Len() int {
	c.growing = true
	return min(c.Conn.Len(), maxHeadBytes)
}

// Skip implements network.Reader.
func (c *trackedConn) Skip(n int) error {
	c.growing = false
	return c.Conn.Skip(n)
}

// ReadByte implements network.Reader.
func (c *trackedConn) ReadByte() (byte, error) {
	c.growing = false
	if err := c.limitTime(1); err != nil {
		return 0, err
	}
	return c.Conn.ReadByte()
}

// limitTime makes a read of n bytes fail at the deadline, if it has to wait for them.
func (c *trackedConn) limitTime(n int) error {
	if c.deadline.IsZero() || c.Conn.Len() >= n {
		return nil
	}
	left := time.Until(c.deadline)
	if left <= 0 {
		return os.ErrDeadlineExceeded
	}
	return c.Conn.SetReadTimeout(left)
}
