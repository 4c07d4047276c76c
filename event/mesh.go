package event

import "github.com/rs/zerolog"

// Events of package mesh, 3300 to 3399.
var (
	RouterDiscovered   = define(3300, zerolog.InfoLevel, "router-heard", "A message arrived from another router for the first time, or for the first time after its restart.")
	RouterLeaving      = define(3301, zerolog.InfoLevel, "router-leaving", "Another router announced that it is leaving.")
	ViewFetched        = define(3302, zerolog.InfoLevel, "view-fetched", "This router fetched missed changes from another router; the fields give both revisions.")
	MeshFault          = define(3303, zerolog.WarnLevel, "mesh-fault", "A datagram could not be read or sent, or a fetch from another router failed.")
	PermitHolderSilent = define(3304, zerolog.InfoLevel, "permit-holder-silent", "The router that grants the sends to a target with a limit did not answer; this router sends at most its own part of the limit for a moment.")
)
