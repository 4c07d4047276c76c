package quarantine

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/binary"

	"ragwortpond.example/ragwortpond/call"
	"ragwortpond.example/ragwortpond/fleet"
)

// NewDigest returns a digest of what a client asks for: method, host, URI, client account,
// prompt and body, but not the ID of the request. It is never zero. It is keyed with the
// client's key, so that other clients can neither find a request with the same digest nor
// test guesses of a body against one. All routers compute the same digest.
func NewDigest(c *call.Call, account fleet.AccountName) uint64 {
	mac := hmac.New(sha256.New, []byte(c.Key))
	var number [8]byte
	writeNumber := func(n uint64) {
		binary.BigEndian.PutUint64(number[:], n)
		mac.Write(number[:])
	}
	for _, text := range []string{c.Method, c.Host, c.URI, string(account)} {
		writeNumber(uint64(len(text)))
		mac.Write([]byte(text))
	}
	writeNumber(uint64(len(c.Prompt)))
	for _, part := range c.Prompt {
		writeNumber(part.ID)
		writeNumber(uint64(part.Tokens))
	}
	mac.Write(c.Body)
	return max(binary.BigEndian.Uint64(mac.Sum(nil)), 1)
}
