// Command ragwort-standin runs a stand-in for an external system as a process:
// the platform, a model engine, a plain service or the weight store. It prints
// its address and runs until SIGTERM or SIGINT.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/urfave/cli/v3"

	"ragwortpond.example/ragwortpond/fleet"
	"ragwortpond.example/ragwortpond/standin"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := command().Run(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func command() *cli.Command {
	return &cli.Command{
		Name:  "ragwort-standin",
		Usage: "run a stand-in for an external system that routers use",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "addr", Value: "127.0.0.1:0", Usage: "`HOST:PORT` to listen on"},
			&cli.StringFlag{Name: "id", Usage: "name of the target"},
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "seed of the random delays and faults"},
		},
		Commands: []*cli.Command{platformCommand(), engineCommand(), serviceCommand(), weightsCommand()},
	}
}

func platformCommand() *cli.Command {
	return &cli.Command{
		Name:  "platform",
		Usage: "run the object API and the VM list; faults are configured at /faults",
		Flags: []cli.Flag{
			&cli.IntFlag{Name: "writes", Usage: "limit of writes per second; 0 means no limit"},
			&cli.IntFlag{Name: "reads", Usage: "limit of reads per second; 0 means no limit"},
		},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			p, err := standin.StartPlatform(standin.PlatformConfig{
				Addr: cmd.String("addr"), Seed: cmd.Uint64("seed"),
				WritesPerSecond: cmd.Int("writes"), ReadsPerSecond: cmd.Int("reads"),
			})
			if err != nil {
				return err
			}
			defer p.Close()
			return printAddrAndWait(ctx, p.Addr())
		},
	}
}

func engineCommand() *cli.Command {
	return &cli.Command{
		Name:  "engine",
		Usage: "run a model engine",
		Flags: []cli.Flag{
			&cli.IntFlag{Name: "tokens-per-second", Usage: "token rate of a single request; 0 means the default"},
			&cli.IntFlag{Name: "slots", Usage: "number of requests that run concurrently; 0 means the default"},
			&cli.FloatFlag{Name: "load-slope", Usage: "fraction by which each further running request lengthens a step; 0 means the default"},
			&cli.BoolFlag{Name: "checks-fencing", Usage: "reject orders with an old fencing number"},
		},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			e, err := standin.StartEngine(standin.EngineConfig{
				Addr: cmd.String("addr"), ID: fleet.TargetID(cmd.String("id")), Seed: cmd.Uint64("seed"),
				TokensPerSecond: cmd.Int("tokens-per-second"), Slots: cmd.Int("slots"), LoadSlope: cmd.Float("load-slope"),
				ChecksFencing: cmd.Bool("checks-fencing"),
			})
			if err != nil {
				return err
			}
			defer e.Close()
			return printAddrAndWait(ctx, e.Addr())
		},
	}
}

func serviceCommand() *cli.Command {
	return &cli.Command{
		Name:  "service",
		Usage: "run a plain service that counts executions by key",
		Action: func(ctx context.Context, cmd *cli.Command) error {
			s, err := standin.StartService(standin.ServiceConfig{
				Addr: cmd.String("addr"), ID: fleet.TargetID(cmd.String("id")), Seed: cmd.Uint64("seed"),
			})
			if err != nil {
				return err
			}
			defer s.Close()
			return printAddrAndWait(ctx, s.Addr())
		},
	}
}

func weightsCommand() *cli.Command {
	return &cli.Command{
		Name:  "weights",
		Usage: "run the rate-limited weight store",
		Action: func(ctx context.Context, cmd *cli.Command) error {
			w, err := standin.StartWeights(standin.WeightsConfig{Addr: cmd.String("addr")})
			if err != nil {
				return err
			}
			defer w.Close()
			return printAddrAndWait(ctx, w.Addr())
		},
	}
}

// printAddrAndWait prints the address and waits until ctx ends.
func printAddrAndWait(ctx context.Context, addr string) error {
	fmt.Println(addr)
	<-ctx.Done()
	return nil
}
