package mesh

import (
	"context"
	"fmt"
	"net/netip"
	"testing"
	"time"

	"ragwortpond.example/ragwortpond/await"
	"ragwortpond.example/ragwortpond/fleet"
	"ragwortpond.example/ragwortpond/platform"
	"ragwortpond.example/ragwortpond/streamversion"
)

func TestRecordOfStreamOutlivesOtherRouters(t *testing.T) {
	store := platform.NewStore(startStore(t, 1).Addr(), nil)
	var routers []*testRouter
	for i, domain := range []fleet.DomainName{"a", "a", "b", "c"} {
		routers = append(routers, startRouterInDomain(t, domain, i, store, []string{freeAddr(t, 0)}))
	}
	for _, r := range routers {
		await.Until(t, "the routers to know each other", func() bool { return r.mesh.FleetSize() == len(routers) })
	}
	const streams = 50
	for key := range streamversion.Key(streams) {
		routers[0].mesh.RecordStream(key, streamversion.Origin(key+7))
	}
	await.Until(t, "the records to arrive", func() bool { return knownStreams(routers[3], streams) == streams })
	routers[0].stop()
	routers[1].stop()
	if got := knownStreams(routers[3], streams); got != streams {
		t.Errorf("after the end of a failure domain: got %d of %d streams known, want all", got, streams)
	}
	routers[2].stop()
	if got := knownStreams(routers[3], streams); got != streams {
		t.Errorf("after the end of all others: got %d of %d streams known to the last router, want all", got, streams)
	}
	started := time.Now()
	if _, ok := routers[3].mesh.FindStream(context.Background(), 1000); ok {
		t.Error("a stream that never was is known")
	}
	if elapsed := time.Since(started); elapsed > 2*streamTimeout {
		t.Errorf("asking took %v, want at most about %v", elapsed, streamTimeout)
	}
}

// knownStreams returns how many of the first n streams a router finds, by itself or by asking
// others.
func knownStreams(r *testRouter, n int) int {
	found := 0
	for key := range streamversion.Key(n) {
		origin, ok := r.mesh.cfg.StreamVersions.Registry().Find(key, time.Now())
		if !ok {
			origin, ok = r.mesh.FindStream(context.Background(), key)
		}
		if ok && origin == streamversion.Origin(key+7) {
			found++
		}
	}
	return found
}

// TestRecordsOfManyStreamsReachOtherRouters guards against records that do not fit into one datagram.
func TestRecordsOfManyStreamsReachOtherRouters(t *testing.T) {
	store := platform.NewStore(startStore(t, 1).Addr(), nil)
	var routers []*testRouter
	for i := range 3 {
		routers = append(routers, startRouterInDomain(t, "a", i, store, []string{freeAddr(t, 0)}))
	}
	for _, r := range routers {
		await.Until(t, "the routers to know each other", func() bool { return r.mesh.FleetSize() == len(routers) })
	}
	const streams = 3 * maxStreamRecords / 2
	records := map[streamversion.Key]streamversion.Origin{}
	for key := range streamversion.Key(streams) {
		// Both take the most bytes.
		records[^key] = ^streamversion.Origin(0)
	}
	routers[0].mesh.RecordStreams(records)
	known := func(r *testRouter) int {
		n := 0
		for key, want := range records {
			if origin, ok := r.mesh.cfg.StreamVersions.Registry().Find(key, time.Now()); ok && origin == want {
				n++
			}
		}
		return n
	}
	for _, r := range routers[1:] {
		await.Until(t, "the records to arrive", func() bool { return known(r) == streams })
	}
}

// heardTable returns a table that has just heard five other routers in three failure domains.
func heardTable(now time.Time) *Table {
	table := NewTable("self", "d0", 1)
	for i := range 5 {
		hb := &Heartbeat{From: fleet.RouterID(fmt.Sprint("r", i)), Domain: fleet.DomainName(fmt.Sprint("d", i%3)), Incarnation: 1}
		table.HandleHeartbeat(hb, netip.MustParseAddrPort(fmt.Sprintf("127.0.0.1:%d", 1000+i)), now)
	}
	return table
}

// TestRouterThatWasJustCutOffIsNotConnected guards against a router that trusts what it knows until others count as absent.
func TestRouterThatWasJustCutOffIsNotConnected(t *testing.T) {
	now := time.Unix(1000, 0)
	table := heardTable(now)
	for after, want := range map[time.Duration]bool{0: true, time.Second: true, 2 * time.Second: false, 3 * time.Second: false, 10 * time.Second: false} {
		if got := table.Connected(now.Add(after)); got != want {
			t.Errorf("%v after the last heartbeat: got connected %t, want %t", after, got, want)
		}
	}
	own := &Heartbeat{From: "r0", Domain: "d0", Incarnation: 1}
	table.HandleHeartbeat(own, netip.MustParseAddrPort("127.0.0.1:1000"), now.Add(2*time.Second))
	if table.Connected(now.Add(2 * time.Second)) {
		t.Error("got connected with the own failure domain only, want not")
	}
}

func TestAbsenceIsRememberedUntilNobodyMissedIt(t *testing.T) {
	now := time.Unix(1000, 0)
	table := heardTable(now)
	step := func(after time.Duration, heard ...fleet.RouterID) absence {
		for _, id := range heard {
			table.HandleHeartbeat(&Heartbeat{From: id, Incarnation: 1}, netip.MustParseAddrPort("127.0.0.1:1000"), now.Add(after))
		}
		table.updateAbsence(now.Add(after))
		return table.absence
	}
	all := []fleet.RouterID{"r0", "r1", "r2", "r3", "r4"}
	if got := step(3*time.Second, all[1:]...); !got.until.IsZero() {
		t.Errorf("got absence %v although all were heard of within the timeout", got)
	}
	if got := step(5*time.Second, all[1:]...); !got.from.Equal(now) || !got.until.Equal(now.Add(5*time.Second)) {
		t.Errorf("got absence %v, want that of r0 since its last heartbeat", got)
	}
	step(20*time.Second, all...)
	if got := step(21*time.Second, all...); !got.from.Equal(now) {
		t.Errorf("got absence %v, want it remembered", got)
	}
	leaving := &Heartbeat{From: "r1", Incarnation: 1, Leaving: true}
	for after := 22 * time.Second; after < 60*time.Second; after += time.Second {
		table.HandleHeartbeat(leaving, netip.MustParseAddrPort("127.0.0.1:1000"), now.Add(22*time.Second))
		step(after, "r0", "r2", "r3", "r4")
	}
	if !table.absence.until.IsZero() {
		t.Errorf("got absence %v, want none: the router that is gone had announced it", table.absence)
	}
}

// TestSmallSideOfPartitionIsNeverConnected guards against a side that forgets the others after a while and takes itself
// for the whole fleet.
func TestSmallSideOfPartitionIsNeverConnected(t *testing.T) {
	for name, side := range map[string][]fleet.RouterID{"alone": nil, "with one": {"r0"}, "half": {"r0", "r1"}} {
		now := time.Unix(1000, 0)
		table := heardTable(now)
		for after := time.Second; after < 5*time.Minute; after += time.Second {
			at := now.Add(after)
			for i, id := range side {
				hb := &Heartbeat{From: id, Domain: fleet.DomainName(fmt.Sprint("d", i%3)), Incarnation: 1}
				table.HandleHeartbeat(hb, netip.MustParseAddrPort("127.0.0.1:1000"), at)
			}
			table.RemoveExpired(at)
			if connected := table.Connected(at); connected && after > presenceTimeout {
				t.Fatalf("%s: got connected %v after the others were last heard of", name, after)
			}
		}
	}
}

// TestHalfOfTwoFailureDomainsIsNotConnected guards against two sides that both take themselves for most of the fleet.
func TestHalfOfTwoFailureDomainsIsNotConnected(t *testing.T) {
	now := time.Unix(1000, 0)
	table := NewTable("self", "d0", 1)
	hear := func(id fleet.RouterID, domain fleet.DomainName, at time.Time) {
		table.HandleHeartbeat(&Heartbeat{From: id, Domain: domain, Incarnation: 1}, netip.MustParseAddrPort("127.0.0.1:1000"), at)
	}
	for _, id := range []fleet.RouterID{"b0", "b1", "b2"} {
		hear(id, "d1", now)
	}
	for after := time.Duration(0); after < time.Minute; after += time.Second {
		at := now.Add(after)
		hear("a0", "d0", at)
		hear("a1", "d0", at)
		table.RemoveExpired(at)
		if got, want := table.Connected(at), after < hearingTimeout; got != want {
			t.Errorf("%v after the other domain was last heard of: got connected %t, want %t", after, got, want)
		}
	}
}

func TestSplitIsSettledOnceAllRoutersKnowIt(t *testing.T) {
	now := time.Unix(1000, 0)
	table := heardTable(now)
	tell := func(id fleet.RouterID, incarnation int64, revision uint64) {
		hb := &Heartbeat{From: id, Domain: "d0", Incarnation: incarnation, Splits: []SplitReport{{Service: "s", Revision: revision}}}
		table.HandleHeartbeat(hb, netip.MustParseAddrPort("127.0.0.1:1000"), now)
	}
	check := func(what string, want bool) {
		t.Helper()
		if got := table.allKnowSplit("s", 7, now); got != want {
			t.Errorf("%s: got %t, want %t", what, got, want)
		}
	}
	check("nobody told of it", false)
	for _, id := range []fleet.RouterID{"r0", "r1", "r2", "r3"} {
		tell(id, 1, 7)
	}
	tell("r4", 1, 6)
	check("one knows an older one", false)
	tell("r4", 1, 9)
	check("all know it or a newer one", true)
	table.recordFleetSize(9, now)
	check("others know more routers", false)
	table.largest = fleetSize{}
	table.HandleHeartbeat(&Heartbeat{From: "r2", Domain: "d0", Incarnation: 2}, netip.MustParseAddrPort("127.0.0.1:1000"), now)
	check("one was restarted", false)
	if table.allKnowSplit("other", 1, now) {
		t.Error("a service that nobody told of is settled")
	}
}

// TestConfirmationsOfSplitsSpread guards against routers that each ask the store for what one of them knows.
func TestConfirmationsOfSplitsSpread(t *testing.T) {
	hb := &Heartbeat{From: "r1", Confirmations: []SplitConfirmation{{Service: "s", Revision: 7, AgeMS: 300, Alone: true}}}
	data, err := encode(hb)
	if err != nil {
		t.Fatal(err)
	}
	got, err := decode(data)
	if err != nil || len(got.Confirmations) != 1 || got.Confirmations[0] != hb.Confirmations[0] {
		t.Errorf("got %+v, error %v, want %+v", got, err, hb.Confirmations)
	}
}
