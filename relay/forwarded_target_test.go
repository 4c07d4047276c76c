package relay

import (
	"testing"
	"time"

	"ragwortpond.example/ragwortpond/catalog"
)

func TestTargetNamedByRouter(t *testing.T) {
	want := &catalog.Target{ID: "a b\r\n%é", StartedAt: time.UnixMilli(1700000000123), Revision: 1<<40 + 7, Era: 1}
	got, err := parseTarget(formatTarget(want))
	if err != nil || got.ID != want.ID || !got.StartedAt.Equal(want.StartedAt) || got.Process().Replaces(want.Process()) || got.Revision != want.Revision || got.Era != want.Era {
		t.Errorf("got %+v, error %v, want %+v", got, err, want)
	}
	for _, text := range []string{"x", "1 2 3", "1 2 3 %zz", "1 -2 3 t", "99999999999999999999 2 3 t", "1 2 3 "} {
		if got, err := parseTarget(text); err == nil {
			t.Errorf("%q: got %+v, want an error", text, got)
		}
	}
}
