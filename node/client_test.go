package node

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/http/httptrace"
	"slices"
	"sync"
	"testing"
	"time"

	"ragwortpond.example/ragwortpond/platform/standin"
)

const (
	// routerIdleTime is the IdleTimeoutMs of the configurations here, after which routers close connections.
	routerIdleTime = 300 * time.Millisecond
	// clientIdleTime is how long clients reuse idle connections: four fifths of routerIdleTime.
	clientIdleTime = 240 * time.Millisecond
)

// client is a client with kept connections. A request that crosses a router's close of an idle connection is no failure
// of the router unless it reached a target; it is sent once more.
type client struct {
	kept, fresh *http.Client
}

func newClient(t *testing.T, transport *http.Transport) *client {
	t.Helper()
	transport.IdleConnTimeout = clientIdleTime
	c := &client{&http.Client{Transport: transport}, &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}}
	t.Cleanup(c.kept.CloseIdleConnections)
	return c
}

// do sends a request whose body can be sent again, and whose ID no other request has. Errors tell how long the
// connection had been idle.
func (c *client) do(r *http.Request, id string, targets []*standin.Target) (*http.Response, error) {
	var conn httptrace.GotConnInfo
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) { conn = info }}
	started := time.Now()
	response, err := c.kept.Do(r.WithContext(httptrace.WithClientTrace(r.Context(), trace)))
	if err == nil {
		return response, nil
	}
	unused := conn.IdleTime + time.Since(started)
	if crossed := conn.Reused && unused >= routerIdleTime; !crossed || hasArrived(id, targets) {
		return nil, fmt.Errorf("connection reused %t, unused for %v, request at a target %t: %w", conn.Reused, unused, hasArrived(id, targets), err)
	}
	again := r.Clone(r.Context())
	if again.Body, err = r.GetBody(); err != nil {
		return nil, err
	}
	return c.fresh.Do(again)
}

func hasArrived(id string, targets []*standin.Target) bool {
	return slices.ContainsFunc(targets, func(t *standin.Target) bool {
		return slices.ContainsFunc(t.Arrivals(), func(a standin.Arrival) bool { return a.Request == id })
	})
}

// machinePace tells how long the machine takes for an exchange that no router is part of.
type machinePace struct {
	mu    sync.Mutex
	spans []exchangeSpan
}

type exchangeSpan struct{ from, to time.Time }

// paceInterval is the pause between the exchanges of a machinePace.
const paceInterval = 20 * time.Millisecond

// startMachinePace makes small exchanges until the end of the test.
func startMachinePace(t *testing.T) *machinePace {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {})}
	p, stopped := &machinePace{}, make(chan struct{})
	var tasks sync.WaitGroup
	tasks.Go(func() {
		if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			t.Error(err)
		}
	})
	tasks.Go(func() {
		for ticker := time.NewTicker(paceInterval); ; {
			select {
			case <-stopped:
				ticker.Stop()
				return
			case <-ticker.C:
				tasks.Go(func() { p.exchange(t, "http://"+l.Addr().String()) })
			}
		}
	})
	t.Cleanup(func() {
		close(stopped)
		_ = server.Close()
		tasks.Wait()
	})
	return p
}

func (p *machinePace) exchange(t *testing.T, url string) {
	from := time.Now()
	c := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := c.Get(url)
	if err != nil {
		// The test has ended.
		return
	}
	if err := response.Body.Close(); err != nil {
		t.Error(err)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.spans = append(p.spans, exchangeSpan{from, time.Now()})
}

// slowest returns the longest exchange in progress within a span.
func (p *machinePace) slowest(from, to time.Time) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	slowest := time.Duration(0)
	for _, s := range p.spans {
		if s.to.After(from) && s.from.Before(to) {
			slowest = max(slowest, s.to.Sub(s.from))
		}
	}
	return slowest
}
