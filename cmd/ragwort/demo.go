package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"io/fs"
	"os"
	"slices"

	"github.com/rs/zerolog"
	"github.com/urfave/cli/v3"

	"ragwortpond.example/ragwortpond/examples"
	"ragwortpond.example/ragwortpond/fleet"
	"ragwortpond.example/ragwortpond/measure/demo"
	"ragwortpond.example/ragwortpond/measure/testbed"
	"ragwortpond.example/ragwortpond/settings"
)

func demoCommand() *cli.Command {
	return &cli.Command{
		Name:  "demo",
		Usage: "run a complete fleet in this process with a workload of returning chats and orders",
		Flags: []cli.Flag{
			&cli.BoolFlag{Name: "json", Usage: "print the results as one JSON object"},
			&cli.BoolFlag{Name: "stay", Usage: "keep the fleet running afterwards, for use with curl and OpenAI clients"},
			&cli.StringFlag{Name: "settings", Usage: "settings `DIR` of a deployment; the default is embedded"},
			&cli.DurationFlag{Name: "duration", Usage: "duration of the workload; 0 means the default"},
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "seed of the workload"},
			&cli.BoolFlag{Name: "verbose", Usage: "print the routers' logs"},
		},
		Action: runDemo,
	}
}

func runDemo(ctx context.Context, cmd *cli.Command) error {
	dir, err := openDeployment(cmd.String("settings"))
	if err != nil {
		return err
	}
	objects, findings := settings.LoadFS(dir)
	if len(findings) > 0 {
		return cli.Exit(findings.Error(), exitBadInput)
	}
	options := demo.Options{
		Objects: objects, Duration: cmd.Duration("duration"), Seed: cmd.Uint64("seed"), Progress: os.Stderr, Log: zerolog.Nop(),
	}
	if cmd.Bool("verbose") {
		options.Log = zerolog.New(os.Stderr).With().Timestamp().Logger()
	}
	b, err := demo.Start(ctx, options)
	if err != nil {
		return err
	}
	defer b.Close()
	figures, err := demo.Run(ctx, b, options)
	if err != nil {
		return err
	}
	if err := printDemo(os.Stdout, figures, cmd.Bool("json")); err != nil {
		return err
	}
	if cmd.Bool("stay") {
		printEndpointsAndWait(ctx, os.Stdout, b)
	}
	return nil
}

func openDeployment(dir string) (fs.FS, error) {
	if dir == "" {
		return examples.Deployment(examples.TochaViva)
	}
	return os.DirFS(dir), nil
}

func printDemo(w io.Writer, f demo.Figures, asJSON bool) error {
	if !asJSON {
		demo.WriteTable(w, f)
		return nil
	}
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	return enc.Encode(f)
}

// printEndpointsAndWait prints how to reach the fleet and waits until ctx ends.
func printEndpointsAndWait(ctx context.Context, w io.Writer, b *testbed.Testbed) {
	snapshot := b.Snapshot()
	fmt.Fprintf(w, "\nplatform  http://%s\n", b.Platform.Addr())
	for _, m := range b.Routers() {
		fmt.Fprintf(w, "router    %s  callers %s  operators https://%s\n", m.Router.Self().ID, m.CallerURL(), m.Router.OperatorAddr())
	}
	accounts := make([]fleet.AccountName, 0, len(b.AccountKeys))
	for name := range b.AccountKeys {
		accounts = append(accounts, name)
	}
	slices.Sort(accounts)
	fmt.Fprintf(w, "key       %s  (client account %s)\n", b.AccountKeys[accounts[0]], accounts[0])
	for name, s := range snapshot.Services {
		fmt.Fprintf(w, "service   %s (%s)\n", name, s.Kind)
	}
	remove, err := printAdminSetup(w, b)
	if err != nil {
		fmt.Fprintln(w, err)
	} else {
		defer remove()
	}
	fmt.Fprintln(w, "press ctrl-c to stop")
	<-ctx.Done()
}
