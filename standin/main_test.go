package standin_test

import (
	"io"
	"testing"

	"github.com/cloudwego/hertz/pkg/common/hlog"
	"go.uber.org/goleak"
)

// The HTTP library keeps one clock goroutine for the process, and one cleaner
// for each client until its idle time has passed.
func TestMain(m *testing.M) {
	hlog.SetOutput(io.Discard)
	goleak.VerifyTestMain(m,
		goleak.IgnoreAnyFunction("github.com/cloudwego/hertz/pkg/protocol.UpdateServerDate.func1"),
		goleak.IgnoreAnyFunction("github.com/cloudwego/hertz/pkg/protocol/http1.(*HostClient).connsCleaner"),
	)
}
