package settings

import (
	"encoding/json"

	"ragwortpond.example/ragwortpond/fleet"
)

// EffectiveValue is the value in force of one key, with the level that sets it.
type EffectiveValue struct {
	Key   string      `json:"key"`
	Value json.Number `json:"value"`
	Level Level       `json:"level"`
	// Source is the name of the document that sets the value; empty for a default.
	Source string `json:"source,omitempty"`
}

// layer is the settings object of one level, with the name of its document.
type layer struct {
	level    Level
	source   string
	settings json.RawMessage
}

// layers returns the layers of a scope, each overriding those before it.
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
			if set, ok := k.valueIn(l.settings); ok {
				value = EffectiveValue{Key: k.Name, Value: set, Level: l.level, Source: l.source}
			}
		}
		values = append(values, value)
	}
	return values
}

// valueIn returns the key's value in a raw settings object; false if the object
// does not set it.
func (k Key) valueIn(raw json.RawMessage) (json.Number, bool) {
	if len(raw) == 0 {
		return "", false
	}
	var groups map[string]map[string]json.Number
	if json.Unmarshal(raw, &groups) != nil {
		return "", false
	}
	group, name := k.Split()
	value, ok := groups[group][name]
	return value, ok
}
