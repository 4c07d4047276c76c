package event

import (
	"testing"

	"github.com/sebdah/goldie/v2"
)

func TestEventsPageIsCurrent(t *testing.T) {
	g := goldie.New(t, goldie.WithFixtureDir("../docs"), goldie.WithNameSuffix(".md"))
	g.Assert(t, "EVENTS", []byte(Markdown()))
}

func TestDefineRejectsDuplicateNumber(t *testing.T) {
	defer func() {
		if recover() == nil {
			t.Fatal("define did not panic for a number in use")
		}
	}()
	define(RouterStarted.Number, RouterStarted.Level, "other", "")
}
