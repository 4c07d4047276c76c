package keyjournal

import (
	"crypto/rand"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"strings"
	"time"

	"ragwortpond.example/ragwortpond/fleet"
)

const (
	uuidLength      = 36
	uuidVersionAt   = 14
	uuidTimeDigits  = 12
	uuidTimeVersion = '7'
)

// KeyHash identifies an idempotency key of a client account: the first 16
// bytes of a SHA-256 hash.
type KeyHash [16]byte

// Fingerprint identifies a request's content: the first 16 bytes of a SHA-256
// hash.
type Fingerprint [16]byte

// Nonce identifies one intent; it is random.
type Nonce [16]byte

// NewNonce returns a random nonce.
func NewNonce() Nonce {
	var n Nonce
	rand.Read(n[:])
	return n
}

// HashKey returns the hash of a client account's key.
func HashKey(account fleet.AccountName, key string) KeyHash {
	return KeyHash(digest(string(account), key))
}

// FingerprintOf returns the fingerprint of a request: its parts in order, such
// as method, path and body.
func FingerprintOf(parts ...string) Fingerprint {
	return Fingerprint(digest(parts...))
}

// digest hashes parts with their lengths, so that no two lists of parts have
// the same input.
func digest(parts ...string) [16]byte {
	h := sha256.New()
	for _, part := range parts {
		var length [8]byte
		binary.BigEndian.PutUint64(length[:], uint64(len(part)))
		h.Write(length[:])
		h.Write([]byte(part))
	}
	return [16]byte(h.Sum(nil))
}

// KeyTime returns the time that a key carries if it is a version 7 UUID, in
// its canonical form of 36 characters.
func KeyTime(key string) (time.Time, bool) {
	if !canonicalUUID(key) || key[uuidVersionAt] != uuidTimeVersion {
		return time.Time{}, false
	}
	digits := strings.ReplaceAll(key, "-", "")[:uuidTimeDigits]
	raw, err := hex.DecodeString("0000" + digits)
	if err != nil {
		return time.Time{}, false
	}
	return time.UnixMilli(int64(binary.BigEndian.Uint64(raw))), true
}

func canonicalUUID(key string) bool {
	if len(key) != uuidLength {
		return false
	}
	for i := range len(key) {
		dash := i == 8 || i == 13 || i == 18 || i == 23
		if dash != (key[i] == '-') {
			return false
		}
		if !dash && !hexDigit(key[i]) {
			return false
		}
	}
	return true
}

func hexDigit(c byte) bool {
	return c >= '0' && c <= '9' || c >= 'a' && c <= 'f' || c >= 'A' && c <= 'F'
}
