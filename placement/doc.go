// Package placement decides where requests are sent: the order in which a
// chat's candidate targets are tried, the home router of each target, and the
// bound on a target's load. The home router of a target admits requests to the
// target, enforces the load bound and records which chats have their context
// there.
//
// The package does no I/O and starts no goroutines; time and randomness are
// passed in. Functions and immutable values are safe for concurrent use; the
// documentation of each mutable type states whether it is.
package placement
