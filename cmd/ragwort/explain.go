package main

import (
	"context"
	"io"
	"os"

	"github.com/urfave/cli/v3"

	"ragwortpond.example/ragwortpond/explain"
)

func explainCommand() *cli.Command {
	return &cli.Command{
		Name: "explain", Usage: "print the timeline of a request from the routers' log files", ArgsUsage: "ID",
		Description: "Reads the log files of any number of routers, in any order, and prints the lines about the request in\n" +
			"chronological order. Lines marked ~ are state changes that its routers logged shortly before or during it.",
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: "log", Usage: "log `FILE`; may be given several times", Required: true},
		},
		Action: runExplain,
	}
}

func runExplain(_ context.Context, cmd *cli.Command) error {
	if cmd.Args().Len() != 1 {
		return cli.Exit("explain: exactly one request ID is required", exitBadInput)
	}
	var logs []io.Reader
	for _, name := range cmd.StringSlice("log") {
		file, err := os.Open(name)
		if err != nil {
			return cli.Exit(err.Error(), exitBadInput)
		}
		defer file.Close()
		logs = append(logs, file)
	}
	timeline, err := explain.RequestLines(cmd.Args().First(), logs...)
	if err != nil {
		return err
	}
	if len(timeline) == 0 {
		return cli.Exit("explain: no log line about this request", exitFailed)
	}
	return explain.Print(cmd.Root().Writer, timeline)
}
