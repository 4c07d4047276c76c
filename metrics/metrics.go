// Package metrics defines the Prometheus metrics of a router. Each router has its
// own registry, so that several routers can run in one process.
package metrics

import (
	"github.com/prometheus/client_golang/prometheus"

	"ragwortpond.example/ragwortpond/reason"
)

const namespace = "ragwort"

// Set holds the metrics of one router. It is safe for concurrent use.
type Set struct {
	Registry *prometheus.Registry
	// Requests counts final answers by service and outcome.Label.
	Requests *prometheus.CounterVec
	// Refusals counts refusals sent to callers, by reason.
	Refusals *prometheus.CounterVec
	// Retries counts further attempts by the reason why the previous one failed.
	Retries *prometheus.CounterVec
	// Discards counts discarded answers by reason.
	Discards *prometheus.CounterVec
	// ControlBytes counts control traffic in bytes by method and direction.
	ControlBytes *prometheus.CounterVec
	// DataBytes counts forwarded request and answer bytes by direction.
	DataBytes *prometheus.CounterVec
	// StoreCalls counts calls to the platform's object API by verb and result.
	StoreCalls *prometheus.CounterVec
	// QueueSeconds observes the wait before dispatch by service.
	QueueSeconds *prometheus.HistogramVec
	// FirstByteSeconds observes the time to the answer's first byte by service.
	FirstByteSeconds *prometheus.HistogramVec
	// InFlight is the number of requests in flight by role (entry, home).
	InFlight *prometheus.GaugeVec
	// TargetConns counts connections opened to targets.
	TargetConns prometheus.Counter
	// DroppedConns counts the connections of clients that were closed because their listener had too many, or their
	// heads took too much memory, by that bound.
	DroppedConns *prometheus.CounterVec
	// Members is the number of known routers by state.
	Members *prometheus.GaugeVec
	// SettingsRevision is the revision of the settings in use.
	SettingsRevision prometheus.Gauge
	// Journal holds the metrics of the journal.
	Journal *Journal
}

// NewSet returns a set whose metrics are registered in a new registry.
func NewSet() *Set {
	s := &Set{
		Registry:         prometheus.NewRegistry(),
		Requests:         counter("requests_total", "Final answers.", "service", "outcome"),
		Refusals:         counter("refusals_total", "Refusals told to callers.", "reason"),
		Retries:          counter("retries_total", "Further attempts.", "reason"),
		Discards:         counter("discards_total", "Discarded answers.", "reason"),
		ControlBytes:     counter("control_bytes_total", "Control traffic in bytes.", "method", "direction"),
		DataBytes:        counter("data_bytes_total", "Forwarded bytes.", "direction"),
		StoreCalls:       counter("store_calls_total", "Calls on the platform's object API.", "verb", "result"),
		QueueSeconds:     histogram("queue_seconds", "Wait before dispatch.", "service"),
		FirstByteSeconds: histogram("first_byte_seconds", "Time to the answer's first byte.", "service"),
		DroppedConns:     counter("dropped_connections_total", "Connections without a whole request head that were closed for a bound.", "bound"),
		InFlight: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Namespace: namespace, Name: "in_flight", Help: "Requests in flight.",
		}, []string{"role"}),
		TargetConns: prometheus.NewCounter(prometheus.CounterOpts{
			Namespace: namespace, Name: "target_connections_total", Help: "Connections made to targets.",
		}),
		Members: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Namespace: namespace, Name: "members", Help: "Routers known.",
		}, []string{"state"}),
		SettingsRevision: prometheus.NewGauge(prometheus.GaugeOpts{
			Namespace: namespace, Name: "settings_revision", Help: "Settings revision in force.",
		}),
	}
	s.Journal = newJournal()
	s.Journal.register(s.Registry)
	s.Registry.MustRegister(s.Requests, s.Refusals, s.Retries, s.Discards, s.ControlBytes, s.DataBytes,
		s.StoreCalls, s.QueueSeconds, s.FirstByteSeconds, s.InFlight, s.TargetConns, s.DroppedConns, s.Members, s.SettingsRevision)
	return s
}

// CountRefusal counts one refusal sent to a caller.
func (s *Set) CountRefusal(c reason.Code) {
	s.Refusals.WithLabelValues(string(c)).Inc()
}

// CountRetry counts one further attempt.
func (s *Set) CountRetry(c reason.Code) {
	s.Retries.WithLabelValues(string(c)).Inc()
}

// AddProbeBytes counts bytes, the size of an engine probe and its answer, as control
// traffic.
func (s *Set) AddProbeBytes(bytes int) {
	s.ControlBytes.WithLabelValues("engine-probe", "received").Add(float64(bytes))
}

// CountDiscard counts one discarded answer.
func (s *Set) CountDiscard(c reason.Code) {
	s.Discards.WithLabelValues(string(c)).Inc()
}

func counter(name, help string, labels ...string) *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help}, labels)
}

func histogram(name, help string, labels ...string) *prometheus.HistogramVec {
	return prometheus.NewHistogramVec(prometheus.HistogramOpts{
		Namespace: namespace, Name: name, Help: help,
		Buckets: prometheus.ExponentialBuckets(0.0005, 2, 18),
	}, labels)
}
