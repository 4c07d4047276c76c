package settings

import (
	"encoding/json"

	"ragwortpond.example/ragwortpond/fleet"
)

// EffectiveValue is one value in force with the level that it comes from.
type EffectiveValue struct {
	Key   string      `json:"key"`
	Value json.Number `json:"value"`
	Level Level       `json:"level"`
	// Source is the name of the document that sets it; empty for a default.
	Source string `json:"source,omitempty"`
}

// layer is one level's settings with its origin.
type layer struct {
	level  Level
	source string
	raw    json.RawMessage
}

func (s *Snapshot) layers(key scope) []layer {
	return []layer{
		{LevelFleet, FleetName, s.levels.fleet},
		{LevelDomain, string(key.domain), s.levels.domains[key.domain]},
		{LevelService, string(key.service), s.levels.services[key.service]},
		{LevelAccount, string(key.account), s.levels.accounts[key.account]},
	}
}

// EffectiveByLevel returns every value in force for a failure domain, service
// and client account with the level it comes from, in the order of Keys. An
// empty name leaves that level out.
func (s *Snapshot) EffectiveByLevel(d fleet.DomainName, svc fleet.ServiceName, a fleet.AccountName) []EffectiveValue {
	values := make([]EffectiveValue, 0, len(table))
	layers := s.layers(scope{d, svc, a})
	for _, k := range table {
		value := EffectiveValue{Key: k.Name, Value: k.Default(), Level: LevelDefault}
		for _, l := range layers {
			if set, ok := k.setIn(l.raw); ok {
				value = EffectiveValue{Key: k.Name, Value: set, Level: l.level, Source: l.source}
			}
		}
		values = append(values, value)
	}
	return values
}

// setIn returns the key's value in a raw settings object.
func (k Key) setIn(raw json.RawMessage) (json.Number, bool) {
	if len(raw) == 0 {
		return "", false
	}
	var groups map[string]map[string]json.Number
	if json.Unmarshal(raw, &groups) != nil {
		return "", false
	}
	group, name := k.Split()
	n, ok := groups[group][name]
	return n, ok
}
