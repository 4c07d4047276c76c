package operator

import (
	"encoding/json"
	"slices"
	"strings"

	"ragwortpond.example/ragwortpond/keys"
	"ragwortpond.example/ragwortpond/objectapi"
	"ragwortpond.example/ragwortpond/settings"
)

// find returns the operator of a token. Hashes are compared in constant time,
// all of them.
func find(operators []settings.Operator, token string) (settings.Operator, bool) {
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

// atLeast reports whether the operator's role includes another.
func atLeast(o settings.Operator, role settings.Role) bool {
	order := []settings.Role{settings.RoleViewer, settings.RoleOperator, settings.RoleOwner}
	return slices.Index(order, o.Role) >= slices.Index(order, role)
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
		return matches(name, object.Name)
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
		return d.Service != "" && matches(name, d.Service)
	case kind == settings.KindDomains:
		return d.Domain != "" && matches(name, d.Domain)
	}
	return false
}

// matches compares a name with a pattern that may end in a star.
func matches(pattern, name string) bool {
	prefix, open := strings.CutSuffix(pattern, "*")
	if open {
		return strings.HasPrefix(name, prefix)
	}
	return pattern == name
}

// hidden stands in for secrets that the operator may not read.
const hidden = "(hidden)"

// redact takes the secrets out of the fleet document.
func redact(object objectapi.Object) objectapi.Object {
	var members map[string]any
	if object.Kind != settings.KindFleet || json.Unmarshal(object.Data, &members) != nil {
		return object
	}
	hide(members["context_keys"], "secret")
	hide(members["operators"], "token_hash")
	if data, err := json.Marshal(members); err == nil {
		object.Data = data
	}
	return object
}

func hide(elements any, member string) {
	list, _ := elements.([]any)
	for _, e := range list {
		if fields, ok := e.(map[string]any); ok {
			fields[member] = hidden
		}
	}
}
