package router

import "ragwortpond.example/ragwortpond/router/ordering"

func (r *Router) newOrdering() *ordering.Driver {
	return ordering.New(ordering.Config{
		Self: r.cfg.Self.ID, Snapshot: r.settingsService.Snapshot, View: r.members.View, Store: r.deps.Store,
		Engine: r.deps.Engine, Weights: r.deps.Weights, Log: r.log,
	})
}
