package standin

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/server"

	"ragwortpond.example/ragwortpond/weights"
)

// WeightsConfig configures a stand-in weight store.
type WeightsConfig struct {
	// Addr is host:port to listen on; empty picks a port on loopback.
	Addr string
	// LoadsPerMinute is the rate of granted loads; zero means no limit.
	LoadsPerMinute int
	// Artifacts lists the artifacts in the store; empty means that every
	// artifact exists.
	Artifacts []string
}

// Weights is a stand-in weight store. It grants loads at a limited rate; the
// answer to a load over the rate gives the time to wait. It is safe for
// concurrent use.
type Weights struct {
	config WeightsConfig
	host   *host

	mu       sync.Mutex
	nextFree time.Time
	granted  int
}

// StartWeights starts a weight store that listens on c.Addr. The caller stops it
// with Close or Kill.
func StartWeights(c WeightsConfig) (*Weights, error) {
	if c.Addr == "" {
		c.Addr = "127.0.0.1:0"
	}
	w := &Weights{config: c}
	h, err := startHost(c.Addr, func(h *server.Hertz) { h.POST("/v1/loads/:artifact", w.serve) })
	if err != nil {
		return nil, err
	}
	w.host = h
	return w, nil
}

// Addr returns host:port of the store's listener.
func (w *Weights) Addr() string {
	return w.host.addr()
}

// Granted returns the number of loads granted since the start.
func (w *Weights) Granted() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.granted
}

// Close stops the store at once, like Kill.
func (w *Weights) Close() error {
	w.host.kill()
	return nil
}

// Kill stops the store at once and resets all connections.
func (w *Weights) Kill() {
	w.host.kill()
}

func (w *Weights) serve(_ context.Context, c *app.RequestContext) {
	artifact := c.Param("artifact")
	if !w.hasArtifact(artifact) {
		c.SetStatusCode(http.StatusNotFound)
		return
	}
	c.JSON(http.StatusOK, weights.Reservation{Artifact: artifact, Delay: w.reserve(time.Now())})
}

func (w *Weights) hasArtifact(artifact string) bool {
	for _, a := range w.config.Artifacts {
		if a == artifact {
			return true
		}
	}
	return len(w.config.Artifacts) == 0
}

// reserve grants the next free load time and returns the wait until then.
func (w *Weights) reserve(now time.Time) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.granted++
	if w.config.LoadsPerMinute <= 0 {
		return 0
	}
	start := now
	if w.nextFree.After(now) {
		start = w.nextFree
	}
	w.nextFree = start.Add(time.Minute / time.Duration(w.config.LoadsPerMinute))
	return start.Sub(now)
}
