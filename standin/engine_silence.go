package standin

import (
	"context"

	"github.com/cloudwego/hertz/pkg/app"
)

// SetSilent sets whether the engine is silent. A silent engine keeps its connections
// and accepts new ones, but generates no token and answers no request, as a process
// that does not get the processor. Afterwards it goes on where it stopped.
func (e *Engine) SetSilent(silent bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	select {
	case <-e.audible:
		if silent {
			e.audible = make(chan struct{})
		}
	default:
		if !silent {
			close(e.audible)
		}
	}
}

// awaitAudible waits while the engine is silent. It returns false if the engine
// stops.
func (e *Engine) awaitAudible() bool {
	e.mu.Lock()
	audible := e.audible
	e.mu.Unlock()
	select {
	case <-audible:
		return true
	case <-e.stop:
		return false
	}
}

// holdWhileSilent delays the requests that arrive while the engine is silent.
func (e *Engine) holdWhileSilent(ctx context.Context, c *app.RequestContext) {
	e.awaitAudible()
	c.Next(ctx)
}
