package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"ragwortpond.example/ragwortpond/platform/standin"
)

// client sends requests one after another over connections that it keeps until
// its router is gone.
type client struct {
	world  *world
	random *rand.Rand
	http   *http.Client
	at     int
	number *atomic.Int64
	seen   func(Request)
}

// clientPause is the time between a client's requests.
const clientPause = 30 * time.Millisecond

// patience is how long a client waits for an answer.
const patience = 4 * time.Second

// runClients sends requests until ctx ends and returns when the last answer is
// in.
func runClients(ctx context.Context, w *world, n int, seed uint64, seen func(Request)) {
	var all sync.WaitGroup
	var number atomic.Int64
	for i := range n {
		c := &client{
			world: w, random: rand.New(rand.NewPCG(seed, uint64(i))), number: &number, seen: seen,
			http: &http.Client{Transport: &http.Transport{DisableCompression: true}}, at: i % len(w.routers),
		}
		all.Go(func() { c.run(ctx) })
	}
	all.Wait()
}

func (c *client) run(ctx context.Context) {
	defer c.http.CloseIdleConnections()
	for ctx.Err() == nil {
		r := c.request()
		c.seen(r)
		if r.Status == 0 || r.Status == http.StatusServiceUnavailable {
			// The next try goes to another router.
			c.at = c.random.IntN(len(c.world.routers))
		}
		select {
		case <-ctx.Done():
		case <-time.After(clientPause/2 + time.Duration(c.random.Int64N(int64(clientPause)))):
		}
	}
}

// request sends one request and reads its answer.
func (c *client) request() Request {
	kind := kinds[c.random.IntN(len(kinds))]
	account := fmt.Sprintf("account-%d", c.random.IntN(4))
	to := c.world.routers[c.at]
	r := Request{ID: fmt.Sprintf("q%d", c.number.Add(1)), Kind: kind, Account: account, Router: to.name, Sent: time.Now()}
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	method, body := http.MethodPost, strings.Repeat("b", 200)
	if !kind.Once && !kind.Stream {
		method, body = http.MethodGet, ""
	}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+to.clientAddr()+kind.Path+"x", strings.NewReader(body))
	if err != nil {
		r.Err = err.Error()
		return r
	}
	request.Host = host
	if kind.Resumable && c.random.IntN(4) == 0 {
		r.After = 1 + c.random.IntN(streamSize-1)
	}
	standin.Ask(request, r.ID, c.world.accounts[account], patience, r.After)
	c.receive(request, &r)
	r.Ended = time.Now()
	return r
}

func (c *client) receive(request *http.Request, r *Request) {
	response, err := c.http.Do(request)
	if err != nil {
		r.Err = err.Error()
		return
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	r.Status, r.Seal, r.Body = response.StatusCode, standin.Seal(response), string(body)
	if err != nil {
		r.Err = err.Error()
	}
}
