package standin_test

import (
	"io"
	"testing"

	"github.com/cloudwego/hertz/pkg/common/hlog"
	"go.uber.org/goleak"
)

// TestMain checks for leaked goroutines. Two kinds belong to the HTTP library: one
// clock goroutine for each process, and one connection cleaner for each client,
// which ends after the client's idle time.
func TestMain(m *testing.M) {
	hlog.SetOutput(io.Discard)
	goleak.VerifyTestMain(m,
		goleak.IgnoreAnyFunction("github.com/cloudwego/hertz/pkg/protocol.UpdateServerDate.func1"),
		goleak.IgnoreAnyFunction("github.com/cloudwego/hertz/pkg/protocol/http1.(*HostClient).connsCleaner"),
	)
}
