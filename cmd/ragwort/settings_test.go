package main

import (
	"testing"

	"github.com/sebdah/goldie/v2"
)

// TestCheckFaultyStartFile checks a file as the platform renders it from the
// deployment template, with a fault in most fields.
func TestCheckFaultyStartFile(t *testing.T) {
	out, code := runCommand(t, "settings", "check", "testdata/node-faulty.json")
	if code != exitBadInput {
		t.Errorf("got exit code %d, want %d", code, exitBadInput)
	}
	goldie.New(t).Assert(t, "node-faulty", []byte(out))
}
