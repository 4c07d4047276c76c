package relay_test

import (
	"bufio"
	"cmp"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"ragwortpond.example/ragwortpond/admission"
	"ragwortpond.example/ragwortpond/await"
	"ragwortpond.example/ragwortpond/catalog"
	"ragwortpond.example/ragwortpond/fleet"
	"ragwortpond.example/ragwortpond/ingress"
	"ragwortpond.example/ragwortpond/metrics"
	"ragwortpond.example/ragwortpond/platform"
	"ragwortpond.example/ragwortpond/platform/standin"
	"ragwortpond.example/ragwortpond/relay"
	"ragwortpond.example/ragwortpond/retry"
)

const testHost = "host.example"

// fixture is a relay in front of stand-in targets.
type fixture struct {
	t       *testing.T
	targets []*standin.Target
	relay   *relay.Relay
	view    atomic.Pointer[catalog.View]
	url     string
	config  *catalog.Config
	// firstView is what requests wait for while the view is empty.
	firstView chan struct{}
}

// newFixture starts a relay and n targets of service "s". setup configures each
// target before it starts; it may be nil. options change the relay's configuration.
func newFixture(t *testing.T, n int, route catalog.Route, setup func(i int, target *standin.Target), options ...func(*relay.Config)) *fixture {
	t.Helper()
	return newFixtureWithLog(t, n, route, zerolog.Nop(), setup, options...)
}

func newFixtureWithLog(t *testing.T, n int, route catalog.Route, log zerolog.Logger, setup func(i int, target *standin.Target), options ...func(*relay.Config)) *fixture {
	t.Helper()
	s := &fixture{t: t, firstView: make(chan struct{})}
	route.Host, route.Prefix = testHost, "/p/"
	if route.Name == "" {
		route.Name = "r"
	}
	route.WeightedServices = []catalog.WeightedService{{Service: "s", Weight: 1}}
	route.MaxTargets = max(route.MaxTargets, 1)
	accounts := map[string]*catalog.Account{"key": {Name: "account"}}
	s.config = catalog.NewConfig(1, 1, catalog.Limits{BodyBytes: 1 << 20, HeaderBytes: 8 << 10}, []*catalog.Route{&route}, []catalog.Service{{Name: "s", Slots: 8}}, accounts)
	for i := range n {
		target := &standin.Target{ID: fmt.Sprintf("t%d", i), Service: "s", Zone: "d"}
		if setup != nil {
			setup(i, target)
		}
		if err := target.Start(""); err != nil {
			t.Fatal(err)
		}
		t.Cleanup(target.Close)
		s.targets = append(s.targets, target)
	}
	s.publish(s.targets...)
	set := metrics.NewSet()
	cfg := relay.Config{
		Domain: "d", Codec: platform.HeaderCodec{}, View: s.view.Load, FirstView: s.firstView, GuardClose: ingress.GuardClose,
		// With a window of 1 ms the reserve is full right after the start.
		RetryBudget: retry.BudgetConfig{Ratio: 0.2, Extra: 1000, Window: time.Millisecond},
		Metrics:     set, Latency: metrics.NewRelayMetrics(set.Registry, metrics.ValueFuncs{}), Log: log,
	}
	for _, change := range options {
		change(&cfg)
	}
	s.relay = relay.New(cfg)
	server := httptest.NewServer(s.relay)
	t.Cleanup(server.Close)
	s.url = server.URL
	return s
}

// publish replaces the view's targets.
func (s *fixture) publish(targets ...*standin.Target) {
	list := []*catalog.Target{}
	for _, target := range targets {
		list = append(list, &catalog.Target{ID: fleet.TargetID(target.ID), Service: "s", Domain: "d", Addr: target.Addr(), Version: fleet.SoftwareVersion(cmp.Or(target.Version, "v1")), Slots: 8})
	}
	s.view.Store(&catalog.View{Config: s.config, Targets: catalog.Targets{"s": list}, TargetsLoaded: true})
}

var requestNumber atomic.Int64

// request returns a request with a valid key, a unique ID and the given additional
// header fields, as names and values in turn.
func (s *fixture) request(method, body string, header ...string) *http.Request {
	s.t.Helper()
	r, err := http.NewRequest(method, s.url+"/p/x?q=1%2F2", strings.NewReader(body))
	if err != nil {
		s.t.Fatal(err)
	}
	r.Host = testHost
	r.Header.Set("Attempt-Id", "a"+strconv.FormatInt(requestNumber.Add(1), 10))
	r.Header.Set("Authorization", "Token key")
	r.Header.Set("Deadline-Ms", "5000")
	for i := 0; i+1 < len(header); i += 2 {
		r.Header.Set(header[i], header[i+1])
	}
	return r
}

// do sends a request and returns the response and its body. The error is that of
// sending the request or reading the body.
func (s *fixture) do(r *http.Request) (*http.Response, string, error) {
	s.t.Helper()
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return nil, "", err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return response, string(body), err
}

func (s *fixture) runs() []standin.Run {
	var all []standin.Run
	for _, target := range s.targets {
		all = append(all, target.Runs()...)
	}
	return all
}

// onFirstRequest makes the targets apply act to the first request that reaches any
// of them, and serve all others.
func onFirstRequest(act standin.Behavior) func(int, *standin.Target) {
	var count atomic.Int64
	return func(_ int, target *standin.Target) {
		target.Behave = func(*http.Request) standin.Behavior {
			if count.Add(1) == 1 {
				return act
			}
			return standin.Serve
		}
	}
}

// onEveryRequest makes the targets apply act to every request.
func onEveryRequest(act standin.Behavior) func(int, *standin.Target) {
	return func(_ int, target *standin.Target) {
		target.Behave = func(*http.Request) standin.Behavior { return act }
	}
}

var (
	onceRoute       = catalog.Route{RunPolicy: catalog.RunOnce, Timeout: time.Second, LatencyObjective: 200 * time.Millisecond, MaxTargets: 2}
	repeatableRoute = catalog.Route{RunPolicy: catalog.Repeatable, Timeout: 2 * time.Second, LatencyObjective: 100 * time.Millisecond, MaxTargets: 2}
	resumableRoute  = catalog.Route{
		RunPolicy: catalog.Resumable, Stream: true, Timeout: 5 * time.Second, LatencyObjective: 200 * time.Millisecond,
		MaxEventGap: 100 * time.Millisecond, MaxTargets: 2,
	}
	onceStreamRoute = catalog.Route{RunPolicy: catalog.RunOnce, Stream: true, Timeout: 5 * time.Second, MaxTargets: 1}
)

func TestForwardsRequestAndResponseUnchanged(t *testing.T) {
	s := newFixture(t, 1, onceRoute, nil)
	r := s.request(http.MethodPost, "the body", "X-Own", "1", "Tenant", "forged", "Expect-Instance", "forged",
		"Hold", "h", "Pin-Ms", "5", "Kv-From", "x", "Request-Urgency", "0", "Connection", "X-Hop", "X-Hop", "1", "Model", "m")
	response, body, err := s.do(r)
	if err != nil || response.StatusCode != http.StatusOK || body != s.targets[0].ResponseBody() {
		t.Fatalf("got %v, body %q, error %v, want status 200 and the target's body", response, body, err)
	}
	if got := response.Header.Get("Response-Seal"); got != "seal-t0" {
		t.Errorf("got signature %q, want \"seal-t0\"", got)
	}
	run := s.runs()[0]
	if string(run.Body) != "the body" || run.Method != http.MethodPost || run.URI != "/p/x?q=1%2F2" {
		t.Errorf("got request %s %s %q at the target, want the client's unchanged", run.Method, run.URI, run.Body)
	}
	want := map[string]string{
		"Tenant": "account", "Expect-Instance": "t0", "X-Own": "1", "Model": "m", "X-Hop": "", "Authorization": "",
		"Hold": "", "Pin-Ms": "", "Kv-From": "", "Attempt-Id": r.Header.Get("Attempt-Id"),
	}
	for name, value := range want {
		if got := run.Header.Get(name); got != value {
			t.Errorf("%s: got %q at the target, want %q", name, got, value)
		}
	}
	if left, err := strconv.Atoi(run.DeadlineMS); err != nil || left > 1000 || left < 1 {
		t.Errorf("got deadline of %q ms at the target, want 1 to 1000 ms (the route's timeout)", run.DeadlineMS)
	}
}

func TestRefusesInvalidRequests(t *testing.T) {
	s := newFixture(t, 1, onceRoute, nil)
	for name, test := range map[string]struct {
		change func(r *http.Request)
		status int
	}{
		"no key":        {func(r *http.Request) { r.Header.Del("Authorization") }, http.StatusUnauthorized},
		"unknown key":   {func(r *http.Request) { r.Header.Set("Authorization", "Token other") }, http.StatusUnauthorized},
		"other scheme":  {func(r *http.Request) { r.Header.Set("Authorization", "Bearer key") }, http.StatusUnauthorized},
		"unknown host":  {func(r *http.Request) { r.Host = "other.example" }, http.StatusNotFound},
		"unknown path":  {func(r *http.Request) { r.URL.Path = "/q" }, http.StatusNotFound},
		"no id":         {func(r *http.Request) { r.Header.Del("Attempt-Id") }, http.StatusBadRequest},
		"bad deadline":  {func(r *http.Request) { r.Header.Set("Deadline-Ms", "soon") }, http.StatusBadRequest},
		"head too long": {func(r *http.Request) { r.Header.Set("X-Long", strings.Repeat("x", 9<<10)) }, http.StatusRequestHeaderFieldsTooLarge},
		"body too long": {func(r *http.Request) {
			r.Body = io.NopCloser(strings.NewReader(strings.Repeat("x", 1<<20+1)))
			r.ContentLength = -1
		}, http.StatusRequestEntityTooLarge},
	} {
		r := s.request(http.MethodPost, "x")
		test.change(r)
		response, _, err := s.do(r)
		if err != nil || response.StatusCode != test.status {
			t.Errorf("%s: got %v, error %v, want status %d", name, response, err, test.status)
		}
	}
	if n := len(s.runs()); n != 0 {
		t.Errorf("got %d runs of refused requests, want 0", n)
	}
}

func TestRefusesRequestsBeforeFirstView(t *testing.T) {
	s := newFixture(t, 1, onceRoute, nil)
	s.view.Store(&catalog.View{})
	response, _, err := s.do(s.request(http.MethodGet, ""))
	if err != nil || response.StatusCode != http.StatusServiceUnavailable || response.Header.Get("Retry-After") == "" {
		t.Errorf("got %v, error %v, want status 503 with Retry-After", response, err)
	}
}

// TestRequestWaitsForFirstView sends requests to a router that has no view yet. They are
// served if it comes in time, and refused as not run if it does not.
func TestRequestWaitsForFirstView(t *testing.T) {
	for name, comes := range map[string]bool{"view comes": true, "no view": false} {
		t.Run(name, func(t *testing.T) {
			s := newFixture(t, 1, onceRoute, nil)
			ready := s.view.Swap(&catalog.View{})
			if comes {
				time.AfterFunc(20*time.Millisecond, func() {
					s.view.Store(ready)
					close(s.firstView)
				})
			}
			response, body, err := s.do(s.request(http.MethodPost, "x", "Deadline-Ms", "1000"))
			if err != nil {
				t.Fatal(err)
			}
			served := response.StatusCode == http.StatusOK
			refused := response.StatusCode == http.StatusServiceUnavailable && response.Header.Get("Retry-After") != ""
			if served != comes || refused == comes || len(s.runs()) > 0 != comes {
				t.Errorf("got status %d, body %q, %d runs", response.StatusCode, body, len(s.runs()))
			}
		})
	}
}

// TestNonRepeatableRequestRunsOnce loses the response in every possible way. The
// request must run once only, and the client must not be told that it has not run.
func TestNonRepeatableRequestRunsOnce(t *testing.T) {
	for name, act := range map[string]standin.Behavior{
		"cut before": standin.CloseBeforeResponse, "cut midway": standin.CloseMidResponse, "hang": standin.Hang,
		"unsigned": standin.Unsigned, "encoded": standin.Encoded, "promise": standin.RunThenSend503, "endless head": standin.EndlessHead,
	} {
		s := newFixture(t, 3, onceRoute, onFirstRequest(act))
		response, _, err := s.do(s.request(http.MethodPost, "x"))
		if err != nil {
			t.Errorf("%s: %v", name, err)
			continue
		}
		if response.StatusCode != http.StatusBadGateway && response.StatusCode != http.StatusGatewayTimeout {
			t.Errorf("%s: got status %d, want 502 or 504", name, response.StatusCode)
		}
		if response.Header.Get("Response-Seal") != "" {
			t.Errorf("%s: got a signature on the router's own error response, want none", name)
		}
		if n := len(s.runs()); n != 1 {
			t.Errorf("%s: got %d runs, want 1", name, n)
		}
	}
}

func TestNonRepeatableRequestRetriedAfterRejection(t *testing.T) {
	s := newFixture(t, 3, onceRoute, onFirstRequest(standin.Reject))
	response, _, err := s.do(s.request(http.MethodPost, "x"))
	if err != nil || response.StatusCode != http.StatusOK || len(s.runs()) != 1 {
		t.Errorf("got %v, error %v, %d runs, want status 200 after 1 run", response, err, len(s.runs()))
	}
}

func TestRequestRejectedByAllTargetsIsRefused(t *testing.T) {
	s := newFixture(t, 2, onceRoute, onEveryRequest(standin.Reject))
	response, _, err := s.do(s.request(http.MethodPost, "x"))
	if err != nil || response.StatusCode != http.StatusServiceUnavailable || response.Header.Get("Retry-After") == "" {
		t.Errorf("got %v, error %v, want status 503 with Retry-After", response, err)
	}
	if len(s.runs()) != 0 {
		t.Error("a refused request reached a target")
	}
}

func TestSkipsUnreachableTargets(t *testing.T) {
	s := newFixture(t, 3, onceRoute, nil)
	s.targets[0].Close()
	s.targets[1].Close()
	for range 6 {
		response, _, err := s.do(s.request(http.MethodPost, "x"))
		if err != nil || response.StatusCode != http.StatusOK {
			t.Fatalf("got %v, error %v, want status 200", response, err)
		}
	}
	s.targets[2].Close()
	response, _, err := s.do(s.request(http.MethodPost, "x"))
	// 502 is allowed as well: the request may have been sent over a reused
	// connection before that broke.
	if err != nil || (response.StatusCode != http.StatusServiceUnavailable && response.StatusCode != http.StatusBadGateway) {
		t.Errorf("got %v, error %v, want status 502 or 503", response, err)
	}
}

func TestRepeatableRequestRetriedAtAnotherTarget(t *testing.T) {
	for name, act := range map[string]standin.Behavior{
		"cut before": standin.CloseBeforeResponse, "cut midway": standin.CloseMidResponse, "hang": standin.Hang, "unsigned": standin.Unsigned,
		"failed": standin.RunThenSend500, "promise": standin.RunThenSend503, "encoded": standin.Encoded, "rejected": standin.Reject,
	} {
		s := newFixture(t, 3, repeatableRoute, onFirstRequest(act))
		response, body, err := s.do(s.request(http.MethodGet, ""))
		if err != nil || response.StatusCode != http.StatusOK || !strings.HasPrefix(body, "answer of t") {
			t.Errorf("%s: got %v, body %q, error %v, want status 200 and a target's body", name, response, body, err)
		}
	}
}

func TestForwardsTargetFailureWithSeal(t *testing.T) {
	s := newFixture(t, 3, repeatableRoute, onEveryRequest(standin.RunThenSend500))
	response, _, err := s.do(s.request(http.MethodGet, ""))
	if err != nil || response.StatusCode != http.StatusInternalServerError || response.Header.Get("Response-Seal") == "" {
		t.Errorf("got %v, error %v, want status 500 with a signature", response, err)
	}
	if n := len(s.runs()); n != 2 {
		t.Errorf("got %d runs, want 2 (the route's maximum)", n)
	}
}

func TestDiscardsExtraAndMismatchedResponses(t *testing.T) {
	for name, act := range map[string]standin.Behavior{"extra": standin.ExtraResponse, "foreign": standin.MismatchedFirst} {
		s := newFixture(t, 1, onceRoute, onEveryRequest(act))
		for range 5 {
			response, body, err := s.do(s.request(http.MethodPost, "x"))
			if err != nil || response.StatusCode != http.StatusOK || body != s.targets[0].ResponseBody() {
				t.Errorf("%s: got %v, body %q, error %v, want status 200 and the target's body", name, response, body, err)
			}
		}
	}
}

func TestUndelimitedResponseIsDelimitedForClient(t *testing.T) {
	s := newFixture(t, 1, onceRoute, onEveryRequest(standin.Undelimited))
	response, body, err := s.do(s.request(http.MethodPost, "x"))
	if want := s.targets[0].ResponseBody(); err != nil || body != want || response.ContentLength != int64(len(want)) {
		t.Errorf("got %v, body %q, error %v, want the target's body and its length", response, body, err)
	}
}

// streamText returns the events from first to last as the targets send them.
func streamText(first, last int) string {
	var b strings.Builder
	for i := first; i <= last; i++ {
		b.WriteString(standin.EventText(i))
	}
	return b.String()
}

// withEvents makes the targets respond with a number of events, and then applies
// setup.
func withEvents(events int, setup func(int, *standin.Target)) func(int, *standin.Target) {
	return func(i int, target *standin.Target) {
		target.Events, target.EventInterval = events, 2*time.Millisecond
		if setup != nil {
			setup(i, target)
		}
	}
}

func TestResumableStreamContinuesAtAnotherTarget(t *testing.T) {
	for name, act := range map[string]standin.Behavior{
		"cut inside an event": standin.CloseMidResponse, "stalled": standin.Stall, "cut before": standin.CloseBeforeResponse, "hang": standin.Hang,
	} {
		s := newFixture(t, 3, resumableRoute, withEvents(12, onFirstRequest(act)))
		response, body, err := s.do(s.request(http.MethodPost, "x"))
		if err != nil || response.StatusCode != http.StatusOK || body != streamText(1, 12) {
			t.Errorf("%s: got %v, body %q, error %v, want status 200 and events 1 to 12", name, response, body, err)
		}
		runs := s.runs()
		if len(runs) != 2 {
			t.Errorf("%s: got %d runs, want 2", name, len(runs))
		}
	}
}

func TestClientResumesAfterLastEventID(t *testing.T) {
	s := newFixture(t, 2, resumableRoute, withEvents(12, onFirstRequest(standin.CloseMidResponse)))
	_, body, err := s.do(s.request(http.MethodPost, "x", "Last-Event-Id", "4"))
	if err != nil || body != streamText(5, 12) {
		t.Errorf("got %q, error %v, want events 5 to 12", body, err)
	}
}

func TestBrokenNonResumableStreamIsAborted(t *testing.T) {
	s := newFixture(t, 3, onceStreamRoute, withEvents(12, onFirstRequest(standin.CloseMidResponse)))
	_, body, err := s.do(s.request(http.MethodPost, "x"))
	if err == nil {
		t.Errorf("got response %q without an error, want an aborted connection", body)
	}
	if len(s.runs()) != 1 {
		t.Errorf("got %d runs, want 1", len(s.runs()))
	}
}

func TestForwardsEventsImmediately(t *testing.T) {
	s := newFixture(t, 1, onceStreamRoute, func(_ int, target *standin.Target) {
		target.Events, target.EventInterval = 3, 0
		target.Behave = func(*http.Request) standin.Behavior { return standin.Stall }
	})
	response, err := http.DefaultClient.Do(s.request(http.MethodPost, "x"))
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	got := make([]byte, len(streamText(1, 2)))
	if _, err := io.ReadFull(bufio.NewReader(response.Body), got); err != nil || string(got) != streamText(1, 2) {
		t.Errorf("got %q, error %v, want events 1 and 2", got, err)
	}
}

func TestCancelsAttemptWhenClientDisconnects(t *testing.T) {
	for name, route := range map[string]catalog.Route{"plain": onceRoute, "stream": resumableRoute} {
		s := newFixture(t, 1, route, onEveryRequest(standin.Hang))
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() {
			defer close(done)
			_, _, _ = s.do(s.request(http.MethodPost, "x").WithContext(ctx))
		}()
		await.Until(t, "the run", func() bool { return len(s.runs()) == 1 })
		cancel()
		<-done
		await.Until(t, "the cancelled run", func() bool { return s.runs()[0].Cancelled })
		await.Until(t, "the request to end", func() bool { return s.relay.InFlight() == 0 })
		if len(s.runs()) != 1 {
			t.Errorf("%s: request was retried after the client disconnected", name)
		}
	}
}

func TestRouteTimeoutEndsRequest(t *testing.T) {
	route := onceRoute
	route.Timeout = 100 * time.Millisecond
	s := newFixture(t, 1, route, onEveryRequest(standin.Hang))
	response, _, err := s.do(s.request(http.MethodPost, "x"))
	if err != nil || response.StatusCode != http.StatusGatewayTimeout {
		t.Errorf("got %v, error %v, want status 504", response, err)
	}
	await.Until(t, "the cancelled run", func() bool { return s.runs()[0].Cancelled })
}

func TestStoppingRouterClosesClientConnections(t *testing.T) {
	s := newFixture(t, 1, onceRoute, nil)
	s.relay.StartDraining(admission.StopSchedule{LeaveAt: time.Now().Add(time.Hour), EndAt: time.Now().Add(time.Hour)})
	response, _, err := s.do(s.request(http.MethodPost, "x"))
	if err != nil || response.StatusCode != http.StatusOK || !response.Close {
		t.Errorf("got %v, error %v, want status 200 and a closed connection", response, err)
	}
	s.relay.StartDraining(admission.StopSchedule{LeaveAt: time.Now(), EndAt: time.Now()})
	response, _, err = s.do(s.request(http.MethodPost, "x"))
	if err != nil || response.StatusCode != http.StatusServiceUnavailable || response.Header.Get("Retry-After") == "" {
		t.Errorf("got %v, error %v, want status 503 with Retry-After", response, err)
	}
	if len(s.runs()) != 1 {
		t.Error("a refused request reached a target")
	}
}

func TestReusesTargetConnections(t *testing.T) {
	s := newFixture(t, 1, repeatableRoute, nil)
	for range 20 {
		if _, _, err := s.do(s.request(http.MethodGet, "")); err != nil {
			t.Fatal(err)
		}
	}
	if n := s.targets[0].Conns(); n != 1 {
		t.Errorf("got %d connections for 20 sequential requests, want 1", n)
	}
}

func TestDetectsReusedTargetAddress(t *testing.T) {
	s := newFixture(t, 2, onceRoute, nil)
	// The view lists target "gone" at the address that target t0 now uses.
	list := []*catalog.Target{
		{ID: "gone", Service: "s", Domain: "d", Addr: s.targets[0].Addr(), Slots: 8},
		{ID: "t1", Service: "s", Domain: "d", Addr: s.targets[1].Addr(), Slots: 8},
	}
	s.view.Store(&catalog.View{Config: s.config, Targets: catalog.Targets{"s": list}, TargetsLoaded: true})
	for range 8 {
		response, body, err := s.do(s.request(http.MethodPost, "x"))
		if err != nil || response.StatusCode != http.StatusOK || body != s.targets[1].ResponseBody() {
			t.Fatalf("got %v, body %q, error %v, want status 200 from target t1", response, body, err)
		}
	}
	if n := len(s.targets[0].Runs()); n != 0 {
		t.Errorf("got %d runs at the wrong target, want 0", n)
	}
}

func TestModelRequestsCarryPriorityAndCacheSource(t *testing.T) {
	route := onceStreamRoute
	route.PromptAffinity, route.Priority = true, 2
	s := newFixture(t, 3, route, withEvents(2, nil))
	prompt := "5c1e07a2:800,91bd3f06:410,e4402b7d:250"
	for range 5 {
		if _, body, err := s.do(s.request(http.MethodPost, "x", "Prompt-Prefix", prompt)); err != nil || body != streamText(1, 2) {
			t.Fatalf("got %q, error %v, want events 1 and 2", body, err)
		}
	}
	runs := s.runs()
	holderID := runs[0].Header.Get("Expect-Instance")
	for _, run := range runs {
		if run.Header.Get("Expect-Instance") != holderID || run.Header.Get("Request-Urgency") != "2" || run.Header.Get("Prompt-Prefix") != prompt {
			t.Errorf("got run at %s with header %v, want instance %s, urgency 2 and the prompt", run.Header.Get("Expect-Instance"), run.Header, holderID)
		}
	}
	var others []*standin.Target
	var leaving *standin.Target
	for _, target := range s.targets {
		if target.ID == holderID {
			leaving = target
		} else {
			others = append(others, target)
		}
	}
	s.publish(others...)
	view := *s.view.Load()
	view.Leaving = catalog.Targets{"s": {{ID: fleet.TargetID(leaving.ID), Service: "s", Domain: "d", Addr: leaving.Addr(), Slots: 8, Leaving: true}}}
	s.view.Store(&view)
	if _, _, err := s.do(s.request(http.MethodPost, "x", "Prompt-Prefix", prompt)); err != nil {
		t.Fatal(err)
	}
	runs = append(others[0].Runs(), others[1].Runs()...)
	if len(runs) != 1 || runs[0].Header.Get("Kv-Fetch") != leaving.Addr() {
		t.Errorf("got %d runs %v, want 1 that names the leaving target's cache at %s", len(runs), runs, leaving.Addr())
	}
}
