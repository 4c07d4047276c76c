package standin

import (
	"context"
	"fmt"
	"net"
	"time"

	"github.com/cloudwego/hertz/pkg/app/server"
	"github.com/cloudwego/hertz/pkg/network/standard"

	"ragwortpond.example/ragwortpond/objectapi"
)

const (
	startTimeout  = 5 * time.Second
	startPoll     = time.Millisecond
	closeTimeout  = 200 * time.Millisecond
	bodyLimit     = objectapi.MaxValueBytes + 64<<10
	faultsPath    = "/faults"
	countsPath    = "/counts"
	objectRoute   = objectapi.ObjectsPath + ":kind/:name"
	kindRoute     = objectapi.ObjectsPath + ":kind"
	idleKeepAlive = time.Minute
)

// PlatformConfig says how the platform stand-in listens and what it grants.
type PlatformConfig struct {
	// Addr is host:port; port zero picks a free one.
	Addr string
	// WritesPerSecond and ReadsPerSecond bound the calls granted; zero means no
	// limit.
	WritesPerSecond int
	ReadsPerSecond  int
	// Seed drives the spread of delays.
	Seed uint64
}

// Platform serves an Objects over HTTP. The embedded Objects can be used
// directly as well.
type Platform struct {
	*Objects

	server   *server.Hertz
	listener net.Listener
	context  context.Context
	cancel   context.CancelFunc
	conns    *connSet
	done     chan struct{}
}

// StartPlatform starts the stand-in and returns when it takes calls.
func StartPlatform(config PlatformConfig) (*Platform, error) {
	listener, err := net.Listen("tcp", config.Addr)
	if err != nil {
		return nil, fmt.Errorf("platform stand-in: %w", err)
	}
	objects := NewObjects(ObjectsConfig{
		WritesPerSecond: config.WritesPerSecond,
		ReadsPerSecond:  config.ReadsPerSecond,
		Seed:            config.Seed,
	})
	ctx, cancel := context.WithCancel(context.Background())
	p := &Platform{Objects: objects, context: ctx, cancel: cancel, conns: newConnSet(), done: make(chan struct{})}
	p.listener = p.conns.listener(listener)
	p.server = p.newServer()
	go p.run()
	if err := p.waitRunning(); err != nil {
		p.Close()
		return nil, err
	}
	return p, nil
}

func (p *Platform) newServer() *server.Hertz {
	h := server.New(
		server.WithListener(p.listener),
		server.WithTransport(standard.NewTransporter),
		server.WithMaxRequestBodySize(bodyLimit),
		server.WithExitWaitTime(closeTimeout),
		server.WithIdleTimeout(idleKeepAlive),
		server.WithDisablePrintRoute(true),
		server.WithUseRawPath(true),
		server.WithUnescapePathValues(true),
	)
	h.GET(objectRoute, p.get)
	h.POST(objectRoute, p.write)
	h.GET(kindRoute, p.list)
	h.GET(objectapi.WatchPath, p.watch)
	h.GET(objectapi.VMsPath, p.vms)
	h.PUT(objectapi.VMsPath, p.setVMs)
	h.GET(faultsPath, p.getFaults)
	h.PUT(faultsPath, p.setFaults)
	h.GET(countsPath, p.getCounts)
	return h
}

func (p *Platform) run() {
	defer close(p.done)
	_ = p.server.Run()
}

func (p *Platform) waitRunning() error {
	deadline := time.Now().Add(startTimeout)
	for !p.server.IsRunning() {
		if time.Now().After(deadline) {
			return fmt.Errorf("platform stand-in: not running after %s", startTimeout)
		}
		time.Sleep(startPoll)
	}
	return nil
}

// Addr returns host:port of the listener.
func (p *Platform) Addr() string {
	return p.listener.Addr().String()
}

// Close breaks all connections and stops the server. It may be called again.
func (p *Platform) Close() {
	p.cancel()
	_ = p.listener.Close()
	p.conns.closeAll()
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	_ = p.server.Shutdown(ctx)
	<-p.done
}
