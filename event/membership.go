package event

import "github.com/rs/zerolog"

// Events of package membership, 2200 to 2299.
var (
	MembershipChanged      = define(2200, zerolog.DebugLevel, "membership-changed", "The set of routers that receive work has changed; the field gives its size.")
	MembershipLeaving      = define(2201, zerolog.InfoLevel, "membership-leaving", "This router announced that it is leaving the fleet.")
	MembershipVMListFailed = define(2202, zerolog.WarnLevel, "membership-vm-list", "The platform's VM list could not be read; the last list stays in use.")
	MembershipSyncFailed   = define(2203, zerolog.DebugLevel, "membership-sync-failed", "Another router did not answer an exchange of membership tables; the exchange is retried.")
	MembershipBadMessage   = define(2204, zerolog.WarnLevel, "membership-bad-message", "A membership message could not be decoded and was dropped.")
)
