package placement

import (
	"errors"
	"testing"
	"time"

	"ragwortpond.example/ragwortpond/fleet"
)

var tokenTime = time.Unix(1_800_000_000, 0)

func testRing() *TokenKeyring {
	return NewTokenKeyring(TokenKey{ID: 2, Secret: []byte("new")}, TokenKey{ID: 1, Secret: []byte("old")})
}

func TestTokenRoundTripAndRotation(t *testing.T) {
	want := Token{Target: "engine-7", At: tokenTime, Tokens: 812}
	old := NewTokenKeyring(TokenKey{ID: 1, Secret: []byte("old")})
	for _, signer := range []*TokenKeyring{testRing(), old} {
		text, err := signer.Sign(42, want)
		if err != nil {
			t.Fatal(err)
		}
		got, err := testRing().Verify(42, text, tokenTime.Add(time.Minute), time.Hour)
		if err != nil || got != want {
			t.Errorf("got %+v, %v, want %+v", got, err, want)
		}
	}
}

func TestOpenRejectsInvalidTokens(t *testing.T) {
	text, err := testRing().Sign(42, Token{Target: "engine-7", At: tokenTime})
	if err != nil {
		t.Fatal(err)
	}
	unknownKey, err := NewTokenKeyring(TokenKey{ID: 9, Secret: []byte("x")}).Sign(42, Token{Target: "engine-7", At: tokenTime})
	if err != nil {
		t.Fatal(err)
	}
	forged, err := NewTokenKeyring(TokenKey{ID: 1, Secret: []byte("x")}).Sign(42, Token{Target: "engine-7", At: tokenTime})
	if err != nil {
		t.Fatal(err)
	}
	for name, c := range map[string]struct {
		chat fleet.ChatKey
		text string
		now  time.Time
		want error
	}{
		"another chat":  {43, text, tokenTime, ErrTokenForged},
		"another key":   {42, forged, tokenTime, ErrTokenForged},
		"unknown key":   {42, unknownKey, tokenTime, ErrTokenUnknownKey},
		"too old":       {42, text, tokenTime.Add(2 * time.Hour), ErrTokenExpired},
		"in the future": {42, text, tokenTime.Add(-time.Minute), ErrTokenExpired},
		"truncated":     {42, text[:12], tokenTime, ErrTokenMalformed},
		"not base64":    {42, "a token!", tokenTime, ErrTokenMalformed},
		"too long":      {42, text + string(make([]byte, MaxTokenBytes)), tokenTime, ErrTokenMalformed},
	} {
		if _, err := testRing().Verify(c.chat, c.text, c.now, time.Hour); !errors.Is(err, c.want) {
			t.Errorf("%s: got %v, want %v", name, err, c.want)
		}
	}
}

// FuzzTokenOpen checks that only sealed tokens can be opened, and that sealing
// an opened token returns the same text.
func FuzzTokenOpen(f *testing.F) {
	sealed, err := testRing().Sign(42, Token{Target: "engine-7", At: tokenTime, Tokens: 812})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(sealed, uint64(42))
	f.Add(sealed, uint64(43))
	f.Add("AQAAAAI", uint64(0))
	f.Add("", uint64(0))
	f.Fuzz(func(t *testing.T, text string, chat uint64) {
		got, err := testRing().Verify(fleet.ChatKey(chat), text, tokenTime, time.Hour)
		if err != nil {
			return
		}
		again, err := testRing().Sign(fleet.ChatKey(chat), got)
		if err != nil || again != text {
			t.Errorf("sealing an opened token again: got %q, %v, want %q", again, err, text)
		}
	})
}
