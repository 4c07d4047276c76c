package entry

import (
	"slices"
	"time"

	"ragwortpond.example/ragwortpond/fleet"
	"ragwortpond.example/ragwortpond/outcome"
	"ragwortpond.example/ragwortpond/placement"
	"ragwortpond.example/ragwortpond/reason"
	"ragwortpond.example/ragwortpond/router/wire"
)

// candidate is a target for one attempt.
type candidate struct {
	placement.Step
	// redirected is set if a context token or a home's hint named the target.
	redirected bool
	// noRedirect is set if the chat's context is not available at the target
	// recorded for it, so that the home does not redirect there.
	noRedirect bool
	// wait is how long the attempt may queue; zero means not at all.
	wait time.Duration
}

// targetSelector selects the target of each attempt of a request, in this
// order: the context token's target, a redirect by a home, the plan's
// candidates, overflow targets, and finally queueing at one target after the
// other.
type targetSelector struct {
	entry  *Entry
	req    *Request
	picker *placement.Picker
	plan   placement.Plan
	// spread is the number of targets used by the prefix group.
	spread int
	index  int
	// hasToken is set if the caller sent an authentic context token.
	hasToken bool
	// nextOverride, if set, is tried before the plan: a hinted target, or the
	// same target again without a redirect.
	nextOverride *candidate
	// hintFollowed is set once a hint was followed; no further one is followed
	// until the plan starts over.
	hintFollowed bool
	// excluded holds the targets that the plan and hints skip because they
	// refused or failed. failed holds the subset that stays excluded after a
	// restart.
	excluded []fleet.TargetID
	failed   []fleet.TargetID
	rotation queueRotation
	// pickRequest is the request for which the plan was made. replans counts
	// the plans made after the first.
	pickRequest placement.Request
	replans     int
}

// maxReplans limits the plans made because a home was unavailable.
const maxReplans = 4

func (e *Entry) newSelector(req *Request) *targetSelector {
	now := e.cfg.Clock()
	picker := e.cfg.Targets.Picker()
	r := placement.Request{
		Service: req.Service, Chat: requestChatKey(req), Prefix: req.Prefix, Returning: req.Returning,
		Now: now, Random: e.cfg.Random(), Load: e.loads.inFlight,
	}
	if req.Kind == fleet.KindEngine {
		r.Spread = placement.GroupTargets(e.groups.observe(req, now), picker.TargetCount(req.Service))
		r.Context = e.contextTarget(req, now)
	}
	return &targetSelector{
		entry: e, req: req, picker: picker, plan: picker.Pick(r), spread: r.Spread, hasToken: r.Context != "", pickRequest: r,
	}
}

// next returns the next candidate, or false if none is left.
func (s *targetSelector) next() (candidate, bool) {
	if s.nextOverride != nil {
		c := *s.nextOverride
		s.nextOverride = nil
		return c, true
	}
	for s.index < s.plan.Len() {
		c := candidate{Step: s.plan.Step(s.index)}
		s.index++
		if s.isExcluded(c.Target.ID) {
			continue
		}
		c.redirected = c.Reason == placement.ByToken
		s.refreshHome(&c)
		return c, true
	}
	c, ok := s.rotation.next(s.entry.cfg.Clock(), s.req.Values.Queue.WaitMS.Duration())
	if ok {
		s.refreshHome(&c)
	}
	return c, ok
}

// refreshHome updates a candidate's home, since homes change while requests
// queue and while earlier attempts fail.
func (s *targetSelector) refreshHome(c *candidate) {
	_, home, ok := s.entry.cfg.Targets.Picker().Target(s.req.Service, c.Target.ID)
	if ok {
		c.Home = home
	}
}

// recordEnd updates the selection with the end of an attempt.
func (s *targetSelector) recordEnd(c candidate, end wire.End) {
	switch {
	case end.Complete():
		s.notifyAnchor(c)
	case end.Reason == reason.ContextElsewhere:
		s.followHint(c, end.Hint.Target)
	case end.Reason == reason.LoadBound:
		s.excluded = append(s.excluded, c.Target.ID)
		s.rotation.add(c, end.Hint, s.entry.cfg.Random())
	case c.wait > 0 && (end.Reason == reason.QueueTimeout || end.Reason == reason.NotHome):
		s.rotation.updateUtilization(c, end.Hint)
	case homeUnavailable(end) && s.replans < maxReplans:
		s.replan()
	case end.Reason == reason.TargetDown:
		s.entry.cfg.Targets.MarkDown(c.Target.ID)
		s.excluded = append(s.excluded, c.Target.ID)
	default:
		s.excluded = append(s.excluded, c.Target.ID)
	}
}

// homeUnavailable reports whether an attempt was not accepted because its home
// is leaving or unreachable. This says nothing about the target.
func homeUnavailable(end wire.End) bool {
	unavailable := end.Reason == reason.Draining || end.Reason == reason.HomeUnreachable
	return unavailable && end.Outcome == outcome.NotDispatched
}

// replan starts over with a plan for the current homes. The tracker excludes
// the home that was unavailable.
func (s *targetSelector) replan() {
	s.replans++
	s.picker = s.entry.cfg.Targets.Picker()
	s.plan = s.picker.Pick(s.pickRequest)
	s.index, s.nextOverride, s.hintFollowed, s.rotation = 0, nil, false, queueRotation{}
}

// restart starts the plan over after an attempt failed. Targets without
// capacity before may have some now; only those that failed stay excluded.
func (s *targetSelector) restart(failed fleet.TargetID) {
	s.failed = append(s.failed, failed)
	s.excluded = append([]fleet.TargetID(nil), s.failed...)
	s.index, s.nextOverride, s.hintFollowed, s.rotation = 0, nil, false, queueRotation{}
}

// hasAlternative reports whether the plan has another target to start over with if
// the attempt at the given one fails.
func (s *targetSelector) hasAlternative(current fleet.TargetID) bool {
	picker := s.entry.cfg.Targets.Picker()
	for i := range s.plan.Len() {
		planned := s.plan.Step(i)
		id := planned.Target.ID
		if planned.ContextOnly || id == current || slices.Contains(s.failed, id) {
			continue
		}
		if _, home, ok := picker.Target(s.req.Service, id); ok && home != nil {
			return true
		}
	}
	return false
}

// followHint makes the target named by a home the next candidate, once per
// request. If that target has already refused or failed, the same attempt is
// repeated with noRedirect set.
func (s *targetSelector) followHint(c candidate, target fleet.TargetID) {
	if target != "" && s.isExcluded(target) && !c.ContextOnly && !c.noRedirect {
		c.noRedirect = true
		s.nextOverride = &c
		return
	}
	if target == "" || s.hintFollowed || s.isExcluded(target) {
		return
	}
	planStep, ok := s.picker.RedirectStep(s.req.Service, target)
	if !ok {
		return
	}
	s.hintFollowed = true
	s.nextOverride = &candidate{Step: planStep, redirected: true}
}

// notifyAnchor sends the chat's new location to the home that is queried first
// when the chat returns without a token. It does nothing if the caller sent a
// valid context token, if a home's hint named the target, or if that home is
// also the target's home.
func (s *targetSelector) notifyAnchor(c candidate) {
	anchor, ok := s.plan.Anchor()
	if !ok || s.req.Kind != fleet.KindEngine || s.req.Chat == 0 || c.redirected || s.hasToken {
		return
	}
	if anchor.Target == c.Target || anchor.Home == nil || c.Home == nil || anchor.Home.ID == c.Home.ID {
		return
	}
	s.entry.cfg.Notifier.Notify(*anchor.Home, placement.ChatRecord{
		Chat: s.req.Chat, Target: c.Target.ID, Tokens: uint32(s.req.PromptTokens + s.req.AnswerTokens),
		LastSeen: uint32(s.entry.cfg.Clock().Unix()), Confirmed: true,
	})
}

func (s *targetSelector) isExcluded(id fleet.TargetID) bool {
	for _, r := range s.excluded {
		if r == id {
			return true
		}
	}
	return false
}
