package mesh

import (
	"bytes"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rs/zerolog"

	"ragwortpond.example/ragwortpond/directory"
	"ragwortpond.example/ragwortpond/fleet"
	"ragwortpond.example/ragwortpond/quarantine"
	"ragwortpond.example/ragwortpond/streamversion"
	"ragwortpond.example/ragwortpond/targetlimit"
)

// FuzzHeartbeat handles datagrams of any content, among them every prefix of a sound
// one. None may crash the router or make its tables grow beyond their bounds.
func FuzzHeartbeat(f *testing.F) {
	sound := &Heartbeat{
		From: "r1", Domain: "d", Incarnation: 3, Watching: true, ConfigRevision: 4, TargetsDigest: 5, TargetsRevision: 6, FleetSize: 7, Strength: 1,
		Loads:   []LoadReport{{TargetHash: 1, Work: 2, AgeMS: 3}},
		Peers:   []PeerInfo{{ID: "r2", Domain: "d", Addr: testAddr(2), Incarnation: 1, AgeMS: 10}},
		Changes: []Change{{Name: "t", Revision: 9, Spec: []byte(`{"Service":"s","Address":"10.0.0.1:1"}`)}, {Name: "u", Revision: 10, Deleted: true}},
		Evidence: &quarantine.Evidence{
			Crashes: []quarantine.Crash{{TargetHash: 1, AgeMS: 2, Parts: []uint64{3, 4}}}, Attempts: []quarantine.Attempt{{Digest: 9, RunMS: 5}}, Clears: []quarantine.Clear{{Part: 3, AgeMS: 1}},
			Verdicts: []quarantine.Verdict{{Part: 5, SinceAgeMS: 6, SeenAgeMS: 7}},
		},
		Limits:  []LimitReport{{TargetHash: 1, PerThousandSeconds: 4500, AgeMS: 3}},
		Splits:  []SplitReport{{Service: "s", Revision: 3, AgeMS: 4, Shares: []SplitShare{{Version: "v1", Weight: 5}}}},
		Brittle: []BrittleReport{{TargetHash: 1, PerThousand: 4000, AgeMS: 3}, {TargetHash: 2, Sound: true}},
		Paths:   []PathReport{{ServiceHash: 1, ReachedAgeMS: 2}, {ServiceHash: 2, Lost: true}},
		Stream:  &StreamMessage{Kind: StreamRecord, Sequence: 1, Key: 2, Origin: 3},
		Permit:  &PermitMessage{Sequence: 1, Verdict: PermitDenied, WaitMS: 2, Limit: LimitReport{TargetHash: 1, Lifted: true}},
	}
	data, err := encode(sound)
	if err != nil {
		f.Fatal(err)
	}
	for i := range data {
		f.Add(data[:i])
	}
	f.Add(data)
	f.Add(append(bytes.Clone(data), data...))
	f.Fuzz(func(t *testing.T, in []byte) {
		hb, err := decode(in)
		if err != nil {
			return
		}
		d := directory.New(nil, directory.NoWatch, directory.NewPace(2*time.Second), zerolog.Nop(), nil)
		m := &Mesh{
			cfg: Config{
				Self: "r0", Domain: "d", Directory: d, Limits: targetlimit.NewTracker(), StreamVersions: streamversion.New(streamversion.Config{View: d.View}),
			},
			table: NewTable("r0", "d", 1),
			loads: map[fleet.TargetID]loadSample{}, targetsByHash: map[uint32]fleet.TargetID{1: "t"},
		}
		now, random := time.Now(), rand.New(rand.NewPCG(1, 1))
		m.table.HandleHeartbeat(hb, testAddr(1), now)
		m.mergeLoads(hb, now)
		m.mergeLimits(hb.Limits, now)
		m.mergeSplits(hb.Splits, now)
		m.mergeBrittle(hb.Brittle, now)
		for _, member := range m.table.members {
			if len(member.paths) > maxPaths {
				t.Errorf("got %d paths of a router, want at most %d", len(member.paths), maxPaths)
			}
		}
		if len(m.cfg.StreamVersions.Reports()) > 0 {
			t.Error("splits of services without resumable streams were kept")
		}
		if hb.Stream != nil && hb.Stream.Kind != StreamQuestion {
			m.handleStream(hb.Stream, testAddr(1), now)
		}
		if hb.Permit != nil {
			m.mergeLimits([]LimitReport{hb.Permit.Limit}, now)
			m.table.correctHolder(hb, now)
			m.table.permitHolder("t", now)
		}
		if n := m.cfg.Limits.Limited(now); n > 1 {
			t.Errorf("got limits of %d targets, want at most that of the only one", n)
		}
		if hb.Evidence != nil {
			checkEvidence(t, hb.Evidence, now)
		}
		d.ApplySnapshot(directory.Snapshot{TargetsRevision: 1})
		d.ApplyChanges(toPlatformChanges(hb.Changes))
		m.table.WatchRole(now, directory.NoWatch)
		m.table.FirstPeers(hb.Domain, maxJoinPeers, now)
		m.table.RandomPeers(maxPeers, now, random)
		m.table.NextDomainAddrs(int(hb.Strength), now)
		if got := m.table.FleetSize(now); got > maxMembers {
			t.Errorf("got a fleet of %d, want at most %d", got, maxMembers)
		}
		if got, want := len(m.table.members), 1+len(hb.Peers); got > want {
			t.Errorf("got %d members from one heartbeat, want at most %d", got, want)
		}
	})
}

// checkEvidence merges evidence and checks that what is sent on fits into a datagram and
// that the routers that have both exchange no more.
func checkEvidence(t *testing.T, e *quarantine.Evidence, now time.Time) {
	t.Helper()
	a, b := quarantine.NewTracker(), quarantine.NewTracker()
	news := a.Merge(*e, now).News
	for _, piece := range append(news.Split(maxPushedEvidenceBytes), a.Export(now, maxEvidenceBytes)) {
		if data, err := encode(&Heartbeat{From: "r1", Evidence: &piece}); err != nil {
			t.Errorf("got %d bytes, error %v", len(data), err)
		}
		b.Merge(piece, now)
	}
	if again := a.Merge(*e, now).News; !again.Empty() {
		t.Errorf("got news %+v of evidence that was merged before", again)
	}
}

// FuzzSnapshot decodes replies to a fetch of any content and applies them.
func FuzzSnapshot(f *testing.F) {
	list, err := cbor.Marshal([]Change{{Name: "t", Revision: 9, Spec: []byte(`{"Service":"s","Address":"10.0.0.1:1"}`)}})
	if err != nil {
		f.Fatal(err)
	}
	targets, err := deflate(list)
	if err != nil {
		f.Fatal(err)
	}
	config, err := deflate([]byte(`{"Version":3,"Routes":[],"Services":[],"Limits":{}}`))
	if err != nil {
		f.Fatal(err)
	}
	data, err := cbor.Marshal(&Snapshot{ConfigRevision: 3, Config: config, Targets: targets, TargetsRevision: 9})
	if err != nil {
		f.Fatal(err)
	}
	for i := range data {
		f.Add(data[:i])
	}
	f.Add(data)
	f.Fuzz(func(t *testing.T, in []byte) {
		var wire Snapshot
		if cbor.Unmarshal(in, &wire) != nil {
			return
		}
		snapshot, err := decodeSnapshot(&wire)
		if err != nil {
			return
		}
		d := directory.New(nil, directory.NoWatch, directory.NewPace(2*time.Second), zerolog.Nop(), nil)
		d.ApplySnapshot(*snapshot)
		d.Snapshot()
	})
}
