package propagate

import (
	"context"
	"errors"

	"ragwortpond.example/ragwortpond/event"
	"ragwortpond.example/ragwortpond/fleet"
	"ragwortpond.example/ragwortpond/sleep"
)

const (
	// nearSources and farSources are the routers that a new one asks for the
	// settings, in its own failure domain and in others.
	nearSources = 2
	farSources  = 2
)

// load takes the settings from peers and the platform, whichever is further,
// and retries until it has some. It returns an error only when ctx ends.
func (p *Service) load(ctx context.Context) error {
	failures := backoff{first: p.config.Timing.Retry}
	for {
		err := p.loadOnce(ctx)
		if err == nil {
			return p.markReady(ctx)
		}
		if ctx.Err() != nil {
			return ctx.Err()
		}
		wait, first := failures.fail()
		if first {
			event.SettingsWaiting.Log(p.config.Log).Err(err).Send()
		}
		if err := sleep.For(ctx, p.jitter(wait)); err != nil {
			return err
		}
	}
}

// loadOnce asks several peers, then the platform for what they lack. A router
// that has heard from a peer does without the platform; one that has not lists
// everything.
func (p *Service) loadOnce(ctx context.Context) error {
	heard := false
	for _, from := range p.sources() {
		if p.ask(ctx, from) == nil {
			heard = true
		}
	}
	if heard && p.Revision() > 0 {
		_ = p.platformOnce(ctx, func(ctx context.Context) error { return p.watchOnce(ctx, 0) })
		return nil
	}
	if err := p.platformOnce(ctx, p.list); err != nil {
		return errors.Join(ErrNoSource, err)
	}
	return nil
}

// ask takes the whole state of the first router that has one, and from the
// others only what they have besides.
func (p *Service) ask(ctx context.Context, from fleet.Router) error {
	if p.Revision() == 0 {
		return p.fetchAll(ctx, from)
	}
	return p.exchange(ctx, from)
}

// platformOnce bounds a read of the platform by the time of one peer call.
func (p *Service) platformOnce(ctx context.Context, read func(context.Context) error) error {
	ctx, cancel := context.WithTimeout(ctx, p.config.Timing.Call)
	defer cancel()
	return read(ctx)
}

// sources picks routers to ask for the settings.
func (p *Service) sources() []fleet.Router {
	near, far := others(p.config.Self, p.config.Members())
	return append(p.choose(near, nearSources), p.choose(far, farSources)...)
}

// choose draws up to n of the routers.
func (p *Service) choose(from []fleet.Router, n int) []fleet.Router {
	for i := range from {
		j := i + p.config.IntN(len(from)-i)
		from[i], from[j] = from[j], from[i]
	}
	return from[:min(n, len(from))]
}
