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

// Scope says what a withdrawal names.
type Scope string

// The scopes of withdrawals.
const (
	ScopeTarget Scope = "target"
	ScopeVM     Scope = "vm"
	ScopeDomain Scope = "failure-domain"
)

// Withdrawal asks to withdraw all targets of a scope.
type Withdrawal struct {
	Scope Scope  `json:"scope"`
	Name  string `json:"name"`
}

// WithdrawnTarget is the state of one target of a withdrawal.
type WithdrawnTarget struct {
	Target fleet.TargetID    `json:"target"`
	Domain fleet.DomainName  `json:"failure_domain"`
	VM     string            `json:"vm,omitempty"`
	State  fleet.Lifecycle   `json:"state"`
	For    fleet.ServiceName `json:"service"`
	// InFlight is the number of attempts in flight before the target, nil if it
	// is not known.
	InFlight *int `json:"in_flight,omitempty"`
	// Silent are routers that did not say what they have in flight.
	Silent []fleet.RouterID `json:"silent,omitempty"`
	// Version is that of the accepted change; zero if there was none to make.
	Version uint64 `json:"version,omitempty"`
	// Fault says why the target could not be changed.
	Fault reason.Code `json:"fault,omitempty"`
}

// changeAttempts bounds the repetitions of a change that other operators race.
const changeAttempts = 4

// listWithdrawals shows the targets that are leaving.
func (s *Server) listWithdrawals(ctx context.Context, c *app.RequestContext) {
	var leaving []fleet.Target
	for _, t := range s.targets() {
		if t.State == fleet.Leaving && covers(operatorOf(c), targetObject(t)) {
			leaving = append(leaving, t)
		}
	}
	writeJSON(c, 200, s.withWork(ctx, leaving))
}

// withWork adds to leaving targets what is still in flight before them.
func (s *Server) withWork(ctx context.Context, leaving []fleet.Target) []WithdrawnTarget {
	answers := make([]WithdrawnTarget, len(leaving))
	for i, t := range leaving {
		answers[i] = withdrawn(t)
	}
	if s.cfg.InFlight == nil || len(leaving) == 0 {
		return answers
	}
	work := s.cfg.InFlight(ctx, leaving)
	for i := range answers {
		count := work.Attempts[answers[i].Target]
		answers[i].InFlight, answers[i].Silent = &count, work.Silent
	}
	return answers
}

// targets returns all targets in force, sorted by id.
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

// targetObject is what of a target decides the subtrees that cover it.
func targetObject(t fleet.Target) objectapi.Object {
	data := fmt.Appendf(nil, `{"service":%q,"failure_domain":%q}`, t.Service, t.Domain)
	return objectapi.Object{Kind: settings.KindTargets, Name: string(t.ID), Data: data}
}

func withdrawn(t fleet.Target) WithdrawnTarget {
	return WithdrawnTarget{Target: t.ID, Domain: t.Domain, VM: t.VM, State: t.State, For: t.Service}
}

// withdraw sets the targets of a scope to leaving.
func (s *Server) withdraw(ctx context.Context, c *app.RequestContext) {
	var w Withdrawal
	if err := json.Unmarshal(c.Request.Body(), &w); err != nil {
		s.respond(c, 0, nil, refuse(reason.MalformedBody, "%v", err))
		return
	}
	s.setStates(ctx, c, w, fleet.Leaving)
}

// callOff sets the targets of a scope back to live.
func (s *Server) callOff(ctx context.Context, c *app.RequestContext) {
	s.setStates(ctx, c, Withdrawal{Scope: Scope(c.Param("scope")), Name: c.Param("name")}, fleet.Live)
}

func (s *Server) setStates(ctx context.Context, c *app.RequestContext, w Withdrawal, state fleet.Lifecycle) {
	if err := mayChange(operatorOf(c), settings.KindTargets); err != nil {
		s.respond(c, 0, nil, err)
		return
	}
	named, err := s.inScope(operatorOf(c), w)
	if err != nil {
		s.respond(c, 0, nil, err)
		return
	}
	answers := make([]WithdrawnTarget, 0, len(named))
	for _, t := range named {
		answers = append(answers, s.setState(ctx, c, t, state))
	}
	writeJSON(c, 200, answers)
}

// inScope returns the targets that a withdrawal names, all of which must lie in
// the operator's subtree.
func (s *Server) inScope(o settings.Operator, w Withdrawal) ([]fleet.Target, error) {
	if !slices.Contains([]Scope{ScopeTarget, ScopeVM, ScopeDomain}, w.Scope) {
		return nil, refuse(reason.MalformedBody, "The scope is target, vm or failure-domain.")
	}
	var named []fleet.Target
	for _, t := range s.targets() {
		if !w.names(t) {
			continue
		}
		if !covers(o, targetObject(t)) {
			return nil, refuse(reason.Forbidden, "Target %s is outside your subtree.", t.ID)
		}
		named = append(named, t)
	}
	if len(named) == 0 {
		return nil, refuse(reason.NotFound, "No target in %s %s.", w.Scope, w.Name)
	}
	return named, nil
}

func (w Withdrawal) names(t fleet.Target) bool {
	switch w.Scope {
	case ScopeTarget:
		return string(t.ID) == w.Name
	case ScopeDomain:
		return string(t.Domain) == w.Name
	}
	return t.VM == w.Name || t.VM == "" && string(t.ID) == w.Name
}

// setState changes one target's document and says truthfully what came of it.
func (s *Server) setState(ctx context.Context, c *app.RequestContext, t fleet.Target, state fleet.Lifecycle) WithdrawnTarget {
	answer := withdrawn(t)
	version, err := s.writeState(ctx, t.ID, state)
	if err != nil {
		answer.Fault = refusalOf(err).body.Code
		return answer
	}
	answer.State, answer.Version = state, version
	event.OperatorChange.Log(s.cfg.Log).
		Str("operator", operatorOf(c).Name).
		Str("kind", settings.KindTargets).
		Str("object", string(t.ID)).
		Str("state", string(state)).
		Uint64("version", version).
		Send()
	return answer
}

func (s *Server) writeState(ctx context.Context, id fleet.TargetID, state fleet.Lifecycle) (uint64, error) {
	var err error
	for range changeAttempts {
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
