package admission

import (
	"time"

	"ragwortpond.example/ragwortpond/catalog"
)

// Times that requests take at most, as a rule.
const (
	// plainNeed covers a plain call with a second attempt.
	plainNeed = 1600 * time.Millisecond
	// firstNeed covers the time to a stream's first event, tokenNeed one token of
	// its answer at a busy engine.
	firstNeed = time.Second
	tokenNeed = 5 * time.Millisecond
	// unknownAnswer is the size in tokens of an answer whose request does not
	// bound it.
	unknownAnswer = 1000
)

// Stop is the course of a planned stop.
type Stop struct {
	// Leave is when the platform sends no more clients here; until then all
	// requests are taken.
	Leave time.Time
	// End is the end of the process.
	End time.Time
}

// Takes reports whether a request that arrives while the router stops is served:
// after Leave only if it can be expected to end in time. answerTokens bounds the
// answer of a stream; zero means that its size is not known.
//
// A router that is told to stop still gets requests, over kept connections and
// where its neighbours are stopping too; refusing them all loses those whose
// second try meets another stopping router.
func (s Stop) Takes(r *catalog.Route, answerTokens int, now time.Time) bool {
	if now.Before(s.Leave) {
		return true
	}
	need := plainNeed
	if r.Stream {
		if answerTokens <= 0 {
			answerTokens = unknownAnswer
		}
		need = firstNeed + time.Duration(answerTokens)*tokenNeed
	}
	if r.Timeout > 0 {
		need = min(need, r.Timeout)
	}
	return s.End.Sub(now) >= need
}
