package node

import (
	"encoding/json"
	"fmt"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"ragwortpond.example/ragwortpond/await"
	"ragwortpond.example/ragwortpond/fleet"
	"ragwortpond.example/ragwortpond/platform"
)

// accountList is a list of client accounts as an operator may write it.
type accountList struct {
	name string
	// text is its JSON; empty if the configuration has no such field.
	text string
	// keys are those that it holds.
	keys []string
	// open is set if requests need no key, unreadable if the version is not put in force.
	open, unreadable bool
}

// accountLists returns lists of all kinds, with keys of pool that are drawn.
func accountLists(rng *rand.Rand, pool []string) []accountList {
	rng.Shuffle(len(pool), func(i, j int) { pool[i], pool[j] = pool[j], pool[i] })
	held := slices.Clone(pool[:1+rng.IntN(len(pool)-1)])
	at := rng.IntN(len(held) + 1)
	text := func(keys []string) string {
		data, _ := json.Marshal(keys)
		return string(data)
	}
	return []accountList{
		{name: "never there", open: true},
		{name: "empty", text: `[]`},
		{name: "null", text: `null`},
		{name: "accounts", text: fmt.Sprintf(`[{"Name":"a","ApiKeys":%s},{"Name":"b","ApiKeys":%s}]`, text(held[:at]), text(held[at:])), keys: held},
		{name: "one account without keys", text: fmt.Sprintf(`[{"Name":"a","ApiKeys":[]},{"Name":"b","ApiKeys":%s}]`, text(held)), keys: held},
		{name: "no keys", text: `[{"Name":"a","ApiKeys":[]}]`},
		{name: "keys null", text: `[{"Name":"a","ApiKeys":null}]`},
		{name: "no field of keys", text: `[{"Name":"a"}]`},
		{name: "account null", text: `[null]`},
		{name: "empty key", text: `[{"Name":"a","ApiKeys":[""]}]`},
		{name: "empty key beside others", text: fmt.Sprintf(`[{"Name":"a","ApiKeys":["",%q]}]`, held[0]), keys: held[:1]},
		{name: "object", text: `{}`, unreadable: true},
		{name: "text", text: `"none"`, unreadable: true},
		{name: "account that is text", text: `["a"]`, unreadable: true},
		{name: "keys that are text", text: fmt.Sprintf(`[{"Name":"a","ApiKeys":%q}]`, held[0]), unreadable: true},
	}
}

// unreadableTime is for how long a version that cannot be read has to stay without effect.
const unreadableTime = 100 * time.Millisecond

// TestOnlyListedKeysAreAdmitted guards against a list of client accounts that is empty, or holds no
// key, and opens every route. Versions with lists of all kinds replace each other in an order that
// is drawn; a router that starts later admits the same requests.
func TestOnlyListedKeysAreAdmitted(t *testing.T) {
	for seed := range uint64(4) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			rng := rand.New(rand.NewPCG(seed, 12))
			s := startFixture(t, nextAddress())
			pool := make([]string, 4)
			for i := range pool {
				pool[i] = fmt.Sprintf("key-%08x", rng.Uint32())
			}
			asked := append([]string{"", fmt.Sprintf("unknown-%08x", rng.Uint32())}, pool...)
			lists := accountLists(rng, pool)
			rng.Shuffle(len(lists), func(i, j int) { lists[i], lists[j] = lists[j], lists[i] })
			version := 1
			put := func(list accountList) {
				version++
				document := accountListConfig(version)
				if list.text != "" {
					document["Tenants"] = json.RawMessage(list.text)
				}
				s.store.Put(platform.KindConfig, platform.ConfigName, document)
			}
			inForce := accountList{name: "never there", open: true}
			put(inForce)
			for _, list := range lists {
				before := version
				put(list)
				if list.unreadable {
					time.Sleep(unreadableTime)
					if got := s.node.directory.View().Config.Version; got == uint64(version) {
						t.Errorf("got version %d with list %q in force, want version %d to stay", got, list.name, before)
					}
				} else {
					await.Until(t, "version in force", func() bool { return s.node.directory.View().Config.Version == uint64(version) })
					inForce = list
				}
				s.checkAdmission(t, inForce, asked)
			}
			// A router that starts has no earlier version to keep.
			put(inForce)
			address := nextAddress()
			later := &fixture{target: s.target, store: s.store, done: make(chan error, 1), cfg: s.cfg}
			later.cfg.ID = fleet.RouterID(address)
			later.cfg.ClientAddr, later.cfg.ReadyAddr, later.cfg.PeerAddr, later.cfg.MetricsAddr = address+":18001", address+":18002", address+":18003", address+":18004"
			later.start(t)
			await.Until(t, "version in force at both routers", func() bool {
				return s.node.directory.View().Config.Version == uint64(version) && later.node.directory.View().Config.Version == uint64(version)
			})
			later.checkAdmission(t, inForce, asked)
		})
	}
}

// accountListConfig returns a configuration with a route that needs a key if there is a list of
// client accounts, and a public one.
func accountListConfig(version int) map[string]any {
	document := configDocument(version)
	public := maps.Clone(document["Routes"].([]any)[0].(map[string]any))
	public["Name"], public["PathPrefix"], public["Public"] = "public", "/public/", true
	document["Routes"] = append(document["Routes"].([]any), public)
	return document
}

// checkAdmission sends a request with each key to both routes.
func (s *fixture) checkAdmission(t *testing.T, list accountList, keys []string) {
	t.Helper()
	for _, key := range keys {
		admitted := list.open || slices.Contains(list.keys, key)
		for path, want := range map[string]bool{"/p/x": admitted, "/public/x": true} {
			before := len(s.target.Runs())
			status, err := s.statusWithKey(path, key)
			if err != nil {
				t.Fatal(err)
			}
			ran := len(s.target.Runs()) > before
			if ran != want || (status == http.StatusOK) != want || (!want && status != http.StatusUnauthorized) {
				t.Errorf("list %q, path %s, key %q: got status %d, run %v, want run %v", list.name, path, key, status, ran, want)
			}
		}
	}
}

// statusWithKey sends a request with a key, or without one if key is empty, and returns the status
// of its answer.
func (s *fixture) statusWithKey(path, key string) (int, error) {
	r, err := http.NewRequest(http.MethodPost, "http://"+s.cfg.ClientAddr+path, strings.NewReader("body"))
	if err != nil {
		return 0, err
	}
	r.Host = "h"
	r.Header.Set("Attempt-Id", fmt.Sprintf("%016x", rand.Uint64()))
	if key != "" {
		r.Header.Set("Authorization", "Token "+key)
	}
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0, err
	}
	return response.StatusCode, response.Body.Close()
}
