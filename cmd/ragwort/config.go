package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/urfave/cli/v3"

	"ragwortpond.example/ragwortpond/catalog"
	"ragwortpond.example/ragwortpond/configcheck"
	"ragwortpond.example/ragwortpond/platform"
)

func configCommand() *cli.Command {
	return &cli.Command{
		Name: "config", Usage: "check the configuration of a fleet on the users' platform",
		Commands: []*cli.Command{{
			Name: "check", Usage: "check a configuration before it is sent", ArgsUsage: "FILE",
			Description: "Prints errors, entries that can never match, limits that contradict each other, what differs from the version in force, and whether requests need a key.\n" +
				"Exits with code 2 if there are errors, or, with --strict, warnings; differences alone do not count.",
			Flags: []cli.Flag{
				outputFlag(),
				&cli.StringFlag{Name: "in-force", Usage: "compare with the configuration in `FILE`"},
				&cli.StringFlag{Name: "store", Usage: "compare with the configuration in the platform's store at `HOST:PORT`"},
				&cli.BoolFlag{Name: "strict", Usage: "count warnings as errors"},
			},
			Action: checkConfig,
		}},
	}
}

// configReport is the result of a check.
type configReport struct {
	Findings []configcheck.Finding `json:"findings"`
	// Admission tells which requests need a key.
	Admission string `json:"admission"`
	// Changes is null if the configuration was not compared with another one.
	Changes []configcheck.Change `json:"changes"`
}

func checkConfig(ctx context.Context, cmd *cli.Command) error {
	args, err := arguments(cmd, "FILE")
	if err != nil {
		return err
	}
	next, err := readConfig(args[0])
	if err != nil {
		return cli.Exit(err, exitBadInput)
	}
	inForce, err := configInForce(ctx, cmd)
	if err != nil {
		return err
	}
	report := configReport{Findings: configcheck.Check(next), Admission: configcheck.Admission(next)}
	if inForce != nil {
		report.Findings = append(configcheck.CheckVersion(inForce, next), report.Findings...)
		report.Changes = append([]configcheck.Change{}, configcheck.Compare(inForce, next)...)
	}
	if err := printResult(cmd, report, report.print); err != nil {
		return err
	}
	if configcheck.HasErrors(report.Findings) || (cmd.Bool("strict") && len(report.Findings) > 0) {
		return cli.Exit(fmt.Sprintf("%d findings", len(report.Findings)), exitBadInput)
	}
	return nil
}

func (r *configReport) print(w io.Writer) {
	for _, f := range r.Findings {
		fmt.Fprintln(w, f)
	}
	for _, c := range r.Changes {
		fmt.Fprintln(w, c)
	}
	fmt.Fprintln(w, r.Admission)
	switch {
	case len(r.Findings) == 0 && r.Changes != nil:
		fmt.Fprintf(w, "ok, %d differences from the version in force\n", len(r.Changes))
	case len(r.Findings) == 0:
		fmt.Fprintln(w, "ok")
	}
}

// readConfig reads a configuration as it is sent to the store.
func readConfig(file string) (*catalog.ConfigSource, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	config, err := platform.DecodeConfigSource(platform.Object{Name: platform.ConfigName, Spec: data})
	if err != nil {
		return nil, fmt.Errorf("%s: %w", file, err)
	}
	return config, nil
}

// configInForce returns the configuration to compare with, or nil if none is asked for or the store
// has none yet.
func configInForce(ctx context.Context, cmd *cli.Command) (*catalog.ConfigSource, error) {
	file, addr := cmd.String("in-force"), cmd.String("store")
	switch {
	case file != "" && addr != "":
		return nil, cli.Exit("check: --in-force and --store exclude each other", exitBadInput)
	case file != "":
		config, err := readConfig(file)
		if err != nil {
			return nil, cli.Exit(err, exitBadInput)
		}
		return config, nil
	case addr == "":
		return nil, nil
	}
	store := platform.NewStore(addr, nil)
	defer store.Close()
	object, err := store.Get(ctx, platform.KindConfig, platform.ConfigName)
	if errors.Is(err, platform.ErrNotFound) {
		return nil, nil
	}
	if err != nil {
		return nil, cli.Exit(err, exitUnreachable)
	}
	config, err := platform.DecodeConfigSource(object)
	if err != nil {
		return nil, cli.Exit(err, exitFailed)
	}
	return config, nil
}
