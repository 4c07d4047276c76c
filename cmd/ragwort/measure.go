package main

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"os"
	"strings"

	"github.com/rs/zerolog"
	"github.com/urfave/cli/v3"

	"ragwortpond.example/ragwortpond/measure"
)

func measureCommand() *cli.Command {
	return &cli.Command{
		Name:      "measure",
		Usage:     "run an experiment and print its results",
		ArgsUsage: "SCENARIO",
		Description: "Scenarios:\n" + scenarioList() +
			"\nEach runs real routers on loopback with stand-in targets.",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "policy", Usage: "run only this policy"},
			&cli.Uint64Flag{Name: "seed", Value: measure.DefaultSeed, Usage: "seed of the workload and the faults"},
			&cli.BoolFlag{Name: "json", Usage: "print one JSON object"},
			&cli.StringFlag{Name: "plot", Usage: "write the results as an SVG chart to `FILE`"},
		},
		Action: runMeasure,
	}
}

func scenarioList() string {
	var b strings.Builder
	for _, s := range measure.Scenarios() {
		b.WriteString("  " + s.Name + ": " + s.Summary + "\n")
	}
	return b.String()
}

func runMeasure(ctx context.Context, cmd *cli.Command) error {
	if cmd.Args().Len() != 1 {
		return cli.Exit("measure: exactly one scenario is required\n"+scenarioList(), exitBadInput)
	}
	report, err := measure.Run(ctx, cmd.Args().First(), measure.Options{
		Policy: cmd.String("policy"), Seed: cmd.Uint64("seed"), Progress: os.Stderr, Log: zerolog.Nop(),
	})
	if errors.Is(err, measure.ErrUnknownScenario) || errors.Is(err, measure.ErrUnknownPolicy) {
		return cli.Exit(err.Error(), exitBadInput)
	}
	if err != nil {
		return err
	}
	if file := cmd.String("plot"); file != "" && report.Chart != nil {
		if err := writePlot(file, report.Chart); err != nil {
			return err
		}
	}
	return printReport(os.Stdout, report, cmd.Bool("json"))
}

func printReport(w io.Writer, r measure.Report, asJSON bool) error {
	if !asJSON {
		return measure.WriteText(w, r)
	}
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	return enc.Encode(r)
}

func writePlot(file string, c *measure.Chart) error {
	f, err := os.Create(file)
	if err != nil {
		return err
	}
	if err := measure.WriteSVG(f, c); err != nil {
		f.Close()
		return err
	}
	return f.Close()
}
