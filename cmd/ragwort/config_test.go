package main

import (
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// Configurations as they are sent.
const (
	soundConfig = `{"Version":4,"Routes":[{"Name":"r","Host":"a.example","PathPrefix":"/r/","RouteType":"idempotent","TimeoutMs":1000,"TargetLatencyMs":100,"Service":"s","MaxAttempts":2}],"Services":[{"Name":"s","HealthPath":"/health"}],"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}}`
	warnedAbout = `"TargetLatencyMs":5000`
)

// withAccounts returns soundConfig with a list of client accounts.
func withAccounts(list string) string {
	return strings.Replace(soundConfig, `"Version":4`, `"Version":4,"Tenants":`+list, 1)
}

func writeConfig(t *testing.T, spec string) string {
	t.Helper()
	file := filepath.Join(t.TempDir(), "main.json")
	if err := os.WriteFile(file, []byte(spec), 0o600); err != nil {
		t.Fatal(err)
	}
	return file
}

func TestConfigCheckExitCodes(t *testing.T) {
	older := writeConfig(t, strings.Replace(soundConfig, `"Version":4`, `"Version":3`, 1))
	late := writeConfig(t, strings.Replace(soundConfig, `"TargetLatencyMs":100`, warnedAbout, 1))
	store := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/objects/config/main" {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		_, _ = w.Write([]byte(`{"Metadata":{"Name":"main","Revision":7},"Spec":` + strings.Replace(soundConfig, `"Version":4`, `"Version":3`, 1) + `}`))
	}))
	defer store.Close()
	addr := strings.TrimPrefix(store.URL, "http://")
	for name, test := range map[string]struct {
		args []string
		code int
		want string
	}{
		"sound":            {[]string{writeConfig(t, soundConfig)}, 0, "ok"},
		"compared":         {[]string{late, "--in-force", older}, 0, "changed: route \"r\", latency objective: 5s, was 100ms"},
		"store":            {[]string{late, "--store", addr}, 0, "latency objective: 5s, was 100ms"},
		"strict":           {[]string{late, "--strict"}, exitBadInput, "can never be late"},
		"older version":    {[]string{older, "--in-force", late}, exitBadInput, "version 3 does not replace version 4"},
		"unknown service":  {[]string{writeConfig(t, strings.Replace(soundConfig, `"Service":"s"`, `"Service":"t"`, 1))}, exitBadInput, `service "t" does not exist`},
		"unknown type":     {[]string{writeConfig(t, strings.Replace(soundConfig, `"idempotent"`, `"safe"`, 1))}, exitBadInput, `"safe" is unknown`},
		"garbage":          {[]string{writeConfig(t, `{"Version":`)}, exitBadInput, ""},
		"no such file":     {[]string{filepath.Join(t.TempDir(), "none.json")}, exitBadInput, ""},
		"two to compare":   {[]string{late, "--in-force", older, "--store", addr}, exitBadInput, ""},
		"store not there":  {[]string{late, "--store", "127.0.0.1:1"}, exitUnreachable, ""},
		"as JSON":          {[]string{late, "--in-force", older, "--output", "json"}, 0, `"before": "100ms"`},
		"no account list":  {[]string{writeConfig(t, soundConfig)}, 0, "no request needs a key: there is no list of client accounts"},
		"empty accounts":   {[]string{writeConfig(t, withAccounts(`[]`))}, exitBadInput, "error: client accounts: no request is allowed"},
		"accounts null":    {[]string{writeConfig(t, withAccounts(`null`))}, exitBadInput, "of 0 client accounts none has a key"},
		"accounts":         {[]string{writeConfig(t, withAccounts(`[{"Name":"a","ApiKeys":["k"]}]`))}, 0, "requests need a key but those of public routes: 1 client accounts have 1 keys"},
		"empty key":        {[]string{writeConfig(t, withAccounts(`[{"Name":"a","ApiKeys":[""]}]`))}, exitBadInput, "of 1 client accounts none has a key"},
		"accounts emptied": {[]string{writeConfig(t, withAccounts(`[]`)), "--in-force", older}, exitBadInput, "changed: client accounts, requests need a key: true, was false"},
		"odd accounts":     {[]string{writeConfig(t, withAccounts(`{}`))}, exitBadInput, "list of client accounts: json: cannot unmarshal object"},
		"no configuration": {nil, exitBadInput, ""},
	} {
		t.Run(name, func(t *testing.T) {
			out, code := runCommand(t, append([]string{"config", "check"}, test.args...)...)
			if code != test.code || !strings.Contains(out, test.want) {
				t.Errorf("got exit code %d and %q, want %d and %q", code, out, test.code, test.want)
			}
		})
	}
}
