package event

import "github.com/rs/zerolog"

// Events of package router, 1000 to 1099.
var (
	RouterStarted       = define(1000, zerolog.InfoLevel, "router-started", "The router listens on all its addresses.")
	RouterReady         = define(1001, zerolog.InfoLevel, "router-ready", "Settings and members are known; the router takes requests.")
	RouterDraining      = define(1002, zerolog.InfoLevel, "router-draining", "The router stops taking requests and finishes those in flight.")
	RouterStopped       = define(1003, zerolog.InfoLevel, "router-stopped", "The router has stopped; the fields say what was cut, if anything.")
	RouterFault         = define(1004, zerolog.ErrorLevel, "router-fault", "A part of the router failed unexpectedly.")
	HomeSilent          = define(1005, zerolog.WarnLevel, "home-silent", "A home router could not be reached or did not take an attempt in time; others stand in for it for a moment.")
	RouterHandOverFault = define(1006, zerolog.WarnLevel, "router-hand-over-fault", "A stopping router could not hand chats over; they are read anew when they return.")
	StreamLost          = define(1007, zerolog.InfoLevel, "stream-lost", "The stream of an attempt broke between entry and home; the life cycle of the request goes on.")
)
