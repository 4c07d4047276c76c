package router

import (
	"context"
	"sync"
	"time"

	"ragwortpond.example/ragwortpond/fleet"
	"ragwortpond.example/ragwortpond/operator"
	"ragwortpond.example/ragwortpond/peer"
)

const (
	statusTimeout = time.Second
	// maxConcurrentStatusCalls limits the routers queried concurrently.
	maxConcurrentStatusCalls = 32
)

// statusRequest requests a router's number of attempts in flight to each
// target.
type statusRequest struct {
	Targets []fleet.TargetID `cbor:"1,keyasint"`
}

// statusAnswer holds the counts in the order of the request.
type statusAnswer struct {
	InFlight []int `cbor:"1,keyasint"`
}

func (r *Router) registerStatus(mux *peer.Mux) {
	mux.HandleCall(peer.MethodStatus, func(_ context.Context, _ fleet.RouterID, payload []byte) (any, error) {
		var request statusRequest
		if err := peer.Decode(payload, &request); err != nil {
			return nil, err
		}
		return r.countInFlight(request), nil
	})
}

func (r *Router) countInFlight(request statusRequest) statusAnswer {
	answer := statusAnswer{InFlight: make([]int, len(request.Targets))}
	for i, id := range request.Targets {
		answer.InFlight[i] = r.gate.InFlight(id)
	}
	return answer
}

// inFlight sums the attempts in flight to each target over the live routers of
// the targets' failure domains, any of which may be or have been the target's
// home.
func (r *Router) inFlight(ctx context.Context, targets []fleet.Target) operator.InFlightCounts {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	request := statusRequest{}
	domains := map[fleet.DomainName]bool{}
	for _, t := range targets {
		request.Targets = append(request.Targets, t.ID)
		domains[t.Domain] = true
	}
	sum := operator.InFlightCounts{Attempts: map[fleet.TargetID]int{}}
	var mu sync.Mutex
	var calls sync.WaitGroup
	slots := make(chan struct{}, maxConcurrentStatusCalls)
	for _, m := range r.members.View().Routers {
		if !domains[m.Domain] {
			continue
		}
		slots <- struct{}{}
		calls.Go(func() {
			answer, err := r.fetchStatus(ctx, m, request)
			<-slots
			mu.Lock()
			defer mu.Unlock()
			if err != nil || len(answer.InFlight) != len(request.Targets) {
				sum.MissingRouters = append(sum.MissingRouters, m.ID)
				return
			}
			for i, id := range request.Targets {
				sum.Attempts[id] += answer.InFlight[i]
			}
		})
	}
	calls.Wait()
	return sum
}

func (r *Router) fetchStatus(ctx context.Context, m fleet.Router, request statusRequest) (statusAnswer, error) {
	if m.ID == r.cfg.Self.ID {
		return r.countInFlight(request), nil
	}
	var answer statusAnswer
	err := r.node.Call(ctx, m.PeerAddr, peer.MethodStatus, request, &answer)
	return answer, err
}
