package metrics

import "github.com/prometheus/client_golang/prometheus"

// Journal holds the metrics of a router's journal.
type Journal struct {
	// Ops counts operations by kind (begin, finish, release) and verdict.
	Ops *prometheus.CounterVec
	// Writes counts writes of journal cells by result.
	Writes *prometheus.CounterVec
	// BatchOps observes the number of operations in one write.
	BatchOps prometheus.Histogram
	// BeginSeconds observes the time from an intent to its verdict, in seconds.
	BeginSeconds prometheus.Histogram
}

func newJournal() *Journal {
	return &Journal{
		Ops:    counter("journal_ops_total", "Operations on the journal.", "op", "verdict"),
		Writes: counter("journal_writes_total", "Writes of journal cells.", "result"),
		BatchOps: prometheus.NewHistogram(prometheus.HistogramOpts{
			Namespace: namespace, Name: "journal_batch_ops", Help: "Operations in one write.",
			Buckets: prometheus.ExponentialBuckets(1, 2, 11),
		}),
		BeginSeconds: prometheus.NewHistogram(prometheus.HistogramOpts{
			Namespace: namespace, Name: "journal_begin_seconds", Help: "Time from an intent to its verdict.",
			Buckets: prometheus.ExponentialBuckets(0.0005, 2, 15),
		}),
	}
}

func (j *Journal) register(r *prometheus.Registry) {
	r.MustRegister(j.Ops, j.Writes, j.BatchOps, j.BeginSeconds)
}
