// Package overload decides which requests to a service are refused while its targets have too little room.
//
// It answers this load: for seconds or longer, clients send more work than the targets of a service finish, and each
// of many routers sees only the few requests that it places. Without a decision the queues of the targets stay full,
// so that most answers are late and the rest is rejected by chance. A Controller keeps the answers that are still
// given on time by refusing at once the requests whose refusal costs callers least: those of less urgent requests,
// of client accounts that send more than their usual and their fair share, and those that need more work than others.
// No kind of request is refused beyond MaxRefused.
//
// With no evidence of want of room, every request is admitted. The routers decide alone, from what their own requests
// meet, and all by the same rule, so that their sum is steady although each of them sees little.
//
// The package does no I/O; the current time and random points are parameters.
package overload
