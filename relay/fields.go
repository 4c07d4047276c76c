package relay

import (
	"time"

	"ragwortpond.example/ragwortpond/catalog"
	"ragwortpond.example/ragwortpond/dispatch"
	"ragwortpond.example/ragwortpond/fleet"
	"ragwortpond.example/ragwortpond/suspicion"
)

// meanEach is how long a service's mean load is used for each of its targets:
// reading one takes about 60 ns, so that the means take a quarter of a hundredth
// of a core at any number of targets.
const meanEach = 25 * time.Microsecond

// fields prepares a view's targets for choices. It is made anew for each view.
type fields struct {
	view     *catalog.View
	services map[fleet.ServiceName]*serviceField
}

type serviceField struct {
	*dispatch.Field
	mean   float64
	meanAt time.Time
}

// field returns the prepared targets of a service, and their mean load.
func (r *Relay) field(view *catalog.View, service fleet.ServiceName, now time.Time) (*dispatch.Field, float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.fields.view != view {
		r.fields = fields{view: view, services: map[fleet.ServiceName]*serviceField{}}
	}
	f := r.fields.services[service]
	if f == nil {
		f = &serviceField{Field: dispatch.NewField(view.Targets[service], view.Leaving[service])}
		r.fields.services[service] = f
	}
	targets := f.Serving()
	if now.Sub(f.meanAt) >= meanEach*time.Duration(len(targets)) {
		f.mean, f.meanAt = r.loads.mean(targets, now), now
	}
	return f.Field, f.mean
}

// signs are what the relay knows of targets at one moment.
type signs struct {
	relay *Relay
	now   time.Time
}

// Load implements dispatch.Signs.
func (s *signs) Load(t *catalog.Target) float64 {
	return s.relay.loads.of(t.ID, s.now)
}

// Standing implements dispatch.Signs.
func (s *signs) Standing(t *catalog.Target) suspicion.Standing {
	return s.relay.book.Standing(t.ID, t.Domain, s.now)
}
