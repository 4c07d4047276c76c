package propagate

import (
	"context"

	"ragwortpond.example/ragwortpond/fleet"
	"ragwortpond.example/ragwortpond/peer"
	"ragwortpond.example/ragwortpond/sleep"
)

// otherDomainOneIn is the mean number of digest exchanges of which one goes to
// another failure domain.
const otherDomainOneIn = 4

// call makes one peer call with the call timeout.
func (p *Service) call(ctx context.Context, to fleet.Router, method peer.Method, request, answer any) error {
	ctx, cancel := context.WithTimeout(ctx, p.config.Timing.Call)
	defer cancel()
	return p.config.PeerClient.Call(ctx, to.PeerAddr, method, request, answer)
}

// pushLoop pushes queued changes to the children of this router in the tree.
func (p *Service) pushLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case page := <-p.queuedPages:
			p.startPushes(ctx, page)
		}
	}
}

// pushPage pushes a page. If the receiver lacks earlier changes too, it then
// pushes all changes since the receiver's complete revision.
func (p *Service) pushPage(ctx context.Context, to fleet.Router, page Page) error {
	var answer pushAnswer
	if err := p.call(ctx, to, peer.MethodSettingsPush, page, &answer); err != nil {
		return err
	}
	if page.More || answer.Complete >= page.To {
		return nil
	}
	return p.pushChanges(ctx, to, answer.Complete)
}

// pushChanges pushes the changes after revision since to a router that is
// complete up to it. If they do not fit into one page, the receiver fetches the
// rest.
func (p *Service) pushChanges(ctx context.Context, to fleet.Router, since uint64) error {
	fetched, err := p.readPage(ctx, fetchRequest{Since: since, After: since})
	if err != nil || fetched.Full || fetched.Page.To < since {
		return err
	}
	var answer pushAnswer
	return p.call(ctx, to, peer.MethodSettingsPush, fetched.Page, &answer)
}

// maxQueuedPulls is the capacity of the queue of pulls.
const maxQueuedPulls = 8

// queuePull queues an exchange with a router that has more changes than fit
// into one page. If the queue is full, the request is dropped, and the periodic
// digest exchange fetches the changes.
func (p *Service) queuePull(from fleet.RouterID) {
	select {
	case p.queuedPulls <- from:
	default:
	}
}

// pullLoop fetches changes from routers that have pushed the first of several
// pages.
func (p *Service) pullLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case id := <-p.queuedPulls:
			p.pull(ctx, id)
		}
	}
}

// pull exchanges digests with a router if it is still a member.
func (p *Service) pull(ctx context.Context, id fleet.RouterID) {
	for _, m := range p.config.Members() {
		if m.ID == id {
			_ = p.exchangeDigests(ctx, m)
			return
		}
	}
}

// digestLoop periodically exchanges digests with a random router.
func (p *Service) digestLoop(ctx context.Context) {
	for sleep.For(ctx, p.jitter(p.config.Timing.Digest)) == nil {
		if to, ok := p.pickPeer(); ok {
			_ = p.exchangeDigests(ctx, to)
		}
	}
}

// pickPeer returns a random router for a digest exchange: a neighbour, or
// without neighbours one of the own failure domain, and one time in
// otherDomainOneIn one of another domain. It returns false if there is no other
// router.
func (p *Service) pickPeer() (fleet.Router, bool) {
	if p.config.Neighbours != nil {
		if candidates := p.config.Neighbours(); len(candidates) > 0 {
			return candidates[p.config.IntN(len(candidates))], true
		}
	}
	candidates, otherDomains := splitByDomain(p.config.Self, p.config.Members())
	if len(candidates) == 0 || (len(otherDomains) > 0 && p.config.IntN(otherDomainOneIn) == 0) {
		candidates = otherDomains
	}
	if len(candidates) == 0 {
		return fleet.Router{}, false
	}
	return candidates[p.config.IntN(len(candidates))], true
}

// exchangeDigests exchanges digests with a router. It pushes the changes that
// the other router lacks, or fetches and applies those that this one lacks.
func (p *Service) exchangeDigests(ctx context.Context, to fleet.Router) error {
	local, err := p.localDigest(ctx)
	if err != nil {
		return err
	}
	var answer digestAnswer
	if err := p.call(ctx, to, peer.MethodSettingsDigest, local, &answer); err != nil {
		return err
	}
	p.reportDivergence(to.ID, local, answer.Digest)
	if answer.Digest.Complete < local.Complete {
		return p.pushChanges(ctx, to, answer.Digest.Complete)
	}
	if answer.Full {
		return p.fetchState(ctx, to)
	}
	if answer.Page == nil {
		return nil
	}
	if answer.Page.More {
		return p.fetchChanges(ctx, to, local.Complete)
	}
	_, err = p.applyPage(ctx, sourceDigest, *answer.Page)
	return err
}

// fetchChanges fetches all changes after a revision from another router and
// applies them together.
func (p *Service) fetchChanges(ctx context.Context, from fleet.Router, since uint64) error {
	page, _, err := p.fetchPages(ctx, from, fetchRequest{Since: since, After: since})
	if err != nil {
		return err
	}
	_, err = p.applyPage(ctx, sourceFetch, page)
	return err
}

// fetchState fetches the whole state of another router and applies it in one
// update.
func (p *Service) fetchState(ctx context.Context, from fleet.Router) error {
	page, floor, err := p.fetchPages(ctx, from, fetchRequest{Whole: true})
	if err != nil {
		return err
	}
	full := NewState()
	full.Apply(page)
	full.tombstoneFloor = floor
	_, err = p.update(ctx, sourceFetch, func(s *State) []Entry { return s.ApplyFull(full) })
	return err
}

// fetchPages fetches all pages of a transfer and merges them into one. It also
// returns the sender's tombstone floor. It returns ErrInterrupted if the sender
// has pruned tombstones that the transfer needs, or if a page makes no
// progress.
func (p *Service) fetchPages(ctx context.Context, from fleet.Router, request fetchRequest) (Page, uint64, error) {
	merged := Page{From: request.Since}
	for {
		var answer fetchAnswer
		if err := p.call(ctx, from, peer.MethodSettingsFetch, request, &answer); err != nil {
			return Page{}, 0, err
		}
		if answer.Full {
			return Page{}, 0, ErrInterrupted
		}
		merged.Entries = append(merged.Entries, answer.Page.Entries...)
		merged.To = answer.Page.To
		if !answer.Page.More {
			return merged, answer.Floor, nil
		}
		if answer.Page.lastVersion() <= request.After {
			return Page{}, 0, ErrInterrupted
		}
		request = fetchRequest{Since: request.Since, After: answer.Page.lastVersion(), Floor: answer.Floor}
	}
}
