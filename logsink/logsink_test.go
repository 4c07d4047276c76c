package logsink

import (
	"bytes"
	"encoding/json"
	"io"
	"maps"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"ragwortpond.example/ragwortpond/event"
)

// TestBlockedOutputDoesNotBlockWriters guards against log writes that block when the
// output is never read, as with a full pipe. Every write must return, and dropped
// lines must be counted.
func TestBlockedOutputDoesNotBlockWriters(t *testing.T) {
	r, w := io.Pipe()
	s := New(w)
	log := zerolog.New(s)
	var writers sync.WaitGroup
	for range 8 {
		writers.Go(func() {
			for range 5000 {
				log.Warn().Str("text", strings.Repeat("x", 200)).Send()
			}
		})
	}
	writers.Wait()
	if s.Dropped() == 0 {
		t.Error("got 0 dropped lines, want at least 1")
	}
	s.Close(time.Millisecond)
	_ = r.Close()
}

func TestLinesAreWrittenInOrder(t *testing.T) {
	var out bytes.Buffer
	s := New(&out)
	log := zerolog.New(s)
	for i := range 100 {
		log.Info().Int("n", i).Send()
	}
	s.Close(time.Minute)
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	if len(lines) != 100 || !strings.Contains(lines[99], `"n":99`) {
		t.Errorf("got %d lines, the last %q; want 100, the last with n 99", len(lines), lines[len(lines)-1])
	}
}

func TestWarningsHaveSeparateLimit(t *testing.T) {
	now := time.Unix(7, 0)
	s := newSink(io.Discard, func() time.Time { return now })
	kept := 0
	for range 2 * linesPerSecond {
		if s.admit(zerolog.InfoLevel, 100) {
			kept++
		}
	}
	if kept != linesPerSecond || !s.admit(zerolog.WarnLevel, 100) {
		t.Errorf("got %d admitted info lines, want %d and a warning after them", kept, linesPerSecond)
	}
	now = time.Unix(8, 0)
	if !s.admit(zerolog.InfoLevel, 100) {
		t.Error("got a refused line at the beginning of the next second")
	}
}

func TestBytesAreLimited(t *testing.T) {
	s := newSink(io.Discard, func() time.Time { return time.Unix(7, 0) })
	kept := 0
	for s.admit(zerolog.InfoLevel, 10_000) {
		kept += 10_000
	}
	if kept > bytesPerSecond || kept < bytesPerSecond/2 {
		t.Errorf("got %d admitted bytes in a second, want %d to %d", kept, bytesPerSecond/2, bytesPerSecond)
	}
}

func TestDroppedLinesAreReportedByEvent(t *testing.T) {
	s := newSink(io.Discard, func() time.Time { return time.Unix(7, 0) })
	log := zerolog.New(s)
	for range linesPerSecond {
		log.Info().Send()
	}
	event.RequestServed.Log(log).Str("request", "a").Send()
	event.RequestServed.Log(log).Str("request", "b").Send()
	event.RequestPlaced.Log(log).Str("request", "b").Send()
	log.Info().Str("text", "no event").Send()
	s.report()
	s.report()
	var got struct {
		Name  string
		Lines int
		Total int
		Kinds map[string]int
	}
	lines := strings.Split(strings.TrimSpace(string(s.pending)), "\n")
	if err := json.Unmarshal([]byte(lines[len(lines)-1]), &got); err != nil {
		t.Fatal(err)
	}
	want := map[string]int{event.RequestServed.Name: 2, event.RequestPlaced.Name: 1, "other": 1}
	if len(lines) != linesPerSecond+1 || got.Name != event.LogDropped.Name || got.Lines != 4 || got.Total != 4 || !maps.Equal(got.Kinds, want) {
		t.Errorf("got %d lines, the last %+v; want %d, the last with 4 dropped lines by kind %v", len(lines), got, linesPerSecond+1, want)
	}
}
