package settings

import (
	"strings"
	"testing"
	"testing/fstest"

	"ragwortpond.example/ragwortpond/fleet"
)

func TestExampleDirectoriesHaveNoFindings(t *testing.T) {
	for dir, services := range map[string][2]fleet.ServiceName{
		"tocha-viva": {"assistente", "pedidos"},
		"tsagaan-us": {"heat-model", "member-desk"},
	} {
		objs, findings := LoadDir("../examples/" + dir)
		s, more := Build(objs)
		if findings = append(findings, more...); len(findings) > 0 {
			t.Errorf("%s:\n%v", dir, findings)
		}
		engines, plain := len(s.Targets[services[0]]), len(s.Targets[services[1]])
		if len(s.Domains) != 3 || engines != 12 || plain != 3 || len(s.Accounts) != 10 {
			t.Errorf("%s: got %d failure domains, %d engines, %d plain targets, %d accounts, want 3, 12, 3, 10",
				dir, len(s.Domains), engines, plain, len(s.Accounts))
		}
	}
}

func TestLoadFSReportsUnknownFiles(t *testing.T) {
	dir := fstest.MapFS{
		"fleet.json":             {Data: []byte(`{}`)},
		"notes.txt":              {Data: []byte(`x`)},
		"services/a.yaml":        {Data: []byte(`x`)},
		"services/deep/a.json":   {Data: []byte(`{}`)},
		"wheels/a.json":          {Data: []byte(`{}`)},
		"failure-domains/a.json": {Data: []byte(`{"region":"r"}`)},
	}
	objs, findings := LoadFS(dir)
	if len(objs) != 2 || len(findings) != 4 || !strings.Contains(findings.Error(), "wheels/a.json: /: ") {
		t.Errorf("got %d objects, want 2; got %d findings, want 4:\n%v", len(objs), len(findings), findings)
	}
}
