package main

import (
	"testing"

	"github.com/sebdah/goldie/v2"
)

// TestCheckOfARenderedStartFile checks what the platform renders from the deploy
// template, with a fault in most fields.
func TestCheckOfARenderedStartFile(t *testing.T) {
	out, code := ragwort(t, "settings", "check", "testdata/node-faulty.json")
	if code != exitBadInput {
		t.Errorf("exit code %d", code)
	}
	goldie.New(t).Assert(t, "node-faulty", []byte(out))
}
