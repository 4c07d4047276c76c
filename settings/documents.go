package settings

import (
	"encoding/hex"
	"encoding/json"
	"net"
	"slices"
	"strings"

	"ragwortpond.example/ragwortpond/fleet"
)

// The document kinds, which are also object kinds of the platform.
const (
	KindFleet    = "fleet"
	KindDomains  = "failure-domains"
	KindServices = "services"
	KindAccounts = "client-accounts"
	KindTargets  = "targets"
	KindRules    = "rules"
)

// FleetName is the name of the only document of kind fleet.
const FleetName = "fleet"

// Kinds returns the document kinds, each after the kinds that it may refer to.
func Kinds() []string {
	return []string{KindFleet, KindDomains, KindServices, KindAccounts, KindTargets, KindRules}
}

// FileName returns the path of a document relative to the settings directory.
func FileName(kind, name string) string {
	if kind == KindFleet {
		return FleetName + ".json"
	}
	return kind + "/" + name + ".json"
}

// Role determines the permissions of an operator.
type Role string

// The roles. Each one includes the permissions of the one before it.
const (
	// RoleViewer may read.
	RoleViewer Role = "viewer"
	// RoleOperator may also change documents and withdraw targets.
	RoleOperator Role = "operator"
	// RoleOwner may also change the fleet document and read its secrets.
	RoleOwner Role = "owner"
)

// Operator is a user of the administration API.
type Operator struct {
	Name string `json:"name"`
	// TokenHash is the SHA-256 hash of the token, as lower-case hexadecimal.
	TokenHash string `json:"token_hash"`
	Role      Role   `json:"role"`
	// Subtree limits what the operator may access. It is empty for the whole
	// fleet, else KIND/NAME of a failure domain, service or client account; a name
	// may end in * to match a prefix.
	Subtree string `json:"subtree"`
}

// ContextKey is a key that authenticates context tokens. In a list of keys the
// first signs new tokens; all verify.
type ContextKey struct {
	ID     string `json:"id"`
	Secret string `json:"secret"`
}

const minSecretBytes = 16

type fleetDocument struct {
	Settings    json.RawMessage `json:"settings"`
	ContextKeys []ContextKey    `json:"context_keys"`
	Operators   []Operator      `json:"operators"`
}

type domainDocument struct {
	Region   fleet.RegionName `json:"region"`
	Settings json.RawMessage  `json:"settings"`
}

type serviceDocument struct {
	Kind     fleet.TargetKind `json:"kind"`
	Settings json.RawMessage  `json:"settings"`
}

type accountDocument struct {
	KeyHashes []string        `json:"key_hashes"`
	Settings  json.RawMessage `json:"settings"`
}

type targetDocument struct {
	Service       fleet.ServiceName `json:"service"`
	Domain        fleet.DomainName  `json:"failure_domain"`
	Addr          string            `json:"addr"`
	VM            string            `json:"vm"`
	Weight        float64           `json:"weight"`
	ChecksFencing bool              `json:"checks_fencing"`
	Engine        fleet.EngineState `json:"engine"`
	State         fleet.Lifecycle   `json:"state"`
}

type ruleDocument struct {
	Service    fleet.ServiceName `json:"service"`
	Methods    []string          `json:"methods"`
	PathPrefix string            `json:"path_prefix"`
	Repeatable bool              `json:"repeatable"`
}

// maxEngineFieldBytes is the maximum length of each field of an engine's
// desired state.
const maxEngineFieldBytes = 200

var (
	nameCheck    = text("a name of 1 to 63 lower-case letters, digits, dots and hyphens", fleet.ValidName)
	hashCheck    = text("a SHA-256 hash in lower-case hexadecimal", validHash)
	addrCheck    = text("host:port", validAddr)
	secretCheck  = text("a secret of at least 16 characters", func(s string) bool { return len(s) >= minSecretBytes })
	subtreeCheck = text("empty or KIND/NAME of a failure domain, service or client account", validSubtree)

	engineFieldCheck = text("a text of 1 to 200 characters", func(s string) bool { return s != "" && len(s) <= maxEngineFieldBytes })

	settingsField    = field{name: "settings", check: object(settingsSchema()...)}
	contextKeysField = field{name: "context_keys", check: list(object(
		field{"id", true, nameCheck},
		field{"secret", true, secretCheck},
	))}
)

// schemas maps each document kind to the check of its documents.
var schemas = map[string]check{
	KindFleet: object(settingsField, contextKeysField, field{name: "operators", check: list(object(
		field{"name", true, nameCheck},
		field{"token_hash", true, hashCheck},
		field{"role", true, oneOf(string(RoleViewer), string(RoleOperator), string(RoleOwner))},
		field{"subtree", false, subtreeCheck},
	))}),
	KindDomains:  object(settingsField, field{"region", true, nameCheck}),
	KindServices: object(settingsField, field{"kind", true, oneOf(string(fleet.KindEngine), string(fleet.KindPlain))}),
	KindAccounts: object(settingsField, field{"key_hashes", true, list(hashCheck)}),
	KindTargets: object(
		field{"service", true, nameCheck},
		field{"failure_domain", true, nameCheck},
		field{"addr", true, addrCheck},
		field{"vm", false, nameCheck},
		field{"weight", false, number(0.01, 1000, false)},
		field{"checks_fencing", false, boolean},
		field{"engine", false, object(
			field{"model", false, engineFieldCheck},
			field{"adapter", false, engineFieldCheck},
			field{"version", false, engineFieldCheck},
			field{"role", false, engineFieldCheck},
		)},
		field{"state", false, oneOf(string(fleet.Live), string(fleet.Leaving))},
	),
	KindRules: object(
		field{"service", true, nameCheck},
		field{"methods", false, list(oneOf("GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"))},
		field{"path_prefix", false, text("a path that starts with /", func(s string) bool { return strings.HasPrefix(s, "/") })},
		field{"repeatable", true, boolean},
	),
}

func validHash(s string) bool {
	raw, err := hex.DecodeString(s)
	return err == nil && len(raw) == 32 && s == strings.ToLower(s)
}

func validAddr(s string) bool {
	host, port, err := net.SplitHostPort(s)
	if err != nil || host == "" {
		return false
	}
	_, err = net.LookupPort("tcp", port)
	return err == nil
}

func validSubtree(s string) bool {
	if s == "" {
		return true
	}
	kind, name, _ := strings.Cut(s, "/")
	name = strings.TrimSuffix(name, "*")
	inTree := slices.Contains([]string{KindDomains, KindServices, KindAccounts}, kind)
	return inTree && fleet.ValidName(strings.TrimRight(name, "-."))
}
