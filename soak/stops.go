package soak

import (
	"context"
	"slices"
	"syscall"
	"time"
)

const (
	// stopAcceptTime is the time from SIGTERM in which a router may accept streams that it cannot
	// finish, since the platform still sends clients there.
	stopAcceptTime = 3 * time.Second
	// slowEventGap is the pause between the events of slow streams, which take 4.2 s, and
	// slowStreamTimeout the timeout of their routes and clients, longer than a stop.
	slowEventGap      = 350 * time.Millisecond
	slowStreamTimeout = 12 * time.Second
	// shortStreamsTime is the time before each stop in which all streams are short.
	shortStreamsTime = 2 * time.Second
)

// Stop is a planned stop of a router's process.
type Stop struct {
	Router    string
	At, Ended time.Time
}

// StoppedStreams counts the streams that were sent to a router later than stopAcceptTime after
// its SIGTERM.
type StoppedStreams struct {
	Stops    int `json:"stops"`
	Complete int `json:"complete"`
	Refused  int `json:"refused"`
	Cut      int `json:"cut"`
}

// stopRouters stops one or two routers at a time until ctx ends, and returns the stops. All
// streams before a stop are short; a part of those from a moment of it on are slow.
func (i *injector) stopRouters(ctx context.Context) []Stop {
	env := i.environment
	var stops []Stop
	for sleep(ctx, warmUp+shortStreamsTime) {
		first, count := i.random.IntN(len(env.routers)), 1+i.random.IntN(2)
		slow := time.AfterFunc(time.Duration(i.random.Int64N(int64(stopAcceptTime))), func() { env.slowStreams.Store(true) })
		ended := make(chan Stop, count)
		for n := range count {
			r := env.routers[(first+n*domainCount)%len(env.routers)]
			i.countPlanned("stop")
			s := Stop{Router: r.name, At: time.Now()}
			exited := r.signal(syscall.SIGTERM)
			go func() {
				<-exited
				s.Ended = time.Now()
				i.duringAt(r, "down", func() {
					// If the process cannot start, clients find the other routers.
					_ = env.restartRouter(r, exited)
					time.Sleep(routerStartTime)
				})
				ended <- s
			}()
		}
		for range count {
			stops = append(stops, <-ended)
		}
		slow.Stop()
		env.slowStreams.Store(false)
	}
	return stops
}

// isSlow reports whether the next stream is slow: every other one, while some are.
func (env *environment) isSlow() bool {
	return env.slowStreams.Load() && env.slowCount.Add(1)%2 == 0
}

// stopOf returns the time since SIGTERM at which a request was sent to a router that was
// stopping, or false if it was not.
func (h *History) stopOf(r *Request) (time.Duration, bool) {
	i := slices.IndexFunc(h.Stops, func(s Stop) bool {
		return s.Router == r.Router && !r.Sent.Before(s.At) && r.Sent.Before(s.Ended)
	})
	if i < 0 {
		return 0, false
	}
	return r.Sent.Sub(h.Stops[i].At), true
}

// isCut reports whether the answer to a request began and was broken off, not by its client.
func isCut(r *Request) bool {
	return r.Status == 200 && r.Err != "" && r.Err != errCutByClient.Error()
}

// stoppedStreams counts what became of the streams that were sent late in a stop.
func (h *History) stoppedStreams() StoppedStreams {
	n := StoppedStreams{Stops: len(h.Stops)}
	for i := range h.Requests {
		r := &h.Requests[i]
		if since, stopping := h.stopOf(r); !r.Kind.Stream || !stopping || since <= stopAcceptTime {
			continue
		}
		switch {
		case isCut(r):
			n.Cut++
		case r.Status == 200:
			n.Complete++
		case r.Status == 503:
			n.Refused++
		}
	}
	return n
}

// checkStop checks that a router does not cut an answer to a request that it was sent late in a
// planned stop, while nothing else was wrong.
func (c *checker) checkStop(r *Request) {
	since, stopping := c.h.stopOf(r)
	if !stopping || since <= stopAcceptTime || !isCut(r) {
		return
	}
	if c.calmBut("down", r.Sent.Add(-settleTime), r.Ended) {
		c.add("planned stops", r.ID, "%s request was accepted %v after SIGTERM and cut after %v: %s", r.Kind.Name, since, r.Ended.Sub(r.Sent), r.Err)
	}
}
