// Command ragwort-router is the router daemon for direct dispatch. It reads its
// settings file, serves until SIGTERM or SIGINT and shuts down gracefully.
// SIGHUP reloads the settings file.
//
// Exit codes: 0 stopped, 1 failed, 2 the settings file has findings.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/urfave/cli/v3"

	"ragwortpond.example/ragwortpond/daemon"
	"ragwortpond.example/ragwortpond/node"
	"ragwortpond.example/ragwortpond/platform"
	"ragwortpond.example/ragwortpond/settings"
)

func main() {
	daemon.Main(command())
}

func command() *cli.Command {
	return &cli.Command{
		Name:  "ragwort-router",
		Usage: "run one router that dispatches directly to targets",
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
	return &cli.StringFlag{Name: "config", Usage: "settings `FILE`; the default is the platform's location"}
}

func settingsFile(cmd *cli.Command) string {
	if file := cmd.String("config"); file != "" {
		return file
	}
	return platform.SettingsFile()
}

func check(_ context.Context, cmd *cli.Command) error {
	if _, findings := settings.LoadNodeFile(settingsFile(cmd)); len(findings) > 0 {
		return cli.Exit(findings.Error(), daemon.ExitFindings)
	}
	fmt.Println("ok")
	return nil
}

func run(ctx context.Context, cmd *cli.Command) error {
	file := settingsFile(cmd)
	start, findings := settings.LoadNodeFile(file)
	if len(findings) > 0 {
		return cli.Exit(findings.Error(), daemon.ExitFindings)
	}
	log, err := daemon.NewLog(os.Stdout, start.LogLevel)
	if err != nil {
		return cli.Exit(err.Error(), daemon.ExitFindings)
	}
	defer log.Close()
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	n, err := node.New(start, log.With().Str("router", string(start.ID)).Logger(), log.Dropped)
	if err != nil {
		return err
	}
	go n.WatchSettings(ctx, file, hup)
	return n.Run(ctx)
}
