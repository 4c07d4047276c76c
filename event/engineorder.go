package event

import "github.com/rs/zerolog"

// Events of packages engineorder and router/ordering, 2600 to 2699.
var (
	EngineOrderSent       = define(2600, zerolog.InfoLevel, "engine-order-sent", "An engine accepted an order; its state is read back next.")
	EngineOrderFault      = define(2601, zerolog.WarnLevel, "engine-order-fault", "An order, or a state read or grant that it requires, failed; the next round decides again.")
	EngineOrderSuperseded = define(2602, zerolog.InfoLevel, "engine-order-superseded", "An engine has an order with a newer fencing number; this router's order was dropped.")
	EngineOrderExpired    = define(2603, zerolog.InfoLevel, "engine-order-lapsed", "An order was not sent because it had expired or the home had changed; the next round decides again.")
	EngineOrderNotApplied = define(2604, zerolog.WarnLevel, "engine-order-unheeded", "An engine accepted an order, but the state read back does not show it yet.")
)
