package settings

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"ragwortpond.example/ragwortpond/fleet"
	"ragwortpond.example/ragwortpond/objectapi"
)

func doc(kind, name, data string) objectapi.Object {
	return objectapi.Object{Kind: kind, Name: name, Version: 1, Data: []byte(data)}
}

func validDocuments() []objectapi.Object {
	return []objectapi.Object{
		doc(KindFleet, FleetName, `{"settings":{"placement":{"load_multiple":1.5},"queue":{"length":9}}}`),
		doc(KindDomains, "recife-a", `{"region":"nordeste","settings":{"queue":{"length":8}}}`),
		doc(KindServices, "assistente", `{"kind":"engine","settings":{"queue":{"length":7}}}`),
		doc(KindAccounts, "loja-1", `{"key_hashes":["`+strings.Repeat("ab", 32)+`"],"settings":{"queue":{"length":6}}}`),
		doc(KindTargets, "w-2", `{"service":"assistente","failure_domain":"recife-a","addr":"192.0.2.2:8000","state":"leaving"}`),
		doc(KindTargets, "w-1", `{"service":"assistente","failure_domain":"recife-a","addr":"192.0.2.1:8000"}`),
		doc(KindRules, "stock", `{"service":"assistente","methods":["POST"],"path_prefix":"/stock","repeatable":true}`),
	}
}

func TestBuildInheritsSettings(t *testing.T) {
	s, findings := Build(validDocuments())
	if len(findings) > 0 {
		t.Fatal(findings)
	}
	levels := []struct {
		d    fleet.DomainName
		svc  fleet.ServiceName
		a    fleet.AccountName
		want int
	}{{"", "", "", 9}, {"recife-a", "", "", 8}, {"recife-a", "assistente", "", 7}, {"recife-a", "assistente", "loja-1", 6}}
	for _, l := range levels {
		v := s.Effective(l.d, l.svc, l.a)
		if v.Queue.Length != l.want || v.Placement.LoadMultiple != 1.5 || v.Retry.Attempts != 3 {
			t.Errorf("%v: got %+v, want queue length %d, load multiple 1.5, 3 attempts", l, v, l.want)
		}
	}
	targets := s.Targets["assistente"]
	if len(targets) != 2 || targets[0].ID != "w-1" || targets[0].State != fleet.Live || targets[1].State != fleet.Leaving {
		t.Errorf("targets: got %+v, want w-1 live and w-2 leaving", targets)
	}
}

func TestBuildReportsAllFindings(t *testing.T) {
	objs := append(validDocuments(),
		doc(KindServices, "bad", `{"kind":"wheel","settings":{"queue":{"length":"long","lenght":1},"retry":{"attempts":1.5}}}`),
		doc(KindTargets, "lost", `{"service":"none","failure_domain":"nowhere","addr":"192.0.2.9","weight":0}`),
		doc(KindTargets, "dangling", `{"service":"none","failure_domain":"nowhere","addr":"192.0.2.9:1"}`),
		doc(KindAccounts, "twin", `{"key_hashes":["`+strings.Repeat("ab", 32)+`"]}`),
		doc(KindRules, "broken", `{"service":`),
		doc("wheels", "x", `{}`),
	)
	_, findings := Build(objs)
	want := []string{
		"client-accounts/twin.json: /key_hashes/0: the key also belongs to client account \"loja-1\"",
		"rules/broken.json: /: not valid JSON",
		"services/bad.json: /kind: \"wheel\" is not one of engine, plain",
		"services/bad.json: /settings/queue/length: must be a number, is a string",
		"services/bad.json: /settings/queue/lenght: unknown key",
		"services/bad.json: /settings/retry/attempts: must be a whole number, is 1.5",
		"targets/dangling.json: /failure_domain: failure-domains has no \"nowhere\"",
		"targets/dangling.json: /service: services has no \"none\"",
		"targets/lost.json: /addr: \"192.0.2.9\" is not host:port",
		"targets/lost.json: /weight: 0 is out of range 0.01 to 1000",
		"wheels/x.json: /: unknown kind \"wheels\"",
	}
	if len(findings) != len(want) {
		t.Errorf("findings: got %d, want %d", len(findings), len(want))
	}
	for _, line := range want {
		if !strings.Contains(findings.Error(), line) {
			t.Errorf("missing %q in\n%s", line, findings.Error())
		}
	}
}

func TestTableOfKeysCoversValues(t *testing.T) {
	data, err := json.Marshal(Defaults())
	if err != nil {
		t.Fatal(err)
	}
	var groups map[string]map[string]json.Number
	if err := json.Unmarshal(data, &groups); err != nil {
		t.Fatal(err)
	}
	count := 0
	for group, members := range groups {
		for name := range members {
			count++
			if _, ok := FindKey(group + "." + name); !ok {
				t.Errorf("no key %s.%s in the table", group, name)
			}
		}
	}
	if count != len(table) {
		t.Errorf("keys in the table: got %d, want %d, one for each value", len(table), count)
	}
	wrapped := `{"settings":` + string(data) + `}`
	if found := CheckDocument(doc(KindFleet, FleetName, wrapped)); len(found) > 0 {
		t.Errorf("findings on the defaults: got %v, want none", found)
	}
}

func TestLoadStart(t *testing.T) {
	if example, findings := LoadStartFile("../examples/start.json"); len(findings) > 0 || example.WeightsAddr != "192.0.2.6:2390" {
		t.Errorf("example: got %+v with findings %v", example, findings)
	}
	good := `{"id":"r1","failure_domain":"recife-a","region":"nordeste","caller_addr":"127.0.0.1:1","operator_addr":"127.0.0.1:2",
		"peer_addr":"127.0.0.1:3","platform_addr":"127.0.0.1:4","tls":{"cert":"c","key":"k","authority":"a"}}`
	file := filepath.Join(t.TempDir(), "start.json")
	write := func(text string) {
		if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	write(good)
	start, findings := LoadStartFile(file)
	if len(findings) > 0 || start.TLS.Key != "k" || start.Domain != "recife-a" {
		t.Errorf("valid file: got %+v with findings %v", start, findings)
	}
	write(strings.Replace(good, `"127.0.0.1:1"`, `7`, 1) + " ]")
	if _, findings = LoadStartFile(file); len(findings) != 1 {
		t.Errorf("trailing text: got %v, want one finding", findings)
	}
	write(strings.Replace(good, `"127.0.0.1:1"`, `7, "seed":[]`, 1))
	if _, findings = LoadStartFile(file); len(findings) != 2 {
		t.Errorf("got %v, want a wrong type and an unknown key", findings)
	}
}

func TestBuilderAppliesChangesAndDeletions(t *testing.T) {
	b := NewBuilder()
	objs := validDocuments()
	b.Build(objs)
	objs[2].Data = []byte(`{"kind":"engine","settings":{"queue":{"length":77}}}`)
	changed, _ := b.Build(objs)
	if got := changed.Effective("", "assistente", "").Queue.Length; got != 77 {
		t.Errorf("queue length after the change: got %d, want 77", got)
	}
	smaller, findings := b.Build(objs[:4])
	if len(findings) > 0 || len(smaller.Targets["assistente"]) != 0 || len(b.parsed) != 4 {
		t.Errorf("after deletions: got findings %v, targets %v and %d cached documents, want none, none and 4",
			findings, smaller.Targets["assistente"], len(b.parsed))
	}
}

// A rejected document must be reported once, and not again for each document
// that refers to it.
func TestRejectedDocumentIsReportedOnce(t *testing.T) {
	_, findings := Build(append(validDocuments(),
		doc(KindServices, "bad", `{"kind":"wheel"}`),
		doc(KindTargets, "of-bad", `{"service":"bad","failure_domain":"recife-a","addr":"192.0.2.9:1"}`),
	))
	if len(findings) != 1 || !strings.Contains(findings.Error(), `services/bad.json: /kind`) {
		t.Errorf("got %v, want one finding on services/bad.json", findings)
	}
}
