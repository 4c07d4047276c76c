// Package dispatch decides which target a request goes to when every router
// sends to every target itself, and where the target can fetch the prompt's
// cache.
//
// The package does no I/O; clock and randomness are passed in. Functions are
// safe for concurrent use.
package dispatch
