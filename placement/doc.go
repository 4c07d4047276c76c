// Package placement decides where requests go: the candidate order of a chat's
// targets, the home router of each target, and the bound on a target's load.
//
// The package does no I/O and starts no goroutines; clock and randomness are
// passed in. Functions and immutable values are safe for concurrent use; types
// that hold state say so.
package placement
