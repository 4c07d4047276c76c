package caller

import (
	"context"
	"net/http"
	"testing"

	"ragwortpond.example/ragwortpond/keys"
	"ragwortpond.example/ragwortpond/outcome"
	"ragwortpond.example/ragwortpond/router/entry"
	"ragwortpond.example/ragwortpond/router/wire"
)

// okHandler answers every request with status 200 and nothing else.
type okHandler struct{}

func (okHandler) Do(_ context.Context, _ *entry.Request, out wire.Sink) entry.Result {
	_ = out.Head(wire.Head{Status: http.StatusOK})
	return entry.Result{Outcome: outcome.Answered, HeadSent: true}
}

// TestOnlyKeysOfAccountsAreAdmitted guards against settings without client accounts, or with
// accounts without a usable key, that admit everybody.
func TestOnlyKeysOfAccountsAreAdmitted(t *testing.T) {
	for name, test := range map[string]struct {
		accounts map[string]string
		admitted bool
	}{
		"no account":           {nil, false},
		"empty list of keys":   {map[string]string{"a": `{"key_hashes":[]}`}, false},
		"hash of an empty key": {map[string]string{"a": `{"key_hashes":["` + keys.Hash("") + `"]}`}, false},
		"key":                  {map[string]string{"a": `{"key_hashes":[]}`, "b": `{"key_hashes":["` + keys.Hash(testKey) + `"]}`}, true},
	} {
		t.Run(name, func(t *testing.T) {
			server := listenWithAccounts(t, okHandler{}, test.accounts)
			for authorization, admitted := range map[string]bool{"": false, "Bearer ": false, "Bearer unknown": false, "Bearer " + testKey: test.admitted} {
				r, err := http.NewRequest(http.MethodGet, "http://"+server.Addr()+"/s/s/x", nil)
				if err != nil {
					t.Fatal(err)
				}
				if authorization != "" {
					r.Header.Set("Authorization", authorization)
				}
				response, err := http.DefaultClient.Do(r)
				if err != nil {
					t.Fatal(err)
				}
				_ = response.Body.Close()
				want := http.StatusUnauthorized
				if admitted {
					want = http.StatusOK
				}
				if response.StatusCode != want {
					t.Errorf("got status %d for %q, want %d", response.StatusCode, authorization, want)
				}
			}
		})
	}
}
