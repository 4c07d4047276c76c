package logsink

import (
	"bytes"
	"io"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
)

// TestUnreadOutputBlocksNobody floods a sink whose output is never read: every
// write returns, and what is lost is counted.
func TestUnreadOutputBlocksNobody(t *testing.T) {
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
		t.Error("nothing was dropped")
	}
	s.Close(time.Millisecond)
	_ = r.Close()
}

func TestLinesComeOutInOrder(t *testing.T) {
	var out bytes.Buffer
	s := New(&out)
	log := zerolog.New(s)
	for i := range 100 {
		log.Info().Int("n", i).Send()
	}
	s.Close(time.Minute)
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	if len(lines) != 100 || !strings.Contains(lines[99], `"n":99`) {
		t.Errorf("%d lines, the last %q", len(lines), lines[len(lines)-1])
	}
}

func TestWarningsHaveABudgetOfTheirOwn(t *testing.T) {
	s := &Sink{now: func() time.Time { return time.Unix(7, 0) }}
	kept := 0
	for range 2 * linesPerSecond {
		if s.admit(zerolog.InfoLevel) {
			kept++
		}
	}
	if kept != linesPerSecond || !s.admit(zerolog.WarnLevel) {
		t.Errorf("%d ordinary lines kept; a warning after them has to pass", kept)
	}
	s.now = func() time.Time { return time.Unix(8, 0) }
	if !s.admit(zerolog.InfoLevel) {
		t.Error("the next second begins without a budget")
	}
}

func TestDroppedLinesAreReported(t *testing.T) {
	var out bytes.Buffer
	s := &Sink{out: &out, now: time.Now, wake: make(chan struct{}, 1), done: make(chan struct{})}
	s.dropped.Add(3)
	s.report()
	s.report()
	if got := string(s.pending); strings.Count(got, "log-lines-dropped") != 1 || !strings.Contains(got, `"lines":3`) {
		t.Errorf("got %q", got)
	}
}
