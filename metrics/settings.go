package metrics

import "github.com/prometheus/client_golang/prometheus"

// Settings is the metrics of the distribution of settings.
type Settings struct {
	// Applied counts changed objects by the way they came: watch, push, digest,
	// fetch, list.
	Applied *prometheus.CounterVec
	// Diverged counts digests that disagree with a router complete at the same
	// revision; it stays zero in a sound fleet.
	Diverged prometheus.Counter
	// PushDrops counts pushes left to the digest exchange.
	PushDrops prometheus.Counter
	// Findings is the number of findings in the stored documents.
	Findings prometheus.Gauge
}

// NewSettings returns the metrics, registered in r.
func NewSettings(r prometheus.Registerer) *Settings {
	s := &Settings{
		Applied: counter("settings_applied_total", "Changed settings objects.", "way"),
		Diverged: prometheus.NewCounter(prometheus.CounterOpts{
			Namespace: namespace, Name: "settings_diverged_total", Help: "Digests that disagree.",
		}),
		PushDrops: prometheus.NewCounter(prometheus.CounterOpts{
			Namespace: namespace, Name: "settings_push_drops_total", Help: "Pushes left to the digest exchange.",
		}),
		Findings: prometheus.NewGauge(prometheus.GaugeOpts{
			Namespace: namespace, Name: "settings_findings", Help: "Findings in the stored documents.",
		}),
	}
	r.MustRegister(s.Applied, s.Diverged, s.PushDrops, s.Findings)
	return s
}
