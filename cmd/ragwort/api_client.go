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

// outputJSON is the value of --output for JSON, which scripts can parse.
const outputJSON = "json"

func outputFlag() cli.Flag {
	return &cli.StringFlag{Name: "output", Aliases: []string{"o"}, Value: "table", Usage: "table or json"}
}

// serverFlags returns the flags that say how to reach the administration API,
// followed by more.
func serverFlags(more ...cli.Flag) []cli.Flag {
	return append([]cli.Flag{
		&cli.StringFlag{Name: "server", Sources: cli.EnvVars("RAGWORT_SERVER"), Usage: "`URL` of an administration API"},
		&cli.StringFlag{Name: "token", Sources: cli.EnvVars("RAGWORT_TOKEN"), Usage: "token of the operator"},
		&cli.StringFlag{Name: "authority", Sources: cli.EnvVars("RAGWORT_AUTHORITY"), Usage: "PEM `FILE` with the certificate that signs the API's certificate"},
		outputFlag(),
	}, more...)
}

// newAPIClient returns a client for the server that the flags name.
func newAPIClient(cmd *cli.Command) (*operator.Client, error) {
	cfg := operator.ClientConfig{Server: cmd.String("server"), Token: cmd.String("token")}
	if cfg.Server == "" || cfg.Token == "" {
		return nil, cli.Exit("--server and --token are required; RAGWORT_SERVER and RAGWORT_TOKEN set their defaults", exitBadInput)
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

// withExitCode gives an error of the API the exit code for its kind, on which
// scripts rely.
func withExitCode(err error) error {
	var apiErr *operator.APIError
	switch {
	case err == nil:
		return nil
	case errors.Is(err, operator.ErrUnreachable):
		return cli.Exit(err, exitUnreachable)
	case !errors.As(err, &apiErr):
		return err
	}
	switch apiErr.Code {
	case reason.VersionStale:
		return cli.Exit(apiErr, exitChanged)
	case reason.StoreUnavailable, reason.ResultUnknown:
		return cli.Exit(apiErr, exitUnreachable)
	case reason.InvalidDocument, reason.MalformedBody, reason.VersionRequired, reason.BodyTooLarge:
		return cli.Exit(apiErr, exitBadInput)
	}
	return cli.Exit(apiErr, exitFailed)
}

// printResult prints v as JSON, or as the table that writeRows writes.
func printResult(cmd *cli.Command, v any, writeRows func(w io.Writer)) error {
	out := cmd.Root().Writer
	if cmd.String("output") == outputJSON {
		e := json.NewEncoder(out)
		e.SetIndent("", "  ")
		return e.Encode(v)
	}
	table := tabwriter.NewWriter(out, 0, 8, 2, ' ', 0)
	writeRows(table)
	return table.Flush()
}

// arguments returns the command's arguments if there is exactly one for each
// name.
func arguments(cmd *cli.Command, names ...string) ([]string, error) {
	if cmd.Args().Len() != len(names) {
		return nil, cli.Exit(fmt.Sprintf("%s takes %v", cmd.Name, names), exitBadInput)
	}
	return cmd.Args().Slice(), nil
}

// setUsageExitCode makes usage errors of a command and its subcommands return
// exitBadInput.
func setUsageExitCode(c *cli.Command) *cli.Command {
	c.OnUsageError = func(_ context.Context, _ *cli.Command, err error, _ bool) error {
		return cli.Exit(err, exitBadInput)
	}
	for _, subcommand := range c.Commands {
		setUsageExitCode(subcommand)
	}
	return c
}
