package node

import (
	"context"
	"time"

	"ragwortpond.example/ragwortpond/admission"
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
	// quiet is how long no request may have been in progress before the end;
	// clients that were sent here before the router left the rotation come in
	// that time.
	quiet = 300 * time.Millisecond
	// closeTimeout bounds the closing of idle connections.
	closeTimeout = 200 * time.Millisecond
)

// drain stops as planned: not ready first, then the end of the requests in
// progress and of those that still come and can end in time.
func (n *Node) drain(ctx context.Context) {
	begun := time.Now()
	n.draining.Store(true)
	n.mesh.Leave()
	event.NodeDraining.Log(n.log).Int("in_progress", n.relay.Serving()).Send()
	last := begun.Add(max(n.start.Grace()-exitMargin, 0))
	leave := begun.Add(min(leaveRotation, n.start.Grace()/2))
	n.relay.Stop(admission.Stop{Leave: leave, End: last})
	for now := begun; now.Before(last); now = time.Now() {
		if now.After(leave) && n.relay.Idle(now) > quiet {
			break
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
