package configcheck

import (
	"errors"
	"strings"
	"testing"
	"time"

	"ragwortpond.example/ragwortpond/catalog"
	"ragwortpond.example/ragwortpond/fleet"
)

func to(services ...fleet.ServiceName) []catalog.WeightedService {
	var shares []catalog.WeightedService
	for _, s := range services {
		shares = append(shares, catalog.WeightedService{Service: s, Weight: 1})
	}
	return shares
}

// sound returns a configuration without findings.
func sound() *catalog.ConfigSource {
	return &catalog.ConfigSource{
		Version: 3,
		Limits:  catalog.Limits{HeaderBytes: 16 << 10, BodyBytes: 4 << 20, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second},
		Routes: []*catalog.Route{
			{
				Name: "chat", Host: "a.example", Prefix: "/chat/", RunPolicy: catalog.Resumable, Stream: true, Timeout: 10 * time.Second,
				LatencyObjective: time.Second, MaxEventGap: time.Second, MaxTargets: 2, PromptAffinity: true, WeightedServices: to("engines"),
			},
			{Name: "order", Host: "a.example", Prefix: "/order/", Timeout: time.Second, MaxTargets: 1, WeightedServices: to("desk")},
		},
		Services: []catalog.Service{{Name: "engines", Slots: 8, HealthPath: "/health"}, {Name: "desk"}},
		Accounts: []catalog.NamedAccount{{Account: catalog.Account{Name: "one"}, Keys: []string{"k1", "k2"}}, {Account: catalog.Account{Name: "two"}, Keys: []string{"k3"}}},
	}
}

func TestSoundConfigurationHasNoFindings(t *testing.T) {
	if found := Check(sound()); len(found) > 0 {
		t.Errorf("got %v, want none", found)
	}
}

func TestCheck(t *testing.T) {
	negative := -1
	for name, test := range map[string]struct {
		change   func(*catalog.ConfigSource)
		severity Severity
		want     string
	}{
		"no routes":               {func(c *catalog.ConfigSource) { c.Routes = nil }, Error, "has no routes"},
		"same host and prefix":    {func(c *catalog.ConfigSource) { c.Routes[1].Prefix, c.Routes[1].Host = "/chat/", "A.EXAMPLE" }, Error, `route "order": it can never match: route "chat"`},
		"same name of a route":    {func(c *catalog.ConfigSource) { c.Routes[1].Name = "chat" }, Error, "another route has this name"},
		"host with a port":        {func(c *catalog.ConfigSource) { c.Routes[0].Host = "a.example:80" }, Error, "ports of requests are ignored"},
		"no host":                 {func(c *catalog.ConfigSource) { c.Routes[0].Host = "" }, Error, "it has no host"},
		"host with a wildcard":    {func(c *catalog.ConfigSource) { c.Routes[0].Host = "*.example" }, Error, "not the name of a host"},
		"prefix without slash":    {func(c *catalog.ConfigSource) { c.Routes[0].Prefix = "chat/" }, Error, "does not begin with a slash"},
		"prefix with a query":     {func(c *catalog.ConfigSource) { c.Routes[0].Prefix = "/chat?x/" }, Error, "characters that no path has"},
		"prefix without end":      {func(c *catalog.ConfigSource) { c.Routes[0].Prefix = "/chat" }, Warning, "also matches longer names"},
		"unknown service":         {func(c *catalog.ConfigSource) { c.Routes[0].WeightedServices = to("engines", "none") }, Error, `service "none" does not exist`},
		"no service":              {func(c *catalog.ConfigSource) { c.Routes[0].WeightedServices = nil }, Error, "names no service"},
		"all weights zero":        {func(c *catalog.ConfigSource) { c.Routes[0].WeightedServices[0].Weight = 0 }, Error, "add up to 0"},
		"negative weight":         {func(c *catalog.ConfigSource) { c.Routes[0].WeightedServices[0].Weight = -1 }, Error, "not a number from zero up"},
		"service without a route": {func(c *catalog.ConfigSource) { c.Services = append(c.Services, catalog.Service{Name: "idle"}) }, Warning, "no route sends requests"},
		"service twice":           {func(c *catalog.ConfigSource) { c.Services = append(c.Services, catalog.Service{Name: "desk"}) }, Error, "another service has this name"},
		"cold rate that is none":  {func(c *catalog.ConfigSource) { c.Services[0].ColdError = errors.New("odd rate") }, Error, "not bounded: odd rate"},
		"cold without a rate":     {func(c *catalog.ConfigSource) { c.Services[0].ColdStart = time.Second }, Warning, "no rate bounds"},
		"engines and plain":       {func(c *catalog.ConfigSource) { c.Routes[0].WeightedServices = to("engines", "desk") }, Warning, "split among"},
		"objective over timeout":  {func(c *catalog.ConfigSource) { c.Routes[0].LatencyObjective = time.Minute }, Warning, "can never be late"},
		"pause over timeout":      {func(c *catalog.ConfigSource) { c.Routes[0].MaxEventGap = time.Minute }, Warning, "a pause can never be too long"},
		"pause without stream":    {func(c *catalog.ConfigSource) { c.Routes[1].MaxEventGap = time.Second }, Warning, "not streams"},
		"negative timeout":        {func(c *catalog.ConfigSource) { c.Routes[0].Timeout = -1 }, Error, "a time is negative"},
		"repeatable, one target":  {func(c *catalog.ConfigSource) { c.Routes[1].RunPolicy = catalog.Repeatable }, Warning, "one target at most"},
		"public without accounts": {func(c *catalog.ConfigSource) { c.Accounts, c.Routes[0].Public = nil, true }, Warning, "no request needs a key"},
		"account without key":     {func(c *catalog.ConfigSource) { c.Accounts[1].Keys = nil }, Warning, "it has no key"},
		"no key at all":           {func(c *catalog.ConfigSource) { c.Accounts[0].Keys, c.Accounts[1].Keys = nil, nil }, Error, "no request is allowed"},
		"no account":              {func(c *catalog.ConfigSource) { c.Accounts = []catalog.NamedAccount{} }, Error, "no request is allowed"},
		"only an empty key": {func(c *catalog.ConfigSource) {
			c.Accounts = []catalog.NamedAccount{{Account: catalog.Account{Name: "one"}, Keys: []string{""}}}
		}, Error, "no request is allowed"},
		"no account, public":     {func(c *catalog.ConfigSource) { c.Accounts, c.Routes[0].Public = []catalog.NamedAccount{}, true }, Warning, "only requests of public routes"},
		"key of two accounts":    {func(c *catalog.ConfigSource) { c.Accounts[1].Keys = []string{"k1"} }, Error, `also that of client account "one"`},
		"key twice":              {func(c *catalog.ConfigSource) { c.Accounts[0].Keys = []string{"k1", "k1"} }, Warning, "listed twice"},
		"empty key":              {func(c *catalog.ConfigSource) { c.Accounts[0].Keys[0] = "" }, Error, "can never match"},
		"negative priority":      {func(c *catalog.ConfigSource) { c.Accounts[0].Priority = &negative }, Error, "priority is negative"},
		"head without room":      {func(c *catalog.ConfigSource) { c.Limits.HeaderBytes = 10 }, Error, "no request fits"},
		"body smaller than head": {func(c *catalog.ConfigSource) { c.Limits.BodyBytes = 1000 }, Warning, "less than a head"},
		"head slower than idle":  {func(c *catalog.ConfigSource) { c.Limits.IdleTimeout = time.Second }, Warning, "than it may rest"},
		"remark of the decoder":  {func(c *catalog.ConfigSource) { c.Remarks = []catalog.Remark{{Route: "chat", Text: "odd"}} }, Error, `route "chat": odd`},
	} {
		t.Run(name, func(t *testing.T) {
			c := sound()
			test.change(c)
			found := Check(c)
			for _, f := range found {
				if f.Severity == test.severity && strings.Contains(f.String(), test.want) {
					return
				}
			}
			t.Errorf("got %v, want one of severity %s with %q", found, test.severity, test.want)
		})
	}
}

func TestErrorsComeFirst(t *testing.T) {
	c := sound()
	c.Services = append(c.Services, catalog.Service{Name: "idle"})
	c.Routes[1].Host = ""
	found := Check(c)
	if len(found) != 2 || found[0].Severity != Error || found[1].Severity != Warning || !HasErrors(found) || HasErrors(found[1:]) {
		t.Errorf("got %v, want an error before a warning", found)
	}
}

func TestCompare(t *testing.T) {
	next := sound()
	next.Version++
	next.Routes[0].Timeout = 12 * time.Second
	next.Routes[1] = &catalog.Route{Name: "lookup", Host: "a.example", Prefix: "/lookup/", RunPolicy: catalog.Repeatable, MaxTargets: 2, WeightedServices: to("desk", "engines")}
	next.Accounts[0].Keys = []string{"k1", "secret"}
	next.Limits.BodyBytes = 1 << 20
	var got []string
	for _, c := range Compare(sound(), next) {
		got = append(got, c.String())
	}
	want := []string{
		`removed: route "order": host "a.example", path prefix "/order/", runs once, services desk 100%, timeout 1s, latency objective 0s, longest pause 0s, priority 0, targets 1, public false, prompts on one target false`,
		`changed: route "chat", timeout: 12s, was 10s`,
		`added: route "lookup": host "a.example", path prefix "/lookup/", runs repeatable, services desk 50% + engines 50%, timeout 0s, latency objective 0s, longest pause 0s, priority 0, targets 2, public false, prompts on one target false`,
		`changed: limits, body bytes: 1048576, was 4194304`,
		`changed: client account "one", keys: 2, of which 1 are new, was 2, of which 1 are taken away`,
	}
	if strings.Join(got, "\n") != strings.Join(want, "\n") {
		t.Errorf("got\n%s\nwant\n%s", strings.Join(got, "\n"), strings.Join(want, "\n"))
	}
	if strings.Contains(strings.Join(got, ""), "secret") {
		t.Error("a key is shown")
	}
	if found := CheckVersion(sound(), next); len(found) > 0 {
		t.Errorf("got %v for a higher version, want none", found)
	}
	if found := CheckVersion(next, sound()); !HasErrors(found) {
		t.Error("got no error for a lower version")
	}
	locked := sound()
	locked.Accounts = []catalog.NamedAccount{}
	open := sound()
	open.Accounts = nil
	if changes := Compare(locked, open); len(changes) != 1 || changes[0].String() != "changed: client accounts, requests need a key: false, was true" {
		t.Errorf("got %v for an empty list that is left out, want that no request needs a key", changes)
	}
	if changes := Compare(sound(), sound()); len(changes) > 0 {
		t.Errorf("got %v for the same configuration, want none", changes)
	}
}
