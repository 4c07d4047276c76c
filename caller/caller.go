// Package caller is the HTTP API for callers: OpenAI chat completions, plain
// services, health, readiness and metrics.
package caller

import (
	"context"
	"crypto/tls"
	"fmt"
	"net"
	"sync/atomic"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/server"
	"github.com/cloudwego/hertz/pkg/common/adaptor"
	"github.com/cloudwego/hertz/pkg/common/config"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/rs/zerolog"

	"ragwortpond.example/ragwortpond/connlimit"
	"ragwortpond.example/ragwortpond/fleet"
	"ragwortpond.example/ragwortpond/hertzlisten"
	_ "ragwortpond.example/ragwortpond/httpconn" // silences hertz's logger
	"ragwortpond.example/ragwortpond/metrics"
	"ragwortpond.example/ragwortpond/router/entry"
	"ragwortpond.example/ragwortpond/router/wire"
	"ragwortpond.example/ragwortpond/settings"
)

const (
	maxBodyBytes = 4 << 20
	readTimeout  = 30 * time.Second
	idleTimeout  = 90 * time.Second
	exitWait     = 50 * time.Millisecond
)

// RequestHandler serves requests. *entry.Entry implements it.
type RequestHandler interface {
	Do(ctx context.Context, req *entry.Request, out wire.Sink) entry.Result
}

// Config configures an HTTPServer.
type Config struct {
	// Addr is host:port; port 0 selects a free port.
	Addr string
	// TLS is the configuration of the listener; nil disables TLS.
	TLS           *tls.Config
	Server        RequestHandler
	RequestLookup RequestLookup
	Snapshot      func() *settings.Snapshot
	// Ready reports whether the router accepts requests.
	Ready func() bool
	// Self identifies this router; its failure domain selects the effective
	// settings.
	Self    fleet.Router
	Metrics *metrics.Set
	Log     zerolog.Logger
}

// HTTPServer is the HTTP server for callers.
type HTTPServer struct {
	cfg             Config
	listener        net.Listener
	hertz           *server.Hertz
	index           accountIndex
	readinessFailed atomic.Bool
	rejectNew       atomic.Bool
	inFlight        atomic.Int64
	done            chan struct{}
}

// Listen opens the listener. Run must be called to serve it.
func Listen(cfg Config) (*HTTPServer, error) {
	l, err := net.Listen("tcp", cfg.Addr)
	if err != nil {
		return nil, fmt.Errorf("caller: listen %s: %w", cfg.Addr, err)
	}
	opts := []config.Option{
		server.WithListener(hertzlisten.Listen(l, connlimit.NewRecorder(cfg.Metrics.DroppedConns, cfg.Log).Record)),
		server.WithTransport(hertzlisten.NewTransporter),
		server.WithMaxHeaderBytes(hertzlisten.MaxHeaderBytes),
		server.WithMaxRequestBodySize(maxBodyBytes),
		server.WithStreamBody(true),
		server.WithReadTimeout(readTimeout),
		server.WithIdleTimeout(idleTimeout),
		server.WithExitWaitTime(exitWait),
		server.WithDisablePrintRoute(true),
		server.WithDisableDefaultDate(true),
		server.WithSenseClientDisconnection(true),
	}
	if cfg.TLS != nil {
		opts = append(opts, server.WithTLS(cfg.TLS))
	}
	f := &HTTPServer{cfg: cfg, listener: l, hertz: server.New(opts...), done: make(chan struct{})}
	f.registerRoutes()
	return f, nil
}

func (f *HTTPServer) registerRoutes() {
	f.hertz.Use(hertzlisten.TrackState, f.rejectAmbiguousFraming, f.closeBeforeStop)
	f.hertz.POST("/v1/chat/completions", f.handle(f.parseChatRequest))
	f.hertz.Any("/s/:service/*path", f.handle(f.parsePlainRequest))
	f.hertz.GET("/v1/requests/:key", f.handleRequestStatus)
	f.hertz.GET("/healthz", f.handleHealth)
	f.hertz.GET("/readyz", f.handleReady)
	f.hertz.GET("/metrics", adaptor.HertzHandler(promhttp.HandlerFor(f.cfg.Metrics.Registry, promhttp.HandlerOpts{})))
	f.hertz.NoRoute(f.handleUnknownPath)
}

// Addr returns the listener's address as host:port.
func (f *HTTPServer) Addr() string {
	return f.listener.Addr().String()
}

// Run serves requests until Close is called.
func (f *HTTPServer) Run() error {
	defer close(f.done)
	return f.hertz.Run()
}

// FailReadiness makes the readiness endpoint fail while requests are still
// accepted, so that the platform's load balancer stops routing here before the
// router rejects requests.
func (f *HTTPServer) FailReadiness() {
	f.readinessFailed.Store(true)
}

// closeBeforeStop announces with the answer to each request that its connection is
// closed, once readiness fails. A caller that kept the connection could send its next
// request at the moment when the router exits, and would get no answer.
func (f *HTTPServer) closeBeforeStop(ctx context.Context, c *app.RequestContext) {
	f.announceClose(c)
	c.Next(ctx)
}

// announceClose must be called before the head of the answer is written.
func (f *HTTPServer) announceClose(c *app.RequestContext) {
	if f.readinessFailed.Load() {
		c.SetConnectionClose()
	}
}

// RejectNewRequests rejects new requests with reason.Draining.
func (f *HTTPServer) RejectNewRequests() {
	f.rejectNew.Store(true)
}

// InFlight returns the number of requests whose answer has not been written yet.
func (f *HTTPServer) InFlight() int {
	return int(f.inFlight.Load())
}

// Close stops the listener and waits for Run to return or ctx to end.
func (f *HTTPServer) Close(ctx context.Context) error {
	err := f.hertz.Shutdown(ctx)
	f.listener.Close()
	select {
	case <-f.done:
	case <-ctx.Done():
	}
	return err
}

func (f *HTTPServer) handleHealth(_ context.Context, c *app.RequestContext) {
	c.String(200, "ok\n")
}

func (f *HTTPServer) handleReady(_ context.Context, c *app.RequestContext) {
	if f.readinessFailed.Load() || !f.cfg.Ready() {
		c.String(503, "not ready\n")
		return
	}
	c.String(200, "ready\n")
}
