package router

import (
	"context"

	"ragwortpond.example/ragwortpond/event"
	"ragwortpond.example/ragwortpond/fleet"
	"ragwortpond.example/ragwortpond/keys"
	"ragwortpond.example/ragwortpond/operator"
)

// Status is what a router shows of itself to operators.
type Status struct {
	Router fleet.Router `json:"router"`
	Ready  bool         `json:"ready"`
	// InFlight is the number of callers' requests being served.
	InFlight int `json:"in_flight"`
	// Members is the number of routers that this one knows.
	Members int `json:"members"`
	// Targets are those that this router is home to.
	Targets []TargetStatus `json:"targets"`
}

// TargetStatus is one target as its home sees it.
type TargetStatus struct {
	Target  fleet.TargetID    `json:"target"`
	Service fleet.ServiceName `json:"service"`
	// InFlight is the number of attempts in flight.
	InFlight int `json:"in_flight"`
}

// Status returns the router's state.
func (r *Router) Status() Status {
	status := Status{
		Router: r.cfg.Self, Ready: r.Ready(), InFlight: r.face.InFlight(), Members: len(r.members.View().Routers),
		Targets: []TargetStatus{},
	}
	r.targets.Picker().Homed(r.cfg.Self.ID, func(t *fleet.Target) {
		seen := TargetStatus{Target: t.ID, Service: t.Service, InFlight: r.gate.InFlight(t.ID)}
		status.Targets = append(status.Targets, seen)
	})
	return status
}

// OperatorAddr returns host:port of the administration API, empty without one.
func (r *Router) OperatorAddr() string {
	if r.admin == nil {
		return ""
	}
	return r.admin.Addr()
}

func (r *Router) bindOperators() error {
	if r.cfg.OperatorAddr == "" {
		return nil
	}
	tlsConfig, err := keys.ServerTLS(r.cfg.Pair)
	if err != nil {
		return err
	}
	r.admin, err = operator.New(operator.Config{
		Addr: r.cfg.OperatorAddr, TLS: tlsConfig, Store: r.deps.Store, Snapshot: r.source.Snapshot,
		Status: func() any { return r.Status() }, InForce: r.source.WaitInForce, InFlight: r.inFlight,
		Log: r.log, Metrics: r.deps.Metrics,
	})
	return err
}

func (r *Router) startOperators(failures chan<- error) {
	if r.admin != nil {
		r.start(failures, "operators", r.admin.Run)
	}
}

func (r *Router) stopOperators(ctx context.Context) {
	if r.admin == nil {
		return
	}
	if err := r.admin.Shutdown(ctx); err != nil {
		event.RouterFault.Log(r.log).Err(err).Send()
	}
}
