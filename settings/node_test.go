package settings

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

func TestLoadNodeReportsAllFindings(t *testing.T) {
	file := filepath.Join(t.TempDir(), "node.json")
	text := `{"id":"","failure_domain":"D","client_addr":"nowhere","ready_addr":"10.0.0.1:1","peer_addr":"10.0.0.1:2",
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
