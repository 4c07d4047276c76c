package mesh

import (
	"fmt"
	"testing"
	"time"

	"ragwortpond.example/ragwortpond/fleet"
)

// TestHeartbeatsThatAreHeldUpAreLate guards against a heartbeat from before a cut that arrives during it and is taken for
// news of the moment.
func TestHeartbeatsThatAreHeldUpAreLate(t *testing.T) {
	const way = 20 * time.Millisecond
	for name, offset := range map[string]time.Duration{"sender up for longer": -time.Hour, "receiver up for longer": time.Hour} {
		for _, drift := range []float64{-0.0005, 0, 0.0005} {
			p := passage{}
			sentAt := func(now time.Duration) time.Duration { return now - offset + time.Duration(drift*float64(now)) }
			now := 2 * time.Hour
			if _, known := p.observe(sentAt(now), now+way); known {
				t.Errorf("%s: the way of the first heartbeat is known", name)
			}
			for end := now + 10*time.Minute; now < end; now += heartbeatInterval {
				late, known := p.observe(sentAt(now), now+way)
				if late > 5*time.Millisecond || known != (now >= 2*time.Hour+passageLearnTime) {
					t.Fatalf("%s, drift %v: got %v late, %v, of a heartbeat in time", name, drift, late, known)
				}
			}
			for _, held := range []time.Duration{300 * time.Millisecond, 3 * time.Second, 30 * time.Second} {
				for end := now + 31*time.Second; now < end; now += heartbeatInterval {
					p.observe(sentAt(now), now+way)
				}
				late, known := p.observe(sentAt(now-held), now+way)
				if most := held + 50*time.Millisecond; !known || late < held-50*time.Millisecond || late > most {
					t.Errorf("%s, drift %v: got %v late, %v, of a heartbeat held up for %v", name, drift, late, known, held)
				}
			}
		}
	}
}

// TestRouterThatHearsOthersLateIsNotConnected guards against a router that takes what others sent before a cut for contact
// during it.
func TestRouterThatHearsOthersLateIsNotConnected(t *testing.T) {
	now, clock := time.Unix(1000, 0), time.Hour
	table := heardTable(now)
	hear := func(late time.Duration) {
		now, clock = now.Add(heartbeatInterval), clock+heartbeatInterval
		for i := range 5 {
			hb := testHeartbeat(i, false)
			hb.Domain, hb.SentMS = fleet.DomainName(fmt.Sprint("d", i%3)), uint64((clock - late).Milliseconds())
			table.HandleHeartbeat(hb, testAddr(i), now)
			table.observePassage(hb, clock)
		}
	}
	for range 20 {
		hear(0)
	}
	for _, test := range []struct {
		late time.Duration
		want bool
	}{{200 * time.Millisecond, true}, {2 * time.Second, false}, {10 * time.Second, false}, {0, true}} {
		hear(test.late)
		if got := table.Connected(now); got != test.want {
			t.Errorf("heartbeats %v late: got connected %t, want %t", test.late, got, test.want)
		}
	}
}
