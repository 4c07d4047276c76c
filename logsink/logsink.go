// Package logsink provides a log output that never blocks the caller. Lines are
// queued in a bounded buffer and written by one goroutine. Lines over the rate limit
// or the buffer size are dropped, counted and reported.
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
	// linesPerSecond limits the lines below the warning level. In a fleet of the
	// size expected in two years, a router answers about 35 requests per second
	// with two lines each.
	linesPerSecond = 400
	// warningsPerSecond limits the lines at the warning level and above, in
	// addition to linesPerSecond.
	warningsPerSecond = 200
	// bytesPerSecond limits the bytes of both, with 400 bytes per line on average.
	bytesPerSecond = (linesPerSecond + warningsPerSecond) * 400
	// bufferBytes limits the bytes queued for the output.
	bufferBytes = 256 << 10
	// reportEvery is the interval of the reports of dropped lines.
	reportEvery = time.Second
)

// Sink is a zerolog.LevelWriter that never blocks. It is safe for concurrent use.
type Sink struct {
	out  io.Writer
	now  func() time.Time
	wake chan struct{}
	done chan struct{}

	mu           sync.Mutex
	pending      []byte
	closed       bool
	second       int64
	belowWarning int
	warnings     int
	bytes        int
	// kinds counts the lines dropped since the last report by event name.
	kinds   map[string]int
	dropped atomic.Uint64
}

var _ zerolog.LevelWriter = (*Sink)(nil)

// New returns a sink that writes to out until Close is called.
func New(out io.Writer) *Sink {
	s := newSink(out, time.Now)
	go s.run()
	return s
}

func newSink(out io.Writer, now func() time.Time) *Sink {
	return &Sink{out: out, now: now, wake: make(chan struct{}, 1), done: make(chan struct{}), kinds: map[string]int{}}
}

// Write implements io.Writer; the line counts as one of level info.
func (s *Sink) Write(line []byte) (int, error) {
	return s.WriteLevel(zerolog.InfoLevel, line)
}

// WriteLevel implements zerolog.LevelWriter. It never blocks and never returns an
// error; a line over a limit is dropped and counted.
func (s *Sink) WriteLevel(level zerolog.Level, line []byte) (int, error) {
	s.mu.Lock()
	kept := !s.closed && s.admit(level, len(line)) && len(s.pending)+len(line) <= bufferBytes
	if kept {
		s.pending = append(s.pending, line...)
	} else {
		s.kinds[eventName(line)]++
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

// admit reports whether a line is within the limits of the current second, and
// counts it if so.
func (s *Sink) admit(level zerolog.Level, size int) bool {
	if second := s.now().Unix(); second != s.second {
		s.second, s.belowWarning, s.warnings, s.bytes = second, 0, 0, 0
	}
	lines, limit := &s.belowWarning, linesPerSecond
	if level >= zerolog.WarnLevel && level < zerolog.NoLevel {
		lines, limit = &s.warnings, warningsPerSecond
	}
	if *lines >= limit || s.bytes+size > bytesPerSecond {
		return false
	}
	*lines++
	s.bytes += size
	return true
}

var (
	eventNamePrefix = []byte(`"name":"`)
	eventNameSuffix = []byte(`"`)
)

// eventName returns the event name in a line, or "other" if it has none.
func eventName(line []byte) string {
	_, rest, ok := bytes.Cut(line, eventNamePrefix)
	name, _, closed := bytes.Cut(rest, eventNameSuffix)
	if !ok || !closed {
		return "other"
	}
	return string(name)
}

// Dropped returns the number of lines dropped since the start.
func (s *Sink) Dropped() uint64 {
	return s.dropped.Load()
}

func (s *Sink) run() {
	defer close(s.done)
	ticker := time.NewTicker(reportEvery)
	defer ticker.Stop()
	var batch []byte
	for {
		closing := false
		select {
		case <-s.wake:
		case <-ticker.C:
			s.report()
		}
		s.mu.Lock()
		batch, s.pending = s.pending, batch[:0]
		closing = s.closed
		s.mu.Unlock()
		if len(batch) > 0 {
			// An error cannot be reported, since this is the log output itself.
			_, _ = s.out.Write(batch)
		}
		if closing {
			return
		}
	}
}

// report queues a log line with the number of lines dropped since the last report,
// by event name.
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

// appender queues lines regardless of the limits. The caller holds s.mu.
type appender struct{ s *Sink }

// Write implements io.Writer.
func (a appender) Write(line []byte) (int, error) {
	a.s.pending = append(a.s.pending, line...)
	return len(line), nil
}

// Close writes the queued lines and stops the sink. It returns after at most wait,
// even if the output blocks.
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
