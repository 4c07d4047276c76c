package soak

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"ragwortpond.example/ragwortpond/platform/standin"
)

// client sends requests one after another. It keeps its connections open until its
// router closes them.
type client struct {
	environment *environment
	random      *rand.Rand
	http        *http.Client
	routerIndex int
	lastID      *atomic.Int64
	record      func(Request)
	// patient clients wait for as long as a refusal asks for; the others ask again at once.
	patient bool
	// cut is the stream that the client broke off last; nil if it has resumed it.
	cut *cutStream
}

// cutStream is a stream that its client has broken off.
type cutStream struct {
	id, account string
	kind        Kind
	events      int
}

// clientPause is the mean time between two requests of a client.
const clientPause = 30 * time.Millisecond

// clientTimeout is how long a client waits for an answer.
const clientTimeout = 4 * time.Second

// runClients runs n clients until ctx ends and passes each finished request to
// record, which must be safe for concurrent use. It returns after the last request
// has finished.
func runClients(ctx context.Context, env *environment, n int, seed uint64, record func(Request)) {
	var wg sync.WaitGroup
	var lastID atomic.Int64
	for i := range n {
		c := &client{
			environment: env, random: rand.New(rand.NewPCG(seed, uint64(i))), lastID: &lastID, record: record, patient: i%2 == 0,
			http: &http.Client{Transport: &http.Transport{DisableCompression: true}}, routerIndex: i % len(env.routers),
		}
		wg.Go(func() { c.run(ctx) })
	}
	wg.Wait()
}

func (c *client) run(ctx context.Context) {
	defer c.http.CloseIdleConnections()
	for ctx.Err() == nil {
		r := c.request()
		c.record(r)
		if r.Status == 0 || r.Status == http.StatusServiceUnavailable {
			// The next request goes to a router chosen at random.
			c.routerIndex = c.random.IntN(len(c.environment.routers))
		}
		pause := clientPause/2 + time.Duration(c.random.Int64N(int64(clientPause)))
		if c.patient {
			pause = max(pause, min(r.RetryAfter, clientTimeout/3))
		}
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
	}
}

// retryAfter returns the time after which a refused request may come back, zero if its answer
// names none.
func retryAfter(h http.Header) time.Duration {
	// An empty text gives zero.
	seconds, _ := strconv.ParseFloat(h.Get("Retry-After"), 64)
	return time.Duration(seconds * float64(time.Second))
}

// request sends one request of a random kind and returns it with its answer.
func (c *client) request() Request {
	kind := kinds[c.random.IntN(len(kinds))]
	account := fmt.Sprintf("account-%d", c.random.IntN(4))
	cut := c.cut
	c.cut = nil
	if cut != nil {
		kind, account = cut.kind, cut.account
		c.routerIndex = c.random.IntN(len(c.environment.routers))
	}
	dest := c.environment.routers[c.routerIndex]
	n := c.lastID.Add(1)
	r := Request{ID: fmt.Sprintf("q%d", n), Kind: kind, Account: account, Router: dest.name, Sent: time.Now()}
	timeout := clientTimeout
	if kind.Stream {
		timeout += c.environment.streamTimeout - routeTimeout
	}
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	method, body := http.MethodPost, strings.Repeat("b", 200)
	if !kind.Once && !kind.Stream {
		method, body = http.MethodGet, ""
	}
	name := "x"
	if r.Crashing = c.environment.sendsCrashing(kind, n); r.Crashing {
		name, r.Account = crashingName, crashingAccount
	}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+dest.clientAddr()+kind.Path+name, strings.NewReader(body))
	if err != nil {
		r.Err = err.Error()
		return r
	}
	request.Host = routeHost
	if cut != nil {
		r.After, r.Resumes = cut.events, cut.id
		standin.SetResumes(request, cut.id)
	}
	standin.SetRequestHeaders(request, r.ID, c.environment.accounts[r.Account], timeout, r.After)
	if kind.Stream && c.environment.sendPrompts {
		var prompt string
		prompt, r.Crashing = c.environment.prompt(n)
		standin.SetPrompt(request, prompt)
	}
	cutAfter := 0
	if kind.Resumable && cut == nil && c.random.IntN(4) == 0 {
		cutAfter = 1 + c.random.IntN(eventsPerStream-1)
	}
	c.receive(request, &r, cutAfter)
	r.Ended = time.Now()
	return r
}

// errCutByClient is the error of a stream that its client broke off.
var errCutByClient = errors.New("soak: the client broke the stream off")

// receive reads the answer. If cutAfter is set, the client breaks a stream off after so many
// events.
func (c *client) receive(request *http.Request, r *Request, cutAfter int) {
	response, err := c.http.Do(request)
	if err != nil {
		r.Err = err.Error()
		return
	}
	defer response.Body.Close()
	var body []byte
	if cutAfter > 0 && response.StatusCode == http.StatusOK {
		body, err = readEvents(response.Body, cutAfter)
		if errors.Is(err, errCutByClient) {
			c.cut = &cutStream{id: r.ID, account: r.Account, kind: r.Kind, events: cutAfter}
		}
	} else {
		body, err = io.ReadAll(response.Body)
	}
	r.Status, r.Seal, r.Body = response.StatusCode, standin.Signature(response), string(body)
	r.RetryAfter = retryAfter(response.Header)
	r.Limited, r.Leaving = standin.NamesLimit(response), standin.SaysLeaving(response)
	if err != nil {
		r.Err = err.Error()
	}
}

// readEvents reads n events of a stream and returns errCutByClient, or the error that ended
// the stream before.
func readEvents(r io.Reader, n int) ([]byte, error) {
	var body []byte
	buffer := make([]byte, 1)
	for bytes.Count(body, []byte("\n\n")) < n {
		if _, err := io.ReadFull(r, buffer); err != nil {
			return body, err
		}
		body = append(body, buffer...)
	}
	return body, errCutByClient
}
