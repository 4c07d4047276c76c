package event

import "github.com/rs/zerolog"

// Events of package journal, 2000 to 2099.
var (
	JournalLayoutMade    = define(2000, zerolog.InfoLevel, "journal-layout-made", "This router wrote the journal's layout, the first to do so.")
	JournalLayoutRaised  = define(2001, zerolog.InfoLevel, "journal-layout-raised", "The journal keeps keys for longer from now on, as the settings say.")
	JournalShardsFixed   = define(2002, zerolog.WarnLevel, "journal-shards-fixed", "The settings ask for another number of shards than the journal was made with; the number stays as it was.")
	JournalUnavailable   = define(2003, zerolog.WarnLevel, "journal-unavailable", "Intents cannot be recorded; requests with an idempotency key are refused as not run. Look at the platform.")
	JournalCellFull      = define(2004, zerolog.ErrorLevel, "journal-cell-full", "A cell of the journal is full; its keys are refused as not run until older ones expire. Shorten the retention or use keys that carry their time.")
	JournalCellUnread    = define(2005, zerolog.ErrorLevel, "journal-cell-unread", "A cell of the journal cannot be decoded; its keys are refused as not run.")
	JournalBacklogFull   = define(2006, zerolog.WarnLevel, "journal-backlog-full", "Too many results wait to be recorded; the oldest is given up and its request reads as unknown.")
	JournalCellsDropped  = define(2007, zerolog.DebugLevel, "journal-cells-dropped", "Cells whose keys have all expired were deleted.")
	JournalOwnerUnknown  = define(2008, zerolog.InfoLevel, "journal-owner-unknown", "The router that owns a record is gone without a result; the request reads as unknown.")
	JournalStoppedUnsaid = define(2009, zerolog.WarnLevel, "journal-stopped-unsaid", "The router stops with results that could not be recorded; their requests read as unknown.")
)
