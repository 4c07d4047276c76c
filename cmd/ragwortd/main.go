// Command ragwortd is the router daemon. It reads a start file, runs one router
// and shuts it down gracefully on SIGTERM or SIGINT.
//
// Exit codes: 0 stopped without aborting a request, 1 failed or aborted
// requests, 2 the start file has findings or names a file that cannot be read.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"runtime/pprof"
	"syscall"

	"github.com/rs/zerolog"
	"github.com/urfave/cli/v3"

	"ragwortpond.example/ragwortpond/daemon"
	"ragwortpond.example/ragwortpond/engine"
	"ragwortpond.example/ragwortpond/fleet"
	"ragwortpond.example/ragwortpond/keys"
	"ragwortpond.example/ragwortpond/metrics"
	"ragwortpond.example/ragwortpond/objectclient"
	"ragwortpond.example/ragwortpond/plain"
	"ragwortpond.example/ragwortpond/router"
	"ragwortpond.example/ragwortpond/settings"
	"ragwortpond.example/ragwortpond/weights"
)

func main() {
	daemon.Main(command())
}

func command() *cli.Command {
	return &cli.Command{
		Name:  "ragwortd",
		Usage: "run one router of a ragwortpond fleet",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "config", Usage: "start `FILE` of the router", Required: true},
			&cli.BoolFlag{Name: "check", Usage: "check the start file and exit"},
			&cli.StringFlag{Name: "log-level", Usage: "debug, info, warn or error; overrides the start file"},
			&cli.StringFlag{Name: "cpu-profile", Usage: "write a CPU profile of the whole run to `FILE`"},
		},
		Action: run,
	}
}

func run(ctx context.Context, cmd *cli.Command) error {
	start, findings := settings.LoadStartFile(cmd.String("config"))
	if len(findings) > 0 {
		return cli.Exit(findings.Error(), daemon.ExitFindings)
	}
	if level := cmd.String("log-level"); level != "" {
		start.LogLevel = level
	}
	log, err := daemon.NewLog(os.Stdout, start.LogLevel)
	if err != nil {
		return cli.Exit(err.Error(), daemon.ExitFindings)
	}
	defer log.Close()
	cfg, err := loadConfig(start)
	if err != nil {
		return cli.Exit(err.Error(), daemon.ExitFindings)
	}
	if cmd.Bool("check") {
		fmt.Println("ok")
		return nil
	}
	stop, err := startCPUProfile(cmd.String("cpu-profile"))
	if err != nil {
		return err
	}
	defer stop()
	return serve(ctx, cfg, start, log.Logger)
}

// startCPUProfile starts a CPU profile if a file is named. The returned
// function stops the profile and closes the file.
func startCPUProfile(file string) (func(), error) {
	if file == "" {
		return func() {}, nil
	}
	f, err := os.Create(file)
	if err != nil {
		return nil, fmt.Errorf("ragwortd: CPU profile: %w", err)
	}
	if err := pprof.StartCPUProfile(f); err != nil {
		f.Close()
		return nil, fmt.Errorf("ragwortd: CPU profile: %w", err)
	}
	return func() {
		pprof.StopCPUProfile()
		f.Close()
	}, nil
}

// loadConfig reads the files that a start file names.
func loadConfig(s settings.StartFile) (router.Config, error) {
	cert, err1 := os.ReadFile(s.TLS.Cert)
	key, err2 := os.ReadFile(s.TLS.Key)
	authority, err3 := os.ReadFile(s.TLS.Authority)
	if err := errors.Join(err1, err2, err3); err != nil {
		return router.Config{}, fmt.Errorf("ragwortd: TLS files: %w", err)
	}
	cfg := router.Config{
		Self:       fleet.Router{ID: s.ID, Domain: s.Domain, Region: s.Region},
		CallerAddr: s.CallerAddr, OperatorAddr: s.OperatorAddr, PeerAddr: s.PeerAddr,
		Certificate: keys.KeyPair{Cert: cert, Key: key}, Authority: authority,
	}
	for _, addr := range s.Seeds {
		cfg.Seeds = append(cfg.Seeds, fleet.Router{ID: fleet.RouterID(addr), PeerAddr: addr})
	}
	return cfg, nil
}

// serve runs a router until SIGTERM or SIGINT, then shuts it down gracefully.
// The error says whether requests were aborted.
func serve(ctx context.Context, cfg router.Config, start settings.StartFile, log zerolog.Logger) error {
	set := metrics.NewSet()
	store := objectclient.NewClient(objectclient.ClientConfig{Addr: start.PlatformAddr, Metrics: set})
	r, err := router.New(cfg, router.Deps{
		Store: store, VMs: store, Metrics: set, Log: log,
		Engine:  engine.NewClient(engine.ClientConfig{OnDiscard: set.CountDiscard, OnProbe: set.AddProbeBytes}),
		Plain:   plain.NewClient(plain.ClientConfig{OnDiscard: set.CountDiscard}),
		Weights: newWeightStore(start.WeightsAddr),
	})
	if err != nil {
		return err
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	runCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	done := make(chan error, 1)
	go func() { done <- r.Run(runCtx) }()
	select {
	case err := <-done:
		return err
	case <-signals:
	}
	drainErr := r.Drain(ctx)
	cancel()
	return errors.Join(drainErr, <-done)
}

// newWeightStore returns a client of the weight store, or nil if addr is empty.
func newWeightStore(addr string) weights.Store {
	if addr == "" {
		return nil
	}
	return weights.NewClient(weights.ClientConfig{Addr: addr})
}
