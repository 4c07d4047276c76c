package main

import (
	"bufio"
	"bytes"
	"context"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"ragwortpond.example/ragwortpond/examples"
	"ragwortpond.example/ragwortpond/fleet"
	"ragwortpond.example/ragwortpond/keys"
	"ragwortpond.example/ragwortpond/objectclient"
	"ragwortpond.example/ragwortpond/settings"
	"ragwortpond.example/ragwortpond/standin"
)

const (
	processLimit = 60 * time.Second
	callerKey    = "rwk_processes"
)

// processes runs a fleet as separate processes: platform, targets and routers.
type processes struct {
	t         testing.TB
	dir       string
	authority *keys.Authority
	store     *objectclient.Client
	platform  string
	client    *http.Client
}

func build(t testing.TB, dir, name string) string {
	t.Helper()
	out := filepath.Join(dir, name)
	cmd := exec.Command("go", "build", "-o", out, "../"+name)
	if text, err := cmd.CombinedOutput(); err != nil {
		t.Fatalf("build %s: %v\n%s", name, err, text)
	}
	return out
}

func (p *processes) startStandin(args ...string) string {
	p.t.Helper()
	cmd := exec.Command(filepath.Join(p.dir, "ragwort-standin"), args...)
	out, err := cmd.StdoutPipe()
	if err != nil {
		p.t.Fatal(err)
	}
	p.run(cmd)
	addr, err := bufio.NewReader(out).ReadString('\n')
	if err != nil {
		p.t.Fatalf("%v: no address: %v", args, err)
	}
	return strings.TrimSpace(addr)
}

func (p *processes) run(cmd *exec.Cmd) {
	p.t.Helper()
	if err := cmd.Start(); err != nil {
		p.t.Fatal(err)
	}
	p.t.Cleanup(func() {
		cmd.Process.Kill()
		cmd.Wait()
	})
}

func (p *processes) put(kind, name string, doc any) {
	p.t.Helper()
	data, err := json.Marshal(doc)
	if err != nil {
		p.t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), processLimit)
	defer cancel()
	if _, err := p.store.Put(ctx, kind, name, data, 0); err != nil {
		p.t.Fatalf("put %s/%s: %v", kind, name, err)
	}
}

func (p *processes) remove(kind, name string) {
	p.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), processLimit)
	defer cancel()
	o, err := p.store.Get(ctx, kind, name)
	if err != nil {
		p.t.Fatal(err)
	}
	if _, err := p.store.Delete(ctx, kind, name, o.Version); err != nil {
		p.t.Fatal(err)
	}
}

func freeAddr(t testing.TB) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

// routerProcess is one ragwortd.
type routerProcess struct {
	cmd    *exec.Cmd
	caller string
	peer   string
	log    *bytes.Buffer
}

func (p *processes) startRouter(id string, seeds []string) *routerProcess {
	p.t.Helper()
	return p.startRouterIn("recife-a", id, seeds)
}

func (p *processes) startRouterIn(domain fleet.DomainName, id string, seeds []string) *routerProcess {
	p.t.Helper()
	pair, err := p.authority.Issue(id, []string{"127.0.0.1"})
	if err != nil {
		p.t.Fatal(err)
	}
	r := &routerProcess{caller: freeAddr(p.t), peer: freeAddr(p.t), log: &bytes.Buffer{}}
	start := settings.Start{
		ID: fleet.RouterID(id), Domain: domain, Region: "nordeste",
		CallerAddr: r.caller, PeerAddr: r.peer, OperatorAddr: freeAddr(p.t), PlatformAddr: p.platform,
		TLS: settings.TLSFiles{
			Cert: p.file(id+".crt", pair.Cert), Key: p.file(id+".key", pair.Key),
			Authority: p.file("ca.crt", p.authority.Pair().Cert),
		},
		Seeds: seeds, LogLevel: "debug",
	}
	raw, err := json.Marshal(start)
	if err != nil {
		p.t.Fatal(err)
	}
	args := []string{"--config", p.file(id+".json", raw)}
	if dir := os.Getenv("RAGWORT_PROFILE_DIR"); dir != "" {
		args = append(args, "--cpu-profile", filepath.Join(dir, id+".prof"))
	}
	r.cmd = exec.Command(filepath.Join(p.dir, "ragwortd"), args...)
	r.cmd.Stdout, r.cmd.Stderr = r.log, r.log
	p.run(r.cmd)
	p.t.Cleanup(func() { r.cmd.Process.Signal(syscall.SIGTERM); r.cmd.Wait() })
	return r
}

func (p *processes) file(name string, data []byte) string {
	path := filepath.Join(p.dir, name)
	// Routers that start meanwhile read files that all of them share; a rename
	// never shows them half a file.
	whole := path + ".new"
	if err := os.WriteFile(whole, data, 0o600); err != nil {
		p.t.Fatal(err)
	}
	if err := os.Rename(whole, path); err != nil {
		p.t.Fatal(err)
	}
	return path
}

func (p *processes) awaitReady(r *routerProcess) {
	p.t.Helper()
	for end := time.Now().Add(processLimit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		resp, err := p.client.Get("https://" + r.caller + "/readyz")
		if err != nil {
			continue
		}
		resp.Body.Close()
		if resp.StatusCode == 200 {
			return
		}
	}
	p.t.Fatalf("router not ready:\n%s", r.log)
}

// say sends one streamed chat and returns what the caller read.
func (p *processes) say(r *routerProcess, text string) (string, error) {
	body, err := json.Marshal(map[string]any{
		"model": "assistente", "stream": true, "max_tokens": 400,
		"messages": []standin.Message{{Role: "user", Content: text}},
	})
	if err != nil {
		return "", err
	}
	req, err := http.NewRequest(http.MethodPost, "https://"+r.caller+"/v1/chat/completions", bytes.NewReader(body))
	if err != nil {
		return "", err
	}
	req.Header.Set("Authorization", "Bearer "+callerKey)
	resp, err := p.client.Do(req)
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(resp.Body)
	return string(raw), err
}

func startProcesses(t testing.TB) *processes {
	t.Helper()
	p := &processes{t: t, dir: t.TempDir()}
	build(t, p.dir, "ragwortd")
	build(t, p.dir, "ragwort-standin")
	var err error
	if p.authority, err = keys.NewAuthority("test"); err != nil {
		t.Fatal(err)
	}
	roots := x509.NewCertPool()
	roots.AppendCertsFromPEM(p.authority.Pair().Cert)
	p.client = &http.Client{Timeout: processLimit, Transport: &http.Transport{TLSClientConfig: &tls.Config{RootCAs: roots}}}
	t.Cleanup(p.client.CloseIdleConnections)
	p.platform = p.startStandin("platform")
	p.store = objectclient.NewClient(objectclient.ClientConfig{Addr: p.platform})
	p.loadSettings()
	return p
}

// loadSettings writes a small deployment: one failure domain, two engines.
func (p *processes) loadSettings() {
	dir, err := examples.Deployment(examples.TochaViva)
	if err != nil {
		p.t.Fatal(err)
	}
	objects, findings := settings.LoadFS(dir)
	if len(findings) > 0 {
		p.t.Fatal(findings)
	}
	for _, o := range objects {
		if o.Kind == settings.KindTargets || o.Kind == settings.KindAccounts {
			continue
		}
		p.put(o.Kind, o.Name, json.RawMessage(o.Data))
	}
	p.put(settings.KindAccounts, "tester", map[string]any{"key_hashes": []string{keys.Hash(callerKey)}})
	for i := range 2 {
		id := fmt.Sprintf("engine-%d", i)
		addr := p.startStandin("--id", id, "engine", "--tokens-per-second", "200")
		p.put(settings.KindTargets, id, map[string]any{"service": "assistente", "failure_domain": "recife-a", "addr": addr})
	}
}

// A planned stop cuts nothing and a killed router is survived by the others,
// all as separate processes.
func TestProcessesServeThroughStopAndKill(t *testing.T) {
	p := startProcesses(t)
	first := p.startRouter("r1", nil)
	second := p.startRouter("r2", []string{first.peer})
	third := p.startRouter("r3", []string{first.peer})
	for _, r := range []*routerProcess{first, second, third} {
		p.awaitReady(r)
	}
	p.expectWhole(first, "before")

	answers := make(chan string, 1)
	go func() {
		text, err := p.say(second, "during the stop")
		if err != nil {
			text = err.Error()
		}
		answers <- text
	}()
	time.Sleep(40 * time.Millisecond)
	if err := second.cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	if text := <-answers; !strings.Contains(text, "[DONE]") {
		t.Errorf("a planned stop cut a stream: %q\n%s", text, second.log)
	}
	if err := second.cmd.Wait(); err != nil {
		t.Errorf("planned stop: %v\n%s", err, second.log)
	}
	third.cmd.Process.Kill()
	p.expectEventually(first)
}

func (p *processes) expectWhole(r *routerProcess, text string) {
	p.t.Helper()
	got, err := p.say(r, text)
	if err != nil || !strings.Contains(got, "[DONE]") {
		p.t.Errorf("%s: %v %q\n%s", text, err, got, r.log)
	}
}

// expectEventually waits until the survivor has noticed the killed router and
// answers; until then it may refuse, but never without saying so.
func (p *processes) expectEventually(r *routerProcess) {
	p.t.Helper()
	for end := time.Now().Add(processLimit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		got, err := p.say(r, fmt.Sprint("after ", time.Now().UnixNano()))
		if err == nil && strings.Contains(got, "[DONE]") {
			return
		}
	}
	p.t.Errorf("the survivor does not serve\n%s", r.log)
}

// A home that freezes under a stream is found out by the other routers, and the
// stream goes on through another home without a gap.
func TestStreamSurvivesAFrozenHome(t *testing.T) {
	p := startProcesses(t)
	home := p.startRouterIn("recife-a", "home", nil)
	p.awaitReady(home)
	entry := p.startRouterIn("recife-b", "entry", []string{home.peer})
	p.awaitReady(entry)
	p.expectEventually(entry)
	answers := make(chan string, 1)
	go func() {
		text, err := p.say(entry, "write 400 tokens")
		if err != nil {
			text = err.Error()
		}
		answers <- text
	}()
	time.Sleep(500 * time.Millisecond)
	if err := home.cmd.Process.Signal(syscall.SIGSTOP); err != nil {
		t.Fatal(err)
	}
	defer home.cmd.Process.Signal(syscall.SIGCONT)
	p.expectEventually(entry)
	text := <-answers
	want := standin.Answer([]standin.Message{{Role: "user", Content: "write 400 tokens"}}, 400)
	if got := contents(text); got != strings.Join(want, "") {
		t.Errorf("the stream was not whole: %d of %d tokens\n%s", len(strings.Fields(got)), len(want), entry.log)
	}
}

// contents joins the text of a stream's chunks.
func contents(stream string) string {
	var text strings.Builder
	for line := range strings.Lines(stream) {
		data, ok := strings.CutPrefix(strings.TrimSpace(line), "data: {")
		if !ok {
			continue
		}
		var chunk struct {
			Choices []struct {
				Delta struct {
					Content string `json:"content"`
				} `json:"delta"`
			} `json:"choices"`
		}
		if json.Unmarshal([]byte("{"+data), &chunk) != nil {
			continue
		}
		for _, c := range chunk.Choices {
			text.WriteString(c.Delta.Content)
		}
	}
	return text.String()
}
