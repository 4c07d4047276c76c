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
	startTimeout = 5 * time.Second
	startPoll    = time.Millisecond
	closeTimeout = 200 * time.Millisecond
	maxBodyBytes = objectapi.MaxValueBytes + 64<<10
	faultsPath   = "/faults"
	countsPath   = "/counts"
	objectRoute  = objectapi.ObjectsPath + ":kind/:name"
	kindRoute    = objectapi.ObjectsPath + ":kind"
	idleTimeout  = time.Minute
)

// PlatformConfig sets the listener and the rate limits of the platform stand-in.
type PlatformConfig struct {
	// Addr is host:port; port zero picks a free one.
	Addr string
	// WritesPerSecond and ReadsPerSecond limit the rate of admitted calls; zero
	// means no limit.
	WritesPerSecond int
	ReadsPerSecond  int
	// Seed seeds the random variation of delays.
	Seed uint64
}

// Platform serves an Objects over HTTP. The embedded Objects can also be called
// directly.
type Platform struct {
	*Objects

	server   *server.Hertz
	listener net.Listener
	context  context.Context
	cancel   context.CancelFunc
	conns    *connSet
	done     chan struct{}
}

// StartPlatform starts the stand-in and returns once it accepts calls.
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
		server.WithMaxRequestBodySize(maxBodyBytes),
		server.WithExitWaitTime(closeTimeout),
		server.WithIdleTimeout(idleTimeout),
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
			return fmt.Errorf("platform stand-in: server not running after %s", startTimeout)
		}
		time.Sleep(startPoll)
	}
	return nil
}

// Addr returns host:port of the listener.
func (p *Platform) Addr() string {
	return p.listener.Addr().String()
}

// Close closes all connections and stops the server. It may be called more than
// once.
func (p *Platform) Close() {
	p.cancel()
	_ = p.listener.Close()
	p.conns.closeAll()
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	_ = p.server.Shutdown(ctx)
	<-p.done
}
