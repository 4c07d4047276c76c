package metrics

import (
	"syscall"

	"github.com/prometheus/client_golang/prometheus"
)

// RelayMetrics holds the additional metrics of a router that dispatches to targets
// directly. The histograms are labelled by the kind of route and the outcome of the
// request.
type RelayMetrics struct {
	// PlacedSeconds observes the time from a request's arrival to its first
	// attempt. This router has no queue for targets.
	PlacedSeconds *prometheus.HistogramVec
	// HeadSeconds observes the time from arrival to the headers of the answer,
	// or to the first event of a stream.
	HeadSeconds *prometheus.HistogramVec
	// WholeSeconds observes the time from arrival to the end of the request.
	WholeSeconds *prometheus.HistogramVec
	// Permits counts requests for permits to send to targets with a limit, by result:
	// granted, denied, or unanswered.
	Permits *prometheus.CounterVec
	// ColdPermits counts requests for permits to send to cold targets, by result: granted,
	// denied, own-part for a send of this router's own part while no router that grants
	// answered, or unanswered without.
	ColdPermits *prometheus.CounterVec
	// Attempts counts the attempts that were sent to targets of a service: the first of each
	// request, and the others by whether the retry budget was charged.
	Attempts *prometheus.CounterVec
	// RoomRefusals counts the requests that were refused because the targets of their service have too little room, by
	// priority and cause; RoomPressure is the share of a service's requests that is refused, and ReturnSeconds observes
	// the time after which refused requests are to come back.
	RoomRefusals  *prometheus.CounterVec
	RoomPressure  *prometheus.GaugeVec
	ReturnSeconds *prometheus.HistogramVec
	// InvalidLoads counts the load reports of a service's targets that cannot be read.
	InvalidLoads *prometheus.CounterVec
	// Pace observes the expected pace of each chosen target, as a multiple of the mean of its
	// service, and PaceAge the age of the report that it rests on. Services whose paces
	// are not known have none.
	Pace, PaceAge *prometheus.HistogramVec
}

// ValueFuncs holds the functions that return the values of gauges and counters when
// the metrics are collected. They must be safe for concurrent use.
type ValueFuncs struct {
	// ConfigAge and TargetsAge return the seconds since the store last confirmed,
	// directly or through another router, that the configuration and the targets
	// are current.
	ConfigAge, TargetsAge func() float64
	// ClientConns and TargetConns return the numbers of open connections.
	ClientConns, TargetConns func() float64
	// QuarantinedParts returns the number of parts of prompts and of requests that are
	// quarantined.
	QuarantinedParts func() float64
	// LimitedTargets returns the number of targets that name a limit on their requests.
	LimitedTargets func() float64
	// ColdTargets returns the number of cold targets of services that bound what these get.
	ColdTargets func() float64
	// EvacuationAges returns the seconds since each of the evacuated failure domains was evacuated, and
	// RunningEvacuated the number of requests that still run at their targets.
	EvacuationAges   func() map[string]float64
	RunningEvacuated func() float64
	// InvalidEntries returns the number of invalid entries of targets read since the start.
	InvalidEntries func() float64
	// LinesDropped returns the number of dropped log lines since the start.
	LinesDropped func() float64
}

// NewRelayMetrics returns the metrics, registered in r. It panics if r already has one of
// them.
func NewRelayMetrics(r prometheus.Registerer, s ValueFuncs) *RelayMetrics {
	d := &RelayMetrics{
		PlacedSeconds: histogram("placed_seconds", "Time from a request's arrival to its first attempt.", "kind", "outcome"),
		HeadSeconds:   histogram("head_seconds", "Time from a request's arrival to the head of its answer.", "kind", "outcome"),
		WholeSeconds:  histogram("whole_seconds", "Time from a request's arrival to its end.", "kind", "outcome"),
		Permits:       counter("permits_total", "Requests for permits to send to targets with a limit.", "result"),
		ColdPermits:   counter("cold_permits_total", "Requests for permits to send to cold targets.", "result"),
		Attempts:      counter("attempts_total", "Attempts sent to targets.", "service", "charge"),
		RoomRefusals:  counter("room_refusals_total", "Requests refused because targets have too little room.", "service", "priority", "cause"),
		RoomPressure: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Namespace: namespace, Name: "room_pressure", Help: "Share of the requests that is refused because targets have too little room.",
		}, []string{"service"}),
		ReturnSeconds: histogram("return_seconds", "Time after which refused requests are to come back.", "cause"),
		InvalidLoads:  counter("invalid_load_reports_total", "Load reports of targets that cannot be read.", "service"),
		Pace: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Namespace: namespace, Name: "target_pace_ratio", Help: "Expected pace of a chosen target over the mean of its service.",
			Buckets: []float64{0.25, 0.5, 0.75, 0.9, 1.1, 1.25, 1.5, 2, 3, 5},
		}, []string{"service"}),
		PaceAge: histogram("target_pace_age_seconds", "Age of the report that the pace of a chosen target rests on.", "service"),
	}
	r.MustRegister(d.PlacedSeconds, d.HeadSeconds, d.WholeSeconds, d.Permits, d.ColdPermits, d.Attempts, d.InvalidLoads, d.Pace, d.PaceAge,
		d.RoomRefusals, d.RoomPressure, d.ReturnSeconds,
		gauge("config_age_seconds", "Time since the configuration was known to be the newest.", s.ConfigAge),
		gauge("targets_age_seconds", "Time since the targets were known to be the newest.", s.TargetsAge),
		gauge("client_connections", "Open connections of clients.", s.ClientConns),
		gauge("target_connections", "Open connections to targets.", s.TargetConns),
		gauge("quarantined_parts", "Requests, and parts of prompts, that are refused.", s.QuarantinedParts),
		gauge("limited_targets", "Targets that name a limit on their requests.", s.LimitedTargets),
		gauge("cold_targets", "Cold targets of services that bound what these get.", s.ColdTargets),
		newGaugesByLabel("evacuation_age_seconds", "Time since a failure domain was evacuated.", "failure_domain", s.EvacuationAges),
		gauge("evacuated_requests", "Requests still running at targets of evacuated failure domains.", s.RunningEvacuated),
		gauge("memory_peak_bytes", "Largest resident memory of the process so far.", peakMemory),
		prometheus.NewCounterFunc(prometheus.CounterOpts{
			Namespace: namespace, Name: "log_lines_dropped_total", Help: "Log lines over the budget or not written.",
		}, s.LinesDropped),
		prometheus.NewCounterFunc(prometheus.CounterOpts{
			Namespace: namespace, Name: "invalid_entries_total", Help: "Entries of targets that were read and are invalid.",
		}, s.InvalidEntries),
	)
	return d
}

func gauge(name, help string, value func() float64) prometheus.Collector {
	return prometheus.NewGaugeFunc(prometheus.GaugeOpts{Namespace: namespace, Name: name, Help: help}, value)
}

// gaugesByLabel is a gauge for each value of a label that there is when the metrics are collected.
type gaugesByLabel struct {
	desc   *prometheus.Desc
	values func() map[string]float64
}

func newGaugesByLabel(name, help, label string, values func() map[string]float64) *gaugesByLabel {
	return &gaugesByLabel{prometheus.NewDesc(prometheus.BuildFQName(namespace, "", name), help, []string{label}, nil), values}
}

// Describe implements prometheus.Collector.
func (g *gaugesByLabel) Describe(descs chan<- *prometheus.Desc) {
	descs <- g.desc
}

// Collect implements prometheus.Collector.
func (g *gaugesByLabel) Collect(list chan<- prometheus.Metric) {
	for label, value := range g.values() {
		list <- prometheus.MustNewConstMetric(g.desc, prometheus.GaugeValue, value, label)
	}
}

// peakMemory returns the peak resident memory of the process in bytes, or -1 if it
// cannot be read.
func peakMemory() float64 {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return -1
	}
	return float64(usage.Maxrss) * (1 << 10)
}
