package placement

// Policy is a method of choosing targets. All policies but Ragwortpond are
// baselines for measurements.
type Policy string

// The policies.
const (
	// Ragwortpond prefers the target that holds the chat's context, within the
	// load bound.
	Ragwortpond Policy = "ragwortpond"
	// Random chooses a random target for each request.
	Random Policy = "random"
	// LeastLoaded chooses the target with the least load per weight as this
	// router sees it.
	LeastLoaded Policy = "least-loaded"
	// Rendezvous distributes chats over targets by rendezvous hashing without a
	// load bound.
	Rendezvous Policy = "rendezvous"
)

// Policies returns all policies, the baselines first.
func Policies() []Policy {
	return []Policy{Random, LeastLoaded, Rendezvous, Ragwortpond}
}

// Bounded reports whether homes enforce the load bound under the policy.
func (p Policy) Bounded() bool {
	return p == Ragwortpond || p == ""
}
