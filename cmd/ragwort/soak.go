package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"time"

	"github.com/urfave/cli/v3"

	"ragwortpond.example/ragwortpond/soak"
)

// exitViolations says that a soak found a broken promise.
const exitViolations = 1

func soakCommand() *cli.Command {
	return &cli.Command{
		Name: "soak", Usage: "run router processes under faults and check what clients and targets see",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "program", Usage: "the router's `FILE`; without it the router is built from the working directory"},
			&cli.UintFlag{Name: "seed", Value: 1, Usage: "first seed"},
			&cli.UintFlag{Name: "seeds", Value: 1, Usage: "number of seeds, one after another"},
			&cli.DurationFlag{Name: "duration", Value: 20 * time.Second, Usage: "time of each seed"},
			&cli.IntFlag{Name: "routers", Value: 6, Usage: "router processes"},
			&cli.IntFlag{Name: "clients", Value: 24, Usage: "clients"},
			&cli.IntFlag{Name: "lanes", Value: 3, Usage: "faults side by side"},
			&cli.StringFlag{Name: "logs", Usage: "keep the routers' logs in `DIR`"},
			&cli.BoolFlag{Name: "json", Usage: "print reports as JSON"},
		},
		Action: runSoak,
	}
}

func runSoak(ctx context.Context, cmd *cli.Command) error {
	program := cmd.String("program")
	if program == "" {
		dir, err := os.MkdirTemp("", "ragwort-router-")
		if err != nil {
			return fmt.Errorf("soak: %w", err)
		}
		defer os.RemoveAll(dir)
		program = filepath.Join(dir, "ragwort-router")
		build := exec.CommandContext(ctx, "go", "build", "-o", program, "./cmd/ragwort-router")
		if out, err := build.CombinedOutput(); err != nil {
			return fmt.Errorf("soak: build the router: %w\n%s", err, out)
		}
	}
	broken := 0
	for i := range cmd.Uint("seeds") {
		report, err := soak.Play(ctx, soak.Options{
			Program: program, Seed: uint64(cmd.Uint("seed") + i), Duration: cmd.Duration("duration"),
			Routers: cmd.Int("routers"), Clients: cmd.Int("clients"), Lanes: cmd.Int("lanes"), Dir: cmd.String("logs"),
		})
		if err != nil {
			return err
		}
		broken += report.Violations
		if err := printSoak(cmd, report); err != nil {
			return err
		}
	}
	if broken > 0 {
		return cli.Exit(fmt.Sprintf("soak: %d promises broken", broken), exitViolations)
	}
	return nil
}

func printSoak(cmd *cli.Command, r *soak.Report) error {
	out := cmd.Root().Writer
	if cmd.Bool("json") {
		encoder := json.NewEncoder(out)
		encoder.SetIndent("", "  ")
		return encoder.Encode(r)
	}
	_, err := fmt.Fprintf(out, "seed %d: %d requests, %d served, faults %v, planned %v, %d violations %s\n",
		r.Seed, r.Requests, r.Served, r.Faults, r.Planned, r.Violations, r.Logs)
	for _, v := range r.Found {
		if err == nil {
			_, err = fmt.Fprintf(out, "  %s: %s %s\n", v.Promise, v.Request, v.Text)
		}
	}
	return err
}
