package mesh

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"ragwortpond.example/ragwortpond/await"
	"ragwortpond.example/ragwortpond/fleet"
	"ragwortpond.example/ragwortpond/platform"
	"ragwortpond.example/ragwortpond/platform/standin"
	"ragwortpond.example/ragwortpond/streamversion"
)

// hear lets a table hear a heartbeat of a router with splits and lists.
func hear(table *Table, id fleet.RouterID, incarnation int64, splits []SplitReport, lists []ListReport, now time.Time) {
	hb := &Heartbeat{From: id, Domain: "d0", Incarnation: incarnation, Splits: splits, Lists: lists}
	table.HandleHeartbeat(hb, netip.MustParseAddrPort("127.0.0.1:1000"), now)
}

// TestRouterOfEarlierBuildIsNotListed guards against relying on a list that routers of earlier builds do not read.
func TestRouterOfEarlierBuildIsNotListed(t *testing.T) {
	now := time.Unix(1000, 0)
	table := NewTable("self", "d0", 1)
	check := func(what string, wantKnown int, want streamversion.Readers) {
		t.Helper()
		if known, readers := table.listable("s", now); len(known) != wantKnown || readers != want {
			t.Errorf("%s: got %d routers to be listed, readers %d, want %d and %d", what, len(known), readers, wantKnown, want)
		}
	}
	split := []SplitReport{{Service: "s", Revision: 7}}
	hear(table, "r0", 1, split, []ListReport{{Service: "s", Revision: 7}}, now)
	check("a router of this build", 1, streamversion.AllRead)
	hear(table, "r1", 1, nil, nil, now)
	check("one that has told nothing yet", 1, streamversion.SomeUnknown)
	hear(table, "r1", 1, split, nil, now)
	check("one of an earlier build", 1, streamversion.SomeDoNot)
	if got := table.listPrecedence(0, now); got > 1 {
		t.Errorf("got precedence %d, want that of two routers at most", got)
	}
	hear(table, "r1", 2, split, []ListReport{{Service: "s", Revision: 7, Listed: 3}}, now)
	check("its next process, of this build", 2, streamversion.AllRead)
	hear(table, "r1", 3, nil, nil, now)
	check("a process that has told nothing yet", 1, streamversion.SomeUnknown)
	table.recordFleetSize(9, now)
	if got := table.listPrecedence(0, now); got < maxMembers {
		t.Errorf("among others that it does not know yet: got precedence %d, want a high one", got)
	}
}

// TestLeavingRouterIsListedWhileItMayServe guards against a router that begins streams while it drains, cut off.
func TestLeavingRouterIsListedWhileItMayServe(t *testing.T) {
	now := time.Unix(1000, 0)
	table := NewTable("self", "d0", 1)
	hear(table, "r0", 1, nil, []ListReport{{Service: "s", Revision: 7}}, now)
	table.members["r0"].leaving = true
	for after, want := range map[time.Duration]bool{0: false, endedAfter - time.Millisecond: false, endedAfter: true} {
		if known, _ := table.listable("s", now.Add(after)); len(known) != 1 || known[0].Ended != want {
			t.Errorf("%v after its last heartbeat: got %+v, want ended %t", after, known, want)
		}
	}
}

// TestRoutersLearnThatTheyAreListed plays the messages about the list over sockets.
func TestRoutersLearnThatTheyAreListed(t *testing.T) {
	server := startStore(t, 1)
	config := standin.Config{Version: 2, Engines: []string{"s"}, Routes: []standin.Route{{
		Name: "r", Host: "h", Prefix: "/", Service: "s", Repeatable: true, Stream: true, Resumable: true, MaxTargets: 2, Timeout: time.Second, Objective: time.Second, Pause: time.Second,
	}}}
	server.Put(platform.KindConfig, platform.ConfigName, config.Spec())
	store := platform.NewStore(server.Addr(), nil)
	var routers []*testRouter
	for i := range 3 {
		routers = append(routers, startRouterInDomain(t, "a", i, store, []string{freeAddr(t, 0)}))
	}
	for _, r := range routers {
		await.Until(t, "the routers to know each other", func() bool { return r.mesh.FleetSize() == len(routers) })
	}
	versions := func(i int) *streamversion.Service { return routers[i].mesh.cfg.StreamVersions.(*streamversion.Service) }
	split := streamversion.Split{{Version: "v1", Weight: 1}}
	for i := range routers {
		await.Until(t, "the configuration", func() bool {
			versions(i).Merge(streamversion.Report{Service: "s", Revision: 7, Split: split, KnownSince: time.Now()})
			return len(versions(i).Reports()) > 0
		})
	}
	var known []streamversion.Member
	await.Until(t, "what the others know", func() bool {
		var readers streamversion.Readers
		known, readers = routers[0].mesh.Members("s")
		for _, k := range known {
			if k.Revision != 7 {
				return false
			}
		}
		return len(known) == len(routers) && readers == streamversion.AllRead
	})
	for _, k := range known {
		earlier := k
		earlier.Process--
		routers[0].mesh.TellListed(earlier, streamversion.Listing{Service: "s", Revision: 99})
		routers[0].mesh.TellListed(k, streamversion.Listing{Service: "s", Revision: 11, Floor: 7, Whole: true})
	}
	for i := range routers {
		await.Until(t, fmt.Sprintf("router %d to know that it is listed", i), func() bool {
			listed, _ := versions(i).ListRevision("s")
			return listed == 11
		})
	}
	await.Until(t, "the writer to know that they know", func() bool {
		known, _ = routers[0].mesh.Members("s")
		for _, k := range known {
			if k.Listed != 11 {
				return false
			}
		}
		return true
	})
}
