// Package operator is the administration API: an HTTP server with its own
// listener, TLS, bearer tokens, roles and subtrees. Documents are read from and
// changed on the platform by conditional updates. Every change is validated
// first and logged as an audit event.
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
	"github.com/rs/zerolog"

	"ragwortpond.example/ragwortpond/connlimit"
	"ragwortpond.example/ragwortpond/event"
	"ragwortpond.example/ragwortpond/fleet"
	"ragwortpond.example/ragwortpond/hertzlisten"
	"ragwortpond.example/ragwortpond/metrics"
	"ragwortpond.example/ragwortpond/objectapi"
	"ragwortpond.example/ragwortpond/reason"
	"ragwortpond.example/ragwortpond/settings"
	"ragwortpond.example/ragwortpond/settings/propagate"
)

const (
	maxBodyBytes = objectapi.MaxValueBytes
	// hardBodyLimitBytes is the body size above which a request is rejected
	// without reading it. Its sender may see a broken connection instead of
	// status 413.
	hardBodyLimitBytes = 4 << 20
	readTimeout        = 10 * time.Second
	idleTimeout        = 60 * time.Second
	exitWait           = 50 * time.Millisecond
	// requestTimeout bounds the platform calls of one request.
	requestTimeout = 5 * time.Second
	// inForceTimeout bounds the wait of requests with ?wait=in-force.
	inForceTimeout = 13 * time.Second
	// statusTimeout bounds the queries to other routers for the status.
	statusTimeout = time.Second
)

// Config configures a Server.
type Config struct {
	// Addr is host:port; port 0 selects a free port.
	Addr string
	// TLS is the configuration of the listener; nil disables TLS, for tests.
	TLS      *tls.Config
	Store    objectapi.Store
	Snapshot func() *settings.Snapshot
	// Status returns details of this router for the status response; nil omits
	// them.
	Status func() any
	// InForce waits until every live router has a revision in force or ctx
	// ends.
	InForce func(ctx context.Context, revision uint64) propagate.InForceReport
	// InFlight counts the attempts in flight to targets on all routers; nil
	// omits the counts.
	InFlight func(ctx context.Context, targets []fleet.Target) InFlightCounts
	Log      zerolog.Logger
	Metrics  *metrics.Set
}

// InFlightCounts holds the number of attempts in flight to each target.
type InFlightCounts struct {
	Attempts map[fleet.TargetID]int
	// MissingRouters lists the routers that did not respond; their attempts are not
	// counted.
	MissingRouters []fleet.RouterID
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

// New opens the listener. Run must be called to serve it.
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
	s.hertz = newHertz(hertzlisten.Listen(l, connlimit.NewRecorder(cfg.Metrics.DroppedConns, cfg.Log).Record), cfg.TLS)
	s.registerRoutes()
	return s, nil
}

func newHertz(l net.Listener, tlsConfig *tls.Config) *server.Hertz {
	hlog.SetSilentMode(true)
	hlog.SetLevel(hlog.LevelFatal)
	options := []config.Option{
		server.WithListener(l),
		server.WithTransport(hertzlisten.NewTransporter),
		server.WithMaxHeaderBytes(hertzlisten.MaxHeaderBytes),
		server.WithMaxRequestBodySize(hardBodyLimitBytes),
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

func (s *Server) registerRoutes() {
	s.hertz.Use(hertzlisten.TrackState)
	api := s.hertz.Group("/admin/v1", s.authenticate)
	api.GET("/effective", s.handleEffective)
	api.GET("/status", s.handleStatus)
	api.GET("/withdrawals", s.handleListWithdrawals)
	api.POST("/withdrawals", s.handleWithdraw)
	api.DELETE("/withdrawals/:scope/:name", s.handleCancelWithdrawal)
	api.GET("/:kind", s.handleList)
	api.GET("/:kind/:name", s.handleGet)
	api.PUT("/:kind/:name", s.handlePut)
	api.PATCH("/:kind/:name", s.handlePatch)
	api.DELETE("/:kind/:name", s.handleDelete)
	s.hertz.NoRoute(func(_ context.Context, c *app.RequestContext) {
		s.respondError(c, newRequestError(reason.UnknownPath, ""))
	})
}

// Addr returns the listener's address as host:port.
func (s *Server) Addr() string {
	return s.listener.Addr().String()
}

// Run serves requests until Shutdown is called.
func (s *Server) Run() error {
	defer close(s.done)
	event.OperatorListening.Log(s.cfg.Log).Str("addr", s.Addr()).Send()
	return s.hertz.Run()
}

// Shutdown stops the listener and waits for Run to return or ctx to end.
func (s *Server) Shutdown(ctx context.Context) error {
	err := s.hertz.Shutdown(ctx)
	if closeErr := s.listener.Close(); closeErr != nil && !errors.Is(closeErr, net.ErrClosed) {
		err = errors.Join(err, closeErr)
	}
	select {
	case <-s.done:
	case <-ctx.Done():
	}
	return err
}

const operatorKey = "operator"

// authenticate finds the operator of the bearer token, rejects bodies over
// maxBodyBytes and bounds the request by requestTimeout.
func (s *Server) authenticate(ctx context.Context, c *app.RequestContext) {
	o, ok := findOperator(s.cfg.Snapshot().Operators, bearerToken(c))
	if !ok {
		s.respondError(c, newRequestError(reason.Unauthenticated, ""))
		c.Abort()
		return
	}
	c.Set(operatorKey, o)
	if len(c.Request.Body()) > maxBodyBytes {
		s.respondError(c, newRequestError(reason.BodyTooLarge, ""))
		c.Abort()
		return
	}
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	c.Next(ctx)
}

func currentOperator(c *app.RequestContext) settings.Operator {
	o, _ := c.Value(operatorKey).(settings.Operator)
	return o
}

func bearerToken(c *app.RequestContext) string {
	const prefix = "Bearer "
	header := string(c.GetHeader("Authorization"))
	if len(header) <= len(prefix) || header[:len(prefix)] != prefix {
		return ""
	}
	return header[len(prefix):]
}
