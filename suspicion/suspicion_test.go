package suspicion

import (
	"testing"
	"time"

	"ragwortpond.example/ragwortpond/catalog"
	"ragwortpond.example/ragwortpond/fleet"
)

var at0 = time.Unix(9000, 0)

func after(ms int) time.Time {
	return at0.Add(time.Duration(ms) * time.Millisecond)
}

func target(id, domain string) *catalog.Target {
	return &catalog.Target{ID: fleet.TargetID(id), Service: "s", Domain: fleet.DomainName(domain)}
}

func (b *Book) of(t *catalog.Target, now time.Time) Standing {
	return b.Standing(t.ID, t.Domain, now)
}

func TestUnreachableUntilAConnectionSucceeds(t *testing.T) {
	b, a := NewBook(), target("a", "d")
	if before, now := b.Note(a, Unreachable, at0); before != Sound || now != Shunned {
		t.Fatalf("%v to %v", before, now)
	}
	if b.of(a, after(60_000)) != Shunned {
		t.Error("an unreachable target is used again untried")
	}
	if due := b.Due(after(100)); len(due) != 0 {
		t.Errorf("due too early: %v", due)
	}
	if due := b.Due(after(400)); len(due) != 1 {
		t.Errorf("not due: %v", due)
	}
	if due := b.Due(after(401)); len(due) != 0 {
		t.Errorf("due twice: %v", due)
	}
	b.Note(a, Reached, after(500))
	if b.of(a, after(500)) != Sound {
		t.Error("avoided although a connection came about")
	}
}

func TestTwoUnreachableTargetsStandForTheirDomain(t *testing.T) {
	b := NewBook()
	third, elsewhere := target("c", "d"), target("x", "e")
	b.Note(target("a", "d"), Unreachable, at0)
	if b.of(third, at0) != Sound {
		t.Error("one unreachable target stands for its domain")
	}
	b.Note(target("b", "d"), Unreachable, after(10))
	if b.of(third, after(10)) != Shunned || b.of(elsewhere, after(10)) != Sound {
		t.Error("the domain is not avoided, or another one is")
	}
	b.Note(third, Served, after(20))
	if b.of(third, after(20)) != Sound {
		t.Error("the domain is avoided although it answers")
	}
}

func TestOneBrokenAnswerIsNoReason(t *testing.T) {
	b, a := NewBook(), target("a", "d")
	b.Note(a, Broken, at0)
	if b.of(a, at0) != Sound {
		t.Error("avoided after one broken answer")
	}
	b.Note(a, Broken, after(10))
	if b.of(a, after(10)) != Shunned {
		t.Error("not avoided after two in a row")
	}
	if b.of(a, after(10+400)) == Shunned {
		t.Error("avoided for longer than the first time")
	}
}

func TestATargetThatFailsMoreThanOthersIsDoubtful(t *testing.T) {
	b, bad, good := NewBook(), target("bad", "d"), target("good", "d")
	for i := range 20 {
		now := after(10 * i)
		for range 5 {
			b.Note(good, Served, now)
		}
		s := Served
		if i%2 == 0 {
			s = Failure
		}
		b.Note(bad, s, now)
	}
	if got := b.of(bad, after(200)); got != Doubtful {
		t.Errorf("got %v", got)
	}
	if got := b.of(good, after(200)); got != Sound {
		t.Errorf("the others are %v", got)
	}
}

func TestFailuresOfAllTargetsAreNoReason(t *testing.T) {
	b := NewBook()
	targets := []*catalog.Target{target("a", "d"), target("b", "d"), target("c", "e")}
	for i := range 60 {
		s := Served
		if i%3 == 0 {
			s = Failure
		}
		b.Note(targets[i%7%3], s, after(10*i))
	}
	for _, a := range targets {
		if got := b.of(a, after(600)); got != Sound {
			t.Errorf("%s is %v although all fail alike", a.ID, got)
		}
	}
}

func TestMuteTargetsAndDomains(t *testing.T) {
	b := NewBook()
	a, c, other := target("a", "d"), target("c", "d"), target("x", "d")
	heardA, endA := b.StreamBegan(a.ID, "d", at0)
	_, endA2 := b.StreamBegan(a.ID, "d", at0)
	if b.Mute(a.ID, "d", after(399)) || !b.Mute(a.ID, "d", after(400)) {
		t.Error("two silent streams are mute from 0.4 s on")
	}
	heardA(after(300))
	if b.Mute(a.ID, "d", after(600)) {
		t.Error("mute although heard")
	}
	endA2()
	if b.Mute(a.ID, "d", after(1000)) || !b.Mute(a.ID, "d", after(1100)) {
		t.Error("one silent stream is mute from 0.8 s on")
	}
	heardC, endC := b.StreamBegan(c.ID, "d", after(300))
	if !b.Mute(other.ID, "d", after(1100)) {
		t.Error("two mute targets stand for their domain")
	}
	heardC(after(1100))
	if b.Mute(other.ID, "d", after(1150)) {
		t.Error("the domain is mute although one target is heard")
	}
	endA()
	endC()
	if b.Mute(a.ID, "d", after(9000)) {
		t.Error("mute without a stream")
	}
}

func TestRenewAndForget(t *testing.T) {
	b, a, c := NewBook(), target("a", "d"), target("c", "e")
	b.Note(a, Unreachable, at0)
	b.Note(c, Unreachable, at0)
	b.Renew(a.ID)
	if b.of(a, at0) != Sound {
		t.Error("a new process inherits the standing")
	}
	b.Forget(func(fleet.TargetID) bool { return false })
	if len(b.records) != 0 {
		t.Error("records stay")
	}
}
