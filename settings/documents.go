package settings

import (
	"encoding/hex"
	"encoding/json"
	"net"
	"slices"
	"strings"

	"ragwortpond.example/ragwortpond/fleet"
)

// The kinds of documents on the platform.
const (
	KindFleet    = "fleet"
	KindDomains  = "failure-domains"
	KindServices = "services"
	KindAccounts = "client-accounts"
	KindTargets  = "targets"
	KindRules    = "rules"
)

// FleetName is the name of the only object of kind fleet.
const FleetName = "fleet"

// Kinds returns the kinds of documents, referenced ones before those that
// refer to them.
func Kinds() []string {
	return []string{KindFleet, KindDomains, KindServices, KindAccounts, KindTargets, KindRules}
}

// FileName returns the path of a document below the settings directory.
func FileName(kind, name string) string {
	if kind == KindFleet {
		return FleetName + ".json"
	}
	return kind + "/" + name + ".json"
}

// Role says what an operator may do.
type Role string

// The roles, each of which may do what the one before it may.
const (
	// RoleViewer reads.
	RoleViewer Role = "viewer"
	// RoleOperator also changes documents and withdraws targets.
	RoleOperator Role = "operator"
	// RoleOwner also changes the fleet document and reads its secrets.
	RoleOwner Role = "owner"
)

// Operator is one operator of the administration API.
type Operator struct {
	Name string `json:"name"`
	// TokenHash is the SHA-256 hash of the token, as lower-case hexadecimal.
	TokenHash string `json:"token_hash"`
	Role      Role   `json:"role"`
	// Subtree is empty for the whole fleet, else KIND/NAME of a failure domain,
	// service or client account; a name may end in * to match a prefix.
	Subtree string `json:"subtree"`
}

// ContextKey is a key that authenticates context tokens. The first key signs;
// all verify.
type ContextKey struct {
	ID     string `json:"id"`
	Secret string `json:"secret"`
}

const minSecretChars = 16

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

// maxOrderChars bounds each field of an engine's desired state.
const maxOrderChars = 200

var (
	nameCheck    = text("a name of 1 to 63 lower-case letters, digits, dots and hyphens", fleet.ValidName)
	hashCheck    = text("a SHA-256 hash in lower-case hexadecimal", validHash)
	addrCheck    = text("host:port", validAddr)
	secretCheck  = text("a secret of at least 16 characters", func(s string) bool { return len(s) >= minSecretChars })
	subtreeCheck = text("empty or KIND/NAME of a failure domain, service or client account", validSubtree)

	orderCheck = text("a text of 1 to 200 characters", func(s string) bool { return s != "" && len(s) <= maxOrderChars })

	settingsField    = field{name: "settings", check: object(settingsFields()...)}
	contextKeysField = field{name: "context_keys", check: list(object(
		field{"id", true, nameCheck},
		field{"secret", true, secretCheck},
	))}
)

var shapes = map[string]check{
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
			field{"model", false, orderCheck},
			field{"adapter", false, orderCheck},
			field{"version", false, orderCheck},
			field{"role", false, orderCheck},
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
