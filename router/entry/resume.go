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

// HeaderResume carries the resume token: on the answer of a stream, and on the
// request of a caller that goes on with it.
const HeaderResume = "Ragwort-Resume"

const resumeSeparator = "."

// sealResume returns the token with which a caller can take up an attempt's
// stream through any router; empty when the fleet has no key. It is the attempt
// and the target with a code that binds both to the chat and so to the account.
func sealResume(s *settings.Snapshot, chat fleet.ChatKey, attempt fleet.AttemptID, target fleet.TargetID) string {
	if len(s.ContextKeys) == 0 {
		return ""
	}
	body := string(attempt) + resumeSeparator + string(target)
	return base64.RawURLEncoding.EncodeToString([]byte(body + resumeSeparator + resumeCode(s.ContextKeys[0], chat, body)))
}

// openResume reads a token that a caller brought with its chat; false when it
// is not authentic.
func openResume(s *settings.Snapshot, chat fleet.ChatKey, token string) (fleet.AttemptID, fleet.TargetID, bool) {
	raw, err := base64.RawURLEncoding.DecodeString(token)
	if err != nil {
		return "", "", false
	}
	body, code, ok := cutLast(string(raw))
	attempt, target, ok2 := strings.Cut(body, resumeSeparator)
	if !ok || !ok2 {
		return "", "", false
	}
	for _, key := range s.ContextKeys {
		if hmac.Equal([]byte(code), []byte(resumeCode(key, chat, body))) {
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

func resumeCode(key settings.ContextKey, chat fleet.ChatKey, body string) string {
	mac := hmac.New(sha256.New, []byte(key.Secret))
	var salt [8]byte
	binary.BigEndian.PutUint64(salt[:], uint64(chat))
	mac.Write([]byte("resume"))
	mac.Write(salt[:])
	mac.Write([]byte(body))
	return hex.EncodeToString(mac.Sum(nil))[:32]
}

// offerResume adds the token to the head of a stream's answer.
func (s *serving) offerResume() {
	s.delivery.extra = nil
	if !s.req.Stream || s.req.Kind != fleet.KindEngine || s.delivery.started {
		return
	}
	token := sealResume(s.entry.cfg.Snapshot(), s.req.Chat, s.fwd.Attempt, s.at.Target.ID)
	if token != "" {
		s.delivery.extra = []plain.Field{{Name: HeaderResume, Value: token}}
	}
}

// takeUp goes on with a stream that the caller began through another router. No
// other engine can go on, since this router does not have the text so far. It
// returns false when the token is not authentic or its target is not known.
func (s *serving) takeUp(ctx context.Context) (wire.End, bool) {
	attempt, id, ok := openResume(s.entry.cfg.Snapshot(), s.req.Chat, s.req.Resume)
	if !ok {
		return wire.End{}, false
	}
	target, home, ok := s.entry.cfg.Targets.Picker().Target(s.req.Service, id)
	if !ok {
		return wire.End{}, false
	}
	s.at.Target, s.at.Home = target, home
	s.fwd = forwardOf(s.req, s.at)
	s.fwd.Attempt = attempt
	s.sink = s.entry.withToken(s.req, s.at, s.delivery)
	s.offerResume()
	s.delivery.takeUp(s.req.ResumeFrom)
	end := s.resume(ctx)
	if end.Reason == reason.HomeUnreachable {
		s.last = end
		end = s.resume(ctx)
	}
	return end, true
}
