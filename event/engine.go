package event

import "github.com/rs/zerolog"

// Events of package engine, 1500 to 1599.
var (
	EnginePollFailed  = define(1500, zerolog.DebugLevel, "engine-poll-failed", "An engine did not answer a load poll; its last report stays in use for a few seconds.")
	CacheEventsMissed = define(1501, zerolog.InfoLevel, "cache-events-missed", "Cache events of an engine were missed; its chats are unconfirmed until they are used again.")
)
