package relay_test

import (
	"io"
	"net/http"
	"testing"

	"github.com/rs/zerolog"

	"ragwortpond.example/ragwortpond/daemon"
	"ragwortpond.example/ragwortpond/event"
)

// BenchmarkRequestLogLines measures the two log lines of a request that is served
// by its first target, written through the log of the daemons, and the same calls at
// a level at which nothing is written.
func BenchmarkRequestLogLines(b *testing.B) {
	for _, level := range []string{"info", "error"} {
		b.Run("level="+level, func(b *testing.B) {
			out := &byteCounter{}
			log, err := daemon.NewLog(out, level)
			if err != nil {
				b.Fatal(err)
			}
			logger := log.With().Str("router", "edge-recife-a-1").Logger()
			b.ReportAllocs()
			for b.Loop() {
				logRequestLines(logger)
			}
			dropped := log.Dropped()
			log.Close()
			b.ReportMetric(float64(out.bytes)/float64(max(2*uint64(b.N)-dropped, 1)), "B/line")
		})
	}
}

// logRequestLines logs the lines of one request.
func logRequestLines(log zerolog.Logger) {
	begin := func(e event.Event) *zerolog.Event {
		return e.Log(log).Str("request", "9c41d07be2a35f68").Str("route", "r-nkxx8nb").Str("service", "fise11a").Uint64("config", 43).
			Str("target", "i-b8c13d3e46")
	}
	begin(event.RequestPlaced).Str("key", "3t87rvfmg6ltl").Str("cache_source", "i-65268433ed").Str("basis", "key").
		Float64("load", 4.5).Float64("load_age", 120).Float64("mean", 4.1).Str("standing", "sound").Int("candidates", 12).
		Uint64("targets_revision", 60).Send()
	begin(event.RequestServed).Int("status", http.StatusOK).Float64("first", 31.5).Float64("whole", 812.4).Int("events", 49).
		Int("attempts", 1).Send()
}

// byteCounter counts the bytes written to it.
type byteCounter struct {
	bytes int
}

func (c *byteCounter) Write(p []byte) (int, error) {
	c.bytes += len(p)
	return io.Discard.Write(p)
}
