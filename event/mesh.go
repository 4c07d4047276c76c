package event

import "github.com/rs/zerolog"

// Events of packages mesh and streamversion, 3300 to 3399.
var (
	RouterDiscovered   = define(3300, zerolog.InfoLevel, "router-heard", "A message arrived from another router for the first time, or for the first time after its restart.")
	RouterLeaving      = define(3301, zerolog.InfoLevel, "router-leaving", "Another router announced that it is leaving.")
	ViewFetched        = define(3302, zerolog.InfoLevel, "view-fetched", "This router fetched missed changes from another router; the fields give both revisions.")
	MeshFault          = define(3303, zerolog.WarnLevel, "mesh-fault", "A datagram could not be read or sent, or a fetch from another router failed.")
	PermitHolderSilent = define(3304, zerolog.InfoLevel, "permit-holder-silent", "The router that grants the sends to a target with a limit did not answer; this router sends at most its own part of the limit for a moment.")
	EvidenceNotPushed  = define(3309, zerolog.WarnLevel, "evidence-not-pushed", "Evidence of crashes was over the bound on what is sent at once to other routers; they receive it with heartbeats, which takes longer.")
	SplitChanged       = define(3305, zerolog.InfoLevel, "version-split", "This router learned of a new split of a service's new streams among the software versions of its targets; the fields give its revision and the weight of each version.")
	SplitUnread        = define(3306, zerolog.WarnLevel, "version-split-unread", "The splits under which a stream may have begun could not be read from the store; the stream goes on only if this router knows its version otherwise.")
	SplitUnchanged     = define(3307, zerolog.WarnLevel, "version-split-unchanged", "A service's split among software versions should change but could not be written to the store; another attempt follows.")
	StreamVersionFound = define(3308, zerolog.InfoLevel, "stream-version", "A stream is taken up again; the fields give its version, empty if that is not known, the basis (the only version, a record of this router or of another one, or the splits), the revision of the split that the router knew, how long before its targets were confirmed and by what (the store or a router), and whether it was connected to most others.")
)
