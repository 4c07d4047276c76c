package soak

import (
	"time"

	"ragwortpond.example/ragwortpond/platform"
	"ragwortpond.example/ragwortpond/platform/standin"
)

// entryAbsence is how long the entry of a target that leaves without the store is away.
const entryAbsence = 2500 * time.Millisecond

// leaveUnheard lets a target say only in its answers that it leaves. Cut off from the store, it
// loses its entry, which then returns as that of a target that is ready, until it is gone.
func (i *injector) leaveUnheard(t *target) {
	env := i.environment
	i.countPlanned("leave-unheard")
	env.store.Delete(platform.KindTargets, t.ID)
	go func() {
		time.Sleep(entryAbsence)
		env.putTarget(t, "ready")
		time.Sleep(drainTime - entryAbsence)
		env.deleteLeaving(t)
	}()
}

// checkLeaving checks that a router sends no more requests to a target once it has passed on an
// answer that says that the target leaves, for requests that were sent later than maxApplyDelay.
func (c *checker) checkLeaving() {
	type pair struct{ router, target string }
	told, requests := map[pair]time.Time{}, map[string]*Request{}
	for i := range c.h.Requests {
		r := &c.h.Requests[i]
		requests[r.ID] = r
		p := pair{r.Router, standin.SignatureTarget(r.Seal)}
		if at, ok := told[p]; r.Leaving && (!ok || r.Ended.Before(at)) {
			told[p] = r.Ended
		}
	}
	for _, a := range c.h.Arrivals {
		r := requests[a.ID]
		if r == nil {
			continue
		}
		at, ok := told[pair{r.Router, a.Target}]
		if ok && r.Sent.Sub(at) > maxApplyDelay && !c.disturbed(r.Router, at, a.At) {
			c.add("leaving", a.ID, "sent %v after router %s had passed on that target %s leaves, and reached it", r.Sent.Sub(at), r.Router, a.Target)
		}
	}
}
