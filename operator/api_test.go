package operator

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"ragwortpond.example/ragwortpond/fleet"
	"ragwortpond.example/ragwortpond/keys"
	"ragwortpond.example/ragwortpond/objectapi"
	"ragwortpond.example/ragwortpond/settings"
	"ragwortpond.example/ragwortpond/settings/propagate"
	"ragwortpond.example/ragwortpond/standin"
)

// testAPI is a server over a stand-in platform, with a client for it.
type testAPI struct {
	t       *testing.T
	objects *standin.Objects
	client  *http.Client
	base    string
}

func fleetDocument() string {
	operator := func(name, role, subtree string) string {
		return fmt.Sprintf(`{"name":%q,"token_hash":%q,"role":%q,"subtree":%q}`, name, keys.Hash(name+"-token"), role, subtree)
	}
	return `{"context_keys":[{"id":"k1","secret":"0123456789abcdef"}],"operators":[` + strings.Join([]string{
		operator("owner", "owner", ""), operator("viewer", "viewer", ""), operator("team", "operator", "services/pedidos"),
	}, ",") + `]}`
}

func newAPI(t *testing.T) *testAPI {
	a := &testAPI{t: t, objects: standin.NewObjects(standin.ObjectsConfig{})}
	for _, d := range [][3]string{
		{settings.KindFleet, "fleet", fleetDocument()},
		{settings.KindDomains, "recife-a", `{"region":"nordeste"}`},
		{settings.KindServices, "pedidos", `{"kind":"plain","settings":{"queue":{"length":7}}}`},
		{settings.KindServices, "assistente", `{"kind":"engine"}`},
		{settings.KindTargets, "p-1", `{"service":"pedidos","failure_domain":"recife-a","addr":"192.0.2.1:80"}`},
		{settings.KindTargets, "a-1", `{"service":"assistente","failure_domain":"recife-a","addr":"192.0.2.2:80"}`},
	} {
		if _, err := a.objects.Put(context.Background(), d[0], d[1], []byte(d[2]), 0); err != nil {
			t.Fatal(err)
		}
	}
	a.serve()
	return a
}

func (a *testAPI) serve() {
	authority, err := keys.NewAuthority("test")
	if err != nil {
		a.t.Fatal(err)
	}
	pair, err := authority.Issue("operator", []string{"127.0.0.1"})
	if err != nil {
		a.t.Fatal(err)
	}
	serverTLS, err := keys.ServerTLS(pair)
	if err != nil {
		a.t.Fatal(err)
	}
	snapshot := a.snapshot()
	s, err := New(Config{
		Addr: "127.0.0.1:0", TLS: serverTLS, Store: a.objects,
		Snapshot: func() *settings.Snapshot {
			if a.objects.Faults().Outage {
				return snapshot
			}
			return a.snapshot()
		},
		InForce: func(_ context.Context, revision uint64) propagate.InForceReport {
			return propagate.InForceReport{Revision: revision, InForce: true, Routers: []propagate.RouterRevision{{Router: "r1"}}}
		},
		InFlight: func(_ context.Context, targets []fleet.Target) InFlightCounts {
			return InFlightCounts{Attempts: map[fleet.TargetID]int{targets[0].ID: 3}, MissingRouters: []fleet.RouterID{"r2"}}
		},
	})
	if err != nil {
		a.t.Fatal(err)
	}
	go func() { _ = s.Run() }()
	pool := x509.NewCertPool()
	pool.AppendCertsFromPEM(authority.KeyPair().Cert)
	transport := &http.Transport{TLSClientConfig: &tls.Config{RootCAs: pool}}
	a.client = &http.Client{Transport: transport, Timeout: 20 * time.Second}
	a.base = "https://" + s.Addr() + "/admin/v1/"
	a.t.Cleanup(func() {
		transport.CloseIdleConnections()
		if err := s.Shutdown(context.Background()); err != nil {
			a.t.Error(err)
		}
	})
}

func (a *testAPI) snapshot() *settings.Snapshot {
	var all []objectapi.Object
	for _, kind := range settings.Kinds() {
		objects, _, err := a.objects.List(context.Background(), kind)
		if err != nil {
			a.t.Error(err)
		}
		all = append(all, objects...)
	}
	s, _ := settings.Build(all)
	return s
}

// reply is the response to a call.
type reply struct {
	status int
	etag   string
	body   string
}

func (a *testAPI) call(who, method, path, ifMatch, body string) reply {
	a.t.Helper()
	request, err := http.NewRequest(method, a.base+path, strings.NewReader(body))
	if err != nil {
		a.t.Fatal(err)
	}
	if who != "" {
		request.Header.Set("Authorization", "Bearer "+who+"-token")
	}
	if ifMatch != "" {
		request.Header.Set("If-Match", ifMatch)
	}
	response, err := a.client.Do(request)
	if err != nil {
		a.t.Fatal(err)
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		a.t.Fatal(err)
	}
	return reply{response.StatusCode, response.Header.Get("ETag"), string(text)}
}

func TestRejectedRequests(t *testing.T) {
	a := newAPI(t)
	const target = `{"service":"pedidos","failure_domain":"recife-a","addr":"192.0.2.1:80"}`
	cases := []struct {
		name, who, method, path, ifMatch, body string
		status                                 int
		contains                               string
	}{
		{"no token", "", "GET", "services/pedidos", "", "", 401, "unauthenticated"},
		{"unknown token", "stranger", "GET", "services/pedidos", "", "", 401, "unauthenticated"},
		{"unknown kind", "owner", "GET", "wheels/x", "", "", 404, "unknown-path"},
		{"unknown name", "owner", "GET", "services/x", "", "", 404, "not-found"},
		{"viewer changes", "viewer", "PUT", "services/pedidos", `"3"`, `{"kind":"plain"}`, 403, "forbidden"},
		{"operator changes the fleet", "team", "PUT", "fleet/fleet", `"1"`, `{}`, 403, "forbidden"},
		{"no version", "owner", "PUT", "services/pedidos", "", `{"kind":"plain"}`, 428, "version-required"},
		{"old version", "owner", "PUT", "services/pedidos", `"2"`, `{"kind":"plain"}`, 412, `"current_version":3`},
		{"create what exists", "owner", "PUT", "services/pedidos", `"0"`, `{"kind":"plain"}`, 412, `"current_version":3`},
		{"two findings", "owner", "PUT", "services/x", `"0"`, `{"kind":"x","settings":{"queue":{"lenght":1}}}`, 422, `"pointer":"/settings/queue/lenght"`},
		{"dangling", "owner", "PUT", "targets/x", `"0"`, `{"service":"none","failure_domain":"recife-a","addr":"192.0.2.1:80"}`, 422, `"pointer":"/service"`},
		{"malformed", "owner", "PUT", "services/x", `"0"`, `{`, 422, "not valid JSON"},
		{"bad patch", "owner", "PATCH", "services/pedidos", `"3"`, `{`, 400, "malformed-body"},
		{"service in use", "owner", "DELETE", "services/pedidos", `"3"`, "", 422, "targets/p-1.json"},
		{"outside the subtree", "team", "GET", "targets/a-1", "", "", 403, "subtree"},
		{"target of another team", "team", "PUT", "targets/a-1", `"6"`, target, 403, "subtree"},
		{"target to another team", "team", "PATCH", "targets/p-1", `"5"`, `{"service":"assistente"}`, 403, "subtree"},
		{"withdraw another team's", "team", "POST", "withdrawals", "", `{"scope":"target","name":"a-1"}`, 403, "subtree"},
		{"withdraw nothing", "owner", "POST", "withdrawals", "", `{"scope":"vm","name":"x"}`, 404, "not-found"},
		{"body over the limit", "owner", "PUT", "services/x", `"0"`, strings.Repeat(" ", maxBodyBytes+1), 413, "body-too-large"},
	}
	for _, c := range cases {
		got := a.call(c.who, c.method, c.path, c.ifMatch, c.body)
		if got.status != c.status || !strings.Contains(got.body, c.contains) {
			t.Errorf("%s: got status %d, body %s, want status %d with %q", c.name, got.status, got.body, c.status, c.contains)
		}
	}
	if _, revision, _ := a.objects.List(context.Background(), settings.KindTargets); revision != 6 {
		t.Errorf("after rejected requests: got revision %d, want 6", revision)
	}
}

func TestChanges(t *testing.T) {
	a := newAPI(t)
	read := a.call("team", "GET", "services/pedidos", "", "")
	if read.status != 200 || read.etag != `"3"` {
		t.Fatalf("read: got %+v, want status 200 and ETag 3", read)
	}
	changed := a.call("team", "PATCH", "services/pedidos?wait=in-force", read.etag, `{"settings":{"queue":{"length":9}}}`)
	if changed.status != 200 || changed.etag != `"7"` || !strings.Contains(changed.body, `"in_force":true`) {
		t.Fatalf("patch: got %+v, want status 200, ETag 7 and the change in force", changed)
	}
	stale := a.call("owner", "PATCH", "services/pedidos", read.etag, `{"kind":"engine"}`)
	if stale.status != 412 || !strings.Contains(stale.body, `{"pointer":"/settings/queue/length","was":7,"now":9}`) {
		t.Errorf("stale version: got %+v, want status 412 and the difference", stale)
	}
	created := a.call("owner", "PUT", "client-accounts/loja-1", `"0"`, `{"key_hashes":[],"settings":{"queue":{"length":5}}}`)
	if created.status != 200 {
		t.Errorf("create: got %+v, want status 200", created)
	}
	effective := a.call("team", "GET", "effective?service=pedidos&client-account=loja-1", "", "")
	if !strings.Contains(effective.body, `{"key":"queue.length","value":5,"level":"client-account","source":"loja-1"}`) {
		t.Errorf("effective settings: got %+v, want queue.length 5 from the client account", effective)
	}
	deleted := a.call("owner", "DELETE", "client-accounts/loja-1", created.etag, "")
	if gone := a.call("owner", "GET", "client-accounts/loja-1", "", ""); deleted.status != 200 || gone.status != 404 {
		t.Errorf("delete: got %+v and then %+v, want status 200 and then 404", deleted, gone)
	}
	if status := a.call("viewer", "GET", "status", "", ""); !strings.Contains(status.body, `"router":"r1"`) {
		t.Errorf("status: got %+v, want router r1", status)
	}
}

func TestSecretsAreRedacted(t *testing.T) {
	a := newAPI(t)
	for who, shown := range map[string]bool{"viewer": false, "owner": true} {
		for _, path := range []string{"fleet/fleet", "fleet"} {
			got := a.call(who, "GET", path, "", "")
			if got.status != 200 || strings.Contains(got.body, "0123456789abcdef") != shown {
				t.Errorf("%s reads %s: got %+v, want status 200 and secret shown: %v", who, path, got, shown)
			}
		}
	}
	if got := a.call("team", "GET", "fleet/fleet", "", ""); got.status != 403 {
		t.Errorf("team reads fleet/fleet: got %+v, want status 403", got)
	}
}

func TestStoreFaults(t *testing.T) {
	a := newAPI(t)
	a.objects.SetFaults(standin.Faults{DropResponses: 1})
	lost := a.call("owner", "PUT", "services/pedidos", `"3"`, `{"kind":"plain"}`)
	if lost.status != 200 || lost.etag != `"7"` {
		t.Errorf("lost answer: got %+v, want status 200 and ETag 7", lost)
	}
	a.objects.SetFaults(standin.Faults{Outage: true})
	for _, method := range []string{"PUT", "DELETE"} {
		down := a.call("owner", method, "client-accounts/x", `"7"`, `{"key_hashes":[]}`)
		if down.status != 503 || !strings.Contains(down.body, "store-unavailable") {
			t.Errorf("%s during an outage: got %+v, want status 503", method, down)
		}
	}
	if got := a.call("owner", "GET", "effective?service=pedidos", "", ""); got.status != 200 {
		t.Errorf("effective settings during an outage: got %+v, want status 200", got)
	}
	a.objects.SetFaults(standin.Faults{})
	if _, revision, _ := a.objects.List(context.Background(), settings.KindTargets); revision != 7 {
		t.Errorf("got revision %d, want 7", revision)
	}
}

func TestWithdrawals(t *testing.T) {
	a := newAPI(t)
	withdraw := a.call("owner", "POST", "withdrawals", "", `{"scope":"failure-domain","name":"recife-a"}`)
	var targets []WithdrawnTarget
	if err := json.Unmarshal([]byte(withdraw.body), &targets); err != nil || len(targets) != 2 || targets[1].State != "leaving" {
		t.Fatalf("withdraw: got %+v, want two targets, leaving", withdraw)
	}
	if got := a.call("team", "GET", "withdrawals", "", ""); strings.Count(got.body, `"leaving"`) != 1 || !strings.Contains(got.body, `"in_flight":3,"silent":["r2"]`) {
		t.Errorf("team lists withdrawals: got %+v, want one leaving target with 3 attempts in flight", got)
	}
	if got := a.call("team", "DELETE", "withdrawals/target/p-1", "", ""); got.status != 200 {
		t.Errorf("cancel a withdrawal: got %+v, want status 200", got)
	}
	if got := a.call("owner", "GET", "withdrawals", "", ""); strings.Count(got.body, `"leaving"`) != 1 {
		t.Errorf("after the cancellation: got %+v, want one leaving target", got)
	}
}
