// Package netconn opens TCP connections that detect an unresponsive peer: one
// that has lost power, is behind a network partition, or has lost the
// connection without sending a reset.
package netconn

import (
	"context"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// unackedTimeout is how long sent bytes may stay unacknowledged before the
	// connection fails.
	unackedTimeout = 1500 * time.Millisecond
	// The keep-alive settings detect an unresponsive peer of an idle connection
	// in about the same time.
	keepAliveIdle     = time.Second
	keepAliveInterval = 500 * time.Millisecond
	keepAliveProbes   = 2
)

// Dial connects to addr, given as host:port, over IPv4. ctx bounds the setup of
// the connection only.
func Dial(ctx context.Context, addr string) (net.Conn, error) {
	d := net.Dialer{Control: setUserTimeout, KeepAliveConfig: keepAliveConfig()}
	return d.DialContext(ctx, "tcp4", addr)
}

func keepAliveConfig() net.KeepAliveConfig {
	return net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveProbes}
}

// setUserTimeout sets unackedTimeout on a socket before it connects.
func setUserTimeout(_, _ string, c syscall.RawConn) error {
	var sockErr error
	err := c.Control(func(fd uintptr) {
		sockErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return sockErr
}

// Reusable reports whether an idle connection is open and has no unread bytes.
// Otherwise its peer has closed it, or has sent bytes that belong to no
// request. A connection that is not a syscall.Conn is always reported as
// reusable.
func Reusable(conn net.Conn) bool {
	return checkSocket(conn, func(rc syscall.RawConn, f func(fd uintptr)) error {
		return rc.Read(func(fd uintptr) bool {
			f(fd)
			return true
		})
	}, isIdle)
}

// Open reports whether an idle connection is open and has no unread bytes, as Reusable does, also while another
// goroutine waits to read from it.
func Open(conn net.Conn) bool {
	// Unlike Read, Control does not wait for other readers.
	return checkSocket(conn, syscall.RawConn.Control, isIdle)
}

// checkSocket calls check on the socket of a connection by way of access, which says how other users of the socket are
// kept out. A connection that is not a syscall.Conn passes every check.
func checkSocket(conn net.Conn, access func(rc syscall.RawConn, f func(fd uintptr)) error, check func(fd int) bool) bool {
	raw, ok := conn.(syscall.Conn)
	if !ok {
		return true
	}
	rc, err := raw.SyscallConn()
	if err != nil {
		return false
	}
	passed := false
	err = access(rc, func(fd uintptr) { passed = check(int(fd)) })
	return err == nil && passed
}

// isIdle reports whether a socket is open and has no unread bytes.
func isIdle(fd int) bool {
	var buf [1]byte
	n, _, err := unix.Recvfrom(fd, buf[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	return n <= 0 && (err == unix.EAGAIN || err == unix.EWOULDBLOCK)
}

// ClosedInOrder reports whether the peer has closed its side of a connection and acknowledged all that was sent before.
// Otherwise the connection was reset, also if another user of the socket was told of that, or ended early. A connection
// that is not a syscall.Conn is always reported as closed in order.
func ClosedInOrder(conn net.Conn) bool {
	return checkSocket(conn, syscall.RawConn.Control, isClosedInOrder)
}

// stateCloseWait is the state of a TCP socket whose peer has closed its side.
const stateCloseWait = 8

// isClosedInOrder is ClosedInOrder of a socket.
func isClosedInOrder(fd int) bool {
	info, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO)
	if err != nil || info.State != stateCloseWait {
		return false
	}
	unacknowledged, err := unix.IoctlGetInt(fd, unix.SIOCOUTQ)
	return err == nil && unacknowledged == 0
}
