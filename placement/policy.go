package placement

// Policy names a way of choosing targets. All but Ragwortpond are baselines
// for measurements.
type Policy string

// The policies.
const (
	// Ragwortpond goes to the chat's context within the load bound.
	Ragwortpond Policy = "ragwortpond"
	// Random chooses a target at random for each request.
	Random Policy = "random"
	// LeastLoaded chooses the target that has least load in the router's own
	// view.
	LeastLoaded Policy = "least-loaded"
	// Rendezvous hashes chats over the targets without a bound.
	Rendezvous Policy = "rendezvous"
)

// Policies returns every policy, the baselines first.
func Policies() []Policy {
	return []Policy{Random, LeastLoaded, Rendezvous, Ragwortpond}
}

// Bounded reports whether homes hold the load bound under the policy.
func (p Policy) Bounded() bool {
	return p == Ragwortpond || p == ""
}
