package event

import "github.com/rs/zerolog"

// Events of package engine, 1500 to 1599.
var (
	EnginePollFailed  = define(1500, zerolog.DebugLevel, "engine-poll-failed", "An engine did not answer for its load; its reports count for some seconds longer.")
	CacheEventsMissed = define(1501, zerolog.InfoLevel, "cache-events-missed", "Cache events of an engine were missed; what is known of its chats is unsure until they return.")
)
