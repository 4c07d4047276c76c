package entry

import (
	"ragwortpond.example/ragwortpond/fleet"
	"ragwortpond.example/ragwortpond/router/wire"
)

// candidate is one target to try.
type candidate struct {
	target fleet.Target
	// wait says that the home may queue the attempt.
	wait bool
	// redirected says that the target was chosen from a home's hint.
	redirected bool
}

// walk yields a request's candidates one after another.
type walk struct {
	left []fleet.Target
}

func (e *Entry) newWalk(req *Request) walk {
	return walk{left: e.cfg.Policy.Candidates(req, e.cfg.Snapshot().Targets[req.Service])}
}

// next returns the candidate to try after an attempt that ended with hint.
func (w *walk) next(_ wire.Hint) (candidate, bool) {
	if len(w.left) == 0 {
		return candidate{}, false
	}
	c := candidate{target: w.left[0]}
	w.left = w.left[1:]
	return c, true
}
