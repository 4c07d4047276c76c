package settings

import (
	"encoding/json"

	"ragwortpond.example/ragwortpond/fleet"
)

// LimitsOf returns the limits that the document of one level sets for itself:
// the fleet, a service or a client account. Rate and concurrency are zero where
// the document does not set them; the burst is the one in force.
func (s *Snapshot) LimitsOf(level Level, name string) Limits {
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
	own := Values{Limits: inForce.Limits}
	own.Limits.RequestsPerSecond, own.Limits.Concurrency = 0, 0
	overlay(&own, raw)
	return own.Limits
}
