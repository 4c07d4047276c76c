package retry

import (
	"slices"
	"strings"

	"ragwortpond.example/ragwortpond/fleet"
	"ragwortpond.example/ragwortpond/settings"
)

// IsRepeatable reports whether a plain call may run more than once. The first
// matching rule decides; if none matches, GET and HEAD are repeatable. path is the
// call's path below /s/{service}, with its leading slash.
func IsRepeatable(rules []settings.Rule, service fleet.ServiceName, method, path string) bool {
	for _, r := range rules {
		if ruleMatches(r, service, method, path) {
			return r.Repeatable
		}
	}
	return method == "GET" || method == "HEAD"
}

func ruleMatches(r settings.Rule, service fleet.ServiceName, method, path string) bool {
	if r.Service != "" && r.Service != service {
		return false
	}
	if len(r.Methods) > 0 && !slices.Contains(r.Methods, method) {
		return false
	}
	return strings.HasPrefix(path, r.PathPrefix)
}
