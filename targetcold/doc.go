// Package targetcold keeps all routers of a fleet together within the rate of requests that
// cold targets take: targets that have just started, or that have become cold again.
//
// The rate is one number for the whole fleet, which the configuration names, and the entries of
// targets tell until when it holds. For each cold target one router, the holder of its permits,
// grants the sends of all routers. What the bound leaves beyond the rate is kept for the time in
// which routers disagree: for the router that grants in place of the holder, for routers that
// reach neither, and for sends in flight.
//
// The package does no I/O; the current time and the randomness are parameters. A Tracker is safe
// for concurrent use.
package targetcold
