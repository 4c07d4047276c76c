// Package logsink writes log lines without ever blocking the writer: lines wait
// in a bounded buffer for one task that owns the output, and what exceeds the
// budget of lines a second or the buffer is counted and reported.
package logsink

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"ragwortpond.example/ragwortpond/event"
)

// Limits of a sink.
const (
	// linesPerSecond bounds the lines below the warning level; a router of the
	// two-year size answers about 35 requests a second with two lines each.
	linesPerSecond = 400
	// warningsPerSecond bounds the lines from the warning level on, on top.
	warningsPerSecond = 200
	// bufferBytes bounds what waits for the output.
	bufferBytes = 256 << 10
	// reportEvery is the interval of the report of dropped lines.
	reportEvery = time.Second
)

// Sink is a writer for zerolog. It is safe for concurrent use.
type Sink struct {
	out  io.Writer
	now  func() time.Time
	wake chan struct{}
	done chan struct{}

	mu       sync.Mutex
	pending  []byte
	closed   bool
	second   int64
	ordinary int
	warnings int
	dropped  atomic.Uint64
	reported uint64
}

var _ zerolog.LevelWriter = (*Sink)(nil)

// New returns a sink that writes to out until it is closed.
func New(out io.Writer) *Sink {
	s := &Sink{out: out, now: time.Now, wake: make(chan struct{}, 1), done: make(chan struct{})}
	go s.run()
	return s
}

// Write implements io.Writer for lines without a level.
func (s *Sink) Write(line []byte) (int, error) {
	return s.WriteLevel(zerolog.InfoLevel, line)
}

// WriteLevel implements zerolog.LevelWriter. It never blocks and never fails.
func (s *Sink) WriteLevel(level zerolog.Level, line []byte) (int, error) {
	s.mu.Lock()
	kept := !s.closed && s.admit(level) && len(s.pending)+len(line) <= bufferBytes
	if kept {
		s.pending = append(s.pending, line...)
	}
	s.mu.Unlock()
	if !kept {
		s.dropped.Add(1)
		return len(line), nil
	}
	select {
	case s.wake <- struct{}{}:
	default:
	}
	return len(line), nil
}

// admit takes a line from the second's budget of its level.
func (s *Sink) admit(level zerolog.Level) bool {
	if second := s.now().Unix(); second != s.second {
		s.second, s.ordinary, s.warnings = second, 0, 0
	}
	if level >= zerolog.WarnLevel && level < zerolog.NoLevel {
		s.warnings++
		return s.warnings <= warningsPerSecond
	}
	s.ordinary++
	return s.ordinary <= linesPerSecond
}

// Dropped is the number of lines dropped so far.
func (s *Sink) Dropped() uint64 {
	return s.dropped.Load()
}

func (s *Sink) run() {
	defer close(s.done)
	ticker := time.NewTicker(reportEvery)
	defer ticker.Stop()
	var batch []byte
	for {
		ending := false
		select {
		case <-s.wake:
		case <-ticker.C:
			s.report()
		}
		s.mu.Lock()
		batch, s.pending = s.pending, batch[:0]
		ending = s.closed
		s.mu.Unlock()
		if len(batch) > 0 {
			// There is nowhere left to report a failing output to.
			_, _ = s.out.Write(batch)
		}
		if ending {
			return
		}
	}
}

// report adds a line on what was dropped since the last one.
func (s *Sink) report() {
	total := s.dropped.Load()
	if total == s.reported {
		return
	}
	line := fmt.Sprintf("{\"level\":%q,\"event\":%d,\"name\":%q,\"lines\":%d,\"total\":%d}\n",
		event.LogDropped.Level, event.LogDropped.Number, event.LogDropped.Name, total-s.reported, total)
	s.reported = total
	s.mu.Lock()
	s.pending = append(s.pending, line...)
	s.mu.Unlock()
}

// Close writes what waits and ends the sink; wait bounds how long an output that
// does not take the lines is waited for.
func (s *Sink) Close(wait time.Duration) {
	s.mu.Lock()
	s.closed = true
	s.mu.Unlock()
	select {
	case s.wake <- struct{}{}:
	default:
	}
	select {
	case <-s.done:
	case <-time.After(wait):
	}
}
