// Package targetlimit keeps the rate limits that targets name in their responses, and
// holds all routers of a fleet together to them.
//
// A limit is one number for the whole fleet. For each target one router, its permit
// holder, grants the sends of all routers from one token bucket. A router that cannot
// reach the holder sends at most an equal part of the limit.
//
// The package does no I/O; the current time is a parameter. A Tracker is safe for
// concurrent use.
package targetlimit
