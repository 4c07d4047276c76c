package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"

	"github.com/urfave/cli/v3"

	"ragwortpond.example/ragwortpond/keys"
	"ragwortpond.example/ragwortpond/objectapi"
	"ragwortpond.example/ragwortpond/operator"
	"ragwortpond.example/ragwortpond/settings"
	"ragwortpond.example/ragwortpond/standin"
)

// runCommand runs the command line and returns what it printed and its exit
// code.
func runCommand(t *testing.T, args ...string) (string, int) {
	t.Helper()
	var out bytes.Buffer
	command := rootCommand()
	command.Writer = &out
	err := command.Run(context.Background(), append([]string{"ragwort"}, args...))
	code := 0
	if err != nil {
		code = exitFailed
		var exitCoder cli.ExitCoder
		if errors.As(err, &exitCoder) {
			code = exitCoder.ExitCode()
		}
		out.WriteString(err.Error())
	}
	return out.String(), code
}

func expectRun(t *testing.T, code int, contains string, args ...string) string {
	t.Helper()
	out, got := runCommand(t, args...)
	if got != code || !strings.Contains(out, contains) {
		t.Errorf("%v: got exit code %d, want %d and output with %q:\n%s", args, got, code, contains, out)
	}
	return out
}

func TestCheckSettings(t *testing.T) {
	expectRun(t, 0, "ok", "settings", "check", "../../examples/tocha-viva", "../../examples/tsagaan-us")
	dir := filepath.Join(t.TempDir(), "services")
	if err := os.MkdirAll(dir, 0o700); err != nil {
		t.Fatal(err)
	}
	file := filepath.Join(dir, "assistente.json")
	faulty := `{"kind":"motor","colour":"red","settings":{"placement":{"load_multiple":0.5},"queue":{"length":"long"},"retry":{"tries":3}}}`
	if err := os.WriteFile(file, []byte(faulty), 0o600); err != nil {
		t.Fatal(err)
	}
	out := expectRun(t, exitBadInput, "", "settings", "check", file)
	for _, pointer := range []string{"/kind", "/colour", "/settings/placement/load_multiple", "/settings/queue/length", "/settings/retry/tries"} {
		if !strings.Contains(out, file+": "+pointer+": ") {
			t.Errorf("got no finding at %s, want one:\n%s", pointer, out)
		}
	}
	if got := strings.Count(out, file+": "); got != 5 {
		t.Errorf("got %d findings, want 5:\n%s", got, out)
	}
}

func TestExplainAndEffective(t *testing.T) {
	expectRun(t, 0, "1.05 to 10", "settings", "explain", "placement.load_multiple")
	expectRun(t, exitBadInput, "no key", "settings", "explain", "placement.load")
	expectRun(t, 0, "placement.reuse_weight  0.95   service  assistente",
		"settings", "effective", "--dir", "../../examples/tocha-viva", "--service", "assistente", "--key", "placement.reuse_weight")
}

func TestKeys(t *testing.T) {
	dir := t.TempDir()
	expectRun(t, 0, "", "keys", "authority", "--dir", dir)
	expectRun(t, exitBadInput, "already", "keys", "authority", "--dir", dir)
	expectRun(t, 0, "", "keys", "router", "--dir", dir, "r1", "127.0.0.1")
	for _, file := range []string{"authority.crt", "authority.key", "r1.crt", "r1.key"} {
		if _, err := os.Stat(filepath.Join(dir, file)); err != nil {
			t.Error(err)
		}
	}
	var created secret
	out := expectRun(t, 0, prefixAccount, "keys", "account", "--output", "json")
	if err := json.Unmarshal([]byte(out), &created); err != nil || keys.Hash(created.Secret) != created.Hash {
		t.Errorf("got output %s (error %v), want a secret with its hash", out, err)
	}
}

// serveAPI starts an administration API and sets the environment variables that
// make the command line use it.
func serveAPI(t *testing.T) *standin.Objects {
	objects := standin.NewObjects(standin.ObjectsConfig{})
	put := func(kind, name, data string) {
		if _, err := objects.Put(context.Background(), kind, name, []byte(data), 0); err != nil {
			t.Fatal(err)
		}
	}
	put(settings.KindFleet, "fleet", `{"operators":[{"name":"root","token_hash":"`+keys.Hash("token")+`","role":"owner"}]}`)
	put(settings.KindDomains, "a", `{"region":"r"}`)
	put(settings.KindServices, "s", `{"kind":"plain"}`)
	put(settings.KindTargets, "t-1", `{"service":"s","failure_domain":"a","addr":"192.0.2.1:80"}`)
	s, err := operator.New(operator.Config{
		Addr: "127.0.0.1:0", Store: objects, Snapshot: newSnapshots(t, objects),
	})
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = s.Run() }()
	t.Cleanup(func() { _ = s.Shutdown(context.Background()) })
	t.Setenv("RAGWORT_SERVER", "http://"+s.Addr())
	t.Setenv("RAGWORT_TOKEN", "token")
	return objects
}

// newSnapshots returns a function that reads the settings from the platform.
// During an outage it returns the settings read last.
func newSnapshots(t *testing.T, objects *standin.Objects) func() *settings.Snapshot {
	var mu sync.Mutex
	latest := map[string]objectapi.Object{}
	return func() *settings.Snapshot {
		mu.Lock()
		defer mu.Unlock()
		changes, _, err := objects.Watch(context.Background(), settings.Kinds(), 0, 0)
		if err != nil && !errors.Is(err, objectapi.ErrUnavailable) {
			t.Error(err)
		}
		for _, c := range changes {
			file := settings.FileName(c.Object.Kind, c.Object.Name)
			latest[file] = c.Object
			if c.Deleted {
				delete(latest, file)
			}
		}
		s, _ := settings.Build(slices.Collect(maps.Values(latest)))
		return s
	}
}

func TestAdministration(t *testing.T) {
	objects := serveAPI(t)
	file := filepath.Join(t.TempDir(), "account.json")
	if err := os.WriteFile(file, []byte(`{"key_hashes":[],"settings":{"limits":{"concurrency":4}}}`), 0o600); err != nil {
		t.Fatal(err)
	}
	expectRun(t, exitBadInput, "version-required", "settings", "put", "client-accounts", "loja", file)
	expectRun(t, 0, "accepted client-accounts/loja version 5", "settings", "put", "--create", "client-accounts", "loja", file)
	expectRun(t, exitChanged, "current version: 5", "settings", "put", "--create", "client-accounts", "loja", file)
	expectRun(t, 0, "version 6", "settings", "patch", "client-accounts", "loja", `{"settings":{"limits":{"concurrency":8}}}`)
	expectRun(t, exitChanged, "changed /settings/limits/concurrency: 4 -> 8",
		"settings", "patch", "--if-match", "5", "client-accounts", "loja", `{"settings":null}`)
	expectRun(t, exitBadInput, "/settings/limits/concurrency", "settings", "patch", "client-accounts", "loja", `{"settings":{"limits":{"concurrency":-1}}}`)
	expectRun(t, 0, "limits.concurrency  8      client-account  loja",
		"settings", "effective", "--client-account", "loja", "--key", "limits.concurrency")
	expectRun(t, 0, `"version": 6`, "settings", "get", "--output", "json", "client-accounts", "loja")
	expectRun(t, exitFailed, "not-found", "settings", "get", "client-accounts", "x")
	expectRun(t, exitFailed, "targets/t-1.json", "settings", "diff", "../../examples/tocha-viva")
	expectRun(t, 0, "leaving", "withdraw", "target", "t-1")
	expectRun(t, 0, "t-1", "withdraw")
	expectRun(t, 0, "live", "withdraw", "--call-off", "target", "t-1")
	expectRun(t, 0, "accepted", "settings", "delete", "--if-match", "6", "client-accounts", "loja")
	objects.SetFaults(standin.Faults{Outage: true})
	expectRun(t, exitUnreachable, "store-unavailable", "settings", "get", "services", "s")
	t.Setenv("RAGWORT_SERVER", "http://127.0.0.1:"+strconv.Itoa(1))
	expectRun(t, exitUnreachable, "not reachable", "status")
}
