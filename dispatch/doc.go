// Package dispatch chooses the target of a request when every router sends to
// every target directly, and another target from which the chosen one can fetch
// the prompt's cache.
//
// The package does no I/O; time and randomness are parameters. Functions are safe
// for concurrent use.
package dispatch
