package node

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"ragwortpond.example/ragwortpond/await"
	"ragwortpond.example/ragwortpond/fleet"
	"ragwortpond.example/ragwortpond/platform"
	"ragwortpond.example/ragwortpond/platform/standin"
	"ragwortpond.example/ragwortpond/settings"
)

// rawStore is a store whose entries of targets are written as they are, whatever they hold. It
// lists the first target and the odd entry, and tells of the second target, behind another
// odd entry, in a watch.
type rawStore struct {
	config, first, second, odd string
	// watched counts the calls that continue after the news of the second target.
	watched atomic.Int32
}

func rawObject(name string, revision int, spec string) string {
	return fmt.Sprintf(`{"Metadata":{"Name":%q,"Revision":%d},"Spec":%s}`, name, revision, spec)
}

func (s *rawStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	after := r.URL.Query().Get("Watch")
	switch {
	case strings.HasSuffix(r.URL.Path, "/"+platform.KindConfig) && after == "":
		fmt.Fprintf(w, `{"Entries":[%s],"HasMore":false,"AsOf":10}`, rawObject(platform.ConfigName, 5, s.config))
	case strings.HasSuffix(r.URL.Path, "/"+platform.KindTargets) && after == "":
		fmt.Fprintf(w, `{"Entries":[%s,%s],"HasMore":false,"AsOf":10}`, s.odd, rawObject("t1", 6, s.first))
	case strings.HasSuffix(r.URL.Path, "/"+platform.KindTargets) && after == "10":
		fmt.Fprintf(w, `{"events":[{"Deleted":false,"Object":%s},{"Deleted":false,"Object":%s}],"AsOf":20}`, s.odd, rawObject("t2", 12, s.second))
	default:
		if after == "20" {
			s.watched.Add(1)
		}
		select {
		case <-r.Context().Done():
		case <-time.After(200 * time.Millisecond):
		}
		fmt.Fprint(w, `{"events":[],"AsOf":20}`)
	}
}

// TestOddEntryDoesNotStopRouterFromFollowingTargets guards against one entry of another writer that hides all others.
func TestOddEntryDoesNotStopRouterFromFollowingTargets(t *testing.T) {
	const (
		depth = 20_000
		// Idle targets are chosen at random: of minRequests, all are served by the same one once
		// in 512 times, of maxRequests once in 2^63.
		minRequests, maxRequests = 10, 64
	)
	nested := strings.Repeat("[", depth) + strings.Repeat("]", depth)
	entry := func(field, value string) string {
		fields := map[string]string{"Service": `"s"`, "Address": `"127.0.0.1:1"`, "Zone": `"d"`, "Version": `"v1"`, "Slots": "8", "State": `"ready"`, "born": "1", "Sequence": "1"}
		fields[field] = value
		var list []string
		for name, value := range fields {
			list = append(list, fmt.Sprintf("%q:%s", name, value))
		}
		return rawObject("odd", 7, "{"+strings.Join(list, ",")+"}")
	}
	for name, odd := range map[string]string{
		"deeply nested":          entry("Extra", nested),
		"nested instead":         rawObject("odd", 7, nested),
		"number too large":       entry("Slots", "1e999"),
		"integer too large":      entry("Slots", "99999999999999999999"),
		"slots out of range":     entry("Slots", "9000000000000000000"),
		"negative slots":         entry("Slots", "-8"),
		"start out of range":     entry("born", "1e30"),
		"port out of range":      entry("Address", `"127.0.0.1:70000"`),
		"no port":                entry("Address", `"127.0.0.1:0"`),
		"negative port":          entry("Address", `"127.0.0.1:-1"`),
		"host name":              entry("Address", `"target.example:80"`),
		"huge string":            entry("Zone", `"`+strings.Repeat("z", 900_000)+`"`),
		"wrong types":            rawObject("odd", 7, `{"Service":{},"Address":[],"State":7}`),
		"no object":              rawObject("odd", 7, `"text"`),
		"no entry":               `17`,
		"revision out of range":  `{"Metadata":{"Name":"odd","Revision":1e30},"Spec":{}}`,
		"deeply nested metadata": `{"Metadata":` + nested + `,"Spec":{}}`,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			store := &rawStore{odd: odd}
			var targets []*standin.Target
			for i, spec := range []*string{&store.first, &store.second} {
				target := &standin.Target{ID: fmt.Sprintf("t%d", i+1), Service: "s", Zone: "d"}
				if err := target.Start(""); err != nil {
					t.Fatal(err)
				}
				t.Cleanup(target.Close)
				*spec = marshal(t, target.Entry("ready"))
				targets = append(targets, target)
			}
			store.config = marshal(t, configDocument(1))
			server := httptest.NewServer(store)
			t.Cleanup(server.Close)
			address := nextAddress()
			s := &fixture{done: make(chan error, 1), cfg: settings.NodeFile{
				ID: fleet.RouterID(address), Domain: "d", ClientAddr: address + ":18001", ReadyAddr: address + ":18002", PeerAddr: address + ":18003",
				MetricsAddr: address + ":18004", StoreAddr: server.Listener.Addr().String(), MemoryMB: 200, GraceSeconds: 3,
				RetryBudget: settings.RetryBudget{Ratio: 0.2, Extra: 50, WindowSeconds: 10},
			}}
			s.startUnready(t)
			within(t, followTime, "view with both targets", func() bool { return s.knows("t1") && s.knows("t2") })
			if s.knows("odd") {
				t.Error("got the odd entry as a target, want it left out")
			}
			within(t, followTime, "readiness", s.ready)
			within(t, followTime, "further watch", func() bool { return store.watched.Load() > 0 })
			served := func() bool { return len(targets[0].Runs()) > 0 && len(targets[1].Runs()) > 0 }
			for i := 0; i < minRequests || i < maxRequests && !served(); i++ {
				if response, _, err := s.post(http.DefaultClient, fmt.Sprint("a", i)); err != nil || response.StatusCode != http.StatusOK {
					t.Fatalf("got response %v, error %v, want status 200", response, err)
				}
			}
			if !served() {
				t.Errorf("got %d and %d runs at the two targets, want some at each", len(targets[0].Runs()), len(targets[1].Runs()))
			}
		})
	}
}

// knows reports whether a target of any service is in the router's view.
func (s *fixture) knows(id fleet.TargetID) bool {
	for _, list := range s.node.directory.View().Targets {
		for _, target := range list {
			if target.ID == id {
				return true
			}
		}
	}
	return false
}

// followTime bounds the time in which a router follows a list.
const followTime = 5 * time.Second

// within fails the test unless f returns true before d has passed.
func within(t *testing.T, d time.Duration, what string, f func() bool) {
	t.Helper()
	end := time.Now().Add(d)
	await.Until(t, what, func() bool {
		if time.Now().After(end) {
			t.Fatalf("got no %s within %v", what, d)
		}
		return f()
	})
}

func marshal(t *testing.T, v any) string {
	t.Helper()
	data, err := json.Marshal(v)
	if err != nil {
		t.Fatal(err)
	}
	return string(data)
}
