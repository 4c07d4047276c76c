package keyjournal

import (
	"testing"
	"time"
)

func TestPace(t *testing.T) {
	const batch, interval = 5 * time.Millisecond, 40 * time.Millisecond
	var p Pace
	now := epoch
	for range paceBurst {
		if wait := p.Wait(now, batch, interval); wait != batch {
			t.Fatalf("wait %v within the burst", wait)
		}
		p.Started(now, interval)
	}
	writes := 0
	for end := now.Add(time.Second); now.Before(end); writes++ {
		now = now.Add(p.Wait(now, batch, interval))
		p.Started(now, interval)
	}
	if most := int(time.Second/interval) + 1; writes > most || writes < most-1 {
		t.Fatalf("%d writes in a second, want about %d", writes, most)
	}
	p.Refused(interval)
	if wait := p.Wait(now.Add(time.Minute), batch, interval); wait != paceGrowth*interval {
		t.Fatalf("wait %v after a refusal", wait)
	}
	for range 100 {
		p.Taken()
	}
	if wait := p.Wait(now.Add(time.Minute), batch, interval); wait != batch {
		t.Fatalf("wait %v long after a refusal", wait)
	}
}
