// Package netconn opens TCP connections that notice a silent peer: one that has
// no power, is behind a partition, or has lost the connection without a reset.
package netconn

import (
	"context"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// silence is how long sent bytes may go without an acknowledgement.
	silence = 1500 * time.Millisecond
	// probeIdle, probeGap and probes find a silent peer of an idle connection
	// in about the same time.
	probeIdle = time.Second
	probeGap  = 500 * time.Millisecond
	probes    = 2
)

// Dial connects to addr, host:port, within ctx.
func Dial(ctx context.Context, addr string) (net.Conn, error) {
	d := net.Dialer{Control: control, KeepAliveConfig: keepAlive()}
	return d.DialContext(ctx, "tcp4", addr)
}

func keepAlive() net.KeepAliveConfig {
	return net.KeepAliveConfig{Enable: true, Idle: probeIdle, Interval: probeGap, Count: probes}
}

// control sets the bound on unacknowledged bytes before the socket is used.
func control(_, _ string, c syscall.RawConn) error {
	var failed error
	err := c.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(silence.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return failed
}

// Quiet reports whether an idle connection is open and has nothing to read. A
// connection that is not quiet was closed by its peer, or holds bytes that
// belong to no request.
func Quiet(conn net.Conn) bool {
	raw, ok := conn.(syscall.Conn)
	if !ok {
		return true
	}
	rc, err := raw.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = rc.Read(func(fd uintptr) bool {
		var one [1]byte
		n, _, err := unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		quiet = n <= 0 && (err == unix.EAGAIN || err == unix.EWOULDBLOCK)
		return true
	})
	return err == nil && quiet
}
