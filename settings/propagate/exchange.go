package propagate

import (
	"context"

	"ragwortpond.example/ragwortpond/fleet"
	"ragwortpond.example/ragwortpond/peer"
	"ragwortpond.example/ragwortpond/sleep"
)

// One digest exchange in farEvery goes to another failure domain.
const farEvery = 4

func (p *Service) call(ctx context.Context, to fleet.Router, method peer.Method, request, answer any) error {
	ctx, cancel := context.WithTimeout(ctx, p.config.Timing.Call)
	defer cancel()
	return p.config.Caller.Call(ctx, to.PeerAddr, method, request, answer)
}

// pushLoop passes changes on to the routers below this one.
func (p *Service) pushLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case page := <-p.outbox:
			p.pushChildren(ctx, page)
		}
	}
}

// push sends a page, and then what a receiver that has missed more still lacks.
func (p *Service) push(ctx context.Context, to fleet.Router, page Page) error {
	var answer pushAnswer
	if err := p.call(ctx, to, peer.MethodSettingsPush, page, &answer); err != nil {
		return err
	}
	if page.More || answer.Complete >= page.To {
		return nil
	}
	return p.pushFrom(ctx, to, answer.Complete)
}

// pushFrom sends what a router complete at since lacks. If that is more than a
// page, the receiver fetches the rest.
func (p *Service) pushFrom(ctx context.Context, to fleet.Router, since uint64) error {
	fetched, err := p.fetchPage(ctx, fetchRequest{Since: since, After: since})
	if err != nil || fetched.Full || fetched.Page.To < since {
		return err
	}
	var answer pushAnswer
	return p.call(ctx, to, peer.MethodSettingsPush, fetched.Page, &answer)
}

// pullsWaiting bounds the routers that wait to be asked.
const pullsWaiting = 8

// requestPull asks for an exchange with a router that has more than a page;
// further requests are left to the digest exchange.
func (p *Service) requestPull(from fleet.RouterID) {
	select {
	case p.pulls <- from:
	default:
	}
}

// pullLoop fetches from routers that have pushed the first of several pages.
func (p *Service) pullLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case id := <-p.pulls:
			p.pull(ctx, id)
		}
	}
}

func (p *Service) pull(ctx context.Context, id fleet.RouterID) {
	for _, m := range p.config.Members() {
		if m.ID == id {
			_ = p.exchange(ctx, m)
			return
		}
	}
}

// digestLoop exchanges digests with random routers.
func (p *Service) digestLoop(ctx context.Context) {
	for sleep.For(ctx, p.jitter(p.config.Timing.Digest)) == nil {
		if to, ok := p.pick(); ok {
			_ = p.exchange(ctx, to)
		}
	}
}

// pick chooses a router for a digest exchange.
func (p *Service) pick() (fleet.Router, bool) {
	if p.config.Neighbours != nil {
		if near := p.config.Neighbours(); len(near) > 0 {
			return near[p.config.IntN(len(near))], true
		}
	}
	near, far := others(p.config.Self, p.config.Members())
	if len(near) == 0 || (len(far) > 0 && p.config.IntN(farEvery) == 0) {
		near = far
	}
	if len(near) == 0 {
		return fleet.Router{}, false
	}
	return near[p.config.IntN(len(near))], true
}

// exchange compares digests with a router, takes what it has and gives what it
// lacks.
func (p *Service) exchange(ctx context.Context, to fleet.Router) error {
	own, err := p.digest(ctx)
	if err != nil {
		return err
	}
	var answer digestAnswer
	if err := p.call(ctx, to, peer.MethodSettingsDigest, own, &answer); err != nil {
		return err
	}
	p.compare(to.ID, own, answer.Digest)
	if answer.Digest.Complete < own.Complete {
		return p.pushFrom(ctx, to, answer.Digest.Complete)
	}
	if answer.Full {
		return p.fetchAll(ctx, to)
	}
	if answer.Page == nil {
		return nil
	}
	if answer.Page.More {
		return p.fetchFrom(ctx, to, own.Complete)
	}
	_, err = p.apply(ctx, wayDigest, *answer.Page)
	return err
}

// fetchFrom takes what another router has above a revision and puts it in force
// at once.
func (p *Service) fetchFrom(ctx context.Context, from fleet.Router, since uint64) error {
	page, _, err := p.collect(ctx, from, fetchRequest{Since: since, After: since})
	if err != nil {
		return err
	}
	_, err = p.apply(ctx, wayFetch, page)
	return err
}

// fetchAll takes the whole state of another router and puts it in force at
// once.
func (p *Service) fetchAll(ctx context.Context, from fleet.Router) error {
	page, floor, err := p.collect(ctx, from, fetchRequest{Whole: true})
	if err != nil {
		return err
	}
	full := NewState()
	full.Apply(page)
	full.floor = floor
	_, err = p.update(ctx, wayFetch, func(s *State) []Entry { return s.ApplyFull(full) })
	return err
}

// collect reads all pages of a transfer and joins them into one. It fails if the
// sender forgets deletions meanwhile or does not get on.
func (p *Service) collect(ctx context.Context, from fleet.Router, request fetchRequest) (Page, uint64, error) {
	joined := Page{From: request.Since}
	for {
		var answer fetchAnswer
		if err := p.call(ctx, from, peer.MethodSettingsFetch, request, &answer); err != nil {
			return Page{}, 0, err
		}
		if answer.Full {
			return Page{}, 0, ErrInterrupted
		}
		joined.Entries = append(joined.Entries, answer.Page.Entries...)
		joined.To = answer.Page.To
		if !answer.Page.More {
			return joined, answer.Floor, nil
		}
		if answer.Page.last() <= request.After {
			return Page{}, 0, ErrInterrupted
		}
		request = fetchRequest{Since: request.Since, After: answer.Page.last(), Floor: answer.Floor}
	}
}
