package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strconv"

	"github.com/urfave/cli/v3"

	"ragwortpond.example/ragwortpond/operator"
)

func adminCommands() []*cli.Command {
	return []*cli.Command{statusCommand(), withdrawCommand()}
}

func statusCommand() *cli.Command {
	return &cli.Command{
		Name: "status", Usage: "show every live router with the settings revision in force",
		Flags: serverFlags(),
		Action: func(ctx context.Context, cmd *cli.Command) error {
			var status operator.Status
			if err := callAPI(ctx, cmd, operator.Call{Method: "GET", Path: "status"}, &status); err != nil {
				return err
			}
			return printResult(cmd, status, func(w io.Writer) {
				fmt.Fprintln(w, "ROUTER\tFAILURE DOMAIN\tREVISION\tFAULT")
				for _, r := range status.Routers {
					fmt.Fprintf(w, "%s\t%s\t%d\t%s\n", r.Router, r.Domain, r.Revision, r.Error)
				}
			})
		},
	}
}

func withdrawCommand() *cli.Command {
	return &cli.Command{
		Name: "withdraw", Usage: "withdraw a target, a VM or a failure domain", ArgsUsage: "[SCOPE NAME]",
		Description: "SCOPE is target, vm or failure-domain. Without arguments, lists the targets that are leaving.",
		Flags:       serverFlags(&cli.BoolFlag{Name: "call-off", Usage: "cancel the withdrawal and set the targets back to live"}),
		Action:      withdrawTargets,
	}
}

func withdrawTargets(ctx context.Context, cmd *cli.Command) error {
	call := operator.Call{Method: "GET", Path: "withdrawals"}
	if cmd.Args().Len() > 0 {
		args, err := arguments(cmd, "SCOPE", "NAME")
		if err != nil {
			return err
		}
		call = withdrawalCall(args[0], args[1], cmd.Bool("call-off"))
	}
	var targets []operator.WithdrawnTarget
	if err := callAPI(ctx, cmd, call, &targets); err != nil {
		return err
	}
	err := printResult(cmd, targets, func(w io.Writer) {
		fmt.Fprintln(w, "TARGET\tSERVICE\tFAILURE DOMAIN\tSTATE\tIN FLIGHT\tFAULT")
		for _, t := range targets {
			fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\n", t.Target, t.Service, t.Domain, t.State, formatInFlight(t), t.Fault)
		}
	})
	hasFault := func(t operator.WithdrawnTarget) bool { return t.Fault != "" }
	if err == nil && slices.ContainsFunc(targets, hasFault) {
		return cli.Exit("some targets could not be changed", exitFailed)
	}
	return err
}

// formatInFlight formats the number of attempts in flight to a target. A
// question mark means that at least one router did not respond.
func formatInFlight(t operator.WithdrawnTarget) string {
	switch {
	case t.InFlight == nil:
		return "-"
	case len(t.MissingRouters) > 0:
		return fmt.Sprintf("%d?", *t.InFlight)
	}
	return strconv.Itoa(*t.InFlight)
}

func withdrawalCall(scope, name string, callOff bool) operator.Call {
	if callOff {
		return operator.Call{Method: "DELETE", Path: "withdrawals/" + scope + "/" + name}
	}
	body, _ := json.Marshal(operator.Withdrawal{Scope: operator.Scope(scope), Name: name})
	return operator.Call{Method: "POST", Path: "withdrawals", Body: body}
}

// unionNames returns the keys of both maps, sorted.
func unionNames(a, b map[string][]byte) []string {
	all := maps.Clone(a)
	maps.Copy(all, b)
	return slices.Sorted(maps.Keys(all))
}
