package event

import (
	"testing"

	"github.com/sebdah/goldie/v2"
)

func TestCataloguePage(t *testing.T) {
	g := goldie.New(t, goldie.WithFixtureDir("../docs"), goldie.WithNameSuffix(".md"))
	g.Assert(t, "EVENTS", []byte(Markdown()))
}

func TestDefineRefusesANumberTwice(t *testing.T) {
	defer func() {
		if recover() == nil {
			t.Fatal("a number was defined twice")
		}
	}()
	define(RouterStarted.Number, RouterStarted.Level, "other", "")
}
