// Command ragwort-router is the router daemon for direct dispatch. It reads its
// settings file, serves until SIGTERM and stops as planned.
//
// Exit codes: 0 stopped, 1 failed, 2 the settings file has findings.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/rs/zerolog"
	"github.com/urfave/cli/v3"

	"ragwortpond.example/ragwortpond/logsink"
	"ragwortpond.example/ragwortpond/node"
	"ragwortpond.example/ragwortpond/platform"
	"ragwortpond.example/ragwortpond/settings"
)

const (
	exitFailed   = 1
	exitFindings = 2
	// logFlush bounds the writing of the last log lines.
	logFlush = 100 * time.Millisecond
)

func main() {
	if err := command().Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, err)
		var coded cli.ExitCoder
		if errors.As(err, &coded) {
			os.Exit(coded.ExitCode())
		}
		os.Exit(exitFailed)
	}
}

func command() *cli.Command {
	return &cli.Command{
		Name:           "ragwort-router",
		Usage:          "run one router that dispatches directly to targets",
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
		Commands: []*cli.Command{
			{
				Name: "run", Usage: "serve until SIGTERM", Flags: []cli.Flag{configFlag()}, Action: run,
			},
			{
				Name: "check", Usage: "check the settings file and exit", Flags: []cli.Flag{configFlag()}, Action: check,
			},
		},
	}
}

func configFlag() cli.Flag {
	return &cli.StringFlag{Name: "config", Usage: "settings `FILE`; the platform's own place where it is not given"}
}

func settingsFile(cmd *cli.Command) string {
	if file := cmd.String("config"); file != "" {
		return file
	}
	return platform.SettingsFile()
}

func check(_ context.Context, cmd *cli.Command) error {
	if _, findings := settings.LoadNode(settingsFile(cmd)); len(findings) > 0 {
		return cli.Exit(findings.Error(), exitFindings)
	}
	fmt.Println("ok")
	return nil
}

func run(ctx context.Context, cmd *cli.Command) error {
	file := settingsFile(cmd)
	start, findings := settings.LoadNode(file)
	if len(findings) > 0 {
		return cli.Exit(findings.Error(), exitFindings)
	}
	sink := logsink.New(os.Stdout)
	defer sink.Close(logFlush)
	zerolog.TimeFieldFormat = "2006-01-02T15:04:05.000Z07:00"
	log := zerolog.New(sink).Level(level(start.LogLevel)).With().Str("router", string(start.ID)).Timestamp().Logger()
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	n, err := node.New(start, log, sink.Dropped)
	if err != nil {
		return err
	}
	go n.WatchSettings(ctx, file, hup)
	return n.Run(ctx)
}

// level returns the checked level of the settings.
func level(name string) zerolog.Level {
	if parsed, err := zerolog.ParseLevel(name); name != "" && err == nil {
		return parsed
	}
	return zerolog.InfoLevel
}
