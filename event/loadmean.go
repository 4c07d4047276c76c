package event

import "github.com/rs/zerolog"

// Events of package loadmean, 2500 to 2599.
var (
	LoadMeanBadMessage = define(2500, zerolog.WarnLevel, "load-mean-bad-message", "A load report could not be decoded and was dropped.")
)
