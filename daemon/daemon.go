// Package daemon is what the long-running programs have in common: their exit
// codes and where they log.
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

// Exit codes beside 0 for a planned stop.
const (
	ExitFailed = 1
	// ExitFindings means that the settings file has findings.
	ExitFindings = 2
)

const (
	// logFlush bounds the writing of the last log lines.
	logFlush = 100 * time.Millisecond
	// timeFormat has the milliseconds by which lines of several routers are put in
	// order.
	timeFormat = "2006-01-02T15:04:05.000Z07:00"
)

// Main runs a command with the process's arguments and ends the process with its
// exit code.
func Main(command *cli.Command) {
	command.ExitErrHandler = func(context.Context, *cli.Command, error) {}
	os.Exit(code(command.Run(context.Background(), os.Args), os.Stderr))
}

// code prints an error and returns the exit code that it carries.
func code(err error, out io.Writer) int {
	if err == nil {
		return 0
	}
	fmt.Fprintln(out, err)
	var coded cli.ExitCoder
	if errors.As(err, &coded) {
		return coded.ExitCode()
	}
	return ExitFailed
}

// Log is a daemon's log on an output that never holds the daemon up.
type Log struct {
	zerolog.Logger
	sink *logsink.Sink
}

// NewLog returns a log of lines from a level on, info where it is empty, as JSON.
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

// Dropped returns the number of lines that were dropped.
func (l *Log) Dropped() uint64 {
	return l.sink.Dropped()
}

// Close writes the last lines.
func (l *Log) Close() {
	l.sink.Close(logFlush)
}
