package targethealth

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"ragwortpond.example/ragwortpond/catalog"
	"ragwortpond.example/ragwortpond/fleet"
)

// fourTargets returns the targets of a service.
func fourTargets() []*catalog.Target {
	return []*catalog.Target{newTarget("a", "d"), newTarget("b", "d"), newTarget("c", "d"), newTarget("e", "d")}
}

// report merges reports of routers on a target, and settles what counts.
func (b *Tracker) report(targets []*catalog.Target, i int, ejected bool, at, now time.Time, routers ...fleet.RouterID) []Verdict {
	for _, from := range routers {
		b.MergeReport(from, Report{Target: targets[i].ID, At: at, Ejected: ejected}, now)
	}
	return b.SettleHearsay(catalog.Targets{"s": targets}, now)
}

func TestReportsOfTwoRoutersAvoidTarget(t *testing.T) {
	b, targets := NewTracker(), fourTargets()
	if got := b.report(targets, 0, false, start, start, "r1", "r1"); len(got) > 0 || !b.usable(targets[0], Once, start) {
		t.Errorf("one router's word: got verdicts %v, want none and the target used", got)
	}
	if got := b.UnsoundLoad(targets[0].ID, Once, start); got != 1 {
		t.Errorf("one router's word: got load %v, want 1", got)
	}
	got := b.report(targets, 0, false, start, start, "r2")
	if len(got) != 1 || !got[0].Avoided || len(got[0].Reporters) != 2 {
		t.Errorf("two routers' word: got verdicts %v, want one with both", got)
	}
	if b.usable(targets[0], Once, start) || b.usable(targets[0], Repeat, start) || !b.usable(targets[0], Trial, start) {
		t.Error("want the target left to trials")
	}
	if got := b.UnsoundLoad(targets[0].ID, Trial, start); got != 0 {
		t.Errorf("trials: got load %v, want none", got)
	}
	later := start.Add(lostAnswerTime)
	if got := b.SettleHearsay(catalog.Targets{"s": targets}, later); len(got) != 1 || got[0].Avoided || !b.usable(targets[0], Once, later) {
		t.Errorf("after the reports' time: got verdicts %v, want the end of one", got)
	}
}

// TestOwnSuccessOutweighsReports guards against routers that believe others over what they see themselves.
func TestOwnSuccessOutweighsReports(t *testing.T) {
	b, targets := NewTracker(), fourTargets()
	b.answer(targets[0], Sound, start)
	b.report(targets, 0, true, start, start, "r1", "r2", "r3")
	if !b.usable(targets[0], Once, start) || b.UnsoundLoad(targets[0].ID, Once, start) != 0 {
		t.Error("a fresh success of its own does not outweigh reports")
	}
	later := start.Add(freshSuccess)
	if b.report(targets, 0, true, later, later, "r1", "r2"); b.usable(targets[0], Once, later) {
		t.Error("an old success outweighs reports")
	}
	if b.answer(targets[0], Unsound, later); b.usable(targets[0], Once, later) {
		t.Error("an unsound attempt ends what others report")
	}
}

// TestRestartVoidsReports guards against new processes that are avoided for what earlier ones answered.
func TestRestartVoidsReports(t *testing.T) {
	b, targets := NewTracker(), fourTargets()
	b.report(targets, 0, true, start, start, "r1", "r2")
	b.DropReports(targets[0].ID, startPlus(10))
	if b.report(targets, 0, true, startPlus(5), startPlus(20), "r1", "r2"); !b.usable(targets[0], Once, startPlus(20)) {
		t.Error("reports from before the restart count")
	}
	if b.report(targets, 0, true, startPlus(15), startPlus(20), "r1", "r2"); b.usable(targets[0], Once, startPlus(20)) {
		t.Error("reports from after the restart do not count")
	}
}

// TestFalseReportsLeaveHalfOfServiceUsable guards against routers whose false words take a service's sound targets out:
// whatever others report, and whichever targets this router has ejected, at most half of them are avoided on reports and
// ejections together, unless the ejections alone are more.
func TestFalseReportsLeaveHalfOfServiceUsable(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		b, now := NewTracker(), start
		targets := make([]*catalog.Target, rapid.IntRange(1, 9).Draw(r, "targets"))
		for i := range targets {
			targets[i] = newTarget(fmt.Sprint("t", i), "d")
		}
		for range rapid.IntRange(1, 60).Draw(r, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 900).Draw(r, "ms")) * time.Millisecond)
			i := rapid.IntRange(0, len(targets)-1).Draw(r, "target")
			switch rapid.IntRange(0, 3).Draw(r, "step") {
			case 0:
				b.answer(targets[i], Sound, now)
			case 1:
				b.answer(targets[i], Unsound, now)
			default:
				from := fleet.RouterID(fmt.Sprint("r", rapid.IntRange(0, 3).Draw(r, "router")))
				age := time.Duration(rapid.IntRange(0, 40).Draw(r, "age")) * time.Second
				b.report(targets, i, rapid.Bool().Draw(r, "ejected"), now.Add(-age), now, from)
			}
			b.SettleHearsay(catalog.Targets{"s": targets}, now)
			ejected, reported := 0, 0
			for _, target := range targets {
				switch record := b.records[target.ID]; {
				case record != nil && record.ejection.ejected:
					ejected++
				case b.hearsayOn(target.ID) > 0:
					reported++
				}
			}
			if reported > 0 && ejected+reported > len(targets)/2 {
				r.Fatalf("%d ejected and %d avoided or loaded on reports of %d targets, want at most half", ejected, reported, len(targets))
			}
		}
	})
}

func TestReportsNameOnlyOwnUnsoundAttempts(t *testing.T) {
	b, targets := NewTracker(), fourTargets()
	eject(b, targets[0], targets[1])
	b.answer(targets[2], Unsound, startPlus(20))
	b.report(targets, 3, true, startPlus(20), startPlus(20), "r1", "r2")
	got := map[fleet.TargetID]bool{}
	for _, report := range b.Reports(startPlus(30)) {
		got[report.Target] = report.Ejected
	}
	if ejected, ok := got["a"]; len(got) != 2 || !ejected || !ok || got["c"] {
		t.Errorf("got reports %v, want the ejected target and the one whose last attempt was unsound", got)
	}
	if got := b.Reports(start.Add(lostAnswerTime + time.Second)); len(got) != 1 || !got[0].Ejected {
		t.Errorf("got reports %v after a while, want the ejected target only", got)
	}
	b.answer(targets[0], Sound, startPlus(40))
	if got := b.Reports(start.Add(lostAnswerTime + time.Second)); len(got) != 0 {
		t.Errorf("got reports %v after a sound attempt, want none", got)
	}
}
