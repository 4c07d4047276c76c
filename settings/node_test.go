package settings

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

func TestLoadNodeReportsAllFindings(t *testing.T) {
	file := filepath.Join(t.TempDir(), "node.json")
	text := `{"id":"","failure_domain":"","client_addr":"nowhere","ready_addr":"10.0.0.1:1","peer_addr":"10.0.0.1:2",
		"store_addr":"10.0.0.1:3","memory_mb":0,"grace_s":"8","repeats":{"ratio":-1,"extra":1,"window_s":1},"more":1}`
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	_, findings := LoadNode(file)
	for _, want := range []string{"/id", "/failure_domain", "/client_addr", `"metrics_addr" is required`, "/memory_mb", "/grace_s", "/repeats/ratio", "/more"} {
		if !strings.Contains(findings.Error(), want) {
			t.Errorf("no finding on %s in:\n%v", want, findings)
		}
	}
	if _, findings := LoadNode(filepath.Join(t.TempDir(), "none.json")); len(findings) == 0 {
		t.Error("a missing file has no finding")
	}
}

// TestNodeWithoutTheFiguresOfADeployment loads what the template renders where a
// deployment does not give a figure: defaults take their place.
func TestNodeWithoutTheFiguresOfADeployment(t *testing.T) {
	file := filepath.Join(t.TempDir(), "node.json")
	text := `{"id":"Edge_1","failure_domain":"Zone_A","client_addr":"10.0.0.1:4","ready_addr":"10.0.0.1:1","peer_addr":"10.0.0.1:2",
		"metrics_addr":"10.0.0.1:5","seeds":[],"store_addr":"10.0.0.1:3","memory_mb":null,"cores":null,"link_mbps":null,"grace_s":null,
		"repeats":{"ratio":null,"extra":null,"window_s":null}}`
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	node, findings := LoadNode(file)
	if len(findings) > 0 {
		t.Fatal(findings)
	}
	if node.Repeats.Window() <= 0 || node.Repeats.Ratio <= 0 || node.Grace() <= 0 || node.MemoryMB <= 0 || node.Domain != "Zone_A" {
		t.Errorf("got %+v", node)
	}
	zero := strings.Replace(text, `"ratio":null`, `"ratio":0`, 1)
	if err := os.WriteFile(file, []byte(zero), 0o600); err != nil {
		t.Fatal(err)
	}
	if node, findings := LoadNode(file); len(findings) > 0 || node.Repeats.Ratio != 0 {
		t.Errorf("a ratio of zero became %v: %v", node.Repeats.Ratio, findings)
	}
}
