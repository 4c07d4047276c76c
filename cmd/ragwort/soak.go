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

// exitViolations means that a soak run found violations of the guarantees.
const exitViolations = 1

func soakCommand() *cli.Command {
	return &cli.Command{
		Name: "soak", Usage: "run router processes with injected faults and check the guarantees towards clients and targets",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "program", Usage: "router binary `FILE`; if not given, it is built from the working directory"},
			&cli.StringFlag{Name: "old-program", Usage: "router binary `FILE` of an older build, with which the routers start; they are replaced one after the other"},
			&cli.UintFlag{Name: "seed", Value: 1, Usage: "first seed"},
			&cli.UintFlag{Name: "seeds", Value: 1, Usage: "number of seeds, one after another"},
			&cli.DurationFlag{Name: "duration", Value: 20 * time.Second, Usage: "duration of the run for each seed"},
			&cli.IntFlag{Name: "routers", Value: 6, Usage: "number of router processes"},
			&cli.IntFlag{Name: "clients", Value: 24, Usage: "number of clients"},
			&cli.IntFlag{Name: "lanes", Value: 3, Usage: "number of faults injected concurrently"},
			&cli.BoolFlag{Name: "crashing-part", Usage: "send requests with a prompt part that crashes targets"},
			&cli.BoolFlag{Name: "crashing-request", Usage: "repeat a request that crashes targets"},
			&cli.StringFlag{Name: "crashing-kind", Value: "lookup", Usage: "`KIND` of the repeated request that crashes targets: lookup or dossier"},
			&cli.StringFlag{Name: "crash-style", Value: string(soak.CrashRefuses), Usage: "what the addresses of crashed targets do: `STYLE` is refuses, resets, closes or hangs"},
			&cli.BoolFlag{Name: "limits", Usage: "let targets name limits on their requests"},
			&cli.BoolFlag{Name: "cold", Usage: "make half of the engines cold by turns, and new ones, which fall over if they get too much"},
			&cli.BoolFlag{Name: "quiet", Usage: "let targets reject requests and ask for quiet"},
			&cli.BoolFlag{Name: "versions", Usage: "let engines of two software versions serve side by side"},
			&cli.BoolFlag{Name: "store-copies", Usage: "let the store come back from copies some seconds old"},
			&cli.BoolFlag{Name: "evacuations", Usage: "evacuate failure domains, one after the other"},
			&cli.DurationFlag{Name: "router-cut", Usage: "after 45 s, cut a router off from the store and the others for so long"},
			&cli.IntFlag{Name: "skews", Usage: "after 40 s, let targets of so many services get new software versions, one service after the other, while routers are cut off, delayed or stopped"},
			&cli.BoolFlag{Name: "stops", Usage: "stop routers by plan, one or two at a time, while the length of streams changes"},
			&cli.BoolFlag{Name: "outside-limits", Usage: "add clients that send heads, trailers and requests without end, or nothing"},
			&cli.BoolFlag{Name: "kill-all", Usage: "end all routers at once"},
			&cli.StringFlag{Name: "logs", Usage: "keep the logs of the routers in `DIR`"},
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
	violations := 0
	for i := range cmd.Uint("seeds") {
		report, err := soak.Play(ctx, soak.Options{
			Program: program, OldProgram: cmd.String("old-program"), Seed: uint64(cmd.Uint("seed") + i), Duration: cmd.Duration("duration"),
			Routers: cmd.Int("routers"), Clients: cmd.Int("clients"), FaultLanes: cmd.Int("lanes"), Dir: cmd.String("logs"),
			CrashingPart: cmd.Bool("crashing-part"), CrashingRequest: cmd.Bool("crashing-request"), Limits: cmd.Bool("limits"), Cold: cmd.Bool("cold"), Quiet: cmd.Bool("quiet"),
			CrashingKind: cmd.String("crashing-kind"), CrashStyle: soak.CrashStyle(cmd.String("crash-style")), Versions: cmd.Bool("versions"), KillAll: cmd.Bool("kill-all"),
			StoreCopies: cmd.Bool("store-copies"), RouterCut: cmd.Duration("router-cut"), OutsideLimits: cmd.Bool("outside-limits"), Evacuations: cmd.Bool("evacuations"), Stops: cmd.Bool("stops"), Skews: cmd.Int("skews"),
		})
		if err != nil {
			return err
		}
		violations += report.Violations
		if err := printSoak(cmd, report); err != nil {
			return err
		}
	}
	if violations > 0 {
		return cli.Exit(fmt.Sprintf("soak: %d violations found", violations), exitViolations)
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
	if err == nil && r.StoppedStreams.Stops > 0 {
		_, err = fmt.Fprintf(out, "  late in %d stops: %d streams complete, %d refused, %d cut\n", r.StoppedStreams.Stops, r.StoppedStreams.Complete,
			r.StoppedStreams.Refused, r.StoppedStreams.Cut)
	}
	if err == nil && r.SkewedStreams.Skews > 0 {
		_, err = fmt.Fprintf(out, "  skewed streams: %+v\n", r.SkewedStreams)
	}
	for _, v := range r.Found {
		if err == nil {
			_, err = fmt.Fprintf(out, "  %s: %s %s\n", v.Guarantee, v.Request, v.Text)
		}
	}
	return err
}
