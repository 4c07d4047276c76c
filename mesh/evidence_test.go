package mesh

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"ragwortpond.example/ragwortpond/await"
	"ragwortpond.example/ragwortpond/call"
	"ragwortpond.example/ragwortpond/fleet"
	"ragwortpond.example/ragwortpond/platform"
	"ragwortpond.example/ragwortpond/quarantine"
)

// testEvidence is the evidence of a router without a relay.
type testEvidence struct {
	tracker *quarantine.Tracker
}

func (e *testEvidence) ExportEvidence(now time.Time, maxBytes int) quarantine.Evidence {
	return e.tracker.Export(now, maxBytes)
}

func (e *testEvidence) MergeEvidence(other quarantine.Evidence, now time.Time) (forward, answer quarantine.Evidence) {
	changes := e.tracker.Merge(other, now)
	return changes.News, changes.Answer
}

const culprit, companion = 1, 2

// crashingPrompt returns a prompt with the culprit and a part that sound prompts share.
func crashingPrompt() []call.Part {
	return []call.Part{{ID: companion, Tokens: 9}, {ID: culprit, Tokens: 9}, {ID: 3, Tokens: 9}}
}

// crash records a crash under crashingPrompt, by its time, and publishes it.
func (r *testRouter) crash(target fleet.TargetID, at time.Time) {
	r.mesh.PublishEvidence(r.evidence.tracker.RecordCrash(quarantine.Request{Prompt: crashingPrompt()}, target, at, time.Now()).News)
}

// blocks reports whether a request with the given parts is refused.
func (r *testRouter) blocks(parts ...uint64) bool {
	var prompt []call.Part
	for _, part := range parts {
		prompt = append(prompt, call.Part{ID: part})
	}
	_, _, ok := r.evidence.tracker.Blocked(quarantine.Request{Prompt: append(prompt, call.Part{ID: 4})}, time.Now())
	return ok
}

// publishSuccess records a success with a prompt and publishes it.
func (r *testRouter) publishSuccess(prompt ...call.Part) {
	r.mesh.PublishEvidence(r.evidence.tracker.RecordSuccess(quarantine.Request{Prompt: prompt}, time.Now()).News)
}

// TestEvidenceReachesAllRouters lets each of three routers see one crash. All routers must
// refuse requests with both of its parts, also one that starts later, quarantine the culprit alone when
// one of them has a success with the other part, and drop the verdict when one has a success with both.
func TestEvidenceReachesAllRouters(t *testing.T) {
	const n = 6
	server := startStore(t, 1)
	store := platform.NewStore(server.Addr(), nil)
	seeds := []string{freeAddr(t, 30)}
	var routers []*testRouter
	for i := range n {
		routers = append(routers, startRouter(t, 30+i, store, seeds))
	}
	for _, r := range routers {
		await.Until(t, "all routers", func() bool { return r.mesh.FleetSize() == n })
	}
	now := time.Now()
	for i := range 3 {
		routers[i].crash(fleet.TargetID(fmt.Sprint("t", i)), now.Add(time.Duration(i-3)*time.Second))
	}
	routers = append(routers, startRouter(t, 30+n, store, seeds))
	for i, r := range routers {
		await.Until(t, fmt.Sprint("the verdict at router ", i), func() bool { return r.blocks(companion, culprit) })
		if r.blocks(companion) || r.blocks(culprit) {
			t.Errorf("router %d quarantines one part, and nothing tells the two apart", i)
		}
	}
	routers[3].publishSuccess(call.Part{ID: companion}, call.Part{ID: 5})
	for i, r := range routers {
		await.Until(t, fmt.Sprint("the verdict on the culprit at router ", i), func() bool { return r.blocks(culprit) })
		if r.blocks(companion) {
			t.Errorf("router %d quarantines the sound part", i)
		}
	}
	routers[4].publishSuccess(crashingPrompt()...)
	for i, r := range routers {
		await.Until(t, fmt.Sprint("the end of the verdict at router ", i), func() bool { return !r.blocks(culprit) })
	}
}

// TestEvidenceSpreadsInLargeFleet sends evidence among 300 routers by the constants of the
// mesh, over links that lose a fifth of the datagrams. All must have the verdict within
// five ticks, which are 2 s.
func TestEvidenceSpreadsInLargeFleet(t *testing.T) {
	const n, ticks, lossPercent, seeds = 300, 5, 20, 10
	for seed := range uint64(seeds) {
		random := rand.New(rand.NewPCG(seed, 1))
		now := time.Unix(1_800_000_000, 0)
		trackers := make([]*quarantine.Tracker, n)
		for i := range trackers {
			trackers[i] = quarantine.NewTracker()
		}
		sent := 0
		var spread func(e quarantine.Evidence)
		deliver := func(to int, e quarantine.Evidence) {
			sent++
			if random.IntN(100) >= lossPercent {
				spread(trackers[to].Merge(e, now).News)
			}
		}
		spread = func(e quarantine.Evidence) {
			for range e.Split(maxPushedEvidenceBytes) {
				for range evidenceFanout {
					deliver(random.IntN(n), e)
				}
			}
		}
		for i := range 3 {
			at := now.Add(time.Duration(i-3) * time.Second)
			spread(trackers[100*i].RecordCrash(quarantine.Request{Prompt: crashingPrompt()}, fleet.TargetID(fmt.Sprint("t", i)), at, now).News)
		}
		pushed := sent
		for range ticks {
			now = now.Add(heartbeatInterval)
			for _, tracker := range trackers {
				for range fanout {
					if e := tracker.Export(now, maxEvidenceBytes); !e.Empty() {
						deliver(random.IntN(n), e)
					}
				}
			}
		}
		missing := 0
		for _, tracker := range trackers {
			if tracker.QuarantinedParts() != 1 {
				missing++
			}
		}
		if missing > 0 {
			t.Errorf("seed %d: %d of %d routers have no verdict after %d ticks", seed, missing, n, ticks)
		}
		// Three crashes and the verdict are four pieces of news, each forwarded once.
		if limit := 4 * n * evidenceFanout; pushed > limit {
			t.Errorf("seed %d: got %d datagrams pushed, want at most %d", seed, pushed, limit)
		}
	}
}

// TestHeartbeatsWithEvidenceAreCompatible decodes heartbeats of routers that know more or
// fewer fields.
func TestHeartbeatsWithEvidenceAreCompatible(t *testing.T) {
	type older struct {
		From      fleet.RouterID `cbor:"1,keyasint"`
		FleetSize uint32         `cbor:"15,keyasint,omitempty"`
	}
	type newer struct {
		older
		Evidence map[int]any `cbor:"16,keyasint,omitempty"`
		Later    []string    `cbor:"17,keyasint,omitempty"`
	}
	data, err := encode(&Heartbeat{From: "r", FleetSize: 7, Evidence: &quarantine.Evidence{Verdicts: []quarantine.Verdict{{Part: 5}}}})
	if err != nil {
		t.Fatal(err)
	}
	var old older
	if err := cbor.Unmarshal(data, &old); err != nil || old.From != "r" || old.FleetSize != 7 {
		t.Errorf("an older router decodes %+v, error %v", old, err)
	}
	if data, err = cbor.Marshal(old); err != nil {
		t.Fatal(err)
	}
	if hb, err := decode(data); err != nil || hb.Evidence != nil || hb.FleetSize != 7 {
		t.Errorf("got %+v of an older router, error %v", hb, err)
	}
	if data, err = cbor.Marshal(newer{old, map[int]any{3: []any{[]any{5, 6, 7, 8}}, 4: "more"}, []string{"more"}}); err != nil {
		t.Fatal(err)
	}
	if hb, err := decode(data); err != nil || hb.Evidence == nil || len(hb.Evidence.Verdicts) != 1 || hb.Evidence.Verdicts[0].Part != 5 {
		t.Errorf("got %+v of a newer router, error %v", hb, err)
	}
	if data, err = encode(&Heartbeat{From: "r"}); err != nil {
		t.Fatal(err)
	}
	var fields map[int]any
	if err := cbor.Unmarshal(data, &fields); err != nil || fields[16] != nil {
		t.Errorf("got %v, error %v, want no evidence", fields, err)
	}
}

// TestVerdictsAreLeftOutLast encodes heartbeats that do not fit into a datagram.
func TestVerdictsAreLeftOutLast(t *testing.T) {
	full := func(loads, peers, crashes int) *Heartbeat {
		hb := &Heartbeat{From: "r", Evidence: &quarantine.Evidence{Verdicts: []quarantine.Verdict{{Part: 1 << 60}}}}
		for range loads {
			hb.Loads = append(hb.Loads, LoadReport{TargetHash: 1 << 30, Work: 7, AgeMS: 500})
		}
		for i := range peers {
			hb.Peers = append(hb.Peers, PeerInfo{ID: fleet.RouterID(fmt.Sprint("a-router-of-the-fleet-", i)), Domain: "domain", Addr: testAddr(i), Incarnation: 1 << 60})
		}
		for range crashes {
			hb.Evidence.Crashes = append(hb.Evidence.Crashes, quarantine.Crash{TargetHash: 1 << 30, Parts: []uint64{1 << 60, 1 << 61}})
		}
		return hb
	}
	for name, test := range map[string]struct {
		hb                             *Heartbeat
		loads, peers, crashes, verdict int
	}{
		"all fit":      {full(20, 4, 4), 20, 4, 4, 1},
		"many loads":   {full(200, 4, 4), 0, 4, 4, 1},
		"many crashes": {full(20, 4, 100), 0, 4, 0, 1},
		"many peers":   {full(20, 100, 4), 0, 0, 0, 1},
	} {
		data, err := encodeFitting(test.hb)
		if err != nil || len(data) > maxDatagramBytes {
			t.Errorf("%s: got %d bytes, error %v", name, len(data), err)
			continue
		}
		hb, err := decode(data)
		if err != nil {
			t.Fatal(err)
		}
		if len(hb.Loads) != test.loads || len(hb.Peers) != test.peers || len(hb.Evidence.Crashes) != test.crashes || len(hb.Evidence.Verdicts) != test.verdict {
			t.Errorf("%s: got %d loads, %d peers, %d crashes and %d verdicts", name, len(hb.Loads), len(hb.Peers), len(hb.Evidence.Crashes), len(hb.Evidence.Verdicts))
		}
	}
}

// TestEvidenceTakesFewBytes compares heartbeats with and without evidence of many crashes.
func TestEvidenceTakesFewBytes(t *testing.T) {
	tracker := quarantine.NewTracker()
	now := time.Now()
	for i := range uint64(100) {
		tracker.RecordCrash(quarantine.Request{Prompt: []call.Part{{ID: 1<<60 + i}, {ID: 1 << 61}, {ID: 3}}}, fleet.TargetID(fmt.Sprint("t", i)), now, now)
	}
	m := &Mesh{cfg: Config{Evidence: &testEvidence{tracker}}}
	for range 100 {
		hb := &Heartbeat{From: "r"}
		without, err1 := encode(hb)
		hb.Evidence = m.exportEvidence(now, maxEvidenceBytes)
		with, err2 := encode(hb)
		if err1 != nil || err2 != nil || len(with)-len(without) > maxEvidenceBytes || hb.Evidence == nil {
			t.Fatalf("got %d and %d bytes, errors %v and %v, want at most %d more", len(without), len(with), err1, err2, maxEvidenceBytes)
		}
	}
}
