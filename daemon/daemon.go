// Package daemon holds what the long-running programs share: exit codes and
// logging.
package daemon

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/rs/zerolog"
	"github.com/urfave/cli/v3"

	"ragwortpond.example/ragwortpond/logsink"
)

// Exit codes other than 0, which a graceful shutdown returns.
const (
	ExitFailed = 1
	// ExitFindings means that the settings cannot be used: the settings file
	// has findings, the log level is unknown or a file named in the settings
	// cannot be read.
	ExitFindings = 2
)

const (
	// logFlushTimeout bounds the writing of the last log lines.
	logFlushTimeout = 100 * time.Millisecond
	// timeFormat has milliseconds, so that lines of several routers can be put
	// in order.
	timeFormat = "2006-01-02T15:04:05.000Z07:00"
)

// Main runs command with the arguments of the process, prints its error and
// exits with its exit code.
func Main(command *cli.Command) {
	command.ExitErrHandler = func(context.Context, *cli.Command, error) {}
	os.Exit(exitCode(command.Run(context.Background(), os.Args), os.Stderr))
}

// exitCode prints err to out and returns the exit code that err carries,
// ExitFailed if it carries none, or 0 for nil.
func exitCode(err error, out io.Writer) int {
	if err == nil {
		return 0
	}
	fmt.Fprintln(out, err)
	var exitCoder cli.ExitCoder
	if errors.As(err, &exitCoder) {
		return exitCoder.ExitCode()
	}
	return ExitFailed
}

// Log is a daemon's logger. Logging never blocks on the output; lines beyond
// the rate and buffer limits of package logsink are dropped.
type Log struct {
	zerolog.Logger
	sink *logsink.Sink
}

// NewLog returns a logger that writes JSON lines of at least the given level to
// out. An empty level means info.
func NewLog(out io.Writer, level string) (*Log, error) {
	parsed := zerolog.InfoLevel
	if level != "" {
		var err error
		if parsed, err = zerolog.ParseLevel(level); err != nil {
			return nil, fmt.Errorf("daemon: log level %q: %w", level, err)
		}
	}
	zerolog.TimeFieldFormat = timeFormat
	sink := logsink.New(out)
	return &Log{zerolog.New(sink).Level(parsed).With().Timestamp().Logger(), sink}, nil
}

// Dropped returns the number of dropped lines.
func (l *Log) Dropped() uint64 {
	return l.sink.Dropped()
}

// Close writes the buffered lines.
func (l *Log) Close() {
	l.sink.Close(logFlushTimeout)
}
