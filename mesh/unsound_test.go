package mesh

import (
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"ragwortpond.example/ragwortpond/fleet"
	"ragwortpond.example/ragwortpond/targethealth"
)

// unsoundStore is what a router without a relay knows of targets that answer nothing sound.
type unsoundStore struct {
	own    []targethealth.Report
	merged map[fleet.RouterID][]targethealth.Report
}

func (s *unsoundStore) UnsoundReports(time.Time) []targethealth.Report { return s.own }

func (s *unsoundStore) MergeUnsoundReport(from fleet.RouterID, r targethealth.Report, _ time.Time) {
	s.merged[from] = append(s.merged[from], r)
}

func TestUnsoundReportsAreBoundedAndNameTargetsOfTheView(t *testing.T) {
	now := time.Now()
	store := &unsoundStore{merged: map[fleet.RouterID][]targethealth.Report{}}
	m := &Mesh{cfg: Config{Self: "r0", Unsound: store}, targetsByHash: map[uint32]fleet.TargetID{fleet.TargetID("a").Hash(): "a"}}
	store.own = []targethealth.Report{{Target: "a", At: now.Add(-time.Second), Ejected: true}}
	for i := range 2 * maxUnsound {
		store.own = append(store.own, targethealth.Report{Target: fleet.TargetID(rune('b' + i)), At: now.Add(-time.Minute)})
	}
	list := m.unsoundReports(now)
	if len(list) != maxUnsound || list[0].TargetHash != fleet.TargetID("a").Hash() {
		t.Fatalf("got %d reports, first %+v, want %d, the newest first", len(list), list[0], maxUnsound)
	}
	m.mergeUnsound("r1", list, now)
	m.mergeUnsound("r0", list, now)
	got := store.merged["r1"]
	if len(got) != 1 || got[0].Target != "a" || !got[0].Ejected || now.Sub(got[0].At) != time.Second || len(store.merged) != 1 {
		t.Errorf("got %+v, want the one target of the view with its age, and nothing of this router's own", store.merged)
	}
}

// TestEarlierBuildsIgnoreUnsoundReports guards against heartbeats that routers of earlier builds cannot read, and against
// such routers' heartbeats being read as news.
func TestEarlierBuildsIgnoreUnsoundReports(t *testing.T) {
	hb := testHeartbeat(1, true)
	hb.Unsound = []UnsoundReport{{TargetHash: 7, AgeMS: 9, Ejected: true}}
	data, err := encode(hb)
	if err != nil {
		t.Fatal(err)
	}
	var earlier struct {
		From   fleet.RouterID `cbor:"1,keyasint"`
		Domain string         `cbor:"2,keyasint"`
	}
	if err := cbor.Unmarshal(data, &earlier); err != nil || earlier.From != hb.From {
		t.Errorf("got %+v, error %v, want the fields that the earlier build knows", earlier, err)
	}
	store := &unsoundStore{merged: map[fleet.RouterID][]targethealth.Report{}}
	m := &Mesh{cfg: Config{Self: "r0", Unsound: store}, targetsByHash: map[uint32]fleet.TargetID{}}
	if m.mergeUnsound("r1", nil, time.Now()); len(store.merged) != 0 {
		t.Errorf("got %v from a heartbeat without reports, want nothing", store.merged)
	}
}

// TestFullHeartbeatWithUnsoundTargetsFitsDatagram guards against reports that displace loads in usual heartbeats.
func TestFullHeartbeatWithUnsoundTargetsFitsDatagram(t *testing.T) {
	hb := testHeartbeat(1, true)
	for i := range maxLoads {
		hb.Loads = append(hb.Loads, LoadReport{TargetHash: uint32(i) * 7919 << 8, Work: 12, AgeMS: 1999})
	}
	before, err := encode(hb)
	if err != nil {
		t.Fatal(err)
	}
	for i := range maxUnsound {
		hb.Unsound = append(hb.Unsound, UnsoundReport{TargetHash: uint32(i) * 7919 << 8, AgeMS: 29_999, Ejected: true})
	}
	data, err := encodeFitting(hb)
	if err != nil || len(hb.Loads) != maxLoads || len(hb.Unsound) != maxUnsound {
		t.Errorf("got error %v, %d loads and %d reports, want all", err, len(hb.Loads), len(hb.Unsound))
	}
	t.Logf("%d reports take %d bytes", maxUnsound, len(data)-len(before))
}
