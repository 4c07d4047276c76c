// Command ragwort is the operators' command line: the demo, the experiment
// tool, settings, administration and keys.
//
// Exit codes: 0 done, 1 failed, 2 bad input or findings, 3 refused because the
// object changed, 4 not reachable.
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
	if err := root().Run(ctx, os.Args); err != nil {
		os.Exit(report(err))
	}
}

func root() *cli.Command {
	commands := []*cli.Command{demoCommand(), measureCommand(), settingsCommand(), keysCommand(), explainCommand(), soakCommand()}
	commands = append(commands, adminCommands()...)
	return usageErrors(&cli.Command{
		Name:                  "ragwort",
		Usage:                 "run, measure and administer a ragwortpond router fleet",
		EnableShellCompletion: true,
		Commands:              commands,
		ExitErrHandler:        func(context.Context, *cli.Command, error) {},
	})
}

// report prints an error and returns the exit code that it carries.
func report(err error) int {
	fmt.Fprintln(os.Stderr, err)
	var coded cli.ExitCoder
	if errors.As(err, &coded) {
		return coded.ExitCode()
	}
	return exitFailed
}
