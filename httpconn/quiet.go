package httpconn

import "github.com/cloudwego/hertz/pkg/common/hlog"

// hertz logs through one logger for the whole process, which may not be set
// while any of its servers runs. What it logs are faults of connections, which
// this module counts itself.
func init() {
	hlog.SetSilentMode(true)
	hlog.SetLevel(hlog.LevelFatal)
}
