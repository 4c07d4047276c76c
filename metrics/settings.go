package metrics

import "github.com/prometheus/client_golang/prometheus"

// Settings holds the metrics of settings propagation.
type Settings struct {
	// Applied counts changed objects by the way they arrived: watch, push,
	// digest, fetch, list.
	Applied *prometheus.CounterVec
	// Diverged counts digests that differ from those of a router that is complete
	// at the same revision. It stays zero in a correct fleet.
	Diverged prometheus.Counter
	// PushDrops counts dropped pushes; the digest exchange delivers their changes
	// instead.
	PushDrops prometheus.Counter
	// Findings is the number of findings in the stored documents.
	Findings prometheus.Gauge
}

// NewSettings returns the metrics, registered in r. It panics if r already has one
// of them.
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
