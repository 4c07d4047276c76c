package settings

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

func TestLoadNodeReportsAllFindings(t *testing.T) {
	file := filepath.Join(t.TempDir(), "node.json")
	text := `{"id":"","failure_domain":"","client_addr":"nowhere","ready_addr":"10.0.0.1:1","peer_addr":"10.0.0.1:2",
		"store_addr":"10.0.0.1:3","memory_mb":0,"grace_s":"8","repeats":{"ratio":-1,"extra":1,"window_s":1},"more":1}`
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	_, findings := LoadNodeFile(file)
	for _, want := range []string{"/id", "/failure_domain", "/client_addr", `"metrics_addr" is required`, "/memory_mb", "/grace_s", "/repeats/ratio", "/more"} {
		if !strings.Contains(findings.Error(), want) {
			t.Errorf("missing a finding on %s in:\n%v", want, findings)
		}
	}
	if _, findings := LoadNodeFile(filepath.Join(t.TempDir(), "none.json")); len(findings) == 0 {
		t.Error("missing file: got no finding, want one")
	}
}

// The template of the start file renders null for each number that a deployment
// does not set. Null must become the default, while a zero stays zero.
func TestLoadNodeReplacesNullWithDefaults(t *testing.T) {
	file := filepath.Join(t.TempDir(), "node.json")
	text := `{"id":"Edge_1","failure_domain":"Zone_A","client_addr":"10.0.0.1:4","ready_addr":"10.0.0.1:1","peer_addr":"10.0.0.1:2",
		"metrics_addr":"10.0.0.1:5","seeds":[],"store_addr":"10.0.0.1:3","memory_mb":null,"cores":null,"link_mbps":null,"grace_s":null,
		"repeats":{"ratio":null,"extra":null,"window_s":null}}`
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	node, findings := LoadNodeFile(file)
	if len(findings) > 0 {
		t.Fatal(findings)
	}
	if node.RetryBudget.Window() <= 0 || node.RetryBudget.Ratio <= 0 || node.StopGrace() <= 0 || node.MemoryMB <= 0 || node.Domain != "Zone_A" {
		t.Errorf("got %+v, want defaults above zero and failure domain Zone_A", node)
	}
	zero := strings.Replace(text, `"ratio":null`, `"ratio":0`, 1)
	if err := os.WriteFile(file, []byte(zero), 0o600); err != nil {
		t.Fatal(err)
	}
	if node, findings := LoadNodeFile(file); len(findings) > 0 || node.RetryBudget.Ratio != 0 {
		t.Errorf("ratio of zero: got %v with findings %v, want 0", node.RetryBudget.Ratio, findings)
	}
}

func TestChangeBoundIsShortestTimeSet(t *testing.T) {
	for _, test := range []struct {
		config, leaving float64
		want            time.Duration
	}{
		{4000, 3000, 3 * time.Second},
		{2000, 4000, 2 * time.Second},
		{0, 3000, 3 * time.Second},
		{0, 0, defaultChangeBound},
		{100, 3000, minChangeBound},
	} {
		node := NodeFile{ConfigMillis: test.config, LeavingMillis: test.leaving}
		if got := node.ChangeBound(); got != test.want {
			t.Errorf("config %v ms, leaving %v ms: got %v, want %v", test.config, test.leaving, got, test.want)
		}
	}
}
