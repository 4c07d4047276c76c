package suspicion

import (
	"testing"
	"time"

	"ragwortpond.example/ragwortpond/catalog"
	"ragwortpond.example/ragwortpond/fleet"
)

var start = time.Unix(9000, 0)

func startPlus(ms int) time.Time {
	return start.Add(time.Duration(ms) * time.Millisecond)
}

func newTarget(id, domain string) *catalog.Target {
	return &catalog.Target{ID: fleet.TargetID(id), Service: "s", Domain: fleet.DomainName(domain)}
}

func (b *Book) standingAt(t *catalog.Target, now time.Time) Standing {
	return b.Standing(t.ID, t.Domain, now)
}

func TestUnreachableTargetAvoidedUntilConnected(t *testing.T) {
	b, a := NewBook(), newTarget("a", "d")
	if before, now := b.Note(a, Unreachable, start); before != Sound || now != Shunned {
		t.Fatalf("got standing %v before and %v after, want sound and shunned", before, now)
	}
	if b.standingAt(a, startPlus(60_000)) != Shunned {
		t.Error("unreachable target is used again without a probe")
	}
	if due := b.Due(startPlus(100)); len(due) != 0 {
		t.Errorf("before the backoff: got %v due, want none", due)
	}
	if due := b.Due(startPlus(400)); len(due) != 1 {
		t.Errorf("after the backoff: got %v due, want the target", due)
	}
	if due := b.Due(startPlus(401)); len(due) != 0 {
		t.Errorf("just after a probe: got %v due, want none", due)
	}
	b.Note(a, Reached, startPlus(500))
	if b.standingAt(a, startPlus(500)) != Sound {
		t.Error("target is avoided although a connection was established")
	}
}

func TestTwoUnreachableTargetsMarkDomain(t *testing.T) {
	b := NewBook()
	third, elsewhere := newTarget("c", "d"), newTarget("x", "e")
	b.Note(newTarget("a", "d"), Unreachable, start)
	if b.standingAt(third, start) != Sound {
		t.Error("one unreachable target is enough to avoid its domain")
	}
	b.Note(newTarget("b", "d"), Unreachable, startPlus(10))
	if b.standingAt(third, startPlus(10)) != Shunned || b.standingAt(elsewhere, startPlus(10)) != Sound {
		t.Error("the domain is not avoided, or another domain is")
	}
	b.Note(third, Served, startPlus(20))
	if b.standingAt(third, startPlus(20)) != Sound {
		t.Error("the domain is avoided although one of its targets answered")
	}
}

func TestBrokenAnswersBelowThresholdAreTolerated(t *testing.T) {
	b, a := NewBook(), newTarget("a", "d")
	b.Note(a, Broken, start)
	if b.standingAt(a, start) != Sound {
		t.Error("target is avoided after one broken answer")
	}
	b.Note(a, Broken, startPlus(10))
	if b.standingAt(a, startPlus(10)) != Shunned {
		t.Error("target is not avoided after two consecutive broken answers")
	}
	if b.standingAt(a, startPlus(10+400)) == Shunned {
		t.Error("first avoidance is longer than 400 ms")
	}
}

func TestTargetFailingMoreThanOthersIsDoubtful(t *testing.T) {
	b, bad, good := NewBook(), newTarget("bad", "d"), newTarget("good", "d")
	for i := range 20 {
		now := startPlus(10 * i)
		for range 5 {
			b.Note(good, Served, now)
		}
		s := Served
		if i%2 == 0 {
			s = Failure
		}
		b.Note(bad, s, now)
	}
	if got := b.standingAt(bad, startPlus(200)); got != Doubtful {
		t.Errorf("failing target: got %v, want doubtful", got)
	}
	if got := b.standingAt(good, startPlus(200)); got != Sound {
		t.Errorf("other target: got %v, want sound", got)
	}
}

func TestFailuresCommonToAllTargetsAreTolerated(t *testing.T) {
	b := NewBook()
	targets := []*catalog.Target{newTarget("a", "d"), newTarget("b", "d"), newTarget("c", "e")}
	for i := range 60 {
		s := Served
		if i%3 == 0 {
			s = Failure
		}
		b.Note(targets[i%7%3], s, startPlus(10*i))
	}
	for _, a := range targets {
		if got := b.standingAt(a, startPlus(600)); got != Sound {
			t.Errorf("%s: got %v, want sound because all targets fail equally often", a.ID, got)
		}
	}
}

func TestMuteTargetsAndDomains(t *testing.T) {
	b := NewBook()
	a, c, other := newTarget("a", "d"), newTarget("c", "d"), newTarget("x", "d")
	heardA, endA := b.StreamBegan(a.ID, "d", start)
	_, endA2 := b.StreamBegan(a.ID, "d", start)
	if b.Mute(a.ID, "d", startPlus(399)) || !b.Mute(a.ID, "d", startPlus(400)) {
		t.Error("want a target with two silent streams mute after exactly 0.4 s")
	}
	heardA(startPlus(300))
	if b.Mute(a.ID, "d", startPlus(600)) {
		t.Error("target is mute although one of its streams sent an event")
	}
	endA2()
	if b.Mute(a.ID, "d", startPlus(1000)) || !b.Mute(a.ID, "d", startPlus(1100)) {
		t.Error("want a target with one silent stream mute after exactly 0.8 s")
	}
	heardC, endC := b.StreamBegan(c.ID, "d", startPlus(300))
	if !b.Mute(other.ID, "d", startPlus(1100)) {
		t.Error("two mute targets do not make their domain mute")
	}
	heardC(startPlus(1100))
	if b.Mute(other.ID, "d", startPlus(1150)) {
		t.Error("the domain is mute although one of its targets sent an event")
	}
	endA()
	endC()
	if b.Mute(a.ID, "d", startPlus(9000)) {
		t.Error("target without open streams is mute")
	}
}

func TestRenewAndForget(t *testing.T) {
	b, a, c := NewBook(), newTarget("a", "d"), newTarget("c", "e")
	b.Note(a, Unreachable, start)
	b.Note(c, Unreachable, start)
	b.Renew(a.ID)
	if b.standingAt(a, start) != Sound {
		t.Error("restarted target keeps its standing")
	}
	b.Forget(func(fleet.TargetID) bool { return false })
	if len(b.records) != 0 {
		t.Error("Forget kept records")
	}
}
