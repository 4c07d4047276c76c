package router

import (
	"ragwortpond.example/ragwortpond/fleet"
	"ragwortpond.example/ragwortpond/router/withdraw"
)

func (r *Router) newWithdrawals() *withdraw.Driver {
	return withdraw.New(withdraw.Config{
		Self: r.cfg.Self, Snapshot: r.settingsService.Snapshot, View: r.members.View, Picker: r.targets.Picker,
		Chats: r.chats, Groups: r.groups, InFlight: r.targetInFlight, Engine: r.deps.Engine,
		Notify: r.Notify, Log: r.log,
	})
}

// targetInFlight returns the number of attempts in flight to a target at this
// home.
func (r *Router) targetInFlight(id fleet.TargetID) int {
	if gate, ok := r.gate.(interface{ InFlight(fleet.TargetID) int }); ok {
		return gate.InFlight(id)
	}
	return 0
}

// WithdrawalStatuses returns the withdrawals that this router drives as the home of
// leaving targets.
func (r *Router) WithdrawalStatuses() []withdraw.Status {
	return r.withdrawals.Statuses()
}
