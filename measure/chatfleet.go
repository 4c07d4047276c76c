package measure

import (
	"encoding/json"
	"fmt"

	"ragwortpond.example/ragwortpond/fleet"
	"ragwortpond.example/ragwortpond/objectapi"
	"ragwortpond.example/ragwortpond/settings"
)

// The fleet of the chat experiments: three failure domains of one region, one
// service with twelve engines, two client accounts.
const (
	chatService   = fleet.ServiceName("advice")
	quietAccount  = fleet.AccountName("quiet")
	surgeAccount  = fleet.AccountName("surge")
	chatRegion    = fleet.RegionName("north")
	chatEngines   = 12
	placeholder   = "192.0.2.1:8000"
	contextSecret = "measured context key"
)

var chatDomains = []fleet.DomainName{"north-a", "north-b", "north-c"}

type document map[string]any

// chatFleet returns the documents of the chat experiments with the given
// settings of the fleet.
func chatFleet(values document) []objectapi.Object {
	objects := []objectapi.Object{
		object(settings.KindFleet, "fleet", document{
			"settings":     values,
			"context_keys": []document{{"id": "k1", "secret": contextSecret}},
		}),
		object(settings.KindServices, string(chatService), document{"kind": fleet.KindEngine}),
		object(settings.KindAccounts, string(quietAccount), document{"key_hashes": []string{}}),
		object(settings.KindAccounts, string(surgeAccount), document{"key_hashes": []string{}}),
	}
	for _, d := range chatDomains {
		objects = append(objects, object(settings.KindDomains, string(d), document{"region": chatRegion}))
	}
	for i := range chatEngines {
		objects = append(objects, object(settings.KindTargets, string(engineName(i)), document{
			"service": chatService, "failure_domain": domainOf(i), "addr": placeholder,
		}))
	}
	return objects
}

func engineName(i int) fleet.TargetID {
	return fleet.TargetID(fmt.Sprintf("engine-%02d", i+1))
}

func domainOf(i int) fleet.DomainName {
	return chatDomains[i%len(chatDomains)]
}

func object(kind, name string, doc document) objectapi.Object {
	data, err := json.Marshal(doc)
	if err != nil {
		panic(err)
	}
	return objectapi.Object{Kind: kind, Name: name, Data: data}
}
