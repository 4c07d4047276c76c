package event

import "github.com/rs/zerolog"

// Events of package crashrecord, 3500 to 3599.
var (
	CrashRecordRead      = define(3500, zerolog.InfoLevel, "crash-record-read", "The store told this router of crashes and verdicts of the quarantine that it did not know.")
	CrashRecordWritten   = define(3501, zerolog.InfoLevel, "crash-record-written", "Crashes and verdicts of the quarantine were written to the store, for routers that start when no other one knows them.")
	CrashRecordUnread    = define(3502, zerolog.WarnLevel, "crash-record-unread", "What the store holds of crashes and verdicts of the quarantine could not be read; it is tried again.")
	CrashRecordUnwritten = define(3503, zerolog.WarnLevel, "crash-record-unwritten", "Crashes and verdicts of the quarantine could not be written to the store; it is tried again. If all routers end before, they are forgotten.")
)
