package relay_test

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"ragwortpond.example/ragwortpond/await"
	"ragwortpond.example/ragwortpond/catalog"
	"ragwortpond.example/ragwortpond/netconn"
	"ragwortpond.example/ragwortpond/platform/standin"
	"ragwortpond.example/ragwortpond/relay"
)

// helpedFixture is a relay that can lose its paths to targets t0 and t1, and another one that helps it.
type helpedFixture struct {
	*fixture
	helper *fixture
	cut    atomic.Bool
	// forwarded counts the requests that the helper got.
	forwarded atomic.Int64
}

// newHelpedFixture starts both relays with the paths of the first one cut. wrap changes the responses of the helper; it
// may be nil.
func newHelpedFixture(t *testing.T, route catalog.Route, setup func(i int, target *standin.Target), wrap func(http.Handler) http.Handler) *helpedFixture {
	t.Helper()
	f := &helpedFixture{helper: newFixture(t, 2, route, setup)}
	handler := http.Handler(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		f.forwarded.Add(1)
		f.helper.relay.ServeForwarded(w, r)
	}))
	if wrap != nil {
		handler = wrap(handler)
	}
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	f.cut.Store(true)
	f.fixture = newFixture(t, 0, route, nil, withHelper(server.Listener.Addr().String()), func(cfg *relay.Config) {
		cfg.Self = "self"
		cfg.Connect = func(ctx context.Context, addr string) (net.Conn, error) {
			if f.cut.Load() {
				return nil, &net.OpError{Op: "dial", Net: "tcp4", Err: errors.New("cut")}
			}
			return netconn.Dial(ctx, addr)
		}
	})
	f.publish(f.helper.targets...)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go func() { _ = f.relay.Run(ctx) }()
	return f
}

// serve sends a request that must be served and returns its response.
func (f *helpedFixture) serve() *http.Response {
	f.t.Helper()
	response, _, err := f.do(f.request(http.MethodPost, "x"))
	if err != nil || response.StatusCode != http.StatusOK {
		f.t.Fatalf("got %v, error %v, want status 200", response, err)
	}
	return response
}

// heal ends the cut and waits until the relay serves a request by itself.
func (f *helpedFixture) heal() {
	f.t.Helper()
	f.cut.Store(false)
	await.Until(f.t, "a direct path", func() bool {
		before := f.forwarded.Load()
		f.serve()
		return f.forwarded.Load() == before
	})
}

// TestNoticeByWayOfRouterIsRead guards against requests to a target whose leaving a client learned from an answer that
// another router had passed on.
func TestNoticeByWayOfRouterIsRead(t *testing.T) {
	for name, route := range map[string]catalog.Route{"body": repeatableRoute, "stream": resumableRoute} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newHelpedFixture(t, route, func(i int, target *standin.Target) {
				if route.Stream {
					target.Events = 2
				}
				target.Leaving = func() bool { return i == 0 }
			}, nil)
			leaving := f.helper.targets[0]
			told := false
			for range 50 {
				response := f.serve()
				told = told || response.Header.Get("Server-Leaving") != ""
				if got := response.Header.Get("Ragwort-Target"); got != "" {
					t.Fatalf("the client got %q, which is for routers", got)
				}
			}
			if !told {
				t.Fatal("no answer said that its target leaves")
			}
			before := len(leaving.Arrivals())
			f.heal()
			for range 20 {
				f.serve()
			}
			if got := len(leaving.Arrivals()) - before; got != 0 {
				t.Errorf("got %d requests at a target that leaves, want none", got)
			}
		})
	}
}

// TestRoutersOfEarlierBuildsDoNotNameTargets guards against depending on what an earlier build does not send, and
// against sending it what it would pass on to clients.
func TestRoutersOfEarlierBuildsDoNotNameTargets(t *testing.T) {
	t.Parallel()
	f := newHelpedFixture(t, repeatableRoute, nil, func(next http.Handler) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			r.Header.Set("Ragwort-Forwarded-By", "self")
			next.ServeHTTP(w, r)
		})
	})
	f.serve()
	request := f.helper.request(http.MethodPost, "x", "Ragwort-Forwarded-By", "self")
	w := httptest.NewRecorder()
	request.RequestURI = request.URL.RequestURI()
	f.helper.relay.ServeForwarded(w, request)
	if got := w.Header().Get("Ragwort-Target"); w.Code != http.StatusOK || got != "" {
		t.Errorf("got status %d and target %q for a router that did not ask for it, want 200 and none", w.Code, got)
	}
}
