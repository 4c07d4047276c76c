package settings

import (
	"encoding/json"

	"github.com/rs/zerolog"

	"ragwortpond.example/ragwortpond/fleet"
)

// Start is a router's own start file.
type Start struct {
	ID     fleet.RouterID   `json:"id"`
	Domain fleet.DomainName `json:"failure_domain"`
	Region fleet.RegionName `json:"region"`
	// CallerAddr, OperatorAddr and PeerAddr are host:port of the listeners.
	CallerAddr   string `json:"caller_addr"`
	OperatorAddr string `json:"operator_addr"`
	PeerAddr     string `json:"peer_addr"`
	// PlatformAddr is host:port of the platform's object API.
	PlatformAddr string `json:"platform_addr"`
	// WeightsAddr is host:port of the weight store; empty means that loads need
	// no grant.
	WeightsAddr string   `json:"weights_addr,omitempty"`
	TLS         TLSFiles `json:"tls"`
	// ContextKeys authenticate context tokens besides those of the fleet.
	ContextKeys []ContextKey `json:"context_keys,omitempty"`
	// Seeds are peer addresses of other routers to ask first.
	Seeds []string `json:"seeds,omitempty"`
	// LogLevel is a zerolog level; empty means info.
	LogLevel string `json:"log_level,omitempty"`
}

// TLSFiles name PEM files.
type TLSFiles struct {
	Cert      string `json:"cert"`
	Key       string `json:"key"`
	Authority string `json:"authority"`
}

var pathCheck = text("a file name", func(s string) bool { return s != "" })

var startShape = object(
	field{"id", true, nameCheck},
	field{"failure_domain", true, nameCheck},
	field{"region", true, nameCheck},
	field{"caller_addr", true, addrCheck},
	field{"operator_addr", true, addrCheck},
	field{"peer_addr", true, addrCheck},
	field{"platform_addr", true, addrCheck},
	field{"weights_addr", false, addrCheck},
	field{"tls", true, object(
		field{"cert", true, pathCheck},
		field{"key", true, pathCheck},
		field{"authority", true, pathCheck},
	)},
	contextKeysField,
	field{"seeds", false, list(addrCheck)},
	field{"log_level", false, text("a log level", validLevel)},
)

func validLevel(s string) bool {
	_, err := zerolog.ParseLevel(s)
	return err == nil
}

// LoadStart reads and checks a router's start file. File names in it are left
// as they stand, relative to the working directory.
func LoadStart(file string) (Start, Findings) {
	c := &checker{file: file}
	data, err := readFile(file)
	if err != nil {
		c.add("", "%v", err)
		return Start{}, c.findings
	}
	v, ok := c.decode(data)
	if !ok {
		return Start{}, c.findings
	}
	startShape(c, "", v)
	if len(c.findings) > 0 {
		return Start{}, c.findings.sorted()
	}
	var start Start
	if err := json.Unmarshal(data, &start); err != nil {
		c.add("", "%v", err)
	}
	return start, c.findings
}
