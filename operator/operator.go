// Package operator is the administration API: an HTTP listener of its own, with
// TLS, bearer tokens, roles and subtrees. Documents are read and changed on the
// platform under conditional updates; every change is checked first and logged
// as an audit event.
package operator

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/server"
	"github.com/cloudwego/hertz/pkg/common/config"
	"github.com/cloudwego/hertz/pkg/common/hlog"
	"github.com/cloudwego/hertz/pkg/network/standard"
	"github.com/rs/zerolog"

	"ragwortpond.example/ragwortpond/event"
	"ragwortpond.example/ragwortpond/fleet"
	"ragwortpond.example/ragwortpond/metrics"
	"ragwortpond.example/ragwortpond/objectapi"
	"ragwortpond.example/ragwortpond/reason"
	"ragwortpond.example/ragwortpond/settings"
	"ragwortpond.example/ragwortpond/settings/propagate"
)

const (
	maxHeaderBytes = 16 << 10
	maxBodyBytes   = objectapi.MaxValueBytes
	// cutBodyBytes is the size from which a request is cut off without reading
	// it, so that its sender may see a broken connection rather than 413.
	cutBodyBytes = 4 << 20
	readTimeout  = 10 * time.Second
	idleTimeout  = 60 * time.Second
	exitWait     = 50 * time.Millisecond
	// requestTimeout bounds the platform calls of one request.
	requestTimeout = 5 * time.Second
	// inForceTimeout bounds the wait of ?wait=in-force.
	inForceTimeout = 13 * time.Second
	// statusTimeout bounds the questions to other routers for the status.
	statusTimeout = time.Second
)

// Config is what the API needs.
type Config struct {
	// Addr is host:port; port 0 takes a free one.
	Addr string
	// TLS of the listener; nil serves without, for tests.
	TLS      *tls.Config
	Store    objectapi.Store
	Snapshot func() *settings.Snapshot
	// Status returns what this router shows of itself besides the revisions of
	// all routers; nil shows nothing.
	Status func() any
	// InForce waits until every live router has a revision in force or ctx ends.
	InForce func(ctx context.Context, revision uint64) propagate.InForce
	// InFlight counts the attempts in flight before targets on all routers; nil
	// shows no counts.
	InFlight func(ctx context.Context, targets []fleet.Target) InFlight
	Log      zerolog.Logger
	Metrics  *metrics.Set
}

// InFlight is the number of attempts in flight before targets.
type InFlight struct {
	Attempts map[fleet.TargetID]int
	// Silent are the routers that did not answer; the counts lack theirs.
	Silent []fleet.RouterID
}

// Server is the administration API of one router. It is safe for concurrent
// use.
type Server struct {
	cfg      Config
	writer   *writer
	listener net.Listener
	hertz    *server.Hertz
	done     chan struct{}
}

// New opens the listener; Run serves it.
func New(cfg Config) (*Server, error) {
	l, err := net.Listen("tcp", cfg.Addr)
	if err != nil {
		return nil, fmt.Errorf("operator: listen %s: %w", cfg.Addr, err)
	}
	if cfg.Metrics == nil {
		cfg.Metrics = metrics.NewSet()
	}
	s := &Server{cfg: cfg, listener: l, done: make(chan struct{})}
	s.writer = &writer{store: cfg.Store, revision: func() uint64 { return cfg.Snapshot().Revision }}
	s.hertz = newHertz(l, cfg.TLS)
	s.routes()
	return s, nil
}

func newHertz(l net.Listener, tlsConfig *tls.Config) *server.Hertz {
	hlog.SetSilentMode(true)
	hlog.SetLevel(hlog.LevelFatal)
	options := []config.Option{
		server.WithListener(l),
		server.WithTransport(standard.NewTransporter),
		server.WithMaxHeaderBytes(maxHeaderBytes),
		server.WithMaxRequestBodySize(cutBodyBytes),
		server.WithReadTimeout(readTimeout),
		server.WithIdleTimeout(idleTimeout),
		server.WithExitWaitTime(exitWait),
		server.WithDisablePrintRoute(true),
		server.WithDisableDefaultDate(true),
	}
	if tlsConfig != nil {
		options = append(options, server.WithTLS(tlsConfig))
	}
	return server.New(options...)
}

func (s *Server) routes() {
	api := s.hertz.Group("/admin/v1", s.authenticate)
	api.GET("/effective", s.effective)
	api.GET("/status", s.status)
	api.GET("/withdrawals", s.listWithdrawals)
	api.POST("/withdrawals", s.withdraw)
	api.DELETE("/withdrawals/:scope/:name", s.callOff)
	api.GET("/:kind", s.list)
	api.GET("/:kind/:name", s.get)
	api.PUT("/:kind/:name", s.put)
	api.PATCH("/:kind/:name", s.patch)
	api.DELETE("/:kind/:name", s.remove)
	s.hertz.NoRoute(func(_ context.Context, c *app.RequestContext) {
		s.respondRefusal(c, refuse(reason.UnknownPath, ""))
	})
}

// Addr returns host:port of the listener.
func (s *Server) Addr() string {
	return s.listener.Addr().String()
}

// Run serves until Shutdown.
func (s *Server) Run() error {
	defer close(s.done)
	event.OperatorListening.Log(s.cfg.Log).Str("addr", s.Addr()).Send()
	return s.hertz.Run()
}

// Shutdown stops the listener and waits for Run until ctx ends.
func (s *Server) Shutdown(ctx context.Context) error {
	err := s.hertz.Shutdown(ctx)
	if closed := s.listener.Close(); closed != nil && !errors.Is(closed, net.ErrClosed) {
		err = errors.Join(err, closed)
	}
	select {
	case <-s.done:
	case <-ctx.Done():
	}
	return err
}

const operatorKey = "operator"

// authenticate finds the operator of the bearer token.
func (s *Server) authenticate(ctx context.Context, c *app.RequestContext) {
	o, ok := find(s.cfg.Snapshot().Operators, bearer(c))
	if !ok {
		s.respondRefusal(c, refuse(reason.Unauthenticated, ""))
		c.Abort()
		return
	}
	c.Set(operatorKey, o)
	if len(c.Request.Body()) > maxBodyBytes {
		s.respondRefusal(c, refuse(reason.BodyTooLarge, ""))
		c.Abort()
		return
	}
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	c.Next(ctx)
}

func operatorOf(c *app.RequestContext) settings.Operator {
	o, _ := c.Value(operatorKey).(settings.Operator)
	return o
}

func bearer(c *app.RequestContext) string {
	const prefix = "Bearer "
	header := string(c.GetHeader("Authorization"))
	if len(header) <= len(prefix) || header[:len(prefix)] != prefix {
		return ""
	}
	return header[len(prefix):]
}
