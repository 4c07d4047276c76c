package propagate

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"ragwortpond.example/ragwortpond/fleet"
	"ragwortpond.example/ragwortpond/peer"
	"ragwortpond.example/ragwortpond/sleep"
)

const (
	// maxConcurrentProbes is the maximum number of routers probed at the same
	// time.
	maxConcurrentProbes = 32
	// probeInterval is the time between two probes of the same router.
	probeInterval = 50 * time.Millisecond
)

// RouterRevision is the revision in force on one router.
type RouterRevision struct {
	Router   fleet.RouterID   `json:"router"`
	Domain   fleet.DomainName `json:"failure_domain"`
	Revision uint64           `json:"revision"`
	// Error is the error that prevented reading the router's revision; empty if
	// there was none.
	Error string `json:"fault,omitempty"`
}

// InForceReport reports which live routers have a revision in force.
type InForceReport struct {
	Revision uint64 `json:"revision"`
	// InForce is true when every live router has the revision.
	InForce bool             `json:"in_force"`
	Routers []RouterRevision `json:"routers"`
}

// WaitInForce probes every live router until all have the revision in force or
// ctx ends, and returns the revision of each. Routers that are behind and no
// longer members are omitted.
func (p *Service) WaitInForce(ctx context.Context, revision uint64) InForceReport {
	members := p.config.Members()
	revisions := make([]RouterRevision, len(members))
	slots := make(chan struct{}, maxConcurrentProbes)
	var probes sync.WaitGroup
	for i, m := range members {
		slots <- struct{}{}
		probes.Go(func() {
			revisions[i] = p.waitForRouter(ctx, m, revision)
			<-slots
		})
	}
	probes.Wait()
	revisions = slices.DeleteFunc(revisions, func(r RouterRevision) bool { return r.behind(revision) && !p.isMember(r.Router) })
	slices.SortFunc(revisions, func(a, b RouterRevision) int { return cmp.Compare(a.Router, b.Router) })
	behind := slices.ContainsFunc(revisions, func(r RouterRevision) bool { return r.behind(revision) })
	return InForceReport{Revision: revision, InForce: !behind, Routers: revisions}
}

// behind reports whether the router's revision is lower than the given one or
// could not be read.
func (r RouterRevision) behind(revision uint64) bool {
	return r.Error != "" || r.Revision < revision
}

func (p *Service) isMember(id fleet.RouterID) bool {
	return slices.ContainsFunc(p.config.Members(), func(m fleet.Router) bool { return m.ID == id })
}

// waitForRouter probes one router until it has the revision, is no longer a
// member, or ctx ends.
func (p *Service) waitForRouter(ctx context.Context, m fleet.Router, revision uint64) RouterRevision {
	for {
		r := p.probeRevision(ctx, m)
		if !r.behind(revision) || !p.isMember(m.ID) {
			return r
		}
		if sleep.For(ctx, probeInterval) != nil {
			return r
		}
	}
}

// probeRevision returns the revision in force on one router.
func (p *Service) probeRevision(ctx context.Context, m fleet.Router) RouterRevision {
	r := RouterRevision{Router: m.ID, Domain: m.Domain}
	if m.ID == p.config.Self.ID {
		r.Revision = p.Revision()
		return r
	}
	var answer digestAnswer
	err := p.call(ctx, m, peer.MethodSettingsDigest, Digest{Probe: true}, &answer)
	if err != nil {
		r.Error = err.Error()
		return r
	}
	r.Revision = answer.Digest.Complete
	return r
}
