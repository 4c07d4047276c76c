package relay_test

import (
	"bufio"
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
	"ragwortpond.example/ragwortpond/metrics"
	"ragwortpond.example/ragwortpond/platform"
	"ragwortpond.example/ragwortpond/platform/standin"
	"ragwortpond.example/ragwortpond/relay"
	"ragwortpond.example/ragwortpond/retry"
)

const testHost = "host.example"

// scene is a relay before stand-ins of targets.
type scene struct {
	t       *testing.T
	targets []*standin.Target
	relay   *relay.Relay
	view    atomic.Pointer[catalog.View]
	url     string
	config  *catalog.Config
}

// newScene starts n targets of service "s"; each may be set up before it starts.
func newScene(t *testing.T, n int, route catalog.Route, setup func(i int, target *standin.Target)) *scene {
	t.Helper()
	return newLoggedScene(t, n, route, zerolog.Nop(), setup)
}

func newLoggedScene(t *testing.T, n int, route catalog.Route, log zerolog.Logger, setup func(i int, target *standin.Target)) *scene {
	t.Helper()
	s := &scene{t: t}
	route.Host, route.Prefix = testHost, "/p/"
	if route.Name == "" {
		route.Name = "r"
	}
	route.Shares = []catalog.Share{{Service: "s", Weight: 1}}
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
	s.relay = relay.New(relay.Config{
		Domain: "d", Dialect: platform.Dialect{}, View: s.view.Load,
		// The reserve is there a moment after the start.
		Allowance: retry.AllowanceTerms{Ratio: 0.2, Extra: 1000, Window: time.Millisecond},
		Metrics:   set, Latency: metrics.NewDirect(set.Registry, metrics.Sources{}), Log: log,
	})
	server := httptest.NewServer(s.relay)
	t.Cleanup(server.Close)
	s.url = server.URL
	return s
}

func (s *scene) publish(targets ...*standin.Target) {
	list := []*catalog.Target{}
	for _, target := range targets {
		list = append(list, &catalog.Target{ID: fleet.TargetID(target.ID), Service: "s", Domain: "d", Addr: target.Addr(), Slots: 8})
	}
	s.view.Store(&catalog.View{Config: s.config, Targets: catalog.Targets{"s": list}, TargetsKnown: true})
}

var requestNumber atomic.Int64

func (s *scene) request(method, body string, header ...string) *http.Request {
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

// do sends a request and returns status, header and body; the error is that of
// reading the body.
func (s *scene) do(r *http.Request) (*http.Response, string, error) {
	s.t.Helper()
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return nil, "", err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return response, string(body), err
}

func (s *scene) runs() []standin.Run {
	var all []standin.Run
	for _, target := range s.targets {
		all = append(all, target.Runs()...)
	}
	return all
}

// firstOnly lets the first request at any target meet an act, all others are
// served.
func firstOnly(act standin.Act) func(int, *standin.Target) {
	var count atomic.Int64
	return func(_ int, target *standin.Target) {
		target.Decide = func(*http.Request) standin.Act {
			if count.Add(1) == 1 {
				return act
			}
			return standin.Serve
		}
	}
}

func always(act standin.Act) func(int, *standin.Target) {
	return func(_ int, target *standin.Target) {
		target.Decide = func(*http.Request) standin.Act { return act }
	}
}

var (
	once       = catalog.Route{Repetition: catalog.Once, Timeout: time.Second, Objective: 200 * time.Millisecond, MaxTargets: 2}
	repeatable = catalog.Route{Repetition: catalog.Repeatable, Timeout: 2 * time.Second, Objective: 100 * time.Millisecond, MaxTargets: 2}
	resumable  = catalog.Route{
		Repetition: catalog.Resumable, Stream: true, Timeout: 5 * time.Second, Objective: 200 * time.Millisecond,
		Pause: 100 * time.Millisecond, MaxTargets: 2,
	}
	onceStream = catalog.Route{Repetition: catalog.Once, Stream: true, Timeout: 5 * time.Second, MaxTargets: 1}
)

func TestPassesRequestAndAnswerOnUnchanged(t *testing.T) {
	s := newScene(t, 1, once, nil)
	r := s.request(http.MethodPost, "the body", "X-Own", "1", "Tenant", "forged", "Expect-Instance", "forged",
		"Hold", "h", "Pin-Ms", "5", "Kv-From", "x", "Request-Urgency", "0", "Connection", "X-Hop", "X-Hop", "1", "Model", "m")
	response, body, err := s.do(r)
	if err != nil || response.StatusCode != http.StatusOK || body != s.targets[0].PlainBody() {
		t.Fatalf("%v %q %v", response, body, err)
	}
	if got := response.Header.Get("Response-Seal"); got != "seal-t0" {
		t.Errorf("seal %q", got)
	}
	run := s.runs()[0]
	if string(run.Body) != "the body" || run.Method != http.MethodPost || run.URI != "/p/x?q=1%2F2" {
		t.Errorf("ran %s %s %q", run.Method, run.URI, run.Body)
	}
	want := map[string]string{
		"Tenant": "account", "Expect-Instance": "t0", "X-Own": "1", "Model": "m", "X-Hop": "", "Authorization": "",
		"Hold": "", "Pin-Ms": "", "Kv-From": "", "Attempt-Id": r.Header.Get("Attempt-Id"),
	}
	for name, value := range want {
		if got := run.Header.Get(name); got != value {
			t.Errorf("%s: %q at the target, want %q", name, got, value)
		}
	}
	if left, err := strconv.Atoi(run.Left); err != nil || left > 1000 || left < 1 {
		t.Errorf("the target is given %q ms of the route's 1000", run.Left)
	}
}

func TestRefusals(t *testing.T) {
	s := newScene(t, 1, once, nil)
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
			t.Errorf("%s: %v %v, want %d", name, response, err, test.status)
		}
	}
	if n := len(s.runs()); n != 0 {
		t.Errorf("%d refused requests ran", n)
	}
}

func TestNothingIsKnownYet(t *testing.T) {
	s := newScene(t, 1, once, nil)
	s.view.Store(&catalog.View{})
	response, _, err := s.do(s.request(http.MethodGet, ""))
	if err != nil || response.StatusCode != http.StatusServiceUnavailable || response.Header.Get("Retry-After") == "" {
		t.Errorf("%v %v", response, err)
	}
}

// TestOnceIsNeverRepeated meets every way in which an answer gets lost: the
// request has run once, and the client is not told that it has not.
func TestOnceIsNeverRepeated(t *testing.T) {
	for name, act := range map[string]standin.Act{
		"cut before": standin.CutBefore, "cut midway": standin.CutMidway, "hang": standin.Hang,
		"unsigned": standin.Unsigned, "encoded": standin.Encoded, "promise": standin.Promise,
	} {
		s := newScene(t, 3, once, firstOnly(act))
		response, _, err := s.do(s.request(http.MethodPost, "x"))
		if err != nil {
			t.Errorf("%s: %v", name, err)
			continue
		}
		if response.StatusCode != http.StatusBadGateway && response.StatusCode != http.StatusGatewayTimeout {
			t.Errorf("%s: status %d", name, response.StatusCode)
		}
		if response.Header.Get("Response-Seal") != "" {
			t.Errorf("%s: a failure of the router's own bears a seal", name)
		}
		if n := len(s.runs()); n != 1 {
			t.Errorf("%s: ran %d times", name, n)
		}
	}
}

func TestOnceGoesOnAfterARejection(t *testing.T) {
	s := newScene(t, 3, once, firstOnly(standin.Reject))
	response, _, err := s.do(s.request(http.MethodPost, "x"))
	if err != nil || response.StatusCode != http.StatusOK || len(s.runs()) != 1 {
		t.Errorf("%v %v, %d runs", response, err, len(s.runs()))
	}
}

func TestRejectedEverywhereHasNotRun(t *testing.T) {
	s := newScene(t, 2, once, always(standin.Reject))
	response, _, err := s.do(s.request(http.MethodPost, "x"))
	if err != nil || response.StatusCode != http.StatusServiceUnavailable || response.Header.Get("Retry-After") == "" {
		t.Errorf("%v %v", response, err)
	}
	if len(s.runs()) != 0 {
		t.Error("a refused request ran")
	}
}

func TestUnreachableTargetsArePassedOver(t *testing.T) {
	s := newScene(t, 3, once, nil)
	s.targets[0].Close()
	s.targets[1].Close()
	for range 6 {
		response, _, err := s.do(s.request(http.MethodPost, "x"))
		if err != nil || response.StatusCode != http.StatusOK {
			t.Fatalf("%v %v", response, err)
		}
	}
	s.targets[2].Close()
	response, _, err := s.do(s.request(http.MethodPost, "x"))
	// A kept connection that broke under the request may have carried it.
	if err != nil || (response.StatusCode != http.StatusServiceUnavailable && response.StatusCode != http.StatusBadGateway) {
		t.Errorf("%v %v", response, err)
	}
}

func TestRepeatableGoesToAnotherTarget(t *testing.T) {
	for name, act := range map[string]standin.Act{
		"cut before": standin.CutBefore, "cut midway": standin.CutMidway, "hang": standin.Hang, "unsigned": standin.Unsigned,
		"failed": standin.FailRun, "promise": standin.Promise, "encoded": standin.Encoded, "rejected": standin.Reject,
	} {
		s := newScene(t, 3, repeatable, firstOnly(act))
		response, body, err := s.do(s.request(http.MethodGet, ""))
		if err != nil || response.StatusCode != http.StatusOK || !strings.HasPrefix(body, "answer of t") {
			t.Errorf("%s: %v %q %v", name, response, body, err)
		}
	}
}

func TestAFailureIsPassedOnWithItsSeal(t *testing.T) {
	s := newScene(t, 3, repeatable, always(standin.FailRun))
	response, _, err := s.do(s.request(http.MethodGet, ""))
	if err != nil || response.StatusCode != http.StatusInternalServerError || response.Header.Get("Response-Seal") == "" {
		t.Errorf("%v %v", response, err)
	}
	if n := len(s.runs()); n != 2 {
		t.Errorf("ran %d times, the route allows 2", n)
	}
}

func TestExtraAndForeignAnswersBelongToNobody(t *testing.T) {
	for name, act := range map[string]standin.Act{"extra": standin.Extra, "foreign": standin.Foreign} {
		s := newScene(t, 1, once, always(act))
		for range 5 {
			response, body, err := s.do(s.request(http.MethodPost, "x"))
			if err != nil || response.StatusCode != http.StatusOK || body != s.targets[0].PlainBody() {
				t.Errorf("%s: %v %q %v", name, response, body, err)
			}
		}
	}
}

func TestAnUnframedAnswerStaysUnframed(t *testing.T) {
	s := newScene(t, 1, once, always(standin.Unframed))
	response, body, err := s.do(s.request(http.MethodPost, "x"))
	if err != nil || body != s.targets[0].PlainBody() || !response.Close {
		t.Errorf("%v %q %v", response, body, err)
	}
}

func wholeStream(from, to int) string {
	var b strings.Builder
	for i := from; i <= to; i++ {
		b.WriteString(standin.EventText(i))
	}
	return b.String()
}

func streaming(events int, next func(int, *standin.Target)) func(int, *standin.Target) {
	return func(i int, target *standin.Target) {
		target.Events, target.Gap = events, 2*time.Millisecond
		if next != nil {
			next(i, target)
		}
	}
}

func TestAResumableStreamGoesOnElsewhere(t *testing.T) {
	for name, act := range map[string]standin.Act{
		"cut inside an event": standin.CutMidway, "stalled": standin.Stall, "cut before": standin.CutBefore, "hang": standin.Hang,
	} {
		s := newScene(t, 3, resumable, streaming(12, firstOnly(act)))
		response, body, err := s.do(s.request(http.MethodPost, "x"))
		if err != nil || response.StatusCode != http.StatusOK || body != wholeStream(1, 12) {
			t.Errorf("%s: %v %q %v", name, response, body, err)
		}
		runs := s.runs()
		if len(runs) != 2 {
			t.Errorf("%s: %d runs", name, len(runs))
		}
	}
}

func TestAClientGoesOnAfterItsLastEvent(t *testing.T) {
	s := newScene(t, 2, resumable, streaming(12, firstOnly(standin.CutMidway)))
	_, body, err := s.do(s.request(http.MethodPost, "x", "Last-Event-Id", "4"))
	if err != nil || body != wholeStream(5, 12) {
		t.Errorf("%q %v", body, err)
	}
}

func TestAStreamThatCannotGoOnDoesNotLookComplete(t *testing.T) {
	s := newScene(t, 3, onceStream, streaming(12, firstOnly(standin.CutMidway)))
	_, body, err := s.do(s.request(http.MethodPost, "x"))
	if err == nil {
		t.Errorf("the answer %q looks complete", body)
	}
	if len(s.runs()) != 1 {
		t.Errorf("%d runs", len(s.runs()))
	}
}

func TestEventsArePassedOnAsTheyCome(t *testing.T) {
	s := newScene(t, 1, onceStream, func(_ int, target *standin.Target) {
		target.Events, target.Gap = 3, 0
		target.Decide = func(*http.Request) standin.Act { return standin.Stall }
	})
	response, err := http.DefaultClient.Do(s.request(http.MethodPost, "x"))
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	got := make([]byte, len(wholeStream(1, 2)))
	if _, err := io.ReadFull(bufio.NewReader(response.Body), got); err != nil || string(got) != wholeStream(1, 2) {
		t.Errorf("%q %v", got, err)
	}
}

func TestWorkIsCancelledWhenTheClientLeaves(t *testing.T) {
	for name, route := range map[string]catalog.Route{"plain": once, "stream": resumable} {
		s := newScene(t, 1, route, always(standin.Hang))
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
		await.Until(t, "the request to end", func() bool { return s.relay.Serving() == 0 })
		if len(s.runs()) != 1 {
			t.Errorf("%s: sent again after the client had left", name)
		}
	}
}

// waitFor waits until f holds; the test's own timeout bounds it.
func TestTheRoutesTimeoutEndsARequest(t *testing.T) {
	route := once
	route.Timeout = 100 * time.Millisecond
	s := newScene(t, 1, route, always(standin.Hang))
	response, _, err := s.do(s.request(http.MethodPost, "x"))
	if err != nil || response.StatusCode != http.StatusGatewayTimeout {
		t.Errorf("%v %v", response, err)
	}
	await.Until(t, "the cancelled run", func() bool { return s.runs()[0].Cancelled })
}

func TestAStoppingRouterAsksClientsToLeave(t *testing.T) {
	s := newScene(t, 1, once, nil)
	s.relay.Stop(admission.Stop{Leave: time.Now().Add(time.Hour), End: time.Now().Add(time.Hour)})
	response, _, err := s.do(s.request(http.MethodPost, "x"))
	if err != nil || response.StatusCode != http.StatusOK || !response.Close {
		t.Errorf("%v %v", response, err)
	}
	s.relay.Stop(admission.Stop{Leave: time.Now(), End: time.Now()})
	response, _, err = s.do(s.request(http.MethodPost, "x"))
	if err != nil || response.StatusCode != http.StatusServiceUnavailable || response.Header.Get("Retry-After") == "" {
		t.Errorf("%v %v", response, err)
	}
	if len(s.runs()) != 1 {
		t.Error("a refused request ran")
	}
}

func TestConnectionsToTargetsAreKept(t *testing.T) {
	s := newScene(t, 1, repeatable, nil)
	for range 20 {
		if _, _, err := s.do(s.request(http.MethodGet, "")); err != nil {
			t.Fatal(err)
		}
	}
	if n := s.targets[0].Conns(); n != 1 {
		t.Errorf("%d connections for 20 requests in turn", n)
	}
}

func TestAnAddressUsedAgainIsNoticed(t *testing.T) {
	s := newScene(t, 2, once, nil)
	// The view names a target at the address of another one.
	list := []*catalog.Target{
		{ID: "gone", Service: "s", Domain: "d", Addr: s.targets[0].Addr(), Slots: 8},
		{ID: "t1", Service: "s", Domain: "d", Addr: s.targets[1].Addr(), Slots: 8},
	}
	s.view.Store(&catalog.View{Config: s.config, Targets: catalog.Targets{"s": list}, TargetsKnown: true})
	for range 8 {
		response, body, err := s.do(s.request(http.MethodPost, "x"))
		if err != nil || response.StatusCode != http.StatusOK || body != s.targets[1].PlainBody() {
			t.Fatalf("%v %q %v", response, body, err)
		}
	}
	if n := len(s.targets[0].Runs()); n != 0 {
		t.Errorf("%d requests ran at the wrong target", n)
	}
}

func TestModelRequestsBearRankAndCacheSource(t *testing.T) {
	route := onceStream
	route.Affinity, route.Priority = true, 2
	s := newScene(t, 3, route, streaming(2, nil))
	prompt := "5c1e07a2:800,91bd3f06:410,e4402b7d:250"
	for range 5 {
		if _, body, err := s.do(s.request(http.MethodPost, "x", "Prompt-Prefix", prompt)); err != nil || body != wholeStream(1, 2) {
			t.Fatalf("%q %v", body, err)
		}
	}
	runs := s.runs()
	holder := runs[0].Header.Get("Expect-Instance")
	for _, run := range runs {
		if run.Header.Get("Expect-Instance") != holder || run.Header.Get("Request-Urgency") != "2" || run.Header.Get("Prompt-Prefix") != prompt {
			t.Errorf("run at %s with %v", run.Header.Get("Expect-Instance"), run.Header)
		}
	}
	var others []*standin.Target
	var held *standin.Target
	for _, target := range s.targets {
		if target.ID == holder {
			held = target
		} else {
			others = append(others, target)
		}
	}
	s.publish(others...)
	view := *s.view.Load()
	view.Leaving = catalog.Targets{"s": {{ID: fleet.TargetID(held.ID), Service: "s", Domain: "d", Addr: held.Addr(), Slots: 8, Leaving: true}}}
	s.view.Store(&view)
	if _, _, err := s.do(s.request(http.MethodPost, "x", "Prompt-Prefix", prompt)); err != nil {
		t.Fatal(err)
	}
	runs = append(others[0].Runs(), others[1].Runs()...)
	if len(runs) != 1 || runs[0].Header.Get("Kv-Fetch") != held.Addr() {
		t.Errorf("%d runs; the leaving target's cache at %s is not named: %v", len(runs), held.Addr(), runs)
	}
}
