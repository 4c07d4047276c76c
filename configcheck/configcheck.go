// Package configcheck checks a configuration before it is put in force: errors, entries that no
// request can match, limits that contradict each other, and what differs from another version.
//
// The package does no I/O. Its functions are deterministic and safe for concurrent use.
package configcheck

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"ragwortpond.example/ragwortpond/catalog"
	"ragwortpond.example/ragwortpond/fleet"
)

// Severity tells whether a configuration with a finding serves its callers.
type Severity string

// Severities.
const (
	// Error marks what makes requests fail, or leaves open what is done with them.
	Error Severity = "error"
	// Warning marks what has no effect, or not the one that its entry suggests.
	Warning Severity = "warning"
)

// Finding is one fault of a configuration.
type Finding struct {
	Severity Severity `json:"severity"`
	// Entry names the entry, such as `route "lookup"`.
	Entry   string `json:"entry"`
	Message string `json:"message"`
}

// String returns the finding on one line.
func (f Finding) String() string {
	return fmt.Sprintf("%s: %s: %s", f.Severity, f.Entry, f.Message)
}

// HasErrors reports whether one of the findings is an error.
func HasErrors(findings []Finding) bool {
	return slices.ContainsFunc(findings, func(f Finding) bool { return f.Severity == Error })
}

// checker collects the findings of one configuration.
type checker struct {
	config   *catalog.ConfigSource
	services map[fleet.ServiceName]catalog.Service
	found    []Finding
}

// Check returns the findings of a configuration, errors first, in the order of its entries.
func Check(config *catalog.ConfigSource) []Finding {
	c := &checker{config: config, services: map[fleet.ServiceName]catalog.Service{}}
	for _, remark := range config.Remarks {
		c.errorf(fmt.Sprintf("route %q", remark.Route), "%s", remark.Text)
	}
	c.checkServices()
	c.checkRoutes()
	c.checkAccounts()
	c.checkLimits()
	slices.SortStableFunc(c.found, func(a, b Finding) int { return cmp.Compare(a.Severity, b.Severity) })
	return c.found
}

func (c *checker) errorf(entry, format string, args ...any) {
	c.found = append(c.found, Finding{Error, entry, fmt.Sprintf(format, args...)})
}

func (c *checker) warnf(entry, format string, args ...any) {
	c.found = append(c.found, Finding{Warning, entry, fmt.Sprintf(format, args...)})
}

func routeEntry(r *catalog.Route) string {
	return fmt.Sprintf("route %q", r.Name)
}

func serviceEntry(name fleet.ServiceName) string {
	return fmt.Sprintf("service %q", name)
}

func accountEntry(name fleet.AccountName) string {
	return fmt.Sprintf("client account %q", name)
}

const (
	accountsEntry = "client accounts"
	limitsEntry   = "limits"
)

func (c *checker) checkServices() {
	used := map[fleet.ServiceName]bool{}
	for _, r := range c.config.Routes {
		for _, s := range r.WeightedServices {
			used[s.Service] = used[s.Service] || s.Weight > 0
		}
	}
	for _, s := range c.config.Services {
		entry := serviceEntry(s.Name)
		if s.Name == "" {
			c.errorf(entry, "it has no name")
		}
		if _, ok := c.services[s.Name]; ok {
			c.errorf(entry, "another service has this name")
		}
		c.services[s.Name] = s
		if s.Slots < 0 {
			c.errorf(entry, "the number of slots is negative: %d", s.Slots)
		}
		if s.ColdError != nil {
			c.errorf(entry, "its cold targets are not bounded: %v", s.ColdError)
		}
		if s.ColdStart > 0 && s.ColdPerSecond == 0 && s.ColdError == nil {
			c.warnf(entry, "its targets are cold for %v after their start, but no rate bounds what they get then", s.ColdStart)
		}
		if !used[s.Name] {
			c.warnf(entry, "no route sends requests to it")
		}
		if s.HealthPath != "" && !strings.HasPrefix(s.HealthPath, "/") {
			c.errorf(entry, "the health path does not begin with a slash: %q", s.HealthPath)
		}
	}
}

func (c *checker) checkRoutes() {
	names := map[string]bool{}
	type match struct{ host, prefix string }
	first := map[match]*catalog.Route{}
	for _, r := range c.config.Routes {
		entry := routeEntry(r)
		if names[r.Name] {
			c.errorf(entry, "another route has this name")
		}
		names[r.Name] = true
		c.checkMatch(r)
		c.checkRouteServices(r)
		c.checkTimes(r)
		c.checkAttempts(r)
		m := match{strings.ToLower(r.Host), r.Prefix}
		if other := first[m]; other != nil {
			c.errorf(entry, "it can never match: route %q has the same host and path prefix and comes first", other.Name)
			continue
		}
		first[m] = r
	}
	if len(c.config.Routes) == 0 {
		c.errorf("configuration", "it has no routes, so that every request is refused")
	}
}

// checkMatch checks which requests a route matches: the host of a request is compared without its
// port, its path by prefix.
func (c *checker) checkMatch(r *catalog.Route) {
	entry := routeEntry(r)
	switch i := strings.LastIndexByte(r.Host, ':'); {
	case r.Host == "":
		c.errorf(entry, "it can never match: it has no host")
	case i >= 0 && !strings.HasSuffix(r.Host, "]"):
		c.errorf(entry, "it can never match: host %q has a port, and ports of requests are ignored", r.Host)
	case strings.ContainsAny(r.Host, "/ \t*"):
		c.errorf(entry, "it can never match: %q is not the name of a host", r.Host)
	}
	switch {
	case !strings.HasPrefix(r.Prefix, "/"):
		c.errorf(entry, "it can never match: path prefix %q does not begin with a slash", r.Prefix)
	case strings.ContainsAny(r.Prefix, "?# \t"):
		c.errorf(entry, "it can never match: path prefix %q holds characters that no path has", r.Prefix)
	case !strings.HasSuffix(r.Prefix, "/"):
		c.warnf(entry, "path prefix %q does not end with a slash, so that it also matches longer names", r.Prefix)
	}
}

func (c *checker) checkRouteServices(r *catalog.Route) {
	entry := routeEntry(r)
	if len(r.WeightedServices) == 0 {
		c.errorf(entry, "it names no service")
		return
	}
	sum, engines, plain := 0.0, 0, 0
	for _, s := range r.WeightedServices {
		// The comparison also catches what is not a number.
		if !(s.Weight >= 0) {
			c.errorf(entry, "the weight of service %q is not a number from zero up: %v", s.Service, s.Weight)
		}
		sum += s.Weight
		service, ok := c.services[s.Service]
		switch {
		case !ok:
			c.errorf(entry, "service %q does not exist", s.Service)
		case s.Weight == 0:
			c.warnf(entry, "service %q gets nothing: its weight is zero", s.Service)
		case service.Slots > 0:
			engines++
		default:
			plain++
		}
	}
	if sum <= 0 {
		c.errorf(entry, "the weights of its services add up to %v", sum)
	}
	if engines > 0 && plain > 0 {
		c.warnf(entry, "it is split among model engines and plain services")
	}
	if r.PromptAffinity && engines == 0 && plain > 0 {
		c.warnf(entry, "prompts are kept on one target, but its services have no engines")
	}
}

// checkTimes checks the times of a route against each other.
func (c *checker) checkTimes(r *catalog.Route) {
	entry := routeEntry(r)
	if r.Timeout < 0 || r.LatencyObjective < 0 || r.MaxEventGap < 0 {
		c.errorf(entry, "a time is negative: timeout %v, latency objective %v, longest pause %v", r.Timeout, r.LatencyObjective, r.MaxEventGap)
		return
	}
	if r.Timeout > 0 && r.LatencyObjective > r.Timeout {
		c.warnf(entry, "its answers can never be late: latency objective %v, timeout %v", r.LatencyObjective, r.Timeout)
	}
	if r.Timeout > 0 && r.MaxEventGap > r.Timeout {
		c.warnf(entry, "a pause can never be too long: longest pause %v, timeout %v", r.MaxEventGap, r.Timeout)
	}
	if r.MaxEventGap > 0 && !r.Stream {
		c.warnf(entry, "it has a longest pause between events, but its answers are not streams")
	}
}

// checkAttempts checks how often requests of a route may run.
func (c *checker) checkAttempts(r *catalog.Route) {
	entry := routeEntry(r)
	if r.MaxTargets < 1 {
		c.errorf(entry, "no attempt is allowed: %d targets at most", r.MaxTargets)
	}
	if r.RunPolicy == catalog.Repeatable && r.MaxTargets == 1 {
		c.warnf(entry, "its requests may be repeated, but go to one target at most")
	}
	if r.Priority < 0 {
		c.errorf(entry, "the priority is negative: %d", r.Priority)
	}
	if r.Public && !c.config.RequiresKey() {
		c.warnf(entry, "it is public, but no request needs a key")
	}
}

func (c *checker) checkAccounts() {
	names, holders := map[fleet.AccountName]bool{}, map[string]fleet.AccountName{}
	for i := range c.config.Accounts {
		a := &c.config.Accounts[i]
		entry := accountEntry(a.Name)
		if a.Name == "" {
			c.errorf(entry, "it has no name")
		}
		if names[a.Name] {
			c.errorf(entry, "another client account has this name")
		}
		names[a.Name] = true
		if a.Priority != nil && *a.Priority < 0 {
			c.errorf(entry, "the priority is negative: %d", *a.Priority)
		}
		if len(a.Keys) == 0 {
			c.warnf(entry, "no request can match it: it has no key")
		}
		for n, key := range a.Keys {
			holder, taken := holders[key]
			switch {
			case key == "" || strings.ContainsAny(key, " \t\r\n"):
				c.errorf(entry, "key %d can never match: it is empty or holds spaces", n+1)
			case taken && holder == a.Name:
				c.warnf(entry, "key %d is listed twice", n+1)
			case taken:
				c.errorf(entry, "key %d is also that of client account %q, and the last one holds it", n+1, holder)
			}
			holders[key] = a.Name
		}
	}
	if !c.config.RequiresKey() || len(c.config.AccountsByKey()) > 0 {
		return
	}
	if slices.ContainsFunc(c.config.Routes, func(r *catalog.Route) bool { return r.Public }) {
		c.warnf(accountsEntry, "only requests of public routes are allowed: no client account has a key")
	} else {
		c.errorf(accountsEntry, "no request is allowed: no client account has a key, and no route is public")
	}
}

// Admission tells which requests need a key: all but those of public routes if there is a list of
// client accounts, even an empty one, and none otherwise.
func Admission(config *catalog.ConfigSource) string {
	keys := len(config.AccountsByKey())
	switch {
	case !config.RequiresKey():
		return "no request needs a key: there is no list of client accounts"
	case keys == 0:
		return fmt.Sprintf("no request is allowed but those of public routes: of %d client accounts none has a key", len(config.Accounts))
	default:
		return fmt.Sprintf("requests need a key but those of public routes: %d client accounts have %d keys", len(config.Accounts), keys)
	}
}

// minHeaderBytes is less than what the head of any request takes that the router can serve.
const minHeaderBytes = 256

func (c *checker) checkLimits() {
	l := c.config.Limits
	if l.HeaderBytes < 0 || l.BodyBytes < 0 || l.HeaderTimeout < 0 || l.IdleTimeout < 0 {
		c.errorf(limitsEntry, "a limit is negative: head of %d bytes within %v, body of %d bytes, %v idle", l.HeaderBytes, l.HeaderTimeout, l.BodyBytes, l.IdleTimeout)
		return
	}
	if l.HeaderBytes > 0 && l.HeaderBytes < minHeaderBytes {
		c.errorf(limitsEntry, "no request fits: its head may have %d bytes", l.HeaderBytes)
	}
	if l.HeaderBytes > 0 && l.BodyBytes > 0 && l.BodyBytes < int64(l.HeaderBytes) {
		c.warnf(limitsEntry, "a body may have %d bytes, less than a head, which may have %d", l.BodyBytes, l.HeaderBytes)
	}
	if l.IdleTimeout > 0 && l.HeaderTimeout > l.IdleTimeout {
		c.warnf(limitsEntry, "a client may take longer for a head (%v) than it may rest between requests (%v)", l.HeaderTimeout, l.IdleTimeout)
	}
}
