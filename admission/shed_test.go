package admission

import (
	"container/heap"
	"math/rand/v2"
	"testing"
	"time"
)

// plainLoad is a load on a plain service: many routers send to few targets that
// run a few requests at once, queue some more and reject the rest.
type plainLoad struct {
	routers, targets, slots, queue int
	// perSecond is the rate of new requests of the whole fleet.
	perSecond float64
	work      time.Duration
	objective time.Duration
	// patience is how long a client waits in all; a refused one comes back once.
	patience, comeBack time.Duration
	shed               bool
}

// served says what callers got in the second half of a play.
type served struct {
	asked, onTime, late, refused int
}

func (s served) share(n int) float64 { return float64(n) / float64(max(s.asked, 1)) }

type playEvent struct {
	at   time.Duration
	what func()
}

type playQueue []playEvent

func (q playQueue) Len() int           { return len(q) }
func (q playQueue) Less(i, j int) bool { return q[i].at < q[j].at }
func (q playQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *playQueue) Push(x any)        { *q = append(*q, x.(playEvent)) }
func (q *playQueue) Pop() any {
	old := *q
	e := old[len(old)-1]
	*q = old[:len(old)-1]
	return e
}

type playTarget struct {
	running int
	waiting []func()
}

// play runs a load for a while of simulated time.
func (l plainLoad) play(span time.Duration) served {
	random := rand.New(rand.NewPCG(3, 4))
	var queue playQueue
	now := time.Duration(0)
	at := func(d time.Duration, f func()) { heap.Push(&queue, playEvent{now + d, f}) }
	clock := func() time.Time { return time.Unix(1000, 0).Add(now) }
	shedders := make([]*Shedder, l.routers)
	for i := range shedders {
		shedders[i] = NewShedder()
	}
	targets := make([]*playTarget, l.targets)
	for i := range targets {
		targets[i] = &playTarget{}
	}
	var result served
	run := func(t *playTarget, done func()) {
		t.running++
		at(time.Duration(float64(l.work)*(0.5+random.Float64())), func() {
			t.running--
			done()
			if len(t.waiting) > 0 {
				next := t.waiting[0]
				t.waiting = t.waiting[1:]
				next()
			}
		})
	}
	var ask func(first time.Duration, again bool)
	ask = func(first time.Duration, again bool) {
		counts := first > span/2
		refuse := func() {
			if !again {
				at(time.Duration(float64(l.comeBack)*(0.5+random.Float64())), func() { ask(first, true) })
			} else if counts {
				result.refused++
			}
		}
		router := shedders[random.IntN(l.routers)]
		if l.shed && !router.Take(random.Float64()) {
			refuse()
			return
		}
		t := targets[random.IntN(l.targets)]
		sent := now
		done := func() {
			router.Answered(now-sent, l.objective, clock())
			switch took := now - first; {
			case !counts:
			case took <= l.objective:
				result.onTime++
			case took <= l.patience:
				result.late++
			default:
				result.refused++
			}
		}
		switch {
		case t.running < l.slots:
			run(t, done)
		case len(t.waiting) < l.queue:
			t.waiting = append(t.waiting, func() { run(t, done) })
		default:
			router.Rejected(clock())
			refuse()
		}
	}
	var arrive func()
	arrive = func() {
		if now > span/2 {
			result.asked++
		}
		ask(now, false)
		at(time.Duration(random.ExpFloat64()/l.perSecond*float64(time.Second)), arrive)
	}
	arrive()
	for len(queue) > 0 && now < span {
		e := heap.Pop(&queue).(playEvent)
		now = e.at
		e.what()
	}
	return result
}

// overloaded is a plain service that lost half of its targets: 18 places for 60 ms
// each, 300 requests a second at the most.
func overloaded(perSecond float64, shed bool) plainLoad {
	return plainLoad{
		routers: 78, targets: 3, slots: 6, queue: 24, perSecond: perSecond, work: 60 * time.Millisecond,
		objective: 300 * time.Millisecond, patience: 3 * time.Second, comeBack: 400 * time.Millisecond, shed: shed,
	}
}

// TestShedderKeepsThoseTakenOnTime plays a service below and over its capacity:
// over it, clearly more callers get their answer in time than without the shedder;
// below it, none is refused that would have been served in time.
func TestShedderKeepsThoseTakenOnTime(t *testing.T) {
	const span = 60 * time.Second
	const clearly, asMany = 0.05, -0.01
	for _, load := range []struct{ perSecond, more float64 }{
		{150, asMany}, {240, asMany}, {270, asMany}, {330, clearly}, {400, clearly}, {600, clearly},
	} {
		with, without := overloaded(load.perSecond, true).play(span), overloaded(load.perSecond, false).play(span)
		t.Logf("%v a second: on time %.3f late %.3f refused %.3f; without %.3f, %.3f, %.3f", load.perSecond,
			with.share(with.onTime), with.share(with.late), with.share(with.refused),
			without.share(without.onTime), without.share(without.late), without.share(without.refused))
		if more := with.share(with.onTime) - without.share(without.onTime); more < load.more {
			t.Errorf("%v a second: %.3f more on time, want %.2f", load.perSecond, more, load.more)
		}
	}
}

// TestShedderTakesAllAgain ends an overload: a while later everything is taken.
func TestShedderTakesAllAgain(t *testing.T) {
	s, now := NewShedder(), time.Unix(1000, 0)
	for range 200 {
		now = now.Add(50 * time.Millisecond)
		s.Rejected(now)
	}
	if s.Taken() > 0.5 {
		t.Fatalf("%.2f taken under rejections only", s.Taken())
	}
	for range 120 {
		now = now.Add(50 * time.Millisecond)
		s.Answered(60*time.Millisecond, 300*time.Millisecond, now)
	}
	if s.Taken() < 1 {
		t.Errorf("%.2f taken 6 s after the overload", s.Taken())
	}
}

// TestSlowAnswersAloneShedNothing: a service that is slow without rejecting
// anything would not become faster.
func TestSlowAnswersAloneShedNothing(t *testing.T) {
	s, now := NewShedder(), time.Unix(1000, 0)
	for range 400 {
		now = now.Add(50 * time.Millisecond)
		s.Answered(time.Second, 300*time.Millisecond, now)
	}
	if s.Taken() < 1 {
		t.Errorf("%.2f taken", s.Taken())
	}
}
