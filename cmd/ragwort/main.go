// Command ragwort is the command line for operators: the demo, experiments,
// soak runs, settings, administration, keys and request timelines.
//
// Exit codes: 0 success, 1 failure, 2 bad input or findings, 3 refused because
// the object has changed, 4 API or platform unreachable or its answer unknown.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/urfave/cli/v3"
)

// Exit codes.
const (
	exitFailed      = 1
	exitBadInput    = 2
	exitChanged     = 3
	exitUnreachable = 4
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := rootCommand().Run(ctx, os.Args); err != nil {
		os.Exit(reportError(err))
	}
}

func rootCommand() *cli.Command {
	commands := []*cli.Command{demoCommand(), measureCommand(), settingsCommand(), configCommand(), keysCommand(), explainCommand(), soakCommand()}
	commands = append(commands, adminCommands()...)
	return setUsageExitCode(&cli.Command{
		Name:                  "ragwort",
		Usage:                 "run, measure and administer a ragwortpond router fleet",
		EnableShellCompletion: true,
		Commands:              commands,
		ExitErrHandler:        func(context.Context, *cli.Command, error) {},
	})
}

// reportError prints an error and returns the exit code that it carries, or
// exitFailed.
func reportError(err error) int {
	fmt.Fprintln(os.Stderr, err)
	var exitCoder cli.ExitCoder
	if errors.As(err, &exitCoder) {
		return exitCoder.ExitCode()
	}
	return exitFailed
}
