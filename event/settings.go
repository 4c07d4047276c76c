package event

import "github.com/rs/zerolog"

// Events of package settings/propagate, 2100 to 2199.
var (
	SettingsReady    = define(2100, zerolog.InfoLevel, "settings-ready", "The settings are known; the fields give their revision and the sources asked.")
	SettingsWaiting  = define(2101, zerolog.WarnLevel, "settings-waiting", "Neither the platform nor a peer has given the settings yet; the router retries and is not ready.")
	SettingsFindings = define(2102, zerolog.ErrorLevel, "settings-findings", "Stored documents have findings and are left out or used without their unknown keys; correct them by the administration API.")
	SettingsWatch    = define(2103, zerolog.WarnLevel, "settings-watch-failed", "The watch on the platform failed; it is retried, and changes come from other failure domains meanwhile.")
	SettingsDiverged = define(2104, zerolog.ErrorLevel, "settings-diverged", "A router that is complete at the same revision holds other settings; report it as a fault.")
)
