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

// Errors of Sign and Verify, to be tested with errors.Is.
var (
	// ErrTokenMalformed means that the text is not a token, or that a token to
	// be sealed has an empty or too long target ID.
	ErrTokenMalformed = errors.New("placement: malformed context token")
	// ErrTokenUnknownKey means that the ring does not have the token's key.
	ErrTokenUnknownKey = errors.New("placement: context token has an unknown key")
	// ErrTokenForged means that the message authentication code does not match
	// the token and the chat.
	ErrTokenForged = errors.New("placement: context token is not authentic")
	// ErrTokenExpired means that the token is older than allowed, or that its
	// time is too far in the future.
	ErrTokenExpired = errors.New("placement: context token has expired or its time is too far in the future")
	// ErrNoTokenKey means that the ring has no key to authenticate a token
	// with.
	ErrNoTokenKey = errors.New("placement: no key to authenticate context tokens")
)

// MaxTokenBytes is the maximum length of an encoded token.
const MaxTokenBytes = 160

// tokenVersion is the first byte of every token. It is followed by the key ID,
// the time in Unix seconds, the number of context tokens, the target's ID and
// the message authentication code.
const (
	tokenVersion        = 1
	tokenKeyOffset      = 1
	tokenTimeOffset     = tokenKeyOffset + 4
	tokenHeldOffset     = tokenTimeOffset + 8
	tokenTargetOffset   = tokenHeldOffset + 4
	tokenMACBytes       = 16
	maxTokenTargetBytes = 63
	maxTokenClockSkew   = 5 * time.Second
	chatKeyBytes        = 8
	maxRawTokenBytes    = tokenTargetOffset + maxTokenTargetBytes + tokenMACBytes
)

// TokenKey is one of the fleet's keys for context tokens.
type TokenKey struct {
	ID     uint32
	Secret []byte
}

// TokenKeyring holds the keys for context tokens. The first key authenticates new
// tokens and all keys are accepted. To rotate a key, append the new key, later
// move it to the front, and remove the old key once its tokens have expired. A
// TokenKeyring is immutable and safe for concurrent use.
type TokenKeyring struct {
	keys []TokenKey
}

// NewTokenKeyring returns a keyring of the given keys.
func NewTokenKeyring(keys ...TokenKey) *TokenKeyring {
	return &TokenKeyring{keys: keys}
}

// Token names the target that held a chat's context when an answer was given.
type Token struct {
	Target fleet.TargetID
	// At is the time of the answer, with a resolution of one second.
	At time.Time
	// Tokens is the number of context tokens at the target.
	Tokens uint32
}

// Sign encodes a token and authenticates it for one chat.
func (r *TokenKeyring) Sign(chat fleet.ChatKey, t Token) (string, error) {
	if len(r.keys) == 0 {
		return "", ErrNoTokenKey
	}
	if t.Target == "" || len(t.Target) > maxTokenTargetBytes {
		return "", ErrTokenMalformed
	}
	key := r.keys[0]
	raw := make([]byte, 0, maxRawTokenBytes)
	raw = append(raw, tokenVersion)
	raw = binary.BigEndian.AppendUint32(raw, key.ID)
	raw = binary.BigEndian.AppendUint64(raw, uint64(t.At.Unix()))
	raw = binary.BigEndian.AppendUint32(raw, t.Tokens)
	raw = append(raw, t.Target...)
	raw = append(raw, tokenMAC(key.Secret, chat, raw)...)
	return base64.RawURLEncoding.EncodeToString(raw), nil
}

// Verify decodes and verifies a token that a caller sent with a chat. It returns
// ErrTokenMalformed, ErrTokenUnknownKey, ErrTokenForged or ErrTokenExpired. A
// token is valid for ttl after its time.
func (r *TokenKeyring) Verify(chat fleet.ChatKey, text string, now time.Time, ttl time.Duration) (Token, error) {
	if len(text) > MaxTokenBytes {
		return Token{}, ErrTokenMalformed
	}
	raw, err := base64.RawURLEncoding.Strict().DecodeString(text)
	if err != nil {
		return Token{}, ErrTokenMalformed
	}
	if len(raw) <= tokenTargetOffset+tokenMACBytes || len(raw) > maxRawTokenBytes || raw[0] != tokenVersion {
		return Token{}, ErrTokenMalformed
	}
	secret, ok := r.secret(binary.BigEndian.Uint32(raw[tokenKeyOffset:]))
	if !ok {
		return Token{}, ErrTokenUnknownKey
	}
	body, mac := raw[:len(raw)-tokenMACBytes], raw[len(raw)-tokenMACBytes:]
	if !hmac.Equal(mac, tokenMAC(secret, chat, body)) {
		return Token{}, ErrTokenForged
	}
	t := Token{
		Target: fleet.TargetID(body[tokenTargetOffset:]),
		At:     time.Unix(int64(binary.BigEndian.Uint64(body[tokenTimeOffset:])), 0),
		Tokens: binary.BigEndian.Uint32(body[tokenHeldOffset:]),
	}
	if now.Sub(t.At) > ttl || t.At.Sub(now) > maxTokenClockSkew {
		return Token{}, ErrTokenExpired
	}
	return t, nil
}

func (r *TokenKeyring) secret(id uint32) ([]byte, bool) {
	for i := range r.keys {
		if r.keys[i].ID == id {
			return r.keys[i].Secret, true
		}
	}
	return nil, false
}

// tokenMAC authenticates a token's body together with the chat, which is not
// part of the token.
func tokenMAC(secret []byte, chat fleet.ChatKey, body []byte) []byte {
	mac := hmac.New(sha256.New, secret)
	var chatKey [chatKeyBytes]byte
	binary.BigEndian.PutUint64(chatKey[:], uint64(chat))
	mac.Write(chatKey[:])
	mac.Write(body)
	return mac.Sum(nil)[:tokenMACBytes]
}
