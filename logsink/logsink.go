// Package logsink writes log lines without ever blocking the writer: lines wait
// in a bounded buffer for one task that owns the output, and what exceeds the
// budget of lines a second or the buffer is counted and reported.
package logsink

import (
	"bytes"
	"io"
	"maps"
	"slices"
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
	// bytesPerSecond bounds the bytes of both: lines of 400 bytes on average.
	bytesPerSecond = (linesPerSecond + warningsPerSecond) * 400
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
	bytes    int
	// kinds counts the lines dropped since the last report by their event.
	kinds   map[string]int
	dropped atomic.Uint64
}

var _ zerolog.LevelWriter = (*Sink)(nil)

// New returns a sink that writes to out until it is closed.
func New(out io.Writer) *Sink {
	s := newSink(out, time.Now)
	go s.run()
	return s
}

func newSink(out io.Writer, now func() time.Time) *Sink {
	return &Sink{out: out, now: now, wake: make(chan struct{}, 1), done: make(chan struct{}), kinds: map[string]int{}}
}

// Write implements io.Writer for lines without a level.
func (s *Sink) Write(line []byte) (int, error) {
	return s.WriteLevel(zerolog.InfoLevel, line)
}

// WriteLevel implements zerolog.LevelWriter. It never blocks and never fails.
func (s *Sink) WriteLevel(level zerolog.Level, line []byte) (int, error) {
	s.mu.Lock()
	kept := !s.closed && s.admit(level, len(line)) && len(s.pending)+len(line) <= bufferBytes
	if kept {
		s.pending = append(s.pending, line...)
	} else {
		s.kinds[kindOf(line)]++
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
func (s *Sink) admit(level zerolog.Level, size int) bool {
	if second := s.now().Unix(); second != s.second {
		s.second, s.ordinary, s.warnings, s.bytes = second, 0, 0, 0
	}
	lines, most := &s.ordinary, linesPerSecond
	if level >= zerolog.WarnLevel && level < zerolog.NoLevel {
		lines, most = &s.warnings, warningsPerSecond
	}
	if *lines >= most || s.bytes+size > bytesPerSecond {
		return false
	}
	*lines++
	s.bytes += size
	return true
}

var (
	beforeKind = []byte(`"name":"`)
	afterKind  = []byte(`"`)
)

// kindOf returns the event's name in a line; lines without one are "other".
func kindOf(line []byte) string {
	_, rest, ok := bytes.Cut(line, beforeKind)
	name, _, closed := bytes.Cut(rest, afterKind)
	if !ok || !closed {
		return "other"
	}
	return string(name)
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

// report adds a line on what was dropped since the last one, by kind.
func (s *Sink) report() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.kinds) == 0 {
		return
	}
	kinds, lines := zerolog.Dict(), 0
	for _, kind := range slices.Sorted(maps.Keys(s.kinds)) {
		kinds.Int(kind, s.kinds[kind])
		lines += s.kinds[kind]
	}
	clear(s.kinds)
	event.LogDropped.Log(zerolog.New(appender{s})).Int("lines", lines).Dict("kinds", kinds).
		Uint64("total", s.dropped.Load()).Send()
}

// appender adds a line whatever the budget; s.mu is held.
type appender struct{ s *Sink }

// Write implements io.Writer.
func (a appender) Write(line []byte) (int, error) {
	a.s.pending = append(a.s.pending, line...)
	return len(line), nil
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
