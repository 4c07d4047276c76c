package router

import (
	"ragwortpond.example/ragwortpond/fleet"
	"ragwortpond.example/ragwortpond/keys"
	"ragwortpond.example/ragwortpond/operator"
)

// Status is what a router shows of itself to operators.
type Status struct {
	Self     fleet.Router `json:"self"`
	Ready    bool         `json:"ready"`
	Revision uint64       `json:"revision"`
	InFlight int          `json:"in_flight"`
	// Targets are those that this router is home to, with their requests in
	// flight.
	Targets []TargetStatus `json:"targets"`
}

// TargetStatus is one target as its home sees it.
type TargetStatus struct {
	Target   fleet.TargetID    `json:"target"`
	Service  fleet.ServiceName `json:"service"`
	InFlight int               `json:"in_flight"`
}

// bindOperators opens the administration API where an address is configured.
func (r *Router) bindOperators() error {
	if r.cfg.OperatorAddr == "" {
		return nil
	}
	tlsConfig, err := keys.ServerTLS(r.cfg.Pair)
	if err != nil {
		return err
	}
	r.operators, err = operator.New(operator.Config{
		Addr: r.cfg.OperatorAddr, TLS: tlsConfig, Store: r.deps.Store, Snapshot: r.source.Snapshot,
		Status: func() any { return r.Status() }, InForce: r.source.WaitInForce,
		Log: r.log, Metrics: r.deps.Metrics,
	})
	return err
}

// OperatorAddr returns host:port of the administration API, empty where there
// is none.
func (r *Router) OperatorAddr() string {
	if r.operators == nil {
		return ""
	}
	return r.operators.Addr()
}

// Status returns what the router is doing now.
func (r *Router) Status() Status {
	status := Status{
		Self: r.cfg.Self, Ready: r.Ready(), Revision: r.source.Revision(), InFlight: r.InFlight(), Targets: []TargetStatus{},
	}
	r.targets.Picker().Homed(r.cfg.Self.ID, func(t *fleet.Target) {
		seen := TargetStatus{Target: t.ID, Service: t.Service, InFlight: r.gate.InFlight(t.ID)}
		status.Targets = append(status.Targets, seen)
	})
	return status
}
