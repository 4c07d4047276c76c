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
	// probeParallel bounds the routers asked at once.
	probeParallel = 32
	// probeInterval is the time between two questions to the same router.
	probeInterval = 50 * time.Millisecond
)

// RouterRevision is the revision in force on one router.
type RouterRevision struct {
	Router   fleet.RouterID   `json:"router"`
	Domain   fleet.DomainName `json:"failure_domain"`
	Revision uint64           `json:"revision"`
	// Fault says why the router's revision is not known; empty when it is.
	Fault string `json:"fault,omitempty"`
}

// InForce says which live routers have a revision in force.
type InForce struct {
	Revision uint64 `json:"revision"`
	// InForce is true when every live router has the revision.
	InForce bool             `json:"in_force"`
	Routers []RouterRevision `json:"routers"`
}

// WaitInForce asks every live router until all have the revision in force or
// ctx ends, and says how far each one is. Routers that leave the members
// meanwhile are left out.
func (p *Service) WaitInForce(ctx context.Context, revision uint64) InForce {
	members := p.config.Members()
	found := make([]RouterRevision, len(members))
	slots := make(chan struct{}, probeParallel)
	var asked sync.WaitGroup
	for i, m := range members {
		slots <- struct{}{}
		asked.Go(func() {
			found[i] = p.waitFor(ctx, m, revision)
			<-slots
		})
	}
	asked.Wait()
	found = slices.DeleteFunc(found, func(r RouterRevision) bool { return r.behind(revision) && !p.isMember(r.Router) })
	slices.SortFunc(found, func(a, b RouterRevision) int { return cmp.Compare(a.Router, b.Router) })
	behind := slices.ContainsFunc(found, func(r RouterRevision) bool { return r.behind(revision) })
	return InForce{Revision: revision, InForce: !behind, Routers: found}
}

func (r RouterRevision) behind(revision uint64) bool {
	return r.Fault != "" || r.Revision < revision
}

func (p *Service) isMember(id fleet.RouterID) bool {
	return slices.ContainsFunc(p.config.Members(), func(m fleet.Router) bool { return m.ID == id })
}

// waitFor asks one router until it has the revision, has left, or ctx ends.
func (p *Service) waitFor(ctx context.Context, m fleet.Router, revision uint64) RouterRevision {
	for {
		found := p.probe(ctx, m)
		if !found.behind(revision) || !p.isMember(m.ID) {
			return found
		}
		if sleep.For(ctx, probeInterval) != nil {
			return found
		}
	}
}

// probe asks one router for its revision.
func (p *Service) probe(ctx context.Context, m fleet.Router) RouterRevision {
	found := RouterRevision{Router: m.ID, Domain: m.Domain}
	if m.ID == p.config.Self.ID {
		found.Revision = p.Revision()
		return found
	}
	var answer digestAnswer
	err := p.call(ctx, m, peer.MethodSettingsDigest, Digest{Probe: true}, &answer)
	if err != nil {
		found.Fault = err.Error()
		return found
	}
	found.Revision = answer.Digest.Complete
	return found
}
