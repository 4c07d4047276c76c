package metrics

import (
	"os"
	"regexp"
	"strings"
	"testing"

	"github.com/prometheus/client_golang/prometheus"
)

var metricName = regexp.MustCompile(`ragwort_[a-z_]+`)

// TestMonitoringExamplesNameKnownMetrics guards against a renamed or removed metric
// that the example dashboard or alert rules still use.
func TestMonitoringExamplesNameKnownMetrics(t *testing.T) {
	set := NewSet()
	settings := NewSettings(set.Registry)
	known := descriptions(set, settings.Applied, settings.Diverged, settings.PushDrops, settings.Findings)
	for _, file := range []string{"alerts.yml", "dashboard.json"} {
		raw, err := os.ReadFile("../examples/monitoring/" + file)
		if err != nil {
			t.Fatal(err)
		}
		names := metricName.FindAllString(string(raw), -1)
		if len(names) == 0 {
			t.Errorf("%s: got no metric names, want at least one", file)
		}
		for _, name := range names {
			if !strings.Contains(known, `"`+strings.TrimSuffix(name, "_bucket")+`"`) {
				t.Errorf("%s uses metric %s, which routers do not export", file, name)
			}
		}
	}
}

// descriptions returns the text of the descriptors of a set's collectors, also of
// those without a value yet.
func descriptions(set *Set, more ...prometheus.Collector) string {
	collectors := append(more, set.Requests, set.Refusals, set.Retries, set.Discards, set.ControlBytes, set.DataBytes,
		set.StoreCalls, set.QueueSeconds, set.FirstByteSeconds, set.InFlight, set.SettingsRevision)
	found := make(chan *prometheus.Desc, 64)
	for _, c := range collectors {
		c.Describe(found)
	}
	close(found)
	var text strings.Builder
	for d := range found {
		text.WriteString(d.String())
	}
	return text.String()
}
