package operator

import (
	"context"

	"github.com/cloudwego/hertz/pkg/app"

	"ragwortpond.example/ragwortpond/fleet"
	"ragwortpond.example/ragwortpond/objectapi"
	"ragwortpond.example/ragwortpond/reason"
	"ragwortpond.example/ragwortpond/settings"
	"ragwortpond.example/ragwortpond/settings/propagate"
)

// EffectiveSettings holds the settings in force on this router for a
// combination of failure domain, service and client account.
type EffectiveSettings struct {
	Revision uint64                    `json:"revision"`
	Values   []settings.EffectiveValue `json:"values"`
}

// Status is the state of the fleet as known to this router.
type Status struct {
	// Revision is the settings revision in force on this router.
	Revision uint64                     `json:"revision"`
	Routers  []propagate.RouterRevision `json:"routers"`
	// Detail describes the router itself.
	Detail any `json:"detail,omitempty"`
}

// handleEffective returns each value in force with the level that it comes
// from.
func (s *Server) handleEffective(_ context.Context, c *app.RequestContext) {
	snapshot := s.cfg.Snapshot()
	levels := []settings.Reference{
		{Kind: settings.KindDomains, Name: c.Query("failure-domain")},
		{Kind: settings.KindServices, Name: c.Query("service")},
		{Kind: settings.KindAccounts, Name: c.Query("client-account")},
	}
	if err := s.checkLevels(currentOperator(c), snapshot, levels); err != nil {
		s.respond(c, 0, nil, err)
		return
	}
	values := snapshot.EffectiveByLevel(
		fleet.DomainName(levels[0].Name), fleet.ServiceName(levels[1].Name), fleet.AccountName(levels[2].Name))
	writeJSON(c, 200, EffectiveSettings{Revision: snapshot.Revision, Values: values})
}

// checkLevels checks that the named levels exist and that at least one of them
// lies in the operator's subtree.
func (s *Server) checkLevels(o settings.Operator, snapshot *settings.Snapshot, levels []settings.Reference) error {
	inSubtree := o.Subtree == ""
	for _, l := range levels {
		if l.Name == "" {
			continue
		}
		if !snapshot.HasReferenced(l.Kind, l.Name) {
			return newRequestError(reason.NotFound, "%s/%s", l.Kind, l.Name)
		}
		inSubtree = inSubtree || covers(o, objectapi.Object{Kind: l.Kind, Name: l.Name})
	}
	if !inSubtree {
		return newRequestError(reason.Forbidden, "Name a level of your subtree.")
	}
	return nil
}

// handleStatus returns every live router with its settings revision.
func (s *Server) handleStatus(_ context.Context, c *app.RequestContext) {
	status := Status{Revision: s.cfg.Snapshot().Revision, Routers: []propagate.RouterRevision{}}
	if s.cfg.InForce != nil {
		ctx, cancel := context.WithTimeout(context.Background(), statusTimeout)
		defer cancel()
		status.Routers = s.cfg.InForce(ctx, 0).Routers
	}
	if s.cfg.Status != nil {
		status.Detail = s.cfg.Status()
	}
	writeJSON(c, 200, status)
}

// waitInForce waits until an accepted change is in force on every live router
// or inForceTimeout has passed. It returns nil if the server has no
// Config.InForce.
func (s *Server) waitInForce(c *app.RequestContext, revision uint64) *propagate.InForceReport {
	if s.cfg.InForce == nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), inForceTimeout)
	defer cancel()
	result := s.cfg.InForce(ctx, revision)
	return &result
}
