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
		Description: "Creates the documents of DIR directly on the platform, the fleet document last, so that no router\n" +
			"accepts an operator before all documents exist. After a failure, run it again to create the missing documents;\n" +
			"existing documents must have the same content. Use the administration API for later changes.",
		Flags:  []cli.Flag{outputFlag(), &cli.StringFlag{Name: "platform", Required: true, Usage: "`HOST:PORT` of the platform"}},
		Action: initSettings,
	}
}

// writtenDocument is a document that the command created, or found unchanged on
// the platform.
type writtenDocument struct {
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
		return cli.Exit(prefixFiles(args[0], findings), exitBadInput)
	}
	store := objectclient.NewClient(objectclient.ClientConfig{Addr: cmd.String("platform")})
	defer store.Close()
	created, err := createAll(ctx, store, objects)
	if err != nil {
		return err
	}
	return printResult(cmd, created, func(w io.Writer) {
		for _, d := range created {
			fmt.Fprintf(w, "%s\t%d\n", d.File, d.Version)
		}
	})
}

// createAll creates documents in the order of their references, and the fleet
// document last.
func createAll(ctx context.Context, store objectapi.Store, objects []objectapi.Object) ([]writtenDocument, error) {
	kinds := settings.Kinds()
	created := []writtenDocument{}
	for _, kind := range append(kinds[1:], kinds[0]) {
		for _, o := range objects {
			if o.Kind != kind {
				continue
			}
			version, err := create(ctx, store, o)
			if err != nil {
				return created, err
			}
			created = append(created, writtenDocument{settings.FileName(o.Kind, o.Name), version})
		}
	}
	return created, nil
}

// create creates one document. A document that already exists must have the
// same content.
func create(ctx context.Context, store objectapi.Store, o objectapi.Object) (uint64, error) {
	version, err := store.Put(ctx, o.Kind, o.Name, o.Data, 0)
	if err == nil {
		return version, nil
	}
	if !errors.Is(err, objectapi.ErrConflict) && !errors.Is(err, objectapi.ErrResultUnknown) {
		return 0, cli.Exit(err, exitUnreachable)
	}
	existing, err := store.Get(ctx, o.Kind, o.Name)
	if err != nil {
		return 0, cli.Exit(err, exitUnreachable)
	}
	if len(settings.Diff(existing.Data, o.Data)) > 0 {
		return 0, cli.Exit(settings.FileName(o.Kind, o.Name)+" already exists on the platform and differs", exitChanged)
	}
	return existing.Version, nil
}
