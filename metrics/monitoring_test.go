package metrics

import (
	"os"
	"regexp"
	"strings"
	"testing"

	"github.com/prometheus/client_golang/prometheus"
)

var metricName = regexp.MustCompile(`ragwort_[a-z_]+`)

// The example dashboard and alert rules name only metrics that routers export.
func TestMonitoringExamplesNameKnownMetrics(t *testing.T) {
	set := NewSet()
	of := NewSettings(set.Registry)
	known := descriptions(set, of.Applied, of.Diverged, of.PushDrops, of.Findings)
	for _, file := range []string{"alerts.yml", "dashboard.json"} {
		raw, err := os.ReadFile("../examples/monitoring/" + file)
		if err != nil {
			t.Fatal(err)
		}
		names := metricName.FindAllString(string(raw), -1)
		if len(names) == 0 {
			t.Errorf("%s names no metric", file)
		}
		for _, name := range names {
			if !strings.Contains(known, `"`+strings.TrimSuffix(name, "_bucket")+`"`) {
				t.Errorf("%s names %s, which no router exports", file, name)
			}
		}
	}
}

// descriptions lists the descriptors of all collectors of a set, those without
// a value too.
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
