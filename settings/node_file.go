package settings

import (
	"math"
	"time"

	"ragwortpond.example/ragwortpond/fleet"
)

// NodeFile is the content of the start file of a router that dispatches directly.
type NodeFile struct {
	ID     fleet.RouterID   `json:"id"`
	Domain fleet.DomainName `json:"failure_domain"`
	// ClientAddr, ReadyAddr, PeerAddr and MetricsAddr are host:port of the
	// listeners for clients, for the platform's readiness probe, for other routers
	// and for metrics.
	ClientAddr  string `json:"client_addr"`
	ReadyAddr   string `json:"ready_addr"`
	PeerAddr    string `json:"peer_addr"`
	MetricsAddr string `json:"metrics_addr"`
	// Seeds are peer addresses of the routers to contact at the start; they may be
	// stale.
	Seeds []string `json:"seeds"`
	// StoreAddr is host:port of the platform's store.
	StoreAddr string `json:"store_addr"`
	// MemoryMB is the maximum memory of the process, in MB.
	MemoryMB float64 `json:"memory_mb"`
	// Cores and LinkMbps are the VM's CPU and network capacity, in cores and
	// Mbit/s. They determine which routers do work for others; see Strength.
	Cores    float64 `json:"cores"`
	LinkMbps float64 `json:"link_mbps"`
	// GraceSeconds is the time between the stop signal and the kill, in seconds.
	GraceSeconds float64 `json:"grace_s"`
	// ConfigMillis and LeavingMillis are the times, in milliseconds, within which a
	// change of the configuration must be in force everywhere, and within which a
	// leaving target must get no more requests.
	ConfigMillis  float64 `json:"config_ms"`
	LeavingMillis float64 `json:"leaving_ms"`
	// ColdOver and ColdSlack bound the requests that a cold target gets from all routers
	// in a second: its rate times ColdOver, and ColdSlack more. ColdOver of zero, or null,
	// means that they are not bounded.
	ColdOver  float64 `json:"cold_over"`
	ColdSlack float64 `json:"cold_slack"`
	// EvacuationMillis is the time, in milliseconds, within which a failure domain's targets
	// must get no more requests after the operator has asked for that. Zero means that the
	// deployment has no evacuations.
	EvacuationMillis float64     `json:"evacuation_ms,omitempty"`
	RetryBudget      RetryBudget `json:"repeats"`
	// LogLevel is a zerolog level; empty means info.
	LogLevel string `json:"log_level,omitempty"`
}

// RetryBudget limits how many requests are sent to a second target. The limit
// applies to each service, over all routers together.
type RetryBudget struct {
	// Ratio is the number of repeats allowed per request.
	Ratio float64 `json:"ratio"`
	// Extra is the number of repeats allowed in addition in each window.
	Extra float64 `json:"extra"`
	// WindowSeconds is the length of the window in seconds.
	WindowSeconds float64 `json:"window_s"`
}

// Minimum CPU cores and network Mbit/s of medium and strong VMs.
const (
	mediumCores, strongCores = 0.25, 0.35
	mediumMbps, strongMbps   = 40, 90
)

// Strength classifies the VM by the work that it can do for other routers: 0 is
// weak, 1 medium, 2 strong.
func (n *NodeFile) Strength() uint8 {
	switch {
	case n.Cores >= strongCores && n.LinkMbps >= strongMbps:
		return 2
	case n.Cores >= mediumCores && n.LinkMbps >= mediumMbps:
		return 1
	default:
		return 0
	}
}

// ChangeBound returns the time within which a change in the store must be known to all
// routers: the shorter one of the times set, at least minChangeBound. Zero means that
// a time is not set.
func (n *NodeFile) ChangeBound() time.Duration {
	bound := math.Inf(1)
	for _, millis := range []float64{n.ConfigMillis, n.LeavingMillis} {
		if millis > 0 {
			bound = min(bound, millis)
		}
	}
	if math.IsInf(bound, 1) {
		return defaultChangeBound
	}
	return max(time.Duration(bound*float64(time.Millisecond)), minChangeBound)
}

// EvacuationBound returns the time within which an evacuation must be in force at all routers; zero
// means that the deployment has none.
func (n *NodeFile) EvacuationBound() time.Duration {
	return time.Duration(n.EvacuationMillis * float64(time.Millisecond))
}

// StopGrace returns the time between the stop signal and the kill.
func (n *NodeFile) StopGrace() time.Duration {
	return time.Duration(n.GraceSeconds * float64(time.Second))
}

// Window returns the length of the window in which repeats are counted.
func (r *RetryBudget) Window() time.Duration {
	return time.Duration(r.WindowSeconds * float64(time.Second))
}

// Bounds of the time within which changes in the store must be known everywhere.
const (
	// minChangeBound keeps watchers from reading each change with a call of its own.
	minChangeBound = 500 * time.Millisecond
	// defaultChangeBound applies where a deployment sets no time.
	defaultChangeBound = 2 * time.Second
)

// maxNodeNumber is the maximum of every number in a node's start file.
const maxNodeNumber = 1e6

// nonEmptyCheck checks a name that the platform assigns. Such a name need not
// satisfy fleet.ValidName.
var nonEmptyCheck = text("a name", func(s string) bool { return s != "" })

var nodeSchema = object(
	field{"id", true, nonEmptyCheck},
	field{"failure_domain", true, nonEmptyCheck},
	field{"client_addr", true, addrCheck},
	field{"ready_addr", true, addrCheck},
	field{"peer_addr", true, addrCheck},
	field{"metrics_addr", true, addrCheck},
	field{"seeds", false, list(addrCheck)},
	field{"store_addr", true, addrCheck},
	field{"memory_mb", true, nullable(number(1, maxNodeNumber, false))},
	field{"cores", true, nullable(number(0, maxNodeNumber, false))},
	field{"link_mbps", true, nullable(number(0, maxNodeNumber, false))},
	field{"grace_s", true, nullable(number(0, maxNodeNumber, false))},
	field{"config_ms", false, nullable(number(0, maxNodeNumber, false))},
	field{"leaving_ms", false, nullable(number(0, maxNodeNumber, false))},
	field{"cold_over", false, nullable(number(0, maxNodeNumber, false))},
	field{"cold_slack", false, nullable(number(0, maxNodeNumber, false))},
	field{"evacuation_ms", false, nullable(number(0, maxNodeNumber, false))},
	field{"repeats", true, object(
		field{"ratio", true, nullable(number(0, maxNodeNumber, false))},
		field{"extra", true, nullable(number(0, maxNodeNumber, false))},
		field{"window_s", true, nullable(number(0, maxNodeNumber, false))},
	)},
	field{"log_level", false, text("a log level", validLevel)},
)

// defaultNode holds the values used for numbers that a deployment leaves null:
// the smallest VM and the shortest grace of the users' deployments, and the
// usual limits on repeats.
var defaultNode = NodeFile{
	MemoryMB: 184, Cores: 0.2, LinkMbps: 10, GraceSeconds: 8,
	RetryBudget: RetryBudget{Ratio: 0.2, Extra: 50, WindowSeconds: 10},
}

// nullable returns a check that accepts null, which stands for a value that the
// deployment does not set, and else applies c.
func nullable(c check) check {
	return func(ch *checker, pointer string, v any) {
		if v != nil {
			c(ch, pointer, v)
		}
	}
}

// LoadNodeFile reads and checks the start file of a router that dispatches
// directly. With findings it returns a zero NodeFile.
func LoadNodeFile(file string) (NodeFile, Findings) {
	return loadFile(file, nodeSchema, defaultNode)
}
