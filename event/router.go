package event

import "github.com/rs/zerolog"

// Events of package router, 1000 to 1099.
var (
	RouterStarted        = define(1000, zerolog.InfoLevel, "router-started", "The router listens on all its addresses.")
	RouterReady          = define(1001, zerolog.InfoLevel, "router-ready", "Settings and members are known; the router accepts requests.")
	RouterDraining       = define(1002, zerolog.InfoLevel, "router-draining", "The router no longer accepts requests and finishes those in flight.")
	RouterStopped        = define(1003, zerolog.InfoLevel, "router-stopped", "The router has stopped; the fields say which requests were aborted, if any.")
	RouterFault          = define(1004, zerolog.ErrorLevel, "router-fault", "A part of the router failed unexpectedly.")
	HomeUnresponsive     = define(1005, zerolog.WarnLevel, "home-silent", "A home router could not be reached or did not accept an attempt in time; other routers substitute for it for a short time.")
	RouterHandoverFailed = define(1006, zerolog.WarnLevel, "router-hand-over-fault", "A stopping router could not hand chats over; their prompts are processed again at their next requests.")
	StreamLost           = define(1007, zerolog.InfoLevel, "stream-lost", "The stream of an attempt between entry and home broke; the request continues.")
)
