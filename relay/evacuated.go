package relay

import (
	"slices"

	"ragwortpond.example/ragwortpond/catalog"
	"ragwortpond.example/ragwortpond/fleet"
	"ragwortpond.example/ragwortpond/reason"
)

// evacuatedOf reports whether a service has targets of a software version in evacuated failure domains
// that would accept requests otherwise. An empty version means any.
func evacuatedOf(view *catalog.View, service fleet.ServiceName, version fleet.SoftwareVersion) bool {
	return slices.ContainsFunc(view.Evacuated[service], func(t *catalog.Target) bool {
		return !t.Leaving && (version == "" || t.Version == version)
	})
}

// refuseEvacuated refuses the request if all targets of its service are evacuated, and reports whether it
// did.
func (s *requestState) refuseEvacuated() bool {
	if len(s.view.Targets[s.service]) > 0 || !evacuatedOf(s.view, s.service, "") {
		return false
	}
	s.refuse(reason.DomainEvacuated, evacuatedRetryAfter)
	return true
}

// RunningEvacuated returns the number of this router's requests that are running or waiting at targets of
// evacuated failure domains.
func (r *Relay) RunningEvacuated() int {
	running := 0
	for _, targets := range r.cfg.View().Evacuated {
		for _, t := range targets {
			running += r.loads.inFlight(t.ID)
		}
	}
	return running
}
