package measure

import (
	"fmt"
	"runtime"
	"time"

	"ragwortpond.example/ragwortpond/fleet"
	"ragwortpond.example/ragwortpond/membership"
	"ragwortpond.example/ragwortpond/router/home"
	"ragwortpond.example/ragwortpond/router/targets"
	"ragwortpond.example/ragwortpond/settings"
)

// bytesPerChat returns the heap size of a home's chat table per entry.
func bytesPerChat() float64 {
	before := heapInUseBytes()
	chats := home.NewChats(slopeChats, time.Now)
	for i := range slopeChats {
		chats.Record(fleet.ChatKey(i)*0x9e3779b97f4a7c15+1, engineName(i%100), 1000)
	}
	after := heapInUseBytes()
	runtime.KeepAlive(chats)
	return (after - before) / slopeChats
}

// bytesPerTarget returns the heap size of a target in the settings and in the tables
// of candidates and homes.
func bytesPerTarget() (float64, error) {
	before := heapInUseBytes()
	objects := chatFleetObjects(document{})
	for i := range slopeServices {
		objects = append(objects, newObject(settings.KindServices, fmt.Sprintf("model-%d", i), document{"kind": fleet.KindEngine}))
	}
	for i := range slopeTargets {
		objects = append(objects, newObject(settings.KindTargets, fmt.Sprintf("worker-%d", i), document{
			"service": fmt.Sprintf("model-%d", i%slopeServices), "failure_domain": domainName(i), "addr": placeholderAddr,
		}))
	}
	snapshot, findings := settings.Build(objects)
	if err := findings.Err(); err != nil {
		return 0, err
	}
	view := &membership.View{LeavingVMs: map[string]bool{}}
	for i := range slopeRouters {
		id := fleet.RouterID(fmt.Sprintf("router-%d", i))
		view.Routers = append(view.Routers, fleet.Router{ID: id, Domain: domainName(i), Region: chatRegion})
	}
	tracker := targets.New(targets.Config{
		Self: view.Routers[0], Clock: time.Now,
		Snapshot: func() *settings.Snapshot { return snapshot },
		View:     func() *membership.View { return view },
	})
	picker := tracker.Picker()
	objects = nil
	after := heapInUseBytes()
	runtime.KeepAlive(snapshot)
	runtime.KeepAlive(picker)
	return (after - before) / slopeTargets, nil
}

// bytesPerMember returns the heap size of a router in the membership table and view.
func bytesPerMember() float64 {
	const members = 2500
	before := heapInUseBytes()
	now := time.Now()
	table := membership.NewTable(fleet.Router{ID: "self", Domain: chatDomains[0]}, membership.Timing{Rings: 3}, nil, now)
	for i := range members {
		router := fleet.Router{
			ID: fleet.RouterID(fmt.Sprintf("router-%d", i)), Domain: domainName(i), Region: chatRegion,
			PeerAddr: fmt.Sprintf("192.0.2.%d:%d", i%256, 7000+i), Incarnation: uint64(now.UnixNano()),
		}
		table.ApplySync("self", membership.SyncResponse{Updates: []membership.Update{
			{ID: router.ID, Incarnation: router.Incarnation, Router: &router},
		}}, now)
	}
	view := table.View()
	after := heapInUseBytes()
	runtime.KeepAlive(table)
	runtime.KeepAlive(view)
	return (after - before) / members
}
