package event

import "github.com/rs/zerolog"

// Events of package directory, 3100 to 3199.
var (
	ConfigInForce        = define(3100, zerolog.InfoLevel, "config-in-force", "This router applied a new version of the configuration.")
	TargetChanged        = define(3101, zerolog.InfoLevel, "target-known", "The state of a target in the store changed: ready, leaving, restarted or gone.")
	StoreLost            = define(3102, zerolog.WarnLevel, "store-lost", "The store does not answer; the router continues with its last known configuration and targets.")
	StoreRegained        = define(3103, zerolog.InfoLevel, "store-regained", "The store answers again.")
	StoreWatchChanged    = define(3105, zerolog.InfoLevel, "store-watch", "This router started or stopped watching the store on behalf of its failure domain.")
	ConfigOutdated       = define(3106, zerolog.InfoLevel, "config-outdated", "The store came back from a copy with an older version of the configuration than the one in force, which stays.")
	EvacuationInForce    = define(3107, zerolog.InfoLevel, "evacuation-in-force", "The operator asks that nothing more be sent to the targets of a failure domain; this router sends them nothing more.")
	EvacuationEnded      = define(3108, zerolog.InfoLevel, "evacuation-ended", "The evacuation of a failure domain was taken back; this router uses its targets again.")
	EvacuationOfNoTarget = define(3109, zerolog.WarnLevel, "evacuation-of-no-target", "The evacuated failure domain has no target; check its name.")
	EvacuationsUnknown   = define(3110, zerolog.WarnLevel, "evacuations-unknown", "Neither the store nor another router could tell which failure domains are evacuated in time; this router serves without knowing.")
	ConfigAdmitsNobody   = define(3111, zerolog.WarnLevel, "config-admits-nobody", "The configuration in force has a list of client accounts in which none has a key; only public routes are served. Without the list, requests need no key.")
	StoreEntryInvalid    = define(3104, zerolog.WarnLevel, "entry-unusable", "An entry of the store is invalid and is ignored.")
)
