package node

import (
	"context"
	"time"

	"ragwortpond.example/ragwortpond/event"
)

const (
	// leaveRotation is how long the platform may take to send no more clients:
	// it asks once a second and believes the second answer.
	leaveRotation = 2500 * time.Millisecond
	// exitMargin is left of the grace for the end of the process.
	exitMargin = 600 * time.Millisecond
	// drainPoll is how often a stopping router looks whether it is done.
	drainPoll = 50 * time.Millisecond
	// closeTimeout bounds the closing of idle connections.
	closeTimeout = 200 * time.Millisecond
)

// drain stops as planned: not ready first, then no new requests, then the end of
// those in progress, as far as the grace allows.
func (n *Node) drain(ctx context.Context) {
	begun := time.Now()
	n.draining.Store(true)
	n.relay.CloseConnections()
	event.NodeDraining.Log(n.log).Int("in_progress", n.relay.Serving()).Send()
	last := begun.Add(max(n.start.Grace()-exitMargin, 0))
	refuseAt := begun.Add(min(leaveRotation, n.start.Grace()/2))
	for now := begun; now.Before(last); now = time.Now() {
		if now.After(refuseAt) {
			n.relay.Refuse()
			if n.relay.Serving() == 0 {
				break
			}
		}
		time.Sleep(drainPoll)
	}
	cut := n.relay.Serving()
	closing, cancel := context.WithTimeout(ctx, closeTimeout)
	defer cancel()
	if err := n.ingress.Shutdown(closing); err != nil {
		// Requests are left at the end of the grace; they are cut.
		event.NodeDraining.Log(n.log).Int("in_progress", cut).Err(err).Send()
		_ = n.ingress.Close()
	}
	for _, l := range n.listening {
		_ = l.Close()
	}
	event.NodeStopped.Log(n.log).Int("cut", cut).Dur("took", time.Since(begun)).Send()
}
