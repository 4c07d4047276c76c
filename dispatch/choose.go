package dispatch

import (
	"cmp"
	"slices"
	"time"

	"ragwortpond.example/ragwortpond/call"
	"ragwortpond.example/ragwortpond/catalog"
	"ragwortpond.example/ragwortpond/fleet"
	"ragwortpond.example/ragwortpond/rendezvous"
	"ragwortpond.example/ragwortpond/suspicion"
)

// Choice is the target for a request.
type Choice struct {
	// Target is nil if there is none left.
	Target *catalog.Target
	// Source is the target that probably holds the cache of the key's parts
	// where Target may not; nil if there is none.
	Source *catalog.Target
	Basis  Basis
	// Load and Standing are those of Target, for logs.
	Load     float64
	Standing suspicion.Standing
}

// Ask is what the choice of a target depends on besides the field and its signs.
type Ask struct {
	// Key is the part of the prompt by which requests are kept together; zero
	// means that the request has none.
	Key uint64
	// Domain is the router's failure domain, which is preferred among targets
	// that are equal otherwise.
	Domain fleet.DomainName
	// Tried are the targets at which the request has been already.
	Tried []fleet.TargetID
	// Mean is the mean load of the targets that take work.
	Mean float64
	// Random decides between equal targets.
	Random uint64
}

// Basis is what a choice rests on, for logs.
type Basis string

// The reasons of a choice.
const (
	BasisKey      Basis = "key"
	BasisOverflow Basis = "overflow"
	BasisLoad     Basis = "least-load"
)

// Bounds of the load of the target that a key prefers.
const (
	// keyMultiple is the load that a preferred target may carry, as a multiple
	// of the mean of its service, with keyMargin requests on top, which matter
	// where the mean is low.
	keyMultiple = 1.5
	keyMargin   = 2
	// spillMultiple and spillMargin bound a target that takes a key's overflow, so
	// that what a hot key spills leaves room for the keys that belong there.
	spillMultiple = 1
	spillMargin   = 1
)

// recentJoin is how long after its start a target may lack the cache of keys
// that it has taken over: longer than it takes for most keys to be asked for.
const recentJoin = 30 * time.Second

// Bounds of what one choice looks at, so that it costs about as much with
// thousands of targets as with a hundred.
const (
	// mostRanks is how many targets of a key's order are asked for their load and
	// standing.
	mostRanks = 16
	// mostSampled is how many targets are compared by load.
	mostSampled = 256
)

// Choose returns the target for a request at a time. It does not allocate.
//
// It answers steady load with hot keys: requests with the same key go to the
// same target, the first of the key's rendezvous order that is not above its
// share of the load. Requests without a key go to the least loaded target.
// Where another target than the one chosen probably holds the key's cache, it is
// named as the source: fetching costs a fraction of reading the prompt again.
func Choose(a Ask, f *Field, signs Signs, now time.Time) Choice {
	p := pick{ask: a, field: f, signs: signs}
	at, basis := -1, BasisLoad
	if a.Key == 0 {
		at = p.leastLoaded()
	} else {
		at, basis = p.byKey()
	}
	if at < 0 {
		return Choice{Basis: basis}
	}
	t := f.targets[at]
	choice := Choice{Target: t, Basis: basis, Load: signs.Load(t), Standing: signs.Standing(t)}
	if a.Key != 0 {
		choice.Source = p.source(at, now)
	}
	return choice
}

// pick is one choice under way.
type pick struct {
	ask   Ask
	field *Field
	signs Signs
}

func (p *pick) tried(i int) bool {
	return slices.Contains(p.ask.Tried, p.field.targets[i].ID)
}

// byKey returns the first target of the key's order, unless it has more than its
// share of the load; then the first that has room for what others spill.
func (p *pick) byKey() (int, Basis) {
	standing, first := p.firstOf()
	if first < 0 {
		return -1, BasisKey
	}
	if p.signs.Load(p.field.targets[first]) < keyMultiple*p.ask.Mean+keyMargin {
		return first, BasisKey
	}
	order := ranks{field: p.field, key: p.ask.Key, among: p.field.serving, last: first}
	for range mostRanks {
		i := order.next()
		if i < 0 {
			break
		}
		t := p.field.targets[i]
		if !p.tried(i) && p.signs.Standing(t) == standing && p.signs.Load(t) < spillMultiple*p.ask.Mean+spillMargin {
			return i, BasisOverflow
		}
	}
	return p.leastLoaded(), BasisOverflow
}

// firstOf returns the best standing that a target has, and the first of the key's
// order that has it; -1 if there is no target.
func (p *pick) firstOf() (suspicion.Standing, int) {
	order := ranks{field: p.field, key: p.ask.Key, among: p.field.serving, last: -1}
	for range mostRanks {
		i := order.next()
		if i < 0 {
			break
		}
		if !p.tried(i) && p.signs.Standing(p.field.targets[i]) == suspicion.Sound {
			return suspicion.Sound, i
		}
	}
	return p.bestOf()
}

// bestOf is firstOf for a field in which few targets are sound.
func (p *pick) bestOf() (suspicion.Standing, int) {
	best, bestRank, bestStanding := -1, uint64(0), suspicion.Shunned
	for i := range p.field.serving {
		if p.tried(i) {
			continue
		}
		standing, rank := p.signs.Standing(p.field.targets[i]), p.field.rank(i, p.ask.Key)
		if best < 0 || standing < bestStanding || (standing == bestStanding && rank > bestRank) {
			best, bestRank, bestStanding = i, rank, standing
		}
	}
	return bestStanding, best
}

// source returns the first of the key's order besides the chosen target, if it
// ranks before that, or if the chosen target joined lately; else the chosen
// target holds the cache itself.
func (p *pick) source(chosen int, now time.Time) *catalog.Target {
	joined := now.Sub(p.field.targets[chosen].Started) < recentJoin
	order := ranks{field: p.field, key: p.ask.Key, among: len(p.field.targets), last: -1}
	for range mostRanks {
		i := order.next()
		switch {
		case i < 0, i == chosen && !joined:
			return nil
		case i != chosen && !p.tried(i) && p.signs.Standing(p.field.targets[i]) != suspicion.Shunned:
			return p.field.targets[i]
		}
	}
	return nil
}

// leastLoaded chooses by standing, load for each slot, failure domain, and then
// at random; among many targets it looks at some of them.
func (p *pick) leastLoaded() int {
	n := p.field.serving
	best, bestSeen := -1, seen{}
	for k := range min(n, mostSampled) {
		i := k
		if n > mostSampled {
			i = int(rendezvous.Mix(uint64(k), p.ask.Random) % uint64(n))
		}
		if p.tried(i) {
			continue
		}
		if s := p.see(i); best < 0 || s.before(bestSeen) {
			best, bestSeen = i, s
		}
	}
	return best
}

// seen is a target as it is compared with others by load.
type seen struct {
	standing suspicion.Standing
	load     float64
	tie      uint64
}

func (p *pick) see(i int) seen {
	t := p.field.targets[i]
	s := seen{p.signs.Standing(t), p.signs.Load(t) / float64(max(t.Slots, 1)), rendezvous.Mix(p.field.seeds[i], p.ask.Random) >> 1}
	if t.Domain != p.ask.Domain {
		s.tie |= 1 << 63
	}
	return s
}

func (s seen) before(o seen) bool {
	return cmp.Or(cmp.Compare(s.standing, o.standing), cmp.Compare(s.load, o.load), cmp.Compare(s.tie, o.tie)) < 0
}

// KeyOf returns the key by which a prompt's requests are kept together: its last
// shared part. The last part of all belongs to the request itself.
func KeyOf(prompt []call.Part) uint64 {
	if len(prompt) == 0 {
		return 0
	}
	return prompt[max(len(prompt)-2, 0)].ID | 1
}
