package node

import (
	"context"
	"math"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"

	"ragwortpond.example/ragwortpond/connlimit"
)

// Bounds of the listener for clients, by the memory and the descriptors of the process.
const (
	// clientConnsPerMB bounds the connections: an idle one takes some 15 KB.
	clientConnsPerMB = 16
	// clientHeadRatio is the fraction of the memory that heads may take as received. Parsed, a head of short lines takes up to 18 times
	// its size.
	clientHeadRatio = 1.0 / 40
	// reservedDescriptors is the number of descriptors for files, and clientDescriptorRatio the fraction of the others for connections of
	// clients. What is left is for targets, routers and the store.
	reservedDescriptors   = 200
	clientDescriptorRatio = 0.5
)

// clientLimits returns the bounds of the listener for clients of a process with an amount of memory.
func clientLimits(memoryMB float64) connlimit.Limits {
	return limitsFor(memoryMB, maxDescriptors())
}

// limitsFor is clientLimits of a process with a number of descriptors.
func limitsFor(memoryMB, descriptors float64) connlimit.Limits {
	conns := min(clientConnsPerMB*memoryMB, clientDescriptorRatio*(descriptors-reservedDescriptors))
	return connlimit.Limits{Conns: max(int(conns), 1), HeadBytes: int64(memoryMB * clientHeadRatio * (1 << 20))}
}

// maxDescriptors returns how many descriptors the process may have open.
func maxDescriptors() float64 {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return math.Inf(1)
	}
	return float64(limit.Cur)
}

// maxRequestsPerConn bounds the requests of a connection for readiness or metrics, so that pipelined ones do not keep the listener busy.
const maxRequestsPerConn = 100

// requestsKey is the context key of the number of requests of a connection.
type requestsKey struct{}

// countRequests is for http.Server.ConnContext of servers whose handler is limitRequests.
func countRequests(ctx context.Context, _ net.Conn) context.Context {
	return context.WithValue(ctx, requestsKey{}, new(atomic.Int32))
}

// limitRequests returns a handler that closes each connection after maxRequestsPerConn requests to h.
func limitRequests(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if n, ok := r.Context().Value(requestsKey{}).(*atomic.Int32); ok && n.Add(1) >= maxRequestsPerConn {
			w.Header().Set("Connection", "close")
		}
		h.ServeHTTP(w, r)
	})
}
