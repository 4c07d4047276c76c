package node

import (
	"context"
	"time"

	"ragwortpond.example/ragwortpond/admission"
	"ragwortpond.example/ragwortpond/event"
	"ragwortpond.example/ragwortpond/relay"
)

const (
	// deregistrationDelay is how long the platform may take to stop sending
	// clients here: it probes readiness once a second and acts on the second
	// unready answer.
	deregistrationDelay = 2500 * time.Millisecond
	// exitMargin is reserved at the end of the grace period for the process to
	// exit.
	exitMargin = 600 * time.Millisecond
	// drainPollInterval is the interval at which a draining router checks
	// whether it is idle.
	drainPollInterval = 50 * time.Millisecond
	// minIdle is how long the router must have been without requests before it
	// stops. Clients that were sent here before the router left the platform's
	// rotation arrive within that time.
	minIdle = 300 * time.Millisecond
	// closeTimeout bounds the writing of last responses and the closing of connections.
	closeTimeout = 200 * time.Millisecond
)

// drain performs a graceful shutdown: it fails readiness first, then waits for
// the requests in progress and for those still arriving that can finish in
// time.
func (n *Node) drain(ctx context.Context) {
	started := time.Now()
	n.draining.Store(true)
	n.versions.Leave()
	n.mesh.AnnounceLeaving()
	event.NodeDraining.Log(n.log).Int("in_progress", n.relay.InFlight()).Send()
	deadline := started.Add(max(n.cfg.StopGrace()-exitMargin, 0))
	deregistered := started.Add(min(deregistrationDelay, n.cfg.StopGrace()/2))
	n.relay.StartDraining(admission.StopSchedule{LeaveAt: deregistered, EndAt: deadline})
	// Clients with idle connections would continue to send requests here.
	leave := time.AfterFunc(time.Until(deregistered), func() {
		event.NodeLeft.Log(n.log).Int("idle_closed", n.ingress.CloseIdle()).Int("in_progress", n.relay.InFlight()).Send()
	})
	defer leave.Stop()
	for now := started; now.Before(deadline); now = time.Now() {
		if now.After(deregistered) && n.relay.IdleTime(now) > minIdle {
			break
		}
		time.Sleep(drainPollInterval)
	}
	remaining := n.relay.InFlight()
	n.versions.HandOver()
	n.ingress.EndRequests(relay.ErrRouterStopped)
	closeCtx, cancel := context.WithTimeout(ctx, closeTimeout)
	defer cancel()
	if err := n.ingress.Shutdown(closeCtx); err != nil {
		// Connections are still open closeTimeout after the end of the drain, which
		// is at the latest exitMargin before the end of the grace period. The count
		// logged is that of the requests that EndRequests ended.
		event.NodeDraining.Log(n.log).Int("in_progress", remaining).Err(err).Send()
		_ = n.ingress.Close()
	}
	for _, l := range n.listeners {
		_ = l.Close()
	}
	event.NodeStopped.Log(n.log).Int("cut", remaining).Dur("took", time.Since(started)).Send()
}
