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
	// its answer at an engine with a full batch.
	firstNeed = time.Second
	tokenNeed = 8 * time.Millisecond
	// unknownAnswer is the size in tokens of an answer whose request does not
	// bound it.
	unknownAnswer = 1000
)

// MayFinish reports whether a request that arrives while the router stops can be
// expected to end in the time that is left. answerTokens bounds the answer of a
// stream; zero means that its size is not known.
//
// A router that is told to stop still gets requests, over kept connections and
// where its neighbours are stopping too; refusing them all loses those whose
// second try meets another stopping router.
func MayFinish(r *catalog.Route, answerTokens int, left time.Duration) bool {
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
	return left >= need
}
