package overload

import (
	"sync"
	"time"

	"ragwortpond.example/ragwortpond/admission"
)

const (
	// lateEagerness is how much sooner a request is refused that can no longer be on time than one that can.
	lateEagerness = 4
	// maxExcessEagerness bounds how much sooner a request is refused because of what its client account sends.
	maxExcessEagerness = 3
	// urgencyTilt is how much sooner, or later, the least and the most urgent requests are refused than the mean one.
	urgencyTilt = 0.9
	// minWorkEagerness and maxWorkEagerness bound how much later, or sooner, a request is refused because of its work.
	minWorkEagerness, maxWorkEagerness = 0.7, 1.4
	// minRelative is the smallest share of the requests of one priority, account or size that is admitted, in that of
	// all requests; minRelativeLate is that of requests that come too late.
	minRelative     = 0.7
	minRelativeLate = 0.35
	// maxRefusedLate is the largest share that is refused of requests that can no longer be on time.
	maxRefusedLate = 0.9
	// eagernessRequests is the number of requests over which the mean eagerness is taken.
	eagernessRequests = 32
	// returnShare is the part of its objective after which a refused request that can still be on time comes back.
	returnShare = 0.125
	// minReturnTime bounds the time after which a refused request comes back.
	minReturnTime = 10 * time.Millisecond
	// rateTime is the time constant of the rate of answers.
	rateTime = 4 * time.Second
)

// Request is what a decision takes into account of a request.
type Request struct {
	// Priority is smaller for more urgent requests.
	Priority int
	// Account identifies the client account; zero means none.
	Account uint64
	// Route identifies the kind of request.
	Route uint64
	// Work is the work that the request needs, in any unit that is the same for all requests to the service; zero
	// means that it is unknown.
	Work float64
	// Objective is the desired time to an answer, zero for none.
	Objective time.Duration
	// Left is the time until the caller gives up.
	Left time.Duration
}

// Cause tells why a request is refused.
type Cause string

// Causes of refusals.
const (
	// CauseCost means that refusing this request costs callers least.
	CauseCost Cause = "cost"
	// CauseLate means the same of one that can no longer be on time.
	CauseLate Cause = "late"
	// CauseDeadline means that no recent answer came within the time that the request has left.
	CauseDeadline Cause = "deadline"
)

// Decision is the answer to a request.
type Decision struct {
	Admit bool
	Cause Cause
	// Pressure is the share of all requests that is refused, Refused that of requests like this one.
	Pressure, Refused float64
	// RetryAfter is when a refused request should come back.
	RetryAfter time.Duration
}

// Controller decides for one service at one router. It is safe for concurrent use.
type Controller struct {
	mu sync.Mutex
	// pressures holds the pressure of each priority if targets take requests by priority, otherwise that of all
	// requests at index 0.
	pressures  [maxPriorities]pressure
	byPriority bool
	usage      usage
	budgets    budgets
	pacer      admission.ReturnPacer
	answers    decayingRate
	eagerness  float64
	// refused is the share of the last requests that was refused.
	refused  float64
	meanWork float64
	times    answerTimes
}

// New returns a controller that admits all requests.
func New() *Controller {
	c := &Controller{usage: newUsage(), budgets: budgets{}, times: answerTimes{}, eagerness: 1}
	for i := range c.pressures {
		c.pressures[i].occupancy = -1
	}
	return c
}

// pressureOf returns the pressure that requests of a priority show.
func (c *Controller) pressureOf(priority int) *pressure {
	if !c.byPriority {
		return &c.pressures[0]
	}
	return &c.pressures[clampPriority(priority)]
}

// valueFor returns the pressure on requests of a priority: the highest of theirs and of more urgent ones.
func (c *Controller) valueFor(priority int, now time.Time) float64 {
	value := c.pressures[0].value(now)
	if c.byPriority {
		for i := range c.pressures[:clampPriority(priority)+1] {
			value = max(value, c.pressures[i].value(now))
		}
	}
	return value
}

// RecordRejection records that a target rejected a request of a priority because it was full.
func (c *Controller) RecordRejection(priority int, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pressureOf(priority).reject(now)
}

// RecordAnswer records the time to an answer, or to the first event of a stream, of a request; its Left does not
// matter. An answer without an objective is never late.
func (c *Controller) RecordAnswer(r Request, took time.Duration, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.answers.add(now)
	c.times.add(r.Route, took, now)
	ratio := 0.0
	if r.Objective > 0 {
		ratio = float64(took) / float64(r.Objective)
	}
	c.pressureOf(r.Priority).answer(ratio, now)
}

// State returns the pressure on the least urgent requests, as a share of them that is refused, and whether there is
// evidence of want of room, which changes less often.
func (c *Controller) State(now time.Time) (pressure float64, short bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i := range c.pressures {
		short = short || c.pressures[i].active
	}
	return c.valueFor(maxPriorities-1, now), short
}

// RecordOccupancy records how many requests the service's targets hold per slot, if they tell. Where they do, they take
// waiting requests by priority, and none is refused while less than half of the slots are taken, also if single targets
// reject requests.
func (c *Controller) RecordOccupancy(perSlot float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.byPriority = true
	for i := range c.pressures {
		c.pressures[i].occupy(perSlot)
	}
}

// Pressure returns the pressure on the least urgent requests, as a share of them that is refused; zero means that none
// is refused.
func (c *Controller) Pressure(now time.Time) float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.valueFor(maxPriorities-1, now)
}

// Decide decides on a request; point is uniform in [0, 1).
func (c *Controller) Decide(r Request, point float64, now time.Time) Decision {
	c.mu.Lock()
	defer c.mu.Unlock()
	excess := c.usage.add(r.Account, r.Priority, now)
	late := c.isLate(r, now)
	eagerness := c.requestEagerness(r, excess)
	p := c.valueFor(r.Priority, now)
	if p == 0 {
		c.refused -= c.refused / eagernessRequests
		return Decision{Admit: true}
	}
	common := p
	if c.byPriority {
		common = c.refused
	}
	d := Decision{Pressure: p, Refused: min(p*eagerness/c.eagerness, 1-minRelative*(1-common)), Cause: CauseCost}
	if late {
		d.Refused, d.Cause = min(p*lateEagerness, maxRefusedLate, 1-minRelativeLate*(1-p)), CauseLate
	}
	if r.Left > 0 && r.Left < c.times.shortest(r.Route, now) {
		d.Refused, d.Cause = 1, CauseDeadline
	}
	c.refused += (d.Refused - c.refused) / eagernessRequests
	if d.Admit = point >= d.Refused; !d.Admit {
		d.RetryAfter = c.returnTime(r, late, now)
	}
	return d
}

// ReturnTime returns when a request should come back that a target rejected because it was full.
func (c *Controller) ReturnTime(r Request, now time.Time) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.returnTime(r, c.isLate(r, now), now)
}

// isLate reports whether a request can probably no longer be on time.
func (c *Controller) isLate(r Request, now time.Time) bool {
	return r.Objective > 0 && c.budgets.waited(budgetKey{r.Route, r.Account}, r.Left, now) > r.Objective/2
}

// requestEagerness returns how readily a request is refused that can still be on time, and updates the mean.
func (c *Controller) requestEagerness(r Request, excess float64) float64 {
	eagerness := min(excess, maxExcessEagerness)
	if !c.byPriority {
		eagerness *= 1 + urgencyTilt*(2*c.usage.urgencyRank(r.Priority)-1)
	}
	if r.Work > 0 {
		if c.meanWork == 0 {
			c.meanWork = r.Work
		}
		eagerness *= min(max(r.Work/c.meanWork, minWorkEagerness), maxWorkEagerness)
		c.meanWork += (r.Work - c.meanWork) / eagernessRequests
	}
	c.eagerness += (eagerness - c.eagerness) / eagernessRequests
	return eagerness
}

// returnTime returns when a refused request should come back: soon if it can still be on time then, otherwise at the
// rate at which requests are answered.
func (c *Controller) returnTime(r Request, late bool, now time.Time) time.Duration {
	if !late && r.Objective > 0 {
		return max(time.Duration(returnShare*float64(r.Objective)), minReturnTime)
	}
	return c.pacer.Next(c.answers.perSecond(now), now)
}

// decayingRate is a rate of events, of which older ones count less.
type decayingRate struct {
	weight float64
	at     time.Time
}

func (r *decayingRate) decay(now time.Time) {
	if elapsed := now.Sub(r.at); elapsed > 0 {
		r.weight /= 1 + elapsed.Seconds()/rateTime.Seconds()
		r.at = now
	}
}

func (r *decayingRate) add(now time.Time) {
	r.decay(now)
	r.weight++
}

func (r *decayingRate) perSecond(now time.Time) float64 {
	r.decay(now)
	return r.weight / rateTime.Seconds()
}
