package event

import "github.com/rs/zerolog"

// Events of package operator, 1200 to 1299.
var (
	OperatorListening     = define(1200, zerolog.InfoLevel, "operator-listening", "The administration API listens.")
	OperatorChange        = define(1201, zerolog.InfoLevel, "operator-change", "Audit: an operator's change was accepted; the fields give operator, object and version.")
	OperatorRefused       = define(1202, zerolog.WarnLevel, "operator-refused", "Audit: an operator's request was refused; the reason says why.")
	OperatorResultUnknown = define(1203, zerolog.ErrorLevel, "operator-unknown", "Audit: the platform did not say whether a change was accepted before the request ended; read the object.")
)
