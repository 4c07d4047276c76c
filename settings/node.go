package settings

import (
	"time"

	"ragwortpond.example/ragwortpond/fleet"
)

// Node is the start file of a router that dispatches directly.
type Node struct {
	ID     fleet.RouterID   `json:"id"`
	Domain fleet.DomainName `json:"failure_domain"`
	// ClientAddr, ReadyAddr, PeerAddr and MetricsAddr are host:port of the
	// listeners for clients, for the platform's question whether the router is
	// ready, for other routers and for metrics.
	ClientAddr  string `json:"client_addr"`
	ReadyAddr   string `json:"ready_addr"`
	PeerAddr    string `json:"peer_addr"`
	MetricsAddr string `json:"metrics_addr"`
	// Seeds are addresses of routers to begin with; they may be stale.
	Seeds []string `json:"seeds"`
	// StoreAddr is host:port of the platform's store.
	StoreAddr string `json:"store_addr"`
	// MemoryMB is the memory that the process may use, in MB.
	MemoryMB float64 `json:"memory_mb"`
	// Cores and LinkMbps are the VM's processor and network; they decide which
	// routers do work for others.
	Cores    float64 `json:"cores"`
	LinkMbps float64 `json:"link_mbps"`
	// GraceS is the time from the signal to stop to the kill, in seconds.
	GraceS  float64 `json:"grace_s"`
	Repeats Repeats `json:"repeats"`
	// LogLevel is a zerolog level; empty means info.
	LogLevel string `json:"log_level,omitempty"`
}

// Repeats bound how often requests are sent to a second target, over all
// routers and for each service.
type Repeats struct {
	// Ratio is the repeats allowed for each request.
	Ratio float64 `json:"ratio"`
	// Extra is the repeats allowed on top in each window.
	Extra float64 `json:"extra"`
	// WindowS is the window in seconds.
	WindowS float64 `json:"window_s"`
}

// Thresholds between weak, middling and strong VMs.
const (
	middlingCores, strongCores = 0.25, 0.35
	middlingMbps, strongMbps   = 40, 90
)

// Strength ranks the VM by what it can do for others: 0 weak, 1 middling, 2
// strong.
func (n *Node) Strength() uint8 {
	switch {
	case n.Cores >= strongCores && n.LinkMbps >= strongMbps:
		return 2
	case n.Cores >= middlingCores && n.LinkMbps >= middlingMbps:
		return 1
	default:
		return 0
	}
}

// Grace is the time from the signal to stop to the kill.
func (n *Node) Grace() time.Duration {
	return time.Duration(n.GraceS * float64(time.Second))
}

// Window is the span over which repeats are counted.
func (r *Repeats) Window() time.Duration {
	return time.Duration(r.WindowS * float64(time.Second))
}

// nodeLimit bounds the numbers of a node's start file.
const nodeLimit = 1e6

// platformName checks a name that the platform gives.
var platformName = text("a name", func(s string) bool { return s != "" })

var nodeShape = object(
	field{"id", true, platformName},
	field{"failure_domain", true, platformName},
	field{"client_addr", true, addrCheck},
	field{"ready_addr", true, addrCheck},
	field{"peer_addr", true, addrCheck},
	field{"metrics_addr", true, addrCheck},
	field{"seeds", false, list(addrCheck)},
	field{"store_addr", true, addrCheck},
	field{"memory_mb", true, given(number(1, nodeLimit, false))},
	field{"cores", true, given(number(0, nodeLimit, false))},
	field{"link_mbps", true, given(number(0, nodeLimit, false))},
	field{"grace_s", true, given(number(0, nodeLimit, false))},
	field{"repeats", true, object(
		field{"ratio", true, given(number(0, nodeLimit, false))},
		field{"extra", true, given(number(0, nodeLimit, false))},
		field{"window_s", true, given(number(0, nodeLimit, false))},
	)},
	field{"log_level", false, text("a log level", validLevel)},
)

// defaultNode holds the figures of deployments that do not give one (null): the
// smallest VM and the shortest grace of the users' deployments, and the usual
// terms for repeats.
var defaultNode = Node{
	MemoryMB: 184, Cores: 0.2, LinkMbps: 10, GraceS: 8,
	Repeats: Repeats{Ratio: 0.2, Extra: 50, WindowS: 10},
}

// given checks a figure; null stands for one that the deployment does not give.
func given(c check) check {
	return func(k *checker, at string, v any) {
		if v != nil {
			c(k, at, v)
		}
	}
}

// LoadNode reads and checks the start file of a router that dispatches directly.
func LoadNode(file string) (Node, Findings) {
	return loadFile(file, nodeShape, defaultNode)
}
