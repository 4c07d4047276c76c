package connlimit

import (
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"ragwortpond.example/ragwortpond/event"
)

// logInterval is the shortest time between two log lines about closed connections.
const logInterval = time.Second

// Recorder counts connections that were closed for a bound, and logs them at most once an interval. It is safe for concurrent use.
type Recorder struct {
	counter *prometheus.CounterVec
	log     zerolog.Logger

	mu     sync.Mutex
	last   time.Time
	counts map[Cause]int
}

// NewRecorder returns a recorder that counts by bound in a metric and logs to log.
func NewRecorder(counter *prometheus.CounterVec, log zerolog.Logger) *Recorder {
	return &Recorder{counter: counter, log: log, counts: map[Cause]int{}}
}

// Record counts one connection.
func (r *Recorder) Record(cause Cause) {
	r.counter.WithLabelValues(string(cause)).Inc()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counts[cause]++
	if now := time.Now(); now.Sub(r.last) >= logInterval {
		event.ClientConnsDropped.Log(r.log).Int("connections", r.counts[TooManyConns]).Int("head_bytes", r.counts[TooManyHeadBytes]).Send()
		r.last = now
		clear(r.counts)
	}
}
