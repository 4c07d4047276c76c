package reason

import (
	"testing"

	"github.com/sebdah/goldie/v2"
)

func TestReasonsPageIsCurrent(t *testing.T) {
	g := goldie.New(t, goldie.WithFixtureDir("../docs"), goldie.WithNameSuffix(".md"))
	g.Assert(t, "REASONS", []byte(Markdown()))
}

func TestDescribeUnlistedCodeReturnsInternal(t *testing.T) {
	if got := Describe("no-such-code"); got != Describe(Internal) {
		t.Fatalf("got %+v, want that of Internal", got)
	}
}
