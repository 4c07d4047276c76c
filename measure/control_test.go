package measure

import (
	"context"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"go.uber.org/goleak"
)

// Guards against control traffic that is not counted: a small fleet must settle,
// apply a settings change on every router and receive all load reports, and its
// control bytes must be fewer than its wire bytes.
func TestControlFleetCountsSentBytes(t *testing.T) {
	defer goleak.VerifyNone(t, goleak.IgnoreCurrent())
	size := controlSize{Routers: 4, Targets: 8, Services: 2}
	f, err := startControlFleet(context.Background(), size, 1, zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	defer f.close()
	before := f.totals()
	if _, err := f.measureSettingsLag(context.Background(), 1); err != nil {
		t.Fatal(err)
	}
	for f.totals().byMethod["load"] == before.byMethod["load"] {
		time.Sleep(10 * time.Millisecond)
	}
	run := controlRates(size, before, f.totals())
	if run.ByMethod["load"] <= 0 || run.WireBytes <= run.ControlBytes {
		t.Errorf("got %+v, want load bytes above 0 and fewer control bytes than wire bytes", run)
	}
	for _, n := range f.nodes {
		for n.means.Mean("service-0").Weight != 4 {
			time.Sleep(10 * time.Millisecond)
		}
	}
}
