package soak

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"time"

	"ragwortpond.example/ragwortpond/platform/standin"
)

// skewedClient reads one stream, which it breaks off and takes up at routers that are out of step and at others.
type skewedClient struct {
	environment *environment
	random      *rand.Rand
	skew        *skew
	counts      *skewCounts
	record      func(Request)
	id          string
	// tries is the number of requests sent.
	tries int
}

// skewedTransport keeps connections to the routers open.
var skewedTransport = &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 64}

// run reads the stream over up to skewedTries requests, the first two of which it breaks off.
func (c *skewedClient) run(ctx context.Context) {
	first, events, refused := "", 0, false
	c.counts.add(func(s *SkewedStreams) { s.Asked++ })
	for try := range skewedTries {
		router, out := c.pickRouter(try)
		cutAfter := 0
		if try < 2 {
			cutAfter = 1 + c.random.IntN(4)
		}
		r := c.request(router, first, events, cutAfter)
		c.record(r)
		got := strings.Count(r.Body, "\n\n")
		if first == "" && got > 0 {
			first = r.ID
			c.counts.add(func(s *SkewedStreams) { s.Begun++ })
		}
		events += got
		refused = r.Status == http.StatusServiceUnavailable
		c.counts.add(func(s *SkewedStreams) {
			switch {
			case r.Resumes == "" && refused:
				s.NotBegun++
			case r.Resumes != "" && out:
				s.TakenUp++
				if refused {
					s.Refused++
				}
			}
		})
		if events >= eventsPerStream {
			c.counts.add(func(s *SkewedStreams) { s.Complete++ })
			return
		}
		pause := time.Duration(c.random.Int64N(int64(60 * time.Millisecond)))
		if refused {
			pause = max(pause, min(r.RetryAfter, 300*time.Millisecond))
		}
		if !sleep(ctx, pause) {
			return
		}
	}
	if first != "" && refused {
		c.counts.add(func(s *SkewedStreams) { s.Stranded++ })
	}
}

// pickRouter returns the router of a try, and whether it is out of step at some time of the skew.
func (c *skewedClient) pickRouter(try int) (int, bool) {
	out := c.skew.outOfStep()
	toOut := (try == 0 && c.random.IntN(10) == 0) || (try == 1 && c.random.IntN(4) > 0) || (try >= 2 && c.random.IntN(4) == 0)
	if toOut {
		return out[c.random.IntN(len(out))], true
	}
	router := c.random.IntN(c.skew.routers)
	for range 8 {
		if !slices.Contains(out, router) {
			break
		}
		router = c.random.IntN(c.skew.routers)
	}
	return router, slices.Contains(out, router)
}

// request sends one request of the stream that began with the request first.
func (c *skewedClient) request(router int, first string, events, cutAfter int) Request {
	env, kind := c.environment, skewedKind(c.skew.n)
	dest := env.routers[router]
	c.tries++
	r := Request{ID: fmt.Sprintf("%s-%d", c.id, c.tries), Kind: kind, Account: "account-0", Router: dest.name, Sent: time.Now(), Resumes: first, After: events}
	timeout := 1500*time.Millisecond + time.Duration(c.random.Int64N(int64(1500*time.Millisecond)))
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+dest.clientAddr()+kind.Path+"x", strings.NewReader("prompt"))
	if err != nil {
		r.Err = err.Error()
		return r
	}
	request.Host = routeHost
	if first != "" {
		standin.SetResumes(request, first)
	}
	standin.SetRequestHeaders(request, r.ID, env.accounts[r.Account], timeout, events)
	c.receive(request, &r, cutAfter)
	r.Ended = time.Now()
	return r
}

// receive reads the answer, and breaks it off after cutAfter events if that is not zero.
func (c *skewedClient) receive(request *http.Request, r *Request, cutAfter int) {
	response, err := skewedTransport.RoundTrip(request)
	if err != nil {
		r.Err = err.Error()
		return
	}
	defer response.Body.Close()
	var body []byte
	if cutAfter > 0 && response.StatusCode == http.StatusOK {
		body, err = readEvents(response.Body, cutAfter)
		if errors.Is(err, io.EOF) {
			// The stream has ended before.
			err = nil
		}
	} else {
		body, err = io.ReadAll(response.Body)
	}
	r.Status, r.Seal, r.RetryAfter = response.StatusCode, standin.Signature(response), retryAfter(response.Header)
	if response.StatusCode == http.StatusOK {
		r.Body = string(body)
	}
	if err != nil {
		r.Err = err.Error()
	}
}
