package event

import "github.com/rs/zerolog"

// Events of package mesh, 3300 to 3399.
var (
	MeshJoined  = define(3300, zerolog.InfoLevel, "router-heard", "Another router was heard for the first time, or again after a restart.")
	MeshGone    = define(3301, zerolog.InfoLevel, "router-leaving", "Another router said that it leaves.")
	MeshFetched = define(3302, zerolog.InfoLevel, "view-fetched", "This router took from another one what it had missed; the fields give both revisions.")
	MeshFault   = define(3303, zerolog.WarnLevel, "mesh-fault", "A datagram could not be read or sent, or another router did not give what it holds.")
)
