package httpconn

import "github.com/cloudwego/hertz/pkg/common/hlog"

// Hertz has one logger for the whole process, and it must not be configured
// while a hertz server is running, so logging is disabled during
// initialization. Hertz logs connection errors, which this module counts
// itself.
func init() {
	hlog.SetSilentMode(true)
	hlog.SetLevel(hlog.LevelFatal)
}
