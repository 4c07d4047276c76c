package catalog

import (
	"testing"
	"time"
)

func TestProcessReplacesEarlierOne(t *testing.T) {
	process := func(started int64, revision, era uint64) Process {
		return Process{time.Unix(started, 0), revision, era}
	}
	old := process(10, 100, 1)
	for name, test := range map[string]struct {
		process Process
		want    bool
	}{
		"same process":           {process(10, 200, 1), false},
		"same process, next era": {process(10, 50, 2), false},
		"later start":            {process(11, 200, 1), true},
		"later entry of a clock that was set back": {process(9, 200, 1), true},
		"earlier entry":              {process(9, 50, 1), false},
		"earlier start in a copy":    {process(9, 200, 2), false},
		"later start after the copy": {process(11, 50, 2), true},
		"entry of an earlier era":    {process(11, 200, 0), false},
	} {
		if got := test.process.Replaces(old); got != test.want {
			t.Errorf("%s: got %t, want %t", name, got, test.want)
		}
	}
}
