package router

import (
	"context"
	"time"

	"ragwortpond.example/ragwortpond/admission"
	"ragwortpond.example/ragwortpond/fleet"
	"ragwortpond.example/ragwortpond/loadmean"
	"ragwortpond.example/ragwortpond/peer"
	"ragwortpond.example/ragwortpond/router/home"
)

const (
	// loadPeriod is how often a home's load is looked at for reports.
	loadPeriod = 20 * time.Millisecond
	// demandPeriod is how often the demand on limits is reported.
	demandPeriod = 100 * time.Millisecond
)

func (r *Router) buildMeans(mux *peer.Mux) {
	r.means = loadmean.New(loadmean.Config{
		Self: r.cfg.Self, Caller: r.node, Clock: time.Now, Log: r.log,
		Members: func() []fleet.Router { return r.members.View().Routers },
	})
	r.means.Register(mux)
}

// startMeans reports this router's load and demand, and learns the others'.
func (r *Router) startMeans(ctx context.Context, failures chan<- error) {
	r.start(failures, "load means", func() error { return r.means.Run(ctx) })
	r.wait.Go(func() { every(ctx, loadPeriod, r.reportLoads) })
	r.wait.Go(func() { every(ctx, demandPeriod, r.reportDemand) })
}

func every(ctx context.Context, period time.Duration, f func()) {
	ticker := time.NewTicker(period)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			f()
		}
	}
}

// reportLoads reports the services whose targets this router is home to.
func (r *Router) reportLoads() {
	gate, bounded := r.gate.(*home.LoadGate)
	snapshot := r.source.Snapshot()
	if !bounded || snapshot == nil {
		return
	}
	picker := r.targets.Picker()
	for service := range snapshot.Targets {
		weight := picker.HomedWeight(service, r.cfg.Self.ID)
		load := gate.ServiceInFlight(service)
		r.means.ReportSum(loadmean.ServiceKey(service), loadmean.Sum{Amount: load, Weight: weight})
	}
}

// reportDemand reports the use of limits. The amount is in requests a second,
// the weight is requests in flight.
func (r *Router) reportDemand() {
	for _, u := range r.entry.Usage() {
		r.means.ReportSum(demandKey(u.Scope), loadmean.Sum{Amount: u.Demand, Weight: float64(u.InFlight)})
	}
}

// limitPeers tells the limits what other routers use of a scope.
func (r *Router) limitPeers(scope admission.Scope) admission.Peers {
	others, fresh := r.means.Read(demandKey(scope))
	return admission.Peers{
		Demand: others.Total.Amount, InFlight: others.Total.Weight,
		Routers: len(r.members.View().Routers), Fresh: fresh,
	}
}

func demandKey(scope admission.Scope) loadmean.Key {
	switch scope.Level {
	case admission.LevelAccount:
		return loadmean.AccountKey(fleet.AccountName(scope.Name))
	case admission.LevelService:
		return loadmean.DemandKey(fleet.ServiceName(scope.Name))
	default:
		return loadmean.FleetKey
	}
}
