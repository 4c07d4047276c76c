package settings

import (
	"encoding/json"

	"github.com/rs/zerolog"

	"ragwortpond.example/ragwortpond/fleet"
)

// StartFile is the content of a router's start file.
type StartFile struct {
	ID     fleet.RouterID   `json:"id"`
	Domain fleet.DomainName `json:"failure_domain"`
	Region fleet.RegionName `json:"region"`
	// CallerAddr, OperatorAddr and PeerAddr are host:port of the listeners for
	// clients, for the administration API and for other routers.
	CallerAddr   string `json:"caller_addr"`
	OperatorAddr string `json:"operator_addr"`
	PeerAddr     string `json:"peer_addr"`
	// PlatformAddr is host:port of the platform's object API.
	PlatformAddr string `json:"platform_addr"`
	// WeightsAddr is host:port of the weight store; empty means that loads need
	// no grant.
	WeightsAddr string   `json:"weights_addr,omitempty"`
	TLS         TLSFiles `json:"tls"`
	// ContextKeys authenticate context tokens in addition to those of the fleet.
	ContextKeys []ContextKey `json:"context_keys,omitempty"`
	// Seeds are peer addresses of the routers to contact at the start.
	Seeds []string `json:"seeds,omitempty"`
	// LogLevel is a zerolog level; empty means info.
	LogLevel string `json:"log_level,omitempty"`
}

// TLSFiles holds the names of the PEM files for TLS.
type TLSFiles struct {
	Cert      string `json:"cert"`
	Key       string `json:"key"`
	Authority string `json:"authority"`
}

var fileNameCheck = text("a file name", func(s string) bool { return s != "" })

var startSchema = object(
	field{"id", true, nameCheck},
	field{"failure_domain", true, nameCheck},
	field{"region", true, nameCheck},
	field{"caller_addr", true, addrCheck},
	field{"operator_addr", true, addrCheck},
	field{"peer_addr", true, addrCheck},
	field{"platform_addr", true, addrCheck},
	field{"weights_addr", false, addrCheck},
	field{"tls", true, object(
		field{"cert", true, fileNameCheck},
		field{"key", true, fileNameCheck},
		field{"authority", true, fileNameCheck},
	)},
	contextKeysField,
	field{"seeds", false, list(addrCheck)},
	field{"log_level", false, text("a log level", validLevel)},
)

func validLevel(s string) bool {
	_, err := zerolog.ParseLevel(s)
	return err == nil
}

// LoadStartFile reads and checks a router's start file. File names in it are not
// changed; they are relative to the working directory. With findings it returns
// a zero StartFile.
func LoadStartFile(file string) (StartFile, Findings) {
	return loadFile(file, startSchema, StartFile{})
}

// CheckStartFile checks a start file of either daemon: a file with client_addr is
// checked as a NodeFile, any other as a StartFile.
func CheckStartFile(file string) Findings {
	c := &checker{file: file}
	v, _, ok := c.readFile()
	if !ok {
		return c.findings
	}
	if document, ok := v.(map[string]any); ok && document["client_addr"] != nil {
		_, findings := LoadNodeFile(file)
		return findings
	}
	_, findings := LoadStartFile(file)
	return findings
}

// loadFile reads and checks a file and decodes it into value, which holds the
// defaults. If a check fails it returns a zero value.
func loadFile[T any](file string, schema check, value T) (T, Findings) {
	var zero T
	c := &checker{file: file}
	v, data, ok := c.readFile()
	if !ok {
		return zero, c.findings
	}
	schema(c, "", v)
	if len(c.findings) > 0 {
		return zero, c.findings.sorted()
	}
	if err := json.Unmarshal(data, &value); err != nil {
		c.addFinding("", "%v", err)
	}
	return value, c.findings
}

// readFile reads and decodes the checker's file. It adds a finding and returns
// false if it cannot.
func (c *checker) readFile() (v any, data []byte, ok bool) {
	data, err := readDocumentFile(c.file)
	if err != nil {
		c.addFinding("", "%v", err)
		return nil, nil, false
	}
	v, ok = c.decode(data)
	return v, data, ok
}
