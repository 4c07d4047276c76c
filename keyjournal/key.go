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
	uuidLength           = 36
	uuidVersionIndex     = 14
	uuidTimestampDigits  = 12
	uuidTimestampVersion = '7'
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

// HashKey returns the hash of an idempotency key of a client account.
func HashKey(account fleet.AccountName, key string) KeyHash {
	return KeyHash(hashParts(string(account), key))
}

// NewFingerprint returns the fingerprint of a request: its parts in order, such
// as method, path and body.
func NewFingerprint(parts ...string) Fingerprint {
	return Fingerprint(hashParts(parts...))
}

// hashParts hashes the parts, each after its length, so that two different lists
// of parts never give the same hash input.
func hashParts(parts ...string) [16]byte {
	h := sha256.New()
	for _, part := range parts {
		var length [8]byte
		binary.BigEndian.PutUint64(length[:], uint64(len(part)))
		h.Write(length[:])
		h.Write([]byte(part))
	}
	return [16]byte(h.Sum(nil))
}

// KeyTime returns the timestamp of a key that is a version 7 UUID in its
// canonical form of 36 characters. It returns false for other keys.
func KeyTime(key string) (time.Time, bool) {
	if !isCanonicalUUID(key) || key[uuidVersionIndex] != uuidTimestampVersion {
		return time.Time{}, false
	}
	digits := strings.ReplaceAll(key, "-", "")[:uuidTimestampDigits]
	raw, err := hex.DecodeString("0000" + digits)
	if err != nil {
		return time.Time{}, false
	}
	return time.UnixMilli(int64(binary.BigEndian.Uint64(raw))), true
}

func isCanonicalUUID(key string) bool {
	if len(key) != uuidLength {
		return false
	}
	for i := range len(key) {
		dash := i == 8 || i == 13 || i == 18 || i == 23
		if dash != (key[i] == '-') {
			return false
		}
		if !dash && !isHexDigit(key[i]) {
			return false
		}
	}
	return true
}

func isHexDigit(c byte) bool {
	return c >= '0' && c <= '9' || c >= 'a' && c <= 'f' || c >= 'A' && c <= 'F'
}
