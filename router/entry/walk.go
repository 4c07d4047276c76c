package entry

import (
	"time"

	"ragwortpond.example/ragwortpond/fleet"
	"ragwortpond.example/ragwortpond/outcome"
	"ragwortpond.example/ragwortpond/placement"
	"ragwortpond.example/ragwortpond/reason"
	"ragwortpond.example/ragwortpond/router/wire"
)

// step is one attempt of a walk.
type step struct {
	placement.Step
	// redirected says that a token or a home named the target.
	redirected bool
	// insist says that the chat's context cannot be had where it is noted, so
	// that the home does not redirect there.
	insist bool
	// wait is how long the attempt may queue; zero means that it may not.
	wait time.Duration
}

// walk follows a request's plan: token, redirect by a home, candidates,
// overflow, and at last a queue.
type walk struct {
	entry  *Entry
	req    *Request
	picker *placement.Picker
	plan   placement.Plan
	// spread is the number of targets that the prefix group uses.
	spread int
	index  int
	// token says that the caller brought an authentic context token.
	token bool
	// redirect is the step that a home's hint asks for next.
	redirect *step
	// hinted says that a hint was followed; only one is.
	hinted bool
	// refused are the targets that refused unconditionally, failed those at
	// which an attempt failed.
	refused []fleet.TargetID
	failed  []fleet.TargetID
	rounds  rounds
	// asked is what the plan was made for; replans counts the plans after the
	// first.
	asked   placement.Request
	replans int
}

// maxReplans bounds the plans made because a home was gone.
const maxReplans = 4

func (e *Entry) newWalk(req *Request) *walk {
	now := e.cfg.Clock()
	picker := e.cfg.Targets.Picker()
	r := placement.Request{
		Service: req.Service, Chat: chatOf(req), Prefix: req.Prefix, Returning: req.Returning,
		Now: now, Random: e.cfg.Random(), Load: e.loads.of,
	}
	if req.Kind == fleet.KindEngine {
		r.Spread = placement.Spread(e.groups.observe(req, now), picker.Size(req.Service))
		r.Context = e.contextOf(req, now)
	}
	return &walk{
		entry: e, req: req, picker: picker, plan: picker.Pick(r), spread: r.Spread, token: r.Context != "", asked: r,
	}
}

// next returns the next step, and false when none is left.
func (w *walk) next() (step, bool) {
	if w.redirect != nil {
		s := *w.redirect
		w.redirect = nil
		return s, true
	}
	for w.index < w.plan.Len() {
		s := step{Step: w.plan.Step(w.index)}
		w.index++
		if w.hasRefused(s.Target.ID) {
			continue
		}
		s.redirected = s.Why == placement.ByToken
		return s, true
	}
	s, ok := w.rounds.next(w.entry.cfg.Clock(), w.req.Values.Queue.WaitMS.Duration())
	if ok {
		w.rehome(&s)
	}
	return s, ok
}

// rehome brings a step's home up to date, since homes change while requests
// queue.
func (w *walk) rehome(s *step) {
	_, home, ok := w.entry.cfg.Targets.Picker().Target(w.req.Service, s.Target.ID)
	if ok {
		s.Home = home
	}
}

// ended takes what became of a step.
func (w *walk) ended(s step, end wire.End) {
	switch {
	case end.Whole():
		w.note(s)
	case end.Reason == reason.ContextElsewhere:
		w.follow(s, end.Hint.Target)
	case end.Reason == reason.LoadBound:
		w.refused = append(w.refused, s.Target.ID)
		w.rounds.add(s, end.Hint, w.entry.cfg.Random())
	case s.wait > 0 && (end.Reason == reason.QueueTimeout || end.Reason == reason.NotHome):
		w.rounds.timedOut(s, end.Hint)
	case homeGone(end) && w.replans < maxReplans:
		w.replan()
	case end.Reason == reason.TargetDown:
		w.entry.cfg.Targets.Down(s.Target.ID)
		w.refused = append(w.refused, s.Target.ID)
	default:
		w.refused = append(w.refused, s.Target.ID)
	}
}

// homeGone reports whether an attempt was not taken because its home is leaving
// or lost; its target is as good as before.
func homeGone(end wire.End) bool {
	gone := end.Reason == reason.Draining || end.Reason == reason.HomeUnreachable
	return gone && end.Outcome == outcome.NotDispatched
}

// replan begins anew with the homes as they are now; the tracker leaves out the
// one that was gone.
func (w *walk) replan() {
	w.replans++
	w.picker = w.entry.cfg.Targets.Picker()
	w.plan = w.picker.Pick(w.asked)
	w.index, w.redirect, w.hinted, w.rounds = 0, nil, false, rounds{}
}

// again begins the plan anew after an attempt failed: targets that had no room
// before may have some now, and only those that failed are left out.
func (w *walk) again(failed fleet.TargetID) {
	w.failed = append(w.failed, failed)
	w.refused = append([]fleet.TargetID(nil), w.failed...)
	w.index, w.redirect, w.hinted, w.rounds = 0, nil, false, rounds{}
}

// follow makes the target that a home named the next step, once in a walk. Where
// that target has refused or failed, the step is repeated and insisted on.
func (w *walk) follow(s step, target fleet.TargetID) {
	if target != "" && w.hasRefused(target) && !s.ContextOnly && !s.insist {
		s.insist = true
		w.redirect = &s
		return
	}
	if target == "" || w.hinted || w.hasRefused(target) {
		return
	}
	found, ok := w.picker.Redirect(w.req.Service, target)
	if !ok {
		return
	}
	w.hinted = true
	w.redirect = &step{Step: found, redirected: true}
}

// note tells the home that is asked first when the chat returns without a token
// where its context is now, unless it sent the chat there itself.
func (w *walk) note(s step) {
	anchor, ok := w.plan.Anchor()
	if !ok || w.req.Kind != fleet.KindEngine || w.req.Chat == 0 || s.redirected || w.token {
		return
	}
	if anchor.Target == s.Target || anchor.Home == nil || s.Home == nil || anchor.Home.ID == s.Home.ID {
		return
	}
	w.entry.cfg.Notifier.Notify(*anchor.Home, placement.ChatNote{
		Chat: w.req.Chat, Target: s.Target.ID, Held: uint32(w.req.PromptTokens + w.req.AnswerTokens),
		Seen: uint32(w.entry.cfg.Clock().Unix()), Sure: true,
	})
}

func (w *walk) hasRefused(id fleet.TargetID) bool {
	for _, r := range w.refused {
		if r == id {
			return true
		}
	}
	return false
}
