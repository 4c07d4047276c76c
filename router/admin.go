package router

import (
	"context"

	"ragwortpond.example/ragwortpond/event"
	"ragwortpond.example/ragwortpond/fleet"
	"ragwortpond.example/ragwortpond/keys"
	"ragwortpond.example/ragwortpond/operator"
)

// Status is a router's own state as shown to operators.
type Status struct {
	Router fleet.Router `json:"router"`
	Ready  bool         `json:"ready"`
	// InFlight is the number of callers' requests in progress.
	InFlight int `json:"in_flight"`
	// Members is the number of routers in this router's view that accept work:
	// alive or suspected, and not leaving.
	Members int `json:"members"`
	// Targets holds the targets that this router is home to.
	Targets []TargetStatus `json:"targets"`
}

// TargetStatus is the state of one target as seen by its home.
type TargetStatus struct {
	Target  fleet.TargetID    `json:"target"`
	Service fleet.ServiceName `json:"service"`
	// InFlight is the number of attempts in flight to the target.
	InFlight int `json:"in_flight"`
}

// Status returns the router's current state.
func (r *Router) Status() Status {
	status := Status{
		Router: r.cfg.Self, Ready: r.Ready(), InFlight: r.callerServer.InFlight(), Members: len(r.members.View().Routers),
		Targets: []TargetStatus{},
	}
	r.targets.Picker().ForEachHomed(r.cfg.Self.ID, func(t *fleet.Target) {
		targetStatus := TargetStatus{Target: t.ID, Service: t.Service, InFlight: r.gate.InFlight(t.ID)}
		status.Targets = append(status.Targets, targetStatus)
	})
	return status
}

// OperatorAddr returns host:port of the administration API, or "" if there is
// none.
func (r *Router) OperatorAddr() string {
	if r.operatorServer == nil {
		return ""
	}
	return r.operatorServer.Addr()
}

func (r *Router) bindOperators() error {
	if r.cfg.OperatorAddr == "" {
		return nil
	}
	tlsConfig, err := keys.ServerTLS(r.cfg.Certificate)
	if err != nil {
		return err
	}
	r.operatorServer, err = operator.New(operator.Config{
		Addr: r.cfg.OperatorAddr, TLS: tlsConfig, Store: r.deps.Store, Snapshot: r.settingsService.Snapshot,
		Status: func() any { return r.Status() }, InForce: r.settingsService.WaitInForce, InFlight: r.inFlight,
		Log: r.log, Metrics: r.deps.Metrics,
	})
	return err
}

func (r *Router) startOperators(failures chan<- error) {
	if r.operatorServer != nil {
		r.startComponent(failures, "operators", r.operatorServer.Run)
	}
}

func (r *Router) stopOperators(ctx context.Context) {
	if r.operatorServer == nil {
		return
	}
	if err := r.operatorServer.Shutdown(ctx); err != nil {
		event.RouterFault.Log(r.log).Err(err).Send()
	}
}
