package settings

import (
	"encoding/json"

	"ragwortpond.example/ragwortpond/fleet"
)

// OwnLimits returns the limits that the document of one level sets itself, for
// the fleet, a service or a client account. RequestsPerSecond and Concurrency
// are not inherited: they are zero if the document does not set them. The other
// limits are those in force. For any other level it returns zero limits.
func (s *Snapshot) OwnLimits(level Level, name string) Limits {
	var raw json.RawMessage
	var inForce *Values
	switch level {
	case LevelFleet:
		raw, inForce = s.levels.fleet, s.Effective("", "", "")
	case LevelService:
		raw, inForce = s.levels.services[fleet.ServiceName(name)], s.Effective("", fleet.ServiceName(name), "")
	case LevelAccount:
		raw, inForce = s.levels.accounts[fleet.AccountName(name)], s.Effective("", "", fleet.AccountName(name))
	default:
		return Limits{}
	}
	ownValues := Values{Limits: inForce.Limits}
	ownValues.Limits.RequestsPerSecond, ownValues.Limits.Concurrency = 0, 0
	overlay(&ownValues, raw)
	return ownValues.Limits
}
