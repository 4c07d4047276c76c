package operator

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"

	"github.com/cloudwego/hertz/pkg/app"

	"ragwortpond.example/ragwortpond/event"
	"ragwortpond.example/ragwortpond/fleet"
	"ragwortpond.example/ragwortpond/objectapi"
	"ragwortpond.example/ragwortpond/reason"
	"ragwortpond.example/ragwortpond/settings"
)

// Scope is the kind of object that a withdrawal names.
type Scope string

// Scopes of withdrawals.
const (
	ScopeTarget Scope = "target"
	ScopeVM     Scope = "vm"
	ScopeDomain Scope = "failure-domain"
)

// Withdrawal is a request to withdraw all targets of a scope.
type Withdrawal struct {
	Scope Scope  `json:"scope"`
	Name  string `json:"name"`
}

// WithdrawnTarget is the state of one target of a withdrawal.
type WithdrawnTarget struct {
	Target  fleet.TargetID    `json:"target"`
	Domain  fleet.DomainName  `json:"failure_domain"`
	VM      string            `json:"vm,omitempty"`
	State   fleet.Lifecycle   `json:"state"`
	Service fleet.ServiceName `json:"service"`
	// InFlight is the number of attempts in flight to the target; nil if
	// unknown.
	InFlight *int `json:"in_flight,omitempty"`
	// MissingRouters lists the routers that did not respond; their attempts are
	// not counted in InFlightCounts.
	MissingRouters []fleet.RouterID `json:"silent,omitempty"`
	// Version is the version of the accepted change; zero if nothing was
	// changed.
	Version uint64 `json:"version,omitempty"`
	// Fault is the reason why the target could not be changed.
	Fault reason.Code `json:"fault,omitempty"`
}

// maxChangeAttempts bounds the retries of a change that conflicts with changes
// of other operators.
const maxChangeAttempts = 4

// handleListWithdrawals returns the targets that are leaving.
func (s *Server) handleListWithdrawals(ctx context.Context, c *app.RequestContext) {
	var leaving []fleet.Target
	for _, t := range s.targets() {
		if t.State == fleet.Leaving && covers(currentOperator(c), targetObject(t)) {
			leaving = append(leaving, t)
		}
	}
	writeJSON(c, 200, s.withInFlight(ctx, leaving))
}

// withInFlight returns the states of leaving targets with the numbers of
// attempts in flight.
func (s *Server) withInFlight(ctx context.Context, leaving []fleet.Target) []WithdrawnTarget {
	results := make([]WithdrawnTarget, len(leaving))
	for i, t := range leaving {
		results[i] = newWithdrawnTarget(t)
	}
	if s.cfg.InFlight == nil || len(leaving) == 0 {
		return results
	}
	inFlight := s.cfg.InFlight(ctx, leaving)
	for i := range results {
		count := inFlight.Attempts[results[i].Target]
		results[i].InFlight, results[i].MissingRouters = &count, inFlight.MissingRouters
	}
	return results
}

// targets returns all targets in force, sorted by ID.
func (s *Server) targets() []fleet.Target {
	var all []fleet.Target
	for _, targets := range s.cfg.Snapshot().Targets {
		all = append(all, targets...)
	}
	slices.SortFunc(all, func(a, b fleet.Target) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	return all
}

// targetObject returns an object with the fields of a target that determine
// which subtrees cover it.
func targetObject(t fleet.Target) objectapi.Object {
	data := fmt.Appendf(nil, `{"service":%q,"failure_domain":%q}`, t.Service, t.Domain)
	return objectapi.Object{Kind: settings.KindTargets, Name: string(t.ID), Data: data}
}

func newWithdrawnTarget(t fleet.Target) WithdrawnTarget {
	return WithdrawnTarget{Target: t.ID, Domain: t.Domain, VM: t.VM, State: t.State, Service: t.Service}
}

// handleWithdraw sets the targets of a scope to leaving.
func (s *Server) handleWithdraw(ctx context.Context, c *app.RequestContext) {
	var w Withdrawal
	if err := json.Unmarshal(c.Request.Body(), &w); err != nil {
		s.respond(c, 0, nil, newRequestError(reason.MalformedBody, "%v", err))
		return
	}
	s.setStates(ctx, c, w, fleet.Leaving)
}

// handleCancelWithdrawal sets the targets of a scope back to live.
func (s *Server) handleCancelWithdrawal(ctx context.Context, c *app.RequestContext) {
	s.setStates(ctx, c, Withdrawal{Scope: Scope(c.Param("scope")), Name: c.Param("name")}, fleet.Live)
}

func (s *Server) setStates(ctx context.Context, c *app.RequestContext, w Withdrawal, state fleet.Lifecycle) {
	if err := checkRole(currentOperator(c), settings.KindTargets); err != nil {
		s.respond(c, 0, nil, err)
		return
	}
	targets, err := s.targetsInScope(currentOperator(c), w)
	if err != nil {
		s.respond(c, 0, nil, err)
		return
	}
	results := make([]WithdrawnTarget, 0, len(targets))
	for _, t := range targets {
		results = append(results, s.setState(ctx, c, t, state))
	}
	writeJSON(c, 200, results)
}

// targetsInScope returns the targets that a withdrawal names. All of them must
// lie in the operator's subtree.
func (s *Server) targetsInScope(o settings.Operator, w Withdrawal) ([]fleet.Target, error) {
	if !slices.Contains([]Scope{ScopeTarget, ScopeVM, ScopeDomain}, w.Scope) {
		return nil, newRequestError(reason.MalformedBody, "The scope is target, vm or failure-domain.")
	}
	var targets []fleet.Target
	for _, t := range s.targets() {
		if !w.includes(t) {
			continue
		}
		if !covers(o, targetObject(t)) {
			return nil, newRequestError(reason.Forbidden, "Target %s is outside your subtree.", t.ID)
		}
		targets = append(targets, t)
	}
	if len(targets) == 0 {
		return nil, newRequestError(reason.NotFound, "No target in %s %s.", w.Scope, w.Name)
	}
	return targets, nil
}

func (w Withdrawal) includes(t fleet.Target) bool {
	switch w.Scope {
	case ScopeTarget:
		return string(t.ID) == w.Name
	case ScopeDomain:
		return string(t.Domain) == w.Name
	}
	return t.VM == w.Name || t.VM == "" && string(t.ID) == w.Name
}

// setState changes the state in one target's document and returns the result,
// with the reason if the change failed.
func (s *Server) setState(ctx context.Context, c *app.RequestContext, t fleet.Target, state fleet.Lifecycle) WithdrawnTarget {
	result := newWithdrawnTarget(t)
	version, err := s.writeState(ctx, t.ID, state)
	if err != nil {
		result.Fault = toRequestError(err).body.Code
		return result
	}
	result.State, result.Version = state, version
	event.OperatorChange.Log(s.cfg.Log).
		Str("operator", currentOperator(c).Name).
		Str("kind", settings.KindTargets).
		Str("object", string(t.ID)).
		Str("state", string(state)).
		Uint64("version", version).
		Send()
	return result
}

func (s *Server) writeState(ctx context.Context, id fleet.TargetID, state fleet.Lifecycle) (uint64, error) {
	var err error
	for range maxChangeAttempts {
		var version uint64
		version, err = s.writeStateOnce(ctx, id, state)
		if !errors.Is(err, objectapi.ErrConflict) {
			return version, err
		}
	}
	return 0, err
}

func (s *Server) writeStateOnce(ctx context.Context, id fleet.TargetID, state fleet.Lifecycle) (uint64, error) {
	o, err := s.cfg.Store.Get(ctx, settings.KindTargets, string(id))
	if err != nil {
		return 0, err
	}
	data, err := settings.MergePatch(o.Data, fmt.Appendf(nil, `{"state":%q}`, state))
	if err != nil {
		return 0, err
	}
	return s.writer.apply(ctx, change{kind: o.Kind, name: o.Name, data: data, ifVersion: o.Version})
}
