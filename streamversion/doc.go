// Package streamversion keeps each resumable stream at the software version of the target
// that began it, because what two versions write does not fit together.
//
// The version of a new stream follows from the ID of its request and from the service's
// split, which divides new streams among the versions in proportion to their targets. The
// splits in force and before are an object of the platform's store, so that a router that
// has just started finds the version of a stream that another one began. As long as a
// change of the split makes that ambiguous, routers also record what they begin at
// others.
//
// Split, History, Plan and Registry decide without I/O; Service reads and writes the store
// and asks other routers.
package streamversion
