package event

import "github.com/rs/zerolog"

// Events of package withdrawal, 2300 to 2399.
var (
	WithdrawalStarted   = define(2300, zerolog.InfoLevel, "withdrawal-started", "A target is leaving; this router, its home, empties it.")
	WithdrawalEmpty     = define(2301, zerolog.InfoLevel, "withdrawal-empty", "Nothing is in flight on a leaving target and the chats worth it were moved; it may go.")
	WithdrawalOverdue   = define(2302, zerolog.WarnLevel, "withdrawal-overdue", "The limit of a withdrawal passed with work in flight; what is in flight is cut if the target goes now.")
	WithdrawalCalledOff = define(2303, zerolog.InfoLevel, "withdrawal-called-off", "A target that was leaving serves again.")
	WithdrawalMoveFault = define(2304, zerolog.WarnLevel, "withdrawal-move-fault", "The KV cache of a chat could not be moved; the chat is read anew when it returns.")
)
