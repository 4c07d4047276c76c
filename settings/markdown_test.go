package settings

import (
	"testing"

	"github.com/sebdah/goldie/v2"
)

// TestSettingsPage checks that docs/SETTINGS.md matches the table of keys.
// After a change of the table run "go test ./settings -update".
func TestSettingsPage(t *testing.T) {
	page := goldie.New(t, goldie.WithFixtureDir("../docs"), goldie.WithNameSuffix(".md"))
	page.Assert(t, "SETTINGS", []byte(Markdown()))
}

func TestEffectiveByLevel(t *testing.T) {
	s, _ := Build(validDocuments())
	want := map[string]EffectiveValue{
		"queue.length":            {"queue.length", "6", LevelAccount, "loja-1"},
		"placement.load_multiple": {"placement.load_multiple", "1.5", LevelFleet, "fleet"},
		"retry.attempts":          {"retry.attempts", "3", LevelDefault, ""},
	}
	for _, v := range s.EffectiveByLevel("recife-a", "assistente", "loja-1") {
		if w, ok := want[v.Key]; ok && v != w {
			t.Errorf("got %+v, want %+v", v, w)
		}
	}
	for _, v := range s.EffectiveByLevel("recife-a", "", "") {
		if v.Key == "queue.length" && v.Level != LevelDomain {
			t.Errorf("got %+v, want level %s", v, LevelDomain)
		}
	}
}
