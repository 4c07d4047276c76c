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

// watchLoop watches the platform while this router is a watcher, and retries
// failed watches with backoff.
func (p *Service) watchLoop(ctx context.Context) {
	failures := backoff{initial: p.config.Timing.Retry}
	for ctx.Err() == nil {
		if !p.isWatching() {
			_ = sleep.For(ctx, p.config.Timing.Role)
			continue
		}
		err := p.watchUntilRoleLost(ctx)
		if err == nil || ctx.Err() != nil {
			failures.reset()
			continue
		}
		wait, first := failures.fail()
		if first {
			event.SettingsWatchFailed.Log(p.config.Log).Err(err).Send()
		}
		_ = sleep.For(ctx, p.jitter(wait))
	}
}

// isWatching reports whether this router has the role of a watcher.
func (p *Service) isWatching() bool {
	return isWatcher(p.config.Self, p.config.Members(), p.config.Watchers)
}

// watchUntilRoleLost runs one watch. It cancels the watch and returns nil when
// this router is no longer a watcher.
func (p *Service) watchUntilRoleLost(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	done := make(chan error, 1)
	go func() { done <- p.watchOnce(ctx, p.config.Timing.Watch) }()
	ticker := time.NewTicker(p.config.Timing.Role)
	defer ticker.Stop()
	for {
		select {
		case err := <-done:
			return err
		case <-ticker.C:
			if !p.isWatching() {
				cancel()
				<-done
				return nil
			}
		}
	}
}

// watchOnce waits for changes after this router's revision and applies them. If
// the platform has compacted that revision, it lists all objects instead.
func (p *Service) watchOnce(ctx context.Context, wait time.Duration) error {
	from := p.Revision()
	changes, to, err := p.config.Store.Watch(ctx, settings.Kinds(), from, wait)
	if errors.Is(err, objectapi.ErrCompacted) {
		return p.listAll(ctx)
	}
	if err != nil {
		return err
	}
	_, err = p.applyPage(ctx, sourceWatch, pageFromChanges(changes, from, to))
	return err
}

func pageFromChanges(changes []objectapi.Change, from, to uint64) Page {
	page := Page{From: from, To: to}
	for _, c := range changes {
		page.Entries = append(page.Entries, Entry{
			Kind: c.Object.Kind, Name: c.Object.Name, Version: c.Object.Version, Data: c.Object.Data, Deleted: c.Deleted,
		})
	}
	return page
}

// listAll lists the objects of every kind on the platform and applies the
// listings together.
func (p *Service) listAll(ctx context.Context) error {
	var listings []Listing
	for _, kind := range settings.Kinds() {
		objects, revision, err := p.config.Store.List(ctx, kind)
		if err != nil {
			return err
		}
		listings = append(listings, Listing{Kind: kind, Objects: objects, Revision: revision})
	}
	_, err := p.update(ctx, sourceList, func(s *State) []Entry { return s.ApplyListings(listings) })
	return err
}
