package entry

import (
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"ragwortpond.example/ragwortpond/fleet"
	"ragwortpond.example/ragwortpond/placement"
	"ragwortpond.example/ragwortpond/plain"
	"ragwortpond.example/ragwortpond/router/wire"
	"ragwortpond.example/ragwortpond/settings"
)

// contextHeader is the answer header that carries the context token.
const contextHeader = "Ragwort-Context"

// tokenKeyring caches the key ring for context tokens, built from a settings
// snapshot.
type tokenKeyring struct {
	current atomic.Pointer[cachedRing]
}

type cachedRing struct {
	snapshot *settings.Snapshot
	ring     *placement.TokenKeyring
}

func (t *tokenKeyring) forSnapshot(s *settings.Snapshot) *placement.TokenKeyring {
	if cached := t.current.Load(); cached != nil && cached.snapshot == s {
		return cached.ring
	}
	keys := make([]placement.TokenKey, 0, len(s.ContextKeys))
	for _, k := range s.ContextKeys {
		keys = append(keys, placement.TokenKey{ID: uint32(xxhash.Sum64String(k.ID)), Secret: []byte(k.Secret)})
	}
	cached := &cachedRing{snapshot: s, ring: placement.NewTokenKeyring(keys...)}
	t.current.Store(cached)
	return cached.ring
}

// contextTarget returns the target named by the request's context token, or ""
// if there is no valid token.
func (e *Entry) contextTarget(req *Request, now time.Time) fleet.TargetID {
	if req.Context == "" {
		return ""
	}
	ring := e.ring.forSnapshot(e.cfg.Snapshot())
	token, err := ring.Verify(req.Chat, req.Context, now, req.Values.Placement.ContextTTLMS.Duration())
	if err != nil {
		return ""
	}
	return token.Target
}

// tokenSink adds the context token to the head of an answer.
type tokenSink struct {
	wire.Sink
	entry  *Entry
	req    *Request
	target fleet.TargetID
}

func (e *Entry) addContextToken(req *Request, cand candidate, sink wire.Sink) wire.Sink {
	if req.Kind != fleet.KindEngine || req.Chat == 0 {
		return sink
	}
	return &tokenSink{Sink: sink, entry: e, req: req, target: cand.Target.ID}
}

// Head implements wire.Sink.
func (t *tokenSink) Head(h wire.Head) error {
	ring := t.entry.ring.forSnapshot(t.entry.cfg.Snapshot())
	heldTokens := uint32(t.req.PromptTokens + t.req.AnswerTokens)
	token, err := ring.Sign(t.req.Chat, placement.Token{Target: t.target, At: t.entry.cfg.Clock(), Tokens: heldTokens})
	if err == nil {
		h.Header = append(h.Header, plain.Field{Name: contextHeader, Value: token})
	}
	return t.Sink.Head(h)
}
