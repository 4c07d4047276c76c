package event

import "github.com/rs/zerolog"

// Events of package journal, 2000 to 2099.
var (
	JournalLayoutCreated      = define(2000, zerolog.InfoLevel, "journal-layout-made", "This router was the first to write the journal's layout.")
	JournalRetentionExtended  = define(2001, zerolog.InfoLevel, "journal-layout-raised", "The journal's retention of keys was raised to the value in the settings.")
	JournalShardMismatch      = define(2002, zerolog.WarnLevel, "journal-shards-fixed", "The settings give another number of shards than the journal was created with; the number stays unchanged.")
	JournalUnavailable        = define(2003, zerolog.WarnLevel, "journal-unavailable", "Intents cannot be recorded; requests with an idempotency key are refused as not run. Check the platform.")
	JournalCellFull           = define(2004, zerolog.ErrorLevel, "journal-cell-full", "A cell of the journal is full; its keys are refused as not run until older ones expire. Shorten the retention or use keys that contain their time.")
	JournalCellUndecodable    = define(2005, zerolog.ErrorLevel, "journal-cell-unread", "A cell of the journal cannot be decoded; its keys are refused as not run.")
	JournalBacklogFull        = define(2006, zerolog.WarnLevel, "journal-backlog-full", "Too many results wait to be recorded; the oldest is discarded and its request is reported as unknown.")
	JournalCellsDropped       = define(2007, zerolog.DebugLevel, "journal-cells-dropped", "Cells whose keys have all expired were deleted.")
	JournalOwnerUnknown       = define(2008, zerolog.InfoLevel, "journal-owner-unknown", "The router that owns a record is gone and left no result; the request is reported as unknown.")
	JournalStoppedWithBacklog = define(2009, zerolog.WarnLevel, "journal-stopped-unsaid", "The router stopped with results that could not be recorded; their requests are reported as unknown.")
)
