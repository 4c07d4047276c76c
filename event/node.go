package event

import "github.com/rs/zerolog"

// Events of package node, 3200 to 3299.
var (
	NodeStarted  = define(3200, zerolog.InfoLevel, "node-started", "The process listens; the fields give its location and settings.")
	NodeReady    = define(3201, zerolog.InfoLevel, "node-ready", "The process became ready for clients, or is no longer ready.")
	NodeDraining = define(3202, zerolog.InfoLevel, "node-draining", "The process received a stop signal and finishes its requests.")
	NodeStopped  = define(3203, zerolog.InfoLevel, "node-stopped", "The process ends; the fields say which requests were aborted.")
	NodeReloaded = define(3204, zerolog.InfoLevel, "settings-reloaded", "The settings file was read again; the fields say what changed.")
	NodeFault    = define(3205, zerolog.ErrorLevel, "node-fault", "A part of the process failed unexpectedly.")
	NodeLeft     = define(3206, zerolog.InfoLevel, "node-left", "The platform sends this process, which stops, no more clients; the fields count the idle connections that are closed so that their clients go elsewhere, and the requests in progress.")

	ClientConnsDropped = define(3240, zerolog.WarnLevel, "client-conns-dropped", "Connections that had not sent a whole request head were closed for a bound of their listener; the fields give how many since the last such line, by bound.")
)
