package main

import (
	"context"
	"fmt"
	"io"
	"net/url"
	"os"

	"github.com/urfave/cli/v3"

	"ragwortpond.example/ragwortpond/operator"
	"ragwortpond.example/ragwortpond/settings"
)

func remoteEffective(ctx context.Context, cmd *cli.Command) ([]settings.EffectiveValue, error) {
	query := url.Values{}
	for _, level := range []string{"failure-domain", "service", "client-account"} {
		if name := cmd.String(level); name != "" {
			query.Set(level, name)
		}
	}
	var answer operator.EffectiveSettings
	err := callAPI(ctx, cmd, operator.Call{Method: "GET", Path: "effective", Query: query}, &answer)
	return answer.Values, err
}

// callAPI sends one call to the command's server.
func callAPI(ctx context.Context, cmd *cli.Command, call operator.Call, answer any) error {
	c, err := newAPIClient(cmd)
	if err != nil {
		return err
	}
	defer c.Close()
	return withExitCode(c.Do(ctx, call, answer))
}

func getCommand() *cli.Command {
	return &cli.Command{
		Name: "get", Usage: "show a document, or the documents of a kind", ArgsUsage: "KIND [NAME]",
		Flags: serverFlags(), Action: getDocument,
	}
}

func getDocument(ctx context.Context, cmd *cli.Command) error {
	switch cmd.Args().Len() {
	case 1:
		return listDocuments(ctx, cmd, cmd.Args().First())
	case 2:
	default:
		return cli.Exit("get takes KIND [NAME]", exitBadInput)
	}
	var d operator.Document
	path := cmd.Args().Get(0) + "/" + cmd.Args().Get(1)
	if err := callAPI(ctx, cmd, operator.Call{Method: "GET", Path: path}, &d); err != nil {
		return err
	}
	return printResult(cmd, d, func(w io.Writer) {
		fmt.Fprintf(w, "%s/%s version %d\n%s\n", d.Kind, d.Name, d.Version, d.Data)
	})
}

func listDocuments(ctx context.Context, cmd *cli.Command, kind string) error {
	var documents []operator.Document
	if err := callAPI(ctx, cmd, operator.Call{Method: "GET", Path: kind}, &documents); err != nil {
		return err
	}
	return printResult(cmd, documents, func(w io.Writer) {
		fmt.Fprintln(w, "NAME\tVERSION")
		for _, d := range documents {
			fmt.Fprintf(w, "%s\t%d\n", d.Name, d.Version)
		}
	})
}

// changeFlags returns the flags of the commands that change documents.
func changeFlags(more ...cli.Flag) []cli.Flag {
	return serverFlags(append(more,
		&cli.Uint64Flag{Name: "if-match", Usage: "change the document only if it has this `VERSION`"},
		&cli.BoolFlag{Name: "wait", Usage: "wait until every live router has the change in force"},
	)...)
}

func putCommand() *cli.Command {
	return &cli.Command{
		Name: "put", Usage: "create or replace a document; FILE - reads standard input", ArgsUsage: "KIND NAME FILE",
		Flags:  changeFlags(&cli.BoolFlag{Name: "create", Usage: "create the document"}),
		Action: putDocument,
	}
}

func putDocument(ctx context.Context, cmd *cli.Command) error {
	args, err := arguments(cmd, "KIND", "NAME", "FILE")
	if err != nil {
		return err
	}
	data, err := readInput(cmd, args[2])
	if err != nil {
		return cli.Exit(err, exitBadInput)
	}
	call := operator.Call{Method: "PUT", Path: args[0] + "/" + args[1], Body: data, Version: expectedVersion(cmd)}
	return sendChange(ctx, cmd, call)
}

// expectedVersion returns the version that a change is conditional on, or nil
// for no condition. With --create it is zero.
func expectedVersion(cmd *cli.Command) *uint64 {
	if !cmd.IsSet("if-match") && !cmd.Bool("create") {
		return nil
	}
	version := cmd.Uint64("if-match")
	return &version
}

func readInput(cmd *cli.Command, file string) ([]byte, error) {
	if file == "-" {
		return io.ReadAll(cmd.Root().Reader)
	}
	return os.ReadFile(file)
}

func patchCommand() *cli.Command {
	return &cli.Command{
		Name: "patch", Usage: "change a document by a JSON merge patch", ArgsUsage: "KIND NAME PATCH",
		Description: "Without --if-match, the patch applies to the current version of the document.",
		Flags:       changeFlags(), Action: patchDocument,
	}
}

func patchDocument(ctx context.Context, cmd *cli.Command) error {
	args, err := arguments(cmd, "KIND", "NAME", "PATCH")
	if err != nil {
		return err
	}
	call := operator.Call{Method: "PATCH", Path: args[0] + "/" + args[1], Body: []byte(args[2]), Version: expectedVersion(cmd)}
	if call.Version == nil {
		var current operator.Document
		if err := callAPI(ctx, cmd, operator.Call{Method: "GET", Path: call.Path}, &current); err != nil {
			return err
		}
		call.Version = &current.Version
	}
	return sendChange(ctx, cmd, call)
}

func deleteCommand() *cli.Command {
	return &cli.Command{
		Name: "delete", Usage: "delete a document", ArgsUsage: "KIND NAME",
		Flags: changeFlags(),
		Action: func(ctx context.Context, cmd *cli.Command) error {
			args, err := arguments(cmd, "KIND", "NAME")
			if err != nil {
				return err
			}
			return sendChange(ctx, cmd, operator.Call{Method: "DELETE", Path: args[0] + "/" + args[1], Version: expectedVersion(cmd)})
		},
	}
}

// sendChange sends a change and prints the result. If it waits and a live
// router does not have the change in force in the end, the command fails
// although the change was accepted.
func sendChange(ctx context.Context, cmd *cli.Command, call operator.Call) error {
	if cmd.Bool("wait") {
		call.Query = url.Values{"wait": {"in-force"}}
	}
	var accepted operator.AcceptedChange
	if err := callAPI(ctx, cmd, call, &accepted); err != nil {
		return err
	}
	err := printResult(cmd, accepted, func(w io.Writer) {
		fmt.Fprintf(w, "accepted %s/%s version %d\n", accepted.Kind, accepted.Name, accepted.Version)
		if accepted.InForce == nil {
			return
		}
		for _, r := range accepted.InForce.Routers {
			fmt.Fprintf(w, "%s\t%d\t%s\n", r.Router, r.Revision, r.Error)
		}
	})
	if err == nil && accepted.InForce != nil && !accepted.InForce.InForce {
		return cli.Exit("accepted, but not in force on every router", exitFailed)
	}
	return err
}

func diffCommand() *cli.Command {
	return &cli.Command{
		Name: "diff", Usage: "compare a settings directory with the documents in the store", ArgsUsage: "DIR",
		Description: "Exits with code 1 if there are differences. Each line gives a document, a JSON pointer, the stored value and the value in the directory.",
		Flags:       serverFlags(), Action: diffDirectory,
	}
}

// documentDifference is one difference between a stored document and the one in
// the directory.
type documentDifference struct {
	File string `json:"file"`
	settings.Difference
}

func diffDirectory(ctx context.Context, cmd *cli.Command) error {
	args, err := arguments(cmd, "DIR")
	if err != nil {
		return err
	}
	objects, findings := settings.LoadDir(args[0])
	if len(findings) > 0 {
		return cli.Exit(prefixFiles(args[0], findings), exitBadInput)
	}
	found := []documentDifference{}
	for _, kind := range settings.Kinds() {
		var stored []operator.Document
		if err := callAPI(ctx, cmd, operator.Call{Method: "GET", Path: kind}, &stored); err != nil {
			return err
		}
		storedData, localData := map[string][]byte{}, map[string][]byte{}
		for _, d := range stored {
			storedData[d.Name] = d.Data
		}
		for _, o := range objects {
			if o.Kind == kind {
				localData[o.Name] = o.Data
			}
		}
		found = append(found, diffKind(kind, storedData, localData)...)
	}
	err = printResult(cmd, found, func(w io.Writer) {
		for _, d := range found {
			fmt.Fprintf(w, "%s\t%s\t%s\t%s\n", d.File, d.Pointer, d.Old, d.New)
		}
	})
	if err == nil && len(found) > 0 {
		return cli.Exit(fmt.Sprintf("%d differences", len(found)), exitFailed)
	}
	return err
}

func diffKind(kind string, storedData, localData map[string][]byte) []documentDifference {
	var found []documentDifference
	for _, name := range unionNames(storedData, localData) {
		for _, d := range settings.Diff(storedData[name], localData[name]) {
			found = append(found, documentDifference{settings.FileName(kind, name), d})
		}
	}
	return found
}
