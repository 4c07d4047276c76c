package connlimit

import (
	"net"
	"net/http"
)

// TrackState follows the connections of a server of net/http. It is for http.Server.ConnState.
func TrackState(c net.Conn, state http.ConnState) {
	limited, ok := c.(*Conn)
	if !ok {
		return
	}
	switch state {
	case http.StateActive:
		limited.HeadRead()
	case http.StateIdle:
		limited.Idle()
	}
}
