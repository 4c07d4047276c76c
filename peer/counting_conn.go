package peer

import (
	"net"
	"sync/atomic"
)

// countingConn is a UDP socket that counts the bytes sent.
type countingConn struct {
	*net.UDPConn
	sent atomic.Uint64
}

// WriteMsgUDP implements quic.OOBCapablePacketConn.
func (c *countingConn) WriteMsgUDP(b, oob []byte, addr *net.UDPAddr) (n, oobn int, err error) {
	n, oobn, err = c.UDPConn.WriteMsgUDP(b, oob, addr)
	c.sent.Add(uint64(n))
	return n, oobn, err
}

// WriteTo implements net.PacketConn.
func (c *countingConn) WriteTo(b []byte, addr net.Addr) (int, error) {
	n, err := c.UDPConn.WriteTo(b, addr)
	c.sent.Add(uint64(n))
	return n, err
}

// SentWireBytes returns the number of bytes that the node has sent over UDP:
// control and data with the overhead of QUIC, without UDP and IP headers.
func (n *Endpoint) SentWireBytes() uint64 {
	return n.socket.sent.Load()
}
