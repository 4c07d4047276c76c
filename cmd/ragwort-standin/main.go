// Command ragwort-standin runs one stand-in of an outside system as a process:
// the platform, a model engine, a plain service or the weight store. It prints
// its address and runs until SIGTERM.
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
		Usage: "run a stand-in of a system that routers talk to",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "addr", Value: "127.0.0.1:0", Usage: "`HOST:PORT` to listen on"},
			&cli.StringFlag{Name: "id", Usage: "name of the target"},
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "seed of the faults"},
		},
		Commands: []*cli.Command{platformCommand(), engineCommand(), serviceCommand(), weightsCommand()},
	}
}

func platformCommand() *cli.Command {
	return &cli.Command{
		Name:  "platform",
		Usage: "the object API and the VM list; faults are set at /faults",
		Flags: []cli.Flag{
			&cli.IntFlag{Name: "writes", Usage: "writes a second that are granted; 0 is no limit"},
			&cli.IntFlag{Name: "reads", Usage: "reads a second that are granted; 0 is no limit"},
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
			return wait(ctx, p.Addr())
		},
	}
}

func engineCommand() *cli.Command {
	return &cli.Command{
		Name:  "engine",
		Usage: "a model engine",
		Flags: []cli.Flag{
			&cli.IntFlag{Name: "tokens-per-second", Usage: "speed of one request alone; 0 is the default"},
			&cli.IntFlag{Name: "slots", Usage: "requests that run at once; 0 is the default"},
			&cli.FloatFlag{Name: "load-slope", Usage: "share by which each running request lengthens a step; 0 is the default"},
			&cli.BoolFlag{Name: "checks-fencing", Usage: "refuse orders with an old fencing number"},
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
			return wait(ctx, e.Addr())
		},
	}
}

func serviceCommand() *cli.Command {
	return &cli.Command{
		Name:  "service",
		Usage: "a plain service that counts executions by key",
		Action: func(ctx context.Context, cmd *cli.Command) error {
			s, err := standin.StartService(standin.ServiceConfig{
				Addr: cmd.String("addr"), ID: fleet.TargetID(cmd.String("id")), Seed: cmd.Uint64("seed"),
			})
			if err != nil {
				return err
			}
			defer s.Close()
			return wait(ctx, s.Addr())
		},
	}
}

func weightsCommand() *cli.Command {
	return &cli.Command{
		Name:  "weights",
		Usage: "the rate-limited weight store",
		Action: func(ctx context.Context, cmd *cli.Command) error {
			w, err := standin.StartWeights(standin.WeightsConfig{Addr: cmd.String("addr")})
			if err != nil {
				return err
			}
			defer w.Close()
			return wait(ctx, w.Addr())
		},
	}
}

// wait prints the address and waits for the end of ctx.
func wait(ctx context.Context, addr string) error {
	fmt.Println(addr)
	<-ctx.Done()
	return nil
}
