package entry

import (
	"context"
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"
	"encoding/hex"
	"strings"

	"ragwortpond.example/ragwortpond/fleet"
	"ragwortpond.example/ragwortpond/plain"
	"ragwortpond.example/ragwortpond/reason"
	"ragwortpond.example/ragwortpond/router/wire"
	"ragwortpond.example/ragwortpond/settings"
)

// HeaderResume is the header with the resume token, both on the answer to a
// stream request and on a request that resumes the stream.
const HeaderResume = "Ragwort-Resume"

const resumeSeparator = "."

// newResumeToken returns the token with which a caller can resume an attempt's
// stream through any router, or "" if no context key is configured. It contains
// the attempt, the target, and a MAC that binds both to the chat and thereby to
// the account.
func newResumeToken(s *settings.Snapshot, chat fleet.ChatKey, attempt fleet.AttemptID, target fleet.TargetID) string {
	if len(s.ContextKeys) == 0 {
		return ""
	}
	body := string(attempt) + resumeSeparator + string(target)
	return base64.RawURLEncoding.EncodeToString([]byte(body + resumeSeparator + resumeMAC(s.ContextKeys[0], chat, body)))
}

// verifyResumeToken decodes a caller's resume token for the given chat. It
// returns false if the token is malformed or its MAC does not match.
func verifyResumeToken(s *settings.Snapshot, chat fleet.ChatKey, token string) (fleet.AttemptID, fleet.TargetID, bool) {
	raw, err := base64.RawURLEncoding.DecodeString(token)
	if err != nil {
		return "", "", false
	}
	body, mac, hasMAC := cutLast(string(raw))
	attempt, target, hasTarget := strings.Cut(body, resumeSeparator)
	if !hasMAC || !hasTarget {
		return "", "", false
	}
	for _, key := range s.ContextKeys {
		if hmac.Equal([]byte(mac), []byte(resumeMAC(key, chat, body))) {
			return fleet.AttemptID(attempt), fleet.TargetID(target), true
		}
	}
	return "", "", false
}

func cutLast(s string) (before, after string, ok bool) {
	i := strings.LastIndex(s, resumeSeparator)
	if i < 0 {
		return "", "", false
	}
	return s[:i], s[i+1:], true
}

func resumeMAC(key settings.ContextKey, chat fleet.ChatKey, body string) string {
	mac := hmac.New(sha256.New, []byte(key.Secret))
	var chatKey [8]byte
	binary.BigEndian.PutUint64(chatKey[:], uint64(chat))
	mac.Write([]byte("resume"))
	mac.Write(chatKey[:])
	mac.Write([]byte(body))
	return hex.EncodeToString(mac.Sum(nil))[:32]
}

// offerResume adds the resume token to the head of a streamed answer.
func (s *requestRun) offerResume() {
	s.delivery.extraHeader = nil
	if !s.req.Stream || s.req.Kind != fleet.KindEngine || s.delivery.started {
		return
	}
	token := newResumeToken(s.entry.cfg.Snapshot(), s.req.Chat, s.fwd.Attempt, s.candidate.Target.ID)
	if token != "" {
		s.delivery.extraHeader = []plain.Field{{Name: HeaderResume, Value: token}}
	}
}

// resumeFromToken resumes a stream that the caller started through another
// router. No other engine can continue it, since this router does not have the
// text delivered so far. It returns false if the token is not authentic or its
// target is unknown.
func (s *requestRun) resumeFromToken(ctx context.Context) (wire.End, bool) {
	attempt, id, ok := verifyResumeToken(s.entry.cfg.Snapshot(), s.req.Chat, s.req.Resume)
	if !ok {
		return wire.End{}, false
	}
	target, home, ok := s.entry.cfg.Targets.Picker().Target(s.req.Service, id)
	if !ok {
		return wire.End{}, false
	}
	s.candidate.Target, s.candidate.Home = target, home
	s.fwd = newForward(s.req, s.candidate)
	s.fwd.Attempt = attempt
	s.sink = s.entry.addContextToken(s.req, s.candidate, s.delivery)
	s.offerResume()
	s.delivery.resumeAt(s.req.ResumeFrom)
	// A home that does not accept the resumption is given up at once, since
	// another one through this router always follows.
	always := func() bool { return true }
	end := s.resume(ctx, always)
	if end.Reason == reason.HomeUnreachable {
		s.last = end
		end = s.resume(ctx, always)
	}
	return end, true
}
