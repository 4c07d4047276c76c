package propagate

import (
	"context"

	"github.com/fxamacker/cbor/v2"

	"ragwortpond.example/ragwortpond/event"
	"ragwortpond.example/ragwortpond/fleet"
)

// handlePush applies a page pushed by another router, by its parent in the tree
// or in a digest exchange.
func (p *Service) handlePush(ctx context.Context, from fleet.RouterID, payload []byte) (any, error) {
	var page Page
	if err := cbor.Unmarshal(payload, &page); err != nil {
		return nil, err
	}
	if !p.loaded.Load() {
		return nil, ErrNotReady
	}
	result, err := p.applyPage(ctx, sourcePush, page)
	if err != nil {
		return nil, err
	}
	if page.More {
		p.queuePull(from)
	}
	return pushAnswer{Complete: result.after}, nil
}

// handleDigest compares the caller's digest with this router's. If the caller
// is behind, the answer carries the first page of the changes that it lacks.
func (p *Service) handleDigest(ctx context.Context, from fleet.RouterID, payload []byte) (any, error) {
	var remote Digest
	if err := cbor.Unmarshal(payload, &remote); err != nil {
		return nil, err
	}
	if !p.loaded.Load() {
		return nil, ErrNotReady
	}
	local, err := p.localDigest(ctx)
	if err != nil {
		return nil, err
	}
	if remote.Probe {
		return digestAnswer{Digest: local}, nil
	}
	p.reportDivergence(from, local, remote)
	if local.Complete <= remote.Complete {
		return digestAnswer{Digest: local}, nil
	}
	fetched, err := p.readPage(ctx, fetchRequest{Since: remote.Complete, After: remote.Complete})
	if err != nil {
		return nil, err
	}
	if fetched.Full {
		return digestAnswer{Digest: local, Full: true}, nil
	}
	return digestAnswer{Digest: local, Page: &fetched.Page}, nil
}

// handleFetch returns one page of this router's state.
func (p *Service) handleFetch(ctx context.Context, _ fleet.RouterID, payload []byte) (any, error) {
	var request fetchRequest
	if err := cbor.Unmarshal(payload, &request); err != nil {
		return nil, err
	}
	if !p.loaded.Load() {
		return nil, ErrNotReady
	}
	return p.readPage(ctx, request)
}

// reportDivergence counts and logs states that differ although both are
// complete up to the same revision.
func (p *Service) reportDivergence(from fleet.RouterID, local, remote Digest) {
	if local.consistentWith(remote) {
		return
	}
	p.counters.Diverged.Inc()
	event.SettingsDiverged.Log(p.config.Log).
		Str("router", string(from)).
		Uint64("revision", local.Complete).
		Send()
}
