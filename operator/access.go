package operator

import (
	"encoding/json"
	"slices"
	"strings"

	"ragwortpond.example/ragwortpond/keys"
	"ragwortpond.example/ragwortpond/objectapi"
	"ragwortpond.example/ragwortpond/settings"
)

// findOperator returns the operator of a token. The token's hash is compared in
// constant time with the hashes of all operators, so that response times do not
// reveal a match.
func findOperator(operators []settings.Operator, token string) (settings.Operator, bool) {
	var found settings.Operator
	ok := false
	hash := keys.Hash(token)
	for _, o := range operators {
		if keys.HashEqual(o.TokenHash, hash) {
			found, ok = o, true
		}
	}
	return found, ok && token != ""
}

// hasRole reports whether the operator's role is role or includes it.
func hasRole(o settings.Operator, role settings.Role) bool {
	roles := []settings.Role{settings.RoleViewer, settings.RoleOperator, settings.RoleOwner}
	return slices.Index(roles, o.Role) >= slices.Index(roles, role)
}

// covers reports whether an object lies in the operator's subtree. A target
// belongs to its service and its failure domain, a rule to its service; an
// object without data belongs to neither.
func covers(o settings.Operator, object objectapi.Object) bool {
	if o.Subtree == "" {
		return true
	}
	kind, name, _ := strings.Cut(o.Subtree, "/")
	if object.Kind == kind {
		return matchesPattern(name, object.Name)
	}
	var d struct {
		Service string `json:"service"`
		Domain  string `json:"failure_domain"`
	}
	if json.Unmarshal(object.Data, &d) != nil {
		return false
	}
	switch {
	case object.Kind != settings.KindTargets && object.Kind != settings.KindRules:
		return false
	case kind == settings.KindServices:
		return d.Service != "" && matchesPattern(name, d.Service)
	case kind == settings.KindDomains:
		return d.Domain != "" && matchesPattern(name, d.Domain)
	}
	return false
}

// matchesPattern reports whether name matches a pattern, which may end in a
// star.
func matchesPattern(pattern, name string) bool {
	prefix, wildcard := strings.CutSuffix(pattern, "*")
	if wildcard {
		return strings.HasPrefix(name, prefix)
	}
	return pattern == name
}

// redacted replaces secrets that the operator may not read.
const redacted = "(hidden)"

// redact replaces the secrets in the fleet document. Other documents are
// returned unchanged.
func redact(object objectapi.Object) objectapi.Object {
	var members map[string]any
	if object.Kind != settings.KindFleet || json.Unmarshal(object.Data, &members) != nil {
		return object
	}
	redactField(members["context_keys"], "secret")
	redactField(members["operators"], "token_hash")
	if data, err := json.Marshal(members); err == nil {
		object.Data = data
	}
	return object
}

func redactField(elements any, member string) {
	list, _ := elements.([]any)
	for _, e := range list {
		if fields, ok := e.(map[string]any); ok {
			fields[member] = redacted
		}
	}
}
