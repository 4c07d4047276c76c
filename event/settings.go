package event

import "github.com/rs/zerolog"

// Events of package settings/propagate, 2100 to 2199.
var (
	SettingsReady       = define(2100, zerolog.InfoLevel, "settings-ready", "The settings are known; the fields give their revision and the queried sources.")
	SettingsLoadFailed  = define(2101, zerolog.WarnLevel, "settings-waiting", "The settings could not be read from the platform or a peer yet; the router retries and is not ready.")
	SettingsFindings    = define(2102, zerolog.ErrorLevel, "settings-findings", "Stored documents have findings and are ignored or used without their unknown keys; correct them through the administration API.")
	SettingsWatchFailed = define(2103, zerolog.WarnLevel, "settings-watch-failed", "The watch on the platform failed and is retried; until it works, changes arrive from other failure domains.")
	SettingsDiverged    = define(2104, zerolog.ErrorLevel, "settings-diverged", "A router that is complete at the same revision has different settings; report it as a fault.")
)
