package router

import (
	"ragwortpond.example/ragwortpond/fleet"
	"ragwortpond.example/ragwortpond/keyjournal"
	"ragwortpond.example/ragwortpond/peer"
	"ragwortpond.example/ragwortpond/router/orders"
	"ragwortpond.example/ragwortpond/settings"
)

// buildOrders puts the journal and the path of orders before the entry role.
func (r *Router) buildOrders(mux *peer.Mux) error {
	log, err := keyjournal.New(keyjournal.Config{
		Store: r.deps.Store, Caller: r.node, Self: r.cfg.Self.ID,
		Members: func() []fleet.Router { return r.members.View().Routers },
		Find:    r.findRouter, Values: r.journalValues, Log: r.log, Metrics: r.deps.Metrics,
	})
	if err != nil {
		return err
	}
	r.journal = log
	r.journal.Register(mux)
	used := orders.Journal(log)
	if r.deps.Journal != nil {
		used = r.deps.Journal(log)
	}
	r.orders = orders.New(orders.Config{Next: r.entry, Journal: used, Metrics: r.deps.Metrics})
	return nil
}

// findRouter finds a router among all that are known, leaving ones included.
func (r *Router) findRouter(id fleet.RouterID) (fleet.Router, bool) {
	for _, m := range r.members.View().All {
		if m.Router.ID == id {
			return m.Router, true
		}
	}
	return fleet.Router{}, false
}

func (r *Router) journalValues() settings.Journal {
	snapshot := r.source.Snapshot()
	if snapshot == nil {
		return settings.Defaults().Journal
	}
	return snapshot.Effective(r.cfg.Self.Domain, "", "").Journal
}
