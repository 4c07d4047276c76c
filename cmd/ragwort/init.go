package main

import (
	"context"
	"errors"
	"fmt"
	"io"

	"github.com/urfave/cli/v3"

	"ragwortpond.example/ragwortpond/objectapi"
	"ragwortpond.example/ragwortpond/objectclient"
	"ragwortpond.example/ragwortpond/settings"
)

func initCommand() *cli.Command {
	return &cli.Command{
		Name: "init", Usage: "write the first settings of a new fleet to the platform", ArgsUsage: "DIR",
		Description: "Creates the documents of DIR on the platform itself, the fleet document last, so that no router\n" +
			"accepts an operator before all are there. Repeating it after a failure creates what is missing; documents\n" +
			"that are there already must be the same. Later changes go through the administration API.",
		Flags:  []cli.Flag{outputFlag(), &cli.StringFlag{Name: "platform", Required: true, Usage: "`HOST:PORT` of the platform"}},
		Action: initSettings,
	}
}

// written is a document that init wrote.
type written struct {
	File    string `json:"file"`
	Version uint64 `json:"version"`
}

func initSettings(ctx context.Context, cmd *cli.Command) error {
	args, err := arguments(cmd, "DIR")
	if err != nil {
		return err
	}
	objects, findings := settings.LoadDir(args[0])
	_, more := settings.Build(objects)
	if findings = append(findings, more...); len(findings) > 0 {
		return cli.Exit(under(args[0], findings), exitBadInput)
	}
	store := objectclient.NewClient(objectclient.ClientConfig{Addr: cmd.String("platform")})
	defer store.Close()
	created, err := createAll(ctx, store, objects)
	if err != nil {
		return err
	}
	return show(cmd, created, func(w io.Writer) {
		for _, d := range created {
			fmt.Fprintf(w, "%s\t%d\n", d.File, d.Version)
		}
	})
}

// createAll creates documents in the order of their references, the fleet's
// last.
func createAll(ctx context.Context, store objectapi.Store, objects []objectapi.Object) ([]written, error) {
	kinds := settings.Kinds()
	created := []written{}
	for _, kind := range append(kinds[1:], kinds[0]) {
		for _, o := range objects {
			if o.Kind != kind {
				continue
			}
			version, err := create(ctx, store, o)
			if err != nil {
				return created, err
			}
			created = append(created, written{settings.FileName(o.Kind, o.Name), version})
		}
	}
	return created, nil
}

// create creates one document; one that is there already must be the same.
func create(ctx context.Context, store objectapi.Store, o objectapi.Object) (uint64, error) {
	version, err := store.Put(ctx, o.Kind, o.Name, o.Data, 0)
	if err == nil {
		return version, nil
	}
	if !errors.Is(err, objectapi.ErrConflict) && !errors.Is(err, objectapi.ErrUnknown) {
		return 0, cli.Exit(err, exitUnreachable)
	}
	there, err := store.Get(ctx, o.Kind, o.Name)
	if err != nil {
		return 0, cli.Exit(err, exitUnreachable)
	}
	if len(settings.Diff(there.Data, o.Data)) > 0 {
		return 0, cli.Exit(settings.FileName(o.Kind, o.Name)+" is on the platform already and differs", exitChanged)
	}
	return there.Version, nil
}
