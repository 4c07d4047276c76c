package measure

import (
	"encoding/json"
	"fmt"

	"ragwortpond.example/ragwortpond/fleet"
	"ragwortpond.example/ragwortpond/objectapi"
	"ragwortpond.example/ragwortpond/settings"
)

// The fleet of the chat experiments has three failure domains in one region, one
// service with twelve engines, and two client accounts.
const (
	chatService     = fleet.ServiceName("advice")
	quietAccount    = fleet.AccountName("quiet")
	surgeAccount    = fleet.AccountName("surge")
	chatRegion      = fleet.RegionName("north")
	chatEngines     = 12
	placeholderAddr = "192.0.2.1:8000"
	contextSecret   = "measured context key"
)

var chatDomains = []fleet.DomainName{"north-a", "north-b", "north-c"}

type document map[string]any

// chatFleetObjects returns the settings documents of the chat experiments. The
// fleet document carries fleetSettings. Target addresses are placeholders.
func chatFleetObjects(fleetSettings document) []objectapi.Object {
	objects := []objectapi.Object{
		newObject(settings.KindFleet, "fleet", document{
			"settings":     fleetSettings,
			"context_keys": []document{{"id": "k1", "secret": contextSecret}},
		}),
		newObject(settings.KindServices, string(chatService), document{"kind": fleet.KindEngine}),
		newObject(settings.KindAccounts, string(quietAccount), document{"key_hashes": []string{}}),
		newObject(settings.KindAccounts, string(surgeAccount), document{"key_hashes": []string{}}),
	}
	for _, d := range chatDomains {
		objects = append(objects, newObject(settings.KindDomains, string(d), document{"region": chatRegion}))
	}
	for i := range chatEngines {
		objects = append(objects, newObject(settings.KindTargets, string(engineName(i)), document{
			"service": chatService, "failure_domain": domainName(i), "addr": placeholderAddr,
		}))
	}
	return objects
}

func engineName(i int) fleet.TargetID {
	return fleet.TargetID(fmt.Sprintf("engine-%02d", i+1))
}

func domainName(i int) fleet.DomainName {
	return chatDomains[i%len(chatDomains)]
}

func newObject(kind, name string, doc document) objectapi.Object {
	data, err := json.Marshal(doc)
	if err != nil {
		panic(err)
	}
	return objectapi.Object{Kind: kind, Name: name, Data: data}
}
