package propagate

import (
	"context"

	"ragwortpond.example/ragwortpond/fleet"
	"ragwortpond.example/ragwortpond/peer"
	"ragwortpond.example/ragwortpond/task"
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

// pushChildren sends a page to all children at once and waits for them. A
// failed push is left to the digest exchange.
func (p *Service) pushChildren(ctx context.Context, page Page) {
	below := children(p.config.Self, p.config.Members(), p.config.Watchers)
	done := make(chan struct{}, len(below))
	for _, to := range below {
		go func() {
			_ = p.push(ctx, to, page)
			done <- struct{}{}
		}()
	}
	for range below {
		<-done
	}
}

// push sends a page, and then what a receiver that has missed more still lacks.
func (p *Service) push(ctx context.Context, to fleet.Router, page Page) error {
	var answer pushAnswer
	if err := p.call(ctx, to, peer.MethodSettingsPush, page, &answer); err != nil {
		return err
	}
	if answer.Complete >= page.To && !page.More {
		return nil
	}
	return p.pushFrom(ctx, to, answer.Complete)
}

// pushFrom sends page after page what a router complete at since lacks.
func (p *Service) pushFrom(ctx context.Context, to fleet.Router, since uint64) error {
	for {
		fetched, err := p.fetchPage(ctx, fetchRequest{Since: since})
		if err != nil || fetched.Full || fetched.Page.To <= since {
			return err
		}
		var answer pushAnswer
		if err := p.call(ctx, to, peer.MethodSettingsPush, fetched.Page, &answer); err != nil {
			return err
		}
		if !fetched.Page.More || answer.Complete <= since {
			return nil
		}
		since = answer.Complete
	}
}

// digestLoop exchanges digests with random routers.
func (p *Service) digestLoop(ctx context.Context) {
	for task.Sleep(ctx, p.jitter(p.config.Timing.Digest)) == nil {
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
	r, err := p.apply(ctx, wayDigest, *answer.Page)
	if err != nil || !answer.Page.More {
		return err
	}
	return p.fetchFrom(ctx, to, r.after)
}

// fetchFrom takes page after page what another router has above a revision.
func (p *Service) fetchFrom(ctx context.Context, from fleet.Router, since uint64) error {
	for {
		var answer fetchAnswer
		if err := p.call(ctx, from, peer.MethodSettingsFetch, fetchRequest{Since: since}, &answer); err != nil {
			return err
		}
		if answer.Full {
			return p.fetchAll(ctx, from)
		}
		r, err := p.apply(ctx, wayFetch, answer.Page)
		if err != nil || !answer.Page.More || r.after <= since {
			return err
		}
		since = r.after
	}
}

// fetchAll takes the whole state of another router and puts it in force at
// once. It starts again if the sender forgets deletions meanwhile.
func (p *Service) fetchAll(ctx context.Context, from fleet.Router) error {
	full := NewState()
	request := fetchRequest{Whole: true}
	for {
		var answer fetchAnswer
		if err := p.call(ctx, from, peer.MethodSettingsFetch, request, &answer); err != nil {
			return err
		}
		if answer.Full {
			full, request = NewState(), fetchRequest{Whole: true}
			continue
		}
		full.Apply(answer.Page)
		full.floor = answer.Floor
		request = fetchRequest{Since: full.complete, Floor: answer.Floor}
		if !answer.Page.More {
			break
		}
	}
	_, err := p.update(ctx, wayFetch, func(s *State) []Entry { return s.ApplyFull(full) })
	return err
}
