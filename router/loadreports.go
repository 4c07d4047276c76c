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
	// loadReportPeriod is how often the home's load is read for load reports.
	loadReportPeriod = 20 * time.Millisecond
	// demandReportPeriod is how often the demand on limits is read for load
	// reports.
	demandReportPeriod = 100 * time.Millisecond
)

func (r *Router) buildLoadMeans(mux *peer.Mux) {
	r.loadMeans = loadmean.New(loadmean.Config{
		Self: r.cfg.Self, PeerClient: r.node, Clock: time.Now, Log: r.log,
		Members: func() []fleet.Router { return r.members.View().Routers },
	})
	r.loadMeans.Register(mux)
}

// startLoadReports starts the exchange of load and demand reports with the
// other routers.
func (r *Router) startLoadReports(ctx context.Context, failures chan<- error) {
	r.startComponent(failures, "load means", func() error { return r.loadMeans.Run(ctx) })
	r.background.Go(func() { runEvery(ctx, loadReportPeriod, r.reportLoads) })
	r.background.Go(func() { runEvery(ctx, demandReportPeriod, r.reportDemand) })
}

func runEvery(ctx context.Context, period time.Duration, f func()) {
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

// reportLoads reports the load of the services whose targets this router is
// home to.
func (r *Router) reportLoads() {
	gate, bounded := r.gate.(*home.LoadGate)
	snapshot := r.settingsService.Snapshot()
	if !bounded || snapshot == nil {
		return
	}
	picker := r.targets.Picker()
	for service := range snapshot.Targets {
		weight := picker.HomedWeight(service, r.cfg.Self.ID)
		load := gate.ServiceInFlight(service)
		r.loadMeans.Report(loadmean.ServiceKey(service), loadmean.Sum{Amount: load, Weight: weight})
	}
}

// reportDemand reports the use of limits. The amount is in requests per second,
// and the weight is the number of requests in flight.
func (r *Router) reportDemand() {
	for _, u := range r.entry.Usage() {
		r.loadMeans.Report(demandKey(u.Scope), loadmean.Sum{Amount: u.Demand, Weight: float64(u.InFlight)})
	}
}

// limitPeers returns the use of a limit's scope by the other routers.
func (r *Router) limitPeers(scope admission.Scope) admission.PeerUsage {
	others, fresh := r.loadMeans.PeerSums(demandKey(scope))
	return admission.PeerUsage{
		Demand: others.Total.Amount, InFlight: others.Total.Weight,
		Routers: len(r.members.View().Routers), Current: fresh,
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
