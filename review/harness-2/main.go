// Command harness-2 plays the script cases of this review: it starts routers as the deploy file says, before stand-ins
// of the store and of targets, and checks one rule by what clients and targets see.
//
// Exit codes: 0 the rule held, 1 it was broken, 2 the case could not run.
package main

import (
	"errors"
	"fmt"
	"os"
	"time"
)

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// longestRun bounds a case.
const longestRun = 115 * time.Second

// errUsage means that the arguments name no case.
var errUsage = errors.New("usage: harness-2 CASE RECORD-FILE")

// cases maps the names of cases to what plays them. Each returns how often the rule was broken.
var cases = map[string]func(*env) (int, error){
	"ends":       playEnds,
	"supervised": playSupervised,
	"stopping":   playStopping,
	"keyless":    playKeyless,
	"retaken":    playRetaken,
}

func main() {
	if len(os.Args) > 1 && os.Args[1] == "worker" {
		runWorker(os.Args[2:])
		return
	}
	os.Exit(run())
}

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, errUsage)
		return exitNotRun
	}
	e, err := newEnv(os.Args[2], os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	time.AfterFunc(longestRun, func() {
		e.logf("not run: longer than %v", longestRun)
		e.close()
		os.Exit(exitNotRun)
	})
	broken, err := cases[os.Args[1]](e)
	switch {
	case err != nil:
		e.logf("not run: %v", err)
	case broken > 0:
		e.logf("result: broken %d times", broken)
	default:
		e.logf("result: held")
	}
	e.close()
	switch {
	case err != nil:
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	case broken > 0:
		return exitBroken
	}
	return exitHeld
}
