package event

import "github.com/rs/zerolog"

// Events of package peer, 1300 to 1399.
var (
	PeerBusy = define(1300, zerolog.WarnLevel, "peer-busy", "A stream from a peer was refused because all handlers are busy.")
)
