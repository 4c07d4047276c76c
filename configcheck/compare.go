package configcheck

import (
	"cmp"
	"fmt"
	"slices"
	"strconv"
	"strings"

	"ragwortpond.example/ragwortpond/catalog"
)

// Change is one difference between two versions of a configuration. Before is empty for what was
// added, After for what was removed.
type Change struct {
	Entry  string `json:"entry"`
	Field  string `json:"field,omitempty"`
	Before string `json:"before,omitempty"`
	After  string `json:"after,omitempty"`
}

// String returns the change on one line.
func (c Change) String() string {
	entry := c.Entry
	if c.Field != "" {
		entry += ", " + c.Field
	}
	switch {
	case c.Before == "":
		return fmt.Sprintf("added: %s: %s", entry, c.After)
	case c.After == "":
		return fmt.Sprintf("removed: %s: %s", entry, c.Before)
	default:
		return fmt.Sprintf("changed: %s: %s, was %s", entry, c.After, c.Before)
	}
}

// property is one named value of an entry, as text.
type property struct{ field, value string }

// listing holds the entries of a configuration, in their order.
type listing struct {
	names      []string
	properties map[string][]property
}

func (l *listing) add(entry string, properties ...property) {
	if _, ok := l.properties[entry]; !ok {
		l.names = append(l.names, entry)
	}
	l.properties[entry] = properties
}

// Compare returns what differs in next from the version in force, in the order of the entries.
// Keys of client accounts are counted and never shown.
func Compare(inForce, next *catalog.ConfigSource) []Change {
	before, after := list(inForce), list(next)
	var changes []Change
	for _, entry := range before.names {
		if _, ok := after.properties[entry]; !ok {
			changes = append(changes, Change{Entry: entry, Before: summary(before.properties[entry])})
		}
	}
	for _, entry := range after.names {
		old, ok := before.properties[entry]
		if !ok {
			changes = append(changes, Change{Entry: entry, After: summary(after.properties[entry])})
			continue
		}
		for i, p := range after.properties[entry] {
			if old[i].value != p.value {
				changes = append(changes, Change{entry, p.field, old[i].value, p.value})
			}
		}
	}
	return append(changes, compareKeys(inForce, next)...)
}

// CheckVersion returns a finding if the version of next would not replace that in force.
func CheckVersion(inForce, next *catalog.ConfigSource) []Finding {
	if next.Version > inForce.Version {
		return nil
	}
	return []Finding{{Error, "configuration", fmt.Sprintf("version %d does not replace version %d, which is in force", next.Version, inForce.Version)}}
}

func summary(properties []property) string {
	texts := make([]string, len(properties))
	for i, p := range properties {
		texts[i] = p.field + " " + p.value
	}
	return strings.Join(texts, ", ")
}

// list returns the entries of a configuration. Each entry of a kind has the same properties.
func list(c *catalog.ConfigSource) *listing {
	l := &listing{properties: map[string][]property{}}
	for _, r := range c.Routes {
		l.add(routeEntry(r),
			property{"host", strconv.Quote(strings.ToLower(r.Host))}, property{"path prefix", strconv.Quote(r.Prefix)}, property{"runs", r.Kind()},
			property{"services", serviceShares(r)}, property{"timeout", r.Timeout.String()},
			property{"latency objective", r.LatencyObjective.String()}, property{"longest pause", r.MaxEventGap.String()},
			property{"priority", fmt.Sprint(r.Priority)}, property{"targets", fmt.Sprint(r.MaxTargets)},
			property{"public", fmt.Sprint(r.Public)}, property{"prompts on one target", fmt.Sprint(r.PromptAffinity)})
	}
	for _, s := range c.Services {
		l.add(serviceEntry(s.Name), property{"slots", fmt.Sprint(s.Slots)}, property{"health path", strconv.Quote(s.HealthPath)},
			property{"requests a second at a cold target", fmt.Sprint(s.ColdPerSecond)}, property{"cold after a start", s.ColdStart.String()})
	}
	l.add(accountsEntry, property{"requests need a key", strconv.FormatBool(c.RequiresKey())})
	for i := range c.Accounts {
		a := &c.Accounts[i]
		priority := "that of the route"
		if a.Priority != nil {
			priority = fmt.Sprint(*a.Priority)
		}
		l.add(accountEntry(a.Name), property{"priority", priority})
	}
	l.add(limitsEntry, property{"head bytes", fmt.Sprint(c.Limits.HeaderBytes)}, property{"body bytes", fmt.Sprint(c.Limits.BodyBytes)},
		property{"time for a head", c.Limits.HeaderTimeout.String()}, property{"idle time", c.Limits.IdleTimeout.String()})
	return l
}

// serviceShares returns the services of a route with their shares of its requests.
func serviceShares(r *catalog.Route) string {
	sum := 0.0
	for _, s := range r.WeightedServices {
		sum += s.Weight
	}
	shares := make([]string, len(r.WeightedServices))
	for i, s := range r.WeightedServices {
		shares[i] = fmt.Sprintf("%s %.3g%%", s.Service, 100*s.Weight/sum)
	}
	return strings.Join(shares, " + ")
}

// compareKeys returns how many keys each client account of next gained and lost. A key that moved to
// another account is lost by one and gained by the other.
func compareKeys(inForce, next *catalog.ConfigSource) []Change {
	var changes []Change
	before := map[string][]string{}
	for i := range inForce.Accounts {
		before[accountEntry(inForce.Accounts[i].Name)] = inForce.Accounts[i].Keys
	}
	for i := range next.Accounts {
		entry, keys := accountEntry(next.Accounts[i].Name), next.Accounts[i].Keys
		old := before[entry]
		added, removed := missingFrom(old, keys), missingFrom(keys, old)
		if added+removed > 0 {
			changes = append(changes, Change{entry, "keys", fmt.Sprintf("%d, of which %d are taken away", len(old), removed), fmt.Sprintf("%d, of which %d are new", len(keys), added)})
		}
	}
	slices.SortStableFunc(changes, func(a, b Change) int { return cmp.Compare(a.Entry, b.Entry) })
	return changes
}

// missingFrom returns how many of keys are not in list.
func missingFrom(list, keys []string) int {
	n := 0
	for _, key := range keys {
		if !slices.Contains(list, key) {
			n++
		}
	}
	return n
}
