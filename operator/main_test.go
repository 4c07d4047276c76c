package operator

import (
	"flag"
	"fmt"
	"os"
	"testing"

	"go.uber.org/goleak"
)

func TestMain(m *testing.M) {
	// Libraries start goroutines that run as long as the process.
	before := goleak.IgnoreCurrent()
	clock := goleak.IgnoreAnyFunction("github.com/cloudwego/hertz/pkg/protocol.UpdateServerDate.func1")
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.checks", "1000")
	flag.Parse()
	code := m.Run()
	if err := goleak.Find(before, clock); err != nil && code == 0 {
		fmt.Fprintln(os.Stderr, err)
		code = 1
	}
	os.Exit(code)
}
