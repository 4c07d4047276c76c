package metrics

import (
	"syscall"

	"github.com/prometheus/client_golang/prometheus"
)

// Direct is the metrics of a router that dispatches directly, beside those of
// its Set. The histograms are labelled by the kind of route and by how the
// request ended.
type Direct struct {
	// PlacedSeconds observes the time from a request's arrival until its first
	// attempt leaves; nothing waits for a target in this router.
	PlacedSeconds *prometheus.HistogramVec
	// HeadSeconds observes the time to the head of the answer, of streams to the
	// first event.
	HeadSeconds *prometheus.HistogramVec
	// WholeSeconds observes the time to the request's end.
	WholeSeconds *prometheus.HistogramVec
}

// Sources are the values that a router reads when its metrics are asked for.
type Sources struct {
	// ConfigAge and TargetsAge return the seconds since the router last had word
	// from the store, directly or through another router, that its configuration
	// and its targets are the newest.
	ConfigAge, TargetsAge func() float64
	// ClientConns and TargetConns return the open connections.
	ClientConns, TargetConns func() float64
	// LinesDropped returns the log lines dropped so far.
	LinesDropped func() float64
}

// NewDirect returns the metrics, registered in r.
func NewDirect(r prometheus.Registerer, s Sources) *Direct {
	d := &Direct{
		PlacedSeconds: histogram("placed_seconds", "Time from a request's arrival to its first attempt.", "kind", "outcome"),
		HeadSeconds:   histogram("head_seconds", "Time from a request's arrival to the head of its answer.", "kind", "outcome"),
		WholeSeconds:  histogram("whole_seconds", "Time from a request's arrival to its end.", "kind", "outcome"),
	}
	r.MustRegister(d.PlacedSeconds, d.HeadSeconds, d.WholeSeconds,
		gauge("config_age_seconds", "Time since the configuration was known to be the newest.", s.ConfigAge),
		gauge("targets_age_seconds", "Time since the targets were known to be the newest.", s.TargetsAge),
		gauge("client_connections", "Open connections of clients.", s.ClientConns),
		gauge("target_connections", "Open connections to targets.", s.TargetConns),
		gauge("memory_peak_bytes", "Largest resident memory of the process so far.", peakMemory),
		prometheus.NewCounterFunc(prometheus.CounterOpts{
			Namespace: namespace, Name: "log_lines_dropped_total", Help: "Log lines over the budget or not written.",
		}, s.LinesDropped),
	)
	return d
}

func gauge(name, help string, value func() float64) prometheus.Collector {
	return prometheus.NewGaugeFunc(prometheus.GaugeOpts{Namespace: namespace, Name: name, Help: help}, value)
}

// peakMemory is the process's largest resident size in bytes; -1 where the
// system does not say.
func peakMemory() float64 {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return -1
	}
	return float64(usage.Maxrss) * (1 << 10)
}
