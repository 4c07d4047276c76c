package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"text/tabwriter"

	"github.com/urfave/cli/v3"

	"ragwortpond.example/ragwortpond/operator"
	"ragwortpond.example/ragwortpond/reason"
)

// outputJSON is the value of --output for scripts.
const outputJSON = "json"

func outputFlag() cli.Flag {
	return &cli.StringFlag{Name: "output", Aliases: []string{"o"}, Value: "table", Usage: "table or json"}
}

// serverFlags say how to reach the administration API.
func serverFlags(more ...cli.Flag) []cli.Flag {
	return append([]cli.Flag{
		&cli.StringFlag{Name: "server", Sources: cli.EnvVars("RAGWORT_SERVER"), Usage: "`URL` of an administration API"},
		&cli.StringFlag{Name: "token", Sources: cli.EnvVars("RAGWORT_TOKEN"), Usage: "operator's token"},
		&cli.StringFlag{Name: "authority", Sources: cli.EnvVars("RAGWORT_AUTHORITY"), Usage: "PEM `FILE` of what signs the listener"},
		outputFlag(),
	}, more...)
}

// connect returns a client for the command's server.
func connect(cmd *cli.Command) (*operator.Client, error) {
	cfg := operator.ClientConfig{Server: cmd.String("server"), Token: cmd.String("token")}
	if cfg.Server == "" || cfg.Token == "" {
		return nil, cli.Exit("give --server and --token, or set RAGWORT_SERVER and RAGWORT_TOKEN", exitBadInput)
	}
	if file := cmd.String("authority"); file != "" {
		pem, err := os.ReadFile(file)
		if err != nil {
			return nil, cli.Exit(err, exitBadInput)
		}
		cfg.Authority = pem
	}
	c, err := operator.NewClient(cfg)
	if err != nil {
		return nil, cli.Exit(err, exitBadInput)
	}
	return c, nil
}

// exitOf gives an error of the API the exit code that scripts test.
func exitOf(err error) error {
	var refused *operator.APIError
	switch {
	case err == nil:
		return nil
	case errors.Is(err, operator.ErrUnreachable):
		return cli.Exit(err, exitUnreachable)
	case !errors.As(err, &refused):
		return err
	}
	switch refused.Code {
	case reason.VersionStale:
		return cli.Exit(refused, exitChanged)
	case reason.StoreUnavailable, reason.ResultUnknown:
		return cli.Exit(refused, exitUnreachable)
	case reason.InvalidDocument, reason.MalformedBody, reason.VersionRequired, reason.BodyTooLarge:
		return cli.Exit(refused, exitBadInput)
	}
	return cli.Exit(refused, exitFailed)
}

// show prints v as JSON, or the table that rows write.
func show(cmd *cli.Command, v any, rows func(w io.Writer)) error {
	out := cmd.Root().Writer
	if cmd.String("output") == outputJSON {
		e := json.NewEncoder(out)
		e.SetIndent("", "  ")
		return e.Encode(v)
	}
	table := tabwriter.NewWriter(out, 0, 8, 2, ' ', 0)
	rows(table)
	return table.Flush()
}

// arguments returns exactly the named arguments of a command.
func arguments(cmd *cli.Command, names ...string) ([]string, error) {
	if cmd.Args().Len() != len(names) {
		return nil, cli.Exit(fmt.Sprintf("%s takes %v", cmd.Name, names), exitBadInput)
	}
	return cmd.Args().Slice(), nil
}

// usageErrors makes wrong flags of a command and those below it bad input.
func usageErrors(c *cli.Command) *cli.Command {
	c.OnUsageError = func(_ context.Context, _ *cli.Command, err error, _ bool) error {
		return cli.Exit(err, exitBadInput)
	}
	for _, below := range c.Commands {
		usageErrors(below)
	}
	return c
}
