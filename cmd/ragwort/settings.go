package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"

	"github.com/urfave/cli/v3"

	"ragwortpond.example/ragwortpond/fleet"
	"ragwortpond.example/ragwortpond/objectapi"
	"ragwortpond.example/ragwortpond/settings"
)

func settingsCommand() *cli.Command {
	return &cli.Command{
		Name:  "settings",
		Usage: "check, read and change settings",
		Commands: []*cli.Command{
			{
				Name: "check", Usage: "check settings directories, single documents and routers' start files",
				ArgsUsage: "PATH...", Flags: []cli.Flag{outputFlag()}, Action: checkSettings,
			},
			{
				Name: "explain", Usage: "explain a key, or list all keys if none is given",
				ArgsUsage: "[KEY]", Flags: []cli.Flag{outputFlag()}, Action: explainKey,
			},
			initCommand(),
			effectiveCommand(),
			getCommand(),
			putCommand(),
			patchCommand(),
			deleteCommand(),
			diffCommand(),
		},
	}
}

func checkSettings(_ context.Context, cmd *cli.Command) error {
	if cmd.Args().Len() == 0 {
		return cli.Exit("check: a directory or file is required", exitBadInput)
	}
	found := settings.Findings{}
	for _, path := range cmd.Args().Slice() {
		found = append(found, checkPath(path)...)
	}
	err := printResult(cmd, found, func(w io.Writer) {
		if len(found) == 0 {
			fmt.Fprintln(w, "ok")
		}
	})
	if err != nil || len(found) == 0 {
		return err
	}
	return cli.Exit(found, exitBadInput)
}

// checkPath checks a directory of documents, one document, or a start file.
func checkPath(path string) settings.Findings {
	info, err := os.Stat(path)
	if err != nil {
		return settings.Findings{{File: path, Message: err.Error()}}
	}
	if info.IsDir() {
		objects, findings := settings.LoadDir(path)
		_, more := settings.Build(objects)
		return prefixFiles(path, append(findings, more...))
	}
	if kind, name, ok := settings.ParseFileName(path); ok {
		return checkDocument(path, kind, name)
	}
	return settings.CheckStartFile(path)
}

func checkDocument(path, kind, name string) settings.Findings {
	data, err := os.ReadFile(path)
	if err != nil {
		return settings.Findings{{File: path, Message: err.Error()}}
	}
	findings := settings.CheckDocument(objectapi.Object{Kind: kind, Name: name, Data: data})
	for i := range findings {
		findings[i].File = path
	}
	return findings
}

// prefixFiles prefixes the file names of findings with the directory that was
// checked.
func prefixFiles(dir string, findings settings.Findings) settings.Findings {
	for i := range findings {
		findings[i].File = filepath.Join(dir, findings[i].File)
	}
	return findings
}

// keyDescription describes a settings key in JSON output.
type keyDescription struct {
	Key     string           `json:"key"`
	Type    settings.KeyType `json:"type"`
	Unit    string           `json:"unit,omitempty"`
	Min     float64          `json:"min"`
	Max     float64          `json:"max"`
	Default any              `json:"default"`
	Levels  []settings.Level `json:"read_at"`
	Effect  string           `json:"effect"`
}

func explainKey(_ context.Context, cmd *cli.Command) error {
	described := settings.Keys()
	if cmd.Args().Len() > 0 {
		key, ok := settings.FindKey(cmd.Args().First())
		if !ok {
			return cli.Exit(fmt.Sprintf("explain: no key %q; \"settings explain\" lists all", cmd.Args().First()), exitBadInput)
		}
		described = []settings.Key{key}
	}
	descriptions := make([]keyDescription, len(described))
	for i, k := range described {
		descriptions[i] = keyDescription{k.Name, k.Type, k.Unit, k.Min, k.Max, k.Default(), k.Levels, k.Description}
	}
	return printResult(cmd, descriptions, func(w io.Writer) {
		if len(described) == 1 {
			fmt.Fprint(w, described[0].Explain())
			return
		}
		for _, k := range described {
			fmt.Fprintf(w, "%s\t%s\t%s\n", k.Name, k.Default(), k.Unit)
		}
	})
}

func effectiveCommand() *cli.Command {
	return &cli.Command{
		Name:  "effective",
		Usage: "show each value in force with the level that it comes from",
		Flags: serverFlags(
			&cli.StringFlag{Name: "dir", Usage: "read a settings `DIR` instead of a server"},
			&cli.StringFlag{Name: "failure-domain"},
			&cli.StringFlag{Name: "service"},
			&cli.StringFlag{Name: "client-account"},
			&cli.StringFlag{Name: "key", Usage: "show only this key"},
		),
		Action: showEffective,
	}
}

func showEffective(ctx context.Context, cmd *cli.Command) error {
	values, err := effectiveValues(ctx, cmd)
	if err != nil {
		return err
	}
	if key := cmd.String("key"); key != "" {
		values = filterKey(values, key)
		if len(values) == 0 {
			return cli.Exit(fmt.Sprintf("effective: no key %q", key), exitBadInput)
		}
	}
	return printResult(cmd, values, func(w io.Writer) {
		fmt.Fprintln(w, "KEY\tVALUE\tLEVEL\tDOCUMENT")
		for _, v := range values {
			fmt.Fprintf(w, "%s\t%s\t%s\t%s\n", v.Key, v.Value, v.Level, v.Source)
		}
	})
}

func filterKey(values []settings.EffectiveValue, key string) []settings.EffectiveValue {
	for _, v := range values {
		if v.Key == key {
			return []settings.EffectiveValue{v}
		}
	}
	return nil
}

func effectiveValues(ctx context.Context, cmd *cli.Command) ([]settings.EffectiveValue, error) {
	dir := cmd.String("dir")
	if dir == "" {
		return remoteEffective(ctx, cmd)
	}
	objects, findings := settings.LoadDir(dir)
	snapshot, more := settings.Build(objects)
	if findings = append(findings, more...); len(findings) > 0 {
		return nil, cli.Exit(prefixFiles(dir, findings), exitBadInput)
	}
	return snapshot.EffectiveByLevel(
		fleet.DomainName(cmd.String("failure-domain")),
		fleet.ServiceName(cmd.String("service")),
		fleet.AccountName(cmd.String("client-account")),
	), nil
}
