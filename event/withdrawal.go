package event

import "github.com/rs/zerolog"

// Events of package withdrawal, 2300 to 2399.
var (
	WithdrawalStarted   = define(2300, zerolog.InfoLevel, "withdrawal-started", "A target is leaving; this router, its home, drains it.")
	WithdrawalEmpty     = define(2301, zerolog.InfoLevel, "withdrawal-empty", "A leaving target has no requests in flight and the chats worth moving were moved; it can be stopped.")
	WithdrawalOverdue   = define(2302, zerolog.WarnLevel, "withdrawal-overdue", "The time limit of a withdrawal passed with requests in flight; they are aborted if the target stops now.")
	WithdrawalCancelled = define(2303, zerolog.InfoLevel, "withdrawal-called-off", "The withdrawal of a target was cancelled; the target serves again.")
	WithdrawalMoveFault = define(2304, zerolog.WarnLevel, "withdrawal-move-fault", "The KV cache of a chat could not be moved; its prompt is processed again at its next request.")
)
