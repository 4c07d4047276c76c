// Command harness-3 runs the cases of the third review: router processes with the
// command of the deploy file before small stand-ins on loopback addresses.
//
//	harness-3 case NAME    runs a case; see the run.sh of each
//	harness-3 worker ...   is one worker, started by a case
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// maxCase bounds a case, and maxClose the end of its processes.
const (
	maxCase  = 117 * time.Second
	maxClose = 2 * time.Second
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// cases maps the name of a case to its function, which reports whether the rule held.
var cases = map[string]func(*env) (held bool, err error){
	"document":  runDocument,
	"longchat":  runLongChat,
	"lull":      runLull,
	"forgotten": runForgotten,
	"keyless":   runKeyless,
}

func main() {
	if len(os.Args) > 1 && os.Args[1] == "worker" {
		if err := runWorker(os.Args[2:]); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(exitNotRun)
		}
		return
	}
	if len(os.Args) != 3 || os.Args[1] != "case" || cases[os.Args[2]] == nil {
		fmt.Fprintln(os.Stderr, "usage: harness-3 case NAME")
		os.Exit(exitNotRun)
	}
	os.Exit(runCase(cases[os.Args[2]]))
}

// runCase runs a case in a new environment and returns its exit code.
func runCase(run func(*env) (bool, error)) int {
	e, err := newEnv()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer e.close()
	go e.endEarly()
	held, err := run(e)
	switch {
	case err != nil:
		e.record("could not run: %v", err)
		return exitNotRun
	case held:
		e.record("result: the rule held")
		return exitHeld
	default:
		e.record("result: the rule was BROKEN")
		return exitBroken
	}
}

// endEarly ends all processes and the case if it is told to stop or takes too long.
func (e *env) endEarly() {
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	select {
	case <-stop:
	case <-time.After(maxCase):
	}
	time.AfterFunc(maxClose, func() { os.Exit(exitNotRun) })
	e.record("could not run: ended early")
	e.close()
	os.Exit(exitNotRun)
}
