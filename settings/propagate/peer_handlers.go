package propagate

import (
	"context"

	"github.com/fxamacker/cbor/v2"

	"ragwortpond.example/ragwortpond/event"
	"ragwortpond.example/ragwortpond/fleet"
)

// handlePush takes a change from a router above this one.
func (p *Service) handlePush(ctx context.Context, from fleet.RouterID, payload []byte) (any, error) {
	var page Page
	if err := cbor.Unmarshal(payload, &page); err != nil {
		return nil, err
	}
	if !p.loaded.Load() {
		return nil, ErrNotReady
	}
	r, err := p.apply(ctx, wayPush, page)
	if err != nil {
		return nil, err
	}
	if page.More {
		p.requestPull(from)
	}
	return pushAnswer{Complete: r.after}, nil
}

// handleDigest compares the asker's digest with the own state.
func (p *Service) handleDigest(ctx context.Context, from fleet.RouterID, payload []byte) (any, error) {
	var theirs Digest
	if err := cbor.Unmarshal(payload, &theirs); err != nil {
		return nil, err
	}
	if !p.loaded.Load() {
		return nil, ErrNotReady
	}
	own, err := p.digest(ctx)
	if err != nil {
		return nil, err
	}
	if theirs.Probe {
		return digestAnswer{Digest: own}, nil
	}
	p.compare(from, own, theirs)
	if own.Complete <= theirs.Complete {
		return digestAnswer{Digest: own}, nil
	}
	fetched, err := p.fetchPage(ctx, fetchRequest{Since: theirs.Complete, After: theirs.Complete})
	if err != nil {
		return nil, err
	}
	if fetched.Full {
		return digestAnswer{Digest: own, Full: true}, nil
	}
	return digestAnswer{Digest: own, Page: &fetched.Page}, nil
}

// handleFetch hands out the state page by page.
func (p *Service) handleFetch(ctx context.Context, _ fleet.RouterID, payload []byte) (any, error) {
	var request fetchRequest
	if err := cbor.Unmarshal(payload, &request); err != nil {
		return nil, err
	}
	if !p.loaded.Load() {
		return nil, ErrNotReady
	}
	return p.fetchPage(ctx, request)
}

// compare reports states that differ though both are complete at one revision.
func (p *Service) compare(from fleet.RouterID, own, theirs Digest) {
	if own.agrees(theirs) {
		return
	}
	p.counters.Diverged.Inc()
	event.SettingsDiverged.Log(p.config.Log).
		Str("router", string(from)).
		Uint64("revision", own.Complete).
		Send()
}
