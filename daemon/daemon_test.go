package daemon

import (
	"bytes"
	"errors"
	"strings"
	"testing"

	"github.com/urfave/cli/v3"
)

func TestExitCodes(t *testing.T) {
	for _, test := range []struct {
		err  error
		want int
	}{{nil, 0}, {errors.New("no room"), ExitFailed}, {cli.Exit("a finding", ExitFindings), ExitFindings}} {
		var out bytes.Buffer
		if got := exitCode(test.err, &out); got != test.want || (test.err != nil) != strings.Contains(out.String(), "\n") {
			t.Errorf("%v: got code %d and output %q, want code %d and a printed error", test.err, got, out.String(), test.want)
		}
	}
}

func TestLogFiltersByLevel(t *testing.T) {
	var out bytes.Buffer
	log, err := NewLog(&out, "warn")
	if err != nil {
		t.Fatal(err)
	}
	log.Info().Msg("low")
	log.Warn().Msg("high")
	log.Close()
	if text := out.String(); strings.Contains(text, "low") || !strings.Contains(text, "high") || !strings.Contains(text, `"time"`) {
		t.Errorf("got log %q, want only the warning, with a time", text)
	}
	if _, err := NewLog(&out, "loud"); err == nil {
		t.Error("unknown log level: got no error, want one")
	}
}
