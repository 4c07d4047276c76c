package router

import (
	"ragwortpond.example/ragwortpond/fleet"
	"ragwortpond.example/ragwortpond/keyjournal"
	"ragwortpond.example/ragwortpond/peer"
	"ragwortpond.example/ragwortpond/router/orders"
	"ragwortpond.example/ragwortpond/settings"
)

// buildOrders creates the journal and the order server, which handles requests
// before the entry role.
func (r *Router) buildOrders(mux *peer.Mux) error {
	journal, err := keyjournal.New(keyjournal.Config{
		Store: r.deps.Store, PeerClient: r.node, Self: r.cfg.Self.ID,
		Members:    func() []fleet.Router { return r.members.View().Routers },
		FindRouter: r.findRouter, Settings: r.journalValues, Log: r.log, Metrics: r.deps.Metrics,
	})
	if err != nil {
		return err
	}
	r.journal = journal
	r.journal.Register(mux)
	ordersJournal := orders.Journal(journal)
	if r.deps.Journal != nil {
		ordersJournal = r.deps.Journal(journal)
	}
	r.orders = orders.New(orders.Config{Next: r.entry, Journal: ordersJournal, Metrics: r.deps.Metrics})
	return nil
}

// findRouter returns a known router by its ID, including leaving ones.
func (r *Router) findRouter(id fleet.RouterID) (fleet.Router, bool) {
	for _, m := range r.members.View().Members {
		if m.Router.ID == id {
			return m.Router, true
		}
	}
	return fleet.Router{}, false
}

func (r *Router) journalValues() settings.Journal {
	snapshot := r.settingsService.Snapshot()
	if snapshot == nil {
		return settings.Defaults().Journal
	}
	return snapshot.Effective(r.cfg.Self.Domain, "", "").Journal
}
