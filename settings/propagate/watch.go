package propagate

import (
	"context"
	"errors"
	"time"

	"ragwortpond.example/ragwortpond/event"
	"ragwortpond.example/ragwortpond/objectapi"
	"ragwortpond.example/ragwortpond/settings"
	"ragwortpond.example/ragwortpond/sleep"
)

// watchLoop holds the watch on the platform while this router is a watcher.
func (p *Service) watchLoop(ctx context.Context) {
	failures := backoff{first: p.config.Timing.Retry}
	for ctx.Err() == nil {
		if !p.watching() {
			_ = sleep.For(ctx, p.config.Timing.Role)
			continue
		}
		err := p.watchAsWatcher(ctx)
		if err == nil || ctx.Err() != nil {
			failures.reset()
			continue
		}
		wait, first := failures.fail()
		if first {
			event.SettingsWatch.Log(p.config.Log).Err(err).Send()
		}
		_ = sleep.For(ctx, p.jitter(wait))
	}
}

func (p *Service) watching() bool {
	return isWatcher(p.config.Self, p.config.Members(), p.config.Watchers)
}

// watchAsWatcher runs one watch and gives it up when the role is lost.
func (p *Service) watchAsWatcher(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	ended := make(chan error, 1)
	go func() { ended <- p.watchOnce(ctx, p.config.Timing.Watch) }()
	ticker := time.NewTicker(p.config.Timing.Role)
	defer ticker.Stop()
	for {
		select {
		case err := <-ended:
			return err
		case <-ticker.C:
			if !p.watching() {
				cancel()
				<-ended
				return nil
			}
		}
	}
}

// watchOnce waits for changes after the own revision and applies them. If the
// platform no longer holds that revision, it lists everything instead.
func (p *Service) watchOnce(ctx context.Context, wait time.Duration) error {
	from := p.Revision()
	changes, to, err := p.config.Store.Watch(ctx, settings.Kinds(), from, wait)
	if errors.Is(err, objectapi.ErrCompacted) {
		return p.list(ctx)
	}
	if err != nil {
		return err
	}
	_, err = p.apply(ctx, wayWatch, pageOf(changes, from, to))
	return err
}

func pageOf(changes []objectapi.Change, from, to uint64) Page {
	page := Page{From: from, To: to}
	for _, c := range changes {
		page.Entries = append(page.Entries, Entry{
			Kind: c.Object.Kind, Name: c.Object.Name, Version: c.Object.Version, Data: c.Object.Data, Deleted: c.Deleted,
		})
	}
	return page
}

// list reads every kind from the platform and applies them together.
func (p *Service) list(ctx context.Context) error {
	var listings []Listing
	for _, kind := range settings.Kinds() {
		objects, revision, err := p.config.Store.List(ctx, kind)
		if err != nil {
			return err
		}
		listings = append(listings, Listing{Kind: kind, Objects: objects, Revision: revision})
	}
	_, err := p.update(ctx, wayList, func(s *State) []Entry { return s.ApplyListings(listings) })
	return err
}
