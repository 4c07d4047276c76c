package propagate

import (
	"context"
	"errors"

	"ragwortpond.example/ragwortpond/event"
	"ragwortpond.example/ragwortpond/fleet"
	"ragwortpond.example/ragwortpond/sleep"
)

const (
	// sameDomainSources and otherDomainSources are the numbers of routers from
	// which a starting router loads the settings, in its own failure domain and in
	// others.
	sameDomainSources  = 2
	otherDomainSources = 2
)

// loadUntilReady loads the settings from peers and the platform, using the
// highest revision, and retries until it has some. Its error is that of ctx, or
// of a state owner that has stopped.
func (p *Service) loadUntilReady(ctx context.Context) error {
	failures := backoff{initial: p.config.Timing.Retry}
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
			event.SettingsLoadFailed.Log(p.config.Log).Err(err).Send()
		}
		if err := sleep.For(ctx, p.jitter(wait)); err != nil {
			return err
		}
	}
}

// loadOnce loads the settings from several peers, and then the changes after
// them from the platform. If a peer has answered with settings, the platform
// may fail. Otherwise it lists all objects on the platform, and returns
// ErrNoSource if that fails too.
func (p *Service) loadOnce(ctx context.Context) error {
	peerAnswered := false
	for _, from := range p.pickSources() {
		if p.loadFromPeer(ctx, from) == nil {
			peerAnswered = true
		}
	}
	if peerAnswered && p.Revision() > 0 {
		_ = p.readPlatform(ctx, func(ctx context.Context) error { return p.watchOnce(ctx, 0) })
		return nil
	}
	if err := p.readPlatform(ctx, p.listAll); err != nil {
		return errors.Join(ErrNoSource, err)
	}
	return nil
}

// loadFromPeer fetches the whole state as long as this router has none. After
// that it only exchanges digests, to fetch later changes.
func (p *Service) loadFromPeer(ctx context.Context, from fleet.Router) error {
	if p.Revision() == 0 {
		return p.fetchState(ctx, from)
	}
	return p.exchangeDigests(ctx, from)
}

// readPlatform runs one read of the platform with the timeout of a peer call.
func (p *Service) readPlatform(ctx context.Context, read func(context.Context) error) error {
	ctx, cancel := context.WithTimeout(ctx, p.config.Timing.Call)
	defer cancel()
	return read(ctx)
}

// pickSources returns the routers to load the settings from.
func (p *Service) pickSources() []fleet.Router {
	sameDomain, otherDomains := splitByDomain(p.config.Self, p.config.Members())
	return append(p.sample(sameDomain, sameDomainSources), p.sample(otherDomains, otherDomainSources)...)
}

// sample returns up to n of the routers at random. It reorders the slice.
func (p *Service) sample(from []fleet.Router, n int) []fleet.Router {
	for i := range from {
		j := i + p.config.IntN(len(from)-i)
		from[i], from[j] = from[j], from[i]
	}
	return from[:min(n, len(from))]
}
