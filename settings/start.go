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
	return loadFile(file, startShape, Start{})
}

// CheckStart checks a start file of either daemon: one that names client_addr is
// a Node, any other one a Start.
func CheckStart(file string) Findings {
	c := &checker{file: file}
	v, _, ok := c.read()
	if !ok {
		return c.findings
	}
	if document, ok := v.(map[string]any); ok && document["client_addr"] != nil {
		_, findings := LoadNode(file)
		return findings
	}
	_, findings := LoadStart(file)
	return findings
}

// loadFile reads a file of a shape into value, which holds the defaults.
func loadFile[T any](file string, shape check, value T) (T, Findings) {
	var none T
	c := &checker{file: file}
	v, data, ok := c.read()
	if !ok {
		return none, c.findings
	}
	shape(c, "", v)
	if len(c.findings) > 0 {
		return none, c.findings.sorted()
	}
	if err := json.Unmarshal(data, &value); err != nil {
		c.add("", "%v", err)
	}
	return value, c.findings
}

// read reads the checker's file; false means that it cannot be decoded.
func (c *checker) read() (v any, data []byte, ok bool) {
	data, err := readFile(c.file)
	if err != nil {
		c.add("", "%v", err)
		return nil, nil, false
	}
	v, ok = c.decode(data)
	return v, data, ok
}
