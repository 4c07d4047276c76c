package placement

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"
	"errors"
	"time"

	"ragwortpond.example/ragwortpond/fleet"
)

// Errors of reading a context token. Callers test them with errors.Is.
var (
	// ErrTokenMalformed means that the text is not a token.
	ErrTokenMalformed = errors.New("placement: malformed context token")
	// ErrTokenKey means that the token's key is not in the ring.
	ErrTokenKey = errors.New("placement: context token of an unknown key")
	// ErrTokenForged means that the authentication code does not match the
	// token and the chat.
	ErrTokenForged = errors.New("placement: context token is not authentic")
	// ErrTokenExpired means that the token is older than it may be.
	ErrTokenExpired = errors.New("placement: context token has expired")
	// ErrNoTokenKey means that a ring without keys was asked for a token.
	ErrNoTokenKey = errors.New("placement: no key for context tokens")
)

// MaxTokenBytes bounds the text of a token.
const MaxTokenBytes = 160

// tokenVersion is the first byte of every token. After it come the key id,
// the time in Unix seconds, the tokens held, the target's id and the code.
const (
	tokenVersion    = 1
	tokenKeyAt      = 1
	tokenTimeAt     = tokenKeyAt + 4
	tokenHeldAt     = tokenTimeAt + 8
	tokenTargetAt   = tokenHeldAt + 4
	tokenCodeBytes  = 16
	maxTokenTarget  = 63
	tokenClockSkew  = 5 * time.Second
	tokenChatBytes  = 8
	tokenStackBytes = tokenTargetAt + maxTokenTarget + tokenCodeBytes
)

// TokenKey is one key of the fleet for context tokens.
type TokenKey struct {
	ID     uint32
	Secret []byte
}

// TokenRing holds the keys for context tokens: the first one signs and all are
// accepted, so a key is rotated by putting the new one last, later first, and
// dropping the old one once its tokens have expired. It is immutable and safe
// for concurrent use.
type TokenRing struct {
	keys []TokenKey
}

// NewTokenRing returns a ring of the keys.
func NewTokenRing(keys ...TokenKey) *TokenRing {
	return &TokenRing{keys: keys}
}

// Token says where a chat's context was held when an answer was given.
type Token struct {
	Target fleet.TargetID
	// At is when the answer ended, in whole seconds.
	At time.Time
	// Held is the number of tokens of context.
	Held uint32
}

// Seal returns the text of a token, authenticated for one chat.
func (r *TokenRing) Seal(chat fleet.ChatKey, t Token) (string, error) {
	if len(r.keys) == 0 {
		return "", ErrNoTokenKey
	}
	if t.Target == "" || len(t.Target) > maxTokenTarget {
		return "", ErrTokenMalformed
	}
	key := r.keys[0]
	raw := make([]byte, 0, tokenStackBytes)
	raw = append(raw, tokenVersion)
	raw = binary.BigEndian.AppendUint32(raw, key.ID)
	raw = binary.BigEndian.AppendUint64(raw, uint64(t.At.Unix()))
	raw = binary.BigEndian.AppendUint32(raw, t.Held)
	raw = append(raw, t.Target...)
	raw = append(raw, tokenCode(key.Secret, chat, raw)...)
	return base64.RawURLEncoding.EncodeToString(raw), nil
}

// Open reads a token that a caller sent with a chat. It returns
// ErrTokenMalformed, ErrTokenKey, ErrTokenForged or ErrTokenExpired; a token
// is believed for ttl after its time.
func (r *TokenRing) Open(chat fleet.ChatKey, text string, now time.Time, ttl time.Duration) (Token, error) {
	if len(text) > MaxTokenBytes {
		return Token{}, ErrTokenMalformed
	}
	raw, err := base64.RawURLEncoding.Strict().DecodeString(text)
	if err != nil {
		return Token{}, ErrTokenMalformed
	}
	if len(raw) <= tokenTargetAt+tokenCodeBytes || len(raw) > tokenStackBytes || raw[0] != tokenVersion {
		return Token{}, ErrTokenMalformed
	}
	secret, ok := r.secret(binary.BigEndian.Uint32(raw[tokenKeyAt:]))
	if !ok {
		return Token{}, ErrTokenKey
	}
	body, code := raw[:len(raw)-tokenCodeBytes], raw[len(raw)-tokenCodeBytes:]
	if !hmac.Equal(code, tokenCode(secret, chat, body)) {
		return Token{}, ErrTokenForged
	}
	t := Token{
		Target: fleet.TargetID(body[tokenTargetAt:]),
		At:     time.Unix(int64(binary.BigEndian.Uint64(body[tokenTimeAt:])), 0),
		Held:   binary.BigEndian.Uint32(body[tokenHeldAt:]),
	}
	if now.Sub(t.At) > ttl || t.At.Sub(now) > tokenClockSkew {
		return Token{}, ErrTokenExpired
	}
	return t, nil
}

func (r *TokenRing) secret(id uint32) ([]byte, bool) {
	for i := range r.keys {
		if r.keys[i].ID == id {
			return r.keys[i].Secret, true
		}
	}
	return nil, false
}

// tokenCode authenticates a token's body together with the chat, which the
// token does not carry.
func tokenCode(secret []byte, chat fleet.ChatKey, body []byte) []byte {
	mac := hmac.New(sha256.New, secret)
	var salt [tokenChatBytes]byte
	binary.BigEndian.PutUint64(salt[:], uint64(chat))
	mac.Write(salt[:])
	mac.Write(body)
	return mac.Sum(nil)[:tokenCodeBytes]
}
