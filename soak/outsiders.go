package soak

import (
	"context"
	"io"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"time"
)

// outsiders is the number of clients that keep to no limit.
const outsiders = 12

const (
	// outsiderBytes bounds what one of them sends on a connection, outsiderHold how long it keeps the connection.
	outsiderBytes = 256 << 10
	outsiderHold  = 2 * time.Second
	// outsiderPause is the time between two connections.
	outsiderPause = 100 * time.Millisecond
)

const outsiderChunked = "POST /lookup/x HTTP/1.1\r\nHost: " + routeHost + "\r\nTransfer-Encoding: chunked\r\n\r\n"

// outsiderKinds are what they send: a prefix, and a text that is repeated.
var outsiderKinds = []struct{ prefix, repeated string }{
	{"", ""}, {"", "\r\n"}, {"GET /", "x"}, {"GET /x HTTP/1.1\r\nX: ", "x"}, {"GET /x HTTP/1.1\r\nHost: h\r\n", "X: y\r\n"},
	{outsiderChunked + "1;", "x"}, {outsiderChunked, "0"}, {outsiderChunked, "1\r\nx\r\n"}, {outsiderChunked + "0\r\n", "X: y\r\n"},
	{"", "GET /none HTTP/1.1\r\nHost: h\r\n\r\n"}, {"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n", "\x00"},
}

// sendOutsideLimits runs clients that keep to no limit until ctx ends. Guarantees towards the others hold beside them.
func (i *injector) sendOutsideLimits(ctx context.Context) {
	var all sync.WaitGroup
	for range outsiders {
		random := rand.New(rand.NewPCG(i.random.Uint64(), 0))
		all.Go(func() {
			for ctx.Err() == nil {
				kind := outsiderKinds[random.IntN(len(outsiderKinds))]
				i.countPlanned("outside-limits")
				sendOutside(ctx, i.environment.routers[random.IntN(len(i.environment.routers))].clientAddr(), kind.prefix, kind.repeated)
				sleep(ctx, outsiderPause)
			}
		})
	}
	all.Wait()
}

// sendOutside sends on a connection what a client outside of the limits does, and holds the connection. Routers may end it at any time.
func sendOutside(ctx context.Context, addr, prefix, repeated string) {
	ctx, cancel := context.WithTimeout(ctx, outsiderHold)
	defer cancel()
	c, err := (&net.Dialer{}).DialContext(ctx, "tcp4", addr)
	if err != nil {
		return
	}
	defer c.Close()
	stop := context.AfterFunc(ctx, func() { _ = c.Close() })
	defer stop()
	go func() { _, _ = io.Copy(io.Discard, c) }()
	_, err = io.WriteString(c, prefix)
	if repeated != "" {
		block := strings.Repeat(repeated, 4<<10/len(repeated)+1)
		for sent := 0; err == nil && sent < outsiderBytes; sent += len(block) {
			_, err = io.WriteString(c, block)
		}
	}
	if err == nil {
		<-ctx.Done()
	}
}
