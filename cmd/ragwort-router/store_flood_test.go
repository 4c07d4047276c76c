package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"ragwortpond.example/ragwortpond/await"
	"ragwortpond.example/ragwortpond/conntest"
	"ragwortpond.example/ragwortpond/platform"
	"ragwortpond.example/ragwortpond/platform/standin"
)

// flood answers one call of the store. The connection is closed when it returns.
type flood func(c net.Conn, r *http.Request)

// endless sends a prefix and then the same text again and again, until the peer closes.
func endless(prefix, repeated string) flood {
	block := strings.Repeat(repeated, 16<<10/len(repeated)+1)
	return func(c net.Conn, _ *http.Request) { conntest.Flood(c, prefix, block) }
}

// document answers with a complete document of the given size: a prefix, a text that is
// repeated, and a suffix.
func document(bytes int, prefix, repeated, suffix string) flood {
	text := prefix + strings.Repeat(repeated, bytes/len(repeated)) + suffix
	return func(c net.Conn, _ *http.Request) {
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: %d\r\n\r\n%s", len(text), text)
	}
}

// slowly sends a byte each 20 ms.
func slowly(prefix string) flood {
	return func(c net.Conn, _ *http.Request) {
		_, err := io.WriteString(c, prefix)
		for ; err == nil; time.Sleep(20 * time.Millisecond) {
			_, err = c.Write([]byte("x"))
		}
	}
}

// onLists answers lists of a kind with f and tells watches of it that they must list again.
func onLists(kind string, f flood) storeFlood {
	return storeFlood{kind, func(c net.Conn, r *http.Request) {
		if r.URL.Query().Has("Watch") {
			_, _ = io.WriteString(c, "HTTP/1.1 410 Gone\r\nConnection: close\r\nContent-Length: 0\r\n\r\n")
			return
		}
		f(c, r)
	}}
}

// storeFlood is a flood for the calls for one kind of object, or for all if kind is empty.
type storeFlood struct {
	kind string
	send flood
}

func (f *storeFlood) concerns(r *http.Request) bool {
	return f.kind == "" || strings.HasPrefix(r.URL.Path, "/objects/"+f.kind)
}

// endlessPages answers each call with a complete page that is followed by another one.
func endlessPages() flood {
	var page atomic.Int64
	spec := strings.Repeat("x", 900<<10)
	return func(c net.Conn, _ *http.Request) {
		text := fmt.Sprintf(`{"Entries":[{"Metadata":{"Name":"n%012d","Revision":9},"Spec":"%s"}],"HasMore":true,"AsOf":9}`, page.Add(1), spec)
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: %d\r\n\r\n%s", len(text), text)
	}
}

// soundRoute is the route that is served in all tests.
const soundRoute = `{"Name":"sound","Host":"h","PathPrefix":"/sound/","Service":"sound","RouteType":"idempotent","TimeoutMs":5000,"MaxAttempts":2}`

const (
	okHead      = "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"
	chunkedHead = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	// documentBytes is the size of complete documents, a little less than a router reads.
	documentBytes = 7 << 20
)

// storeFloods returns what a faulty store sends. sound is the object of the sound target.
func storeFloods(sound string) map[string]storeFlood {
	return map[string]storeFlood{
		"garbage":             {"", endless("", "\x00garbage")},
		"status line":         {"", endless("HTTP/1.1 200 ", "x")},
		"header line":         {"", endless("HTTP/1.1 200 OK\r\nX: ", "x")},
		"header lines":        {"", endless("HTTP/1.1 200 OK\r\n", "X: y\r\n")},
		"interim responses":   {"", endless("", "HTTP/1.1 103 Early Hints\r\nX: y\r\n\r\n")},
		"body without length": {"", endless(okHead, "x")},
		"body with length":    {"", endless("HTTP/1.1 200 OK\r\nContent-Length: 68719476736\r\n\r\n", "x")},
		"chunk":               {"", endless(chunkedHead+"1000000000\r\n", "x")},
		"chunks":              {"", endless(chunkedHead, "4\r\nabcd\r\n")},
		"chunk extension":     {"", endless(chunkedHead+"5;", "x")},
		"trailer":             {"", endless(chunkedHead+"0\r\n", "X: y\r\n")},
		"refusal":             {"", endless("HTTP/1.1 503 Service Unavailable\r\n\r\n", "x")},
		"entries":             onLists(platform.KindTargets, endless(okHead+`{"Entries":[`, `{"Metadata":{"Name":"n","Revision":9},"Spec":{}},`)),
		"one entry":           onLists(platform.KindTargets, endless(okHead+`{"Entries":[{"Metadata":{"Name":"n","Revision":9},"Spec":"`, "x")),
		"events":              {"", endless(okHead+`{"events":[`, `{"Object":{"Metadata":{"Name":"n","Revision":9},"Spec":{}}},`)},
		"slow head":           {"", slowly("HTTP/1.1 200 OK\r\nX: ")},
		"slow body":           {"", slowly(okHead)},
		"pages":               onLists(platform.KindTargets, endlessPages()),
		"short entries":       onLists(platform.KindTargets, document(documentBytes, `{"AsOf":9,"Entries":[0`, ",0", `]}`)),
		"short events":        {"", document(documentBytes, `{"AsOf":9,"events":[0`, ",0", `]}`)},
		"deep entry":          onLists(platform.KindTargets, document(documentBytes, `{"AsOf":9,"Entries":[{"Metadata":{"Name":"n","Revision":9},"Spec":`, `{"a":[`, ``)),
		"short routes":        onLists(platform.KindConfig, document(documentBytes, `{"AsOf":9,"Entries":[{"Metadata":{"Name":"main","Revision":9},"Spec":{"Version":9,"Routes":[`+soundRoute, ",{}", `]}}]}`)),
		"short keys":          onLists(platform.KindConfig, document(documentBytes, `{"AsOf":9,"Entries":[{"Metadata":{"Name":"main","Revision":9},"Spec":{"Version":9,"Routes":[`+soundRoute+`],"Limits":{"MaxBodyBytes":1000},"Tenants":[{"ApiKeys":[""`, `,""`, `]}]}}]}`)),
		"targets without end": onLists(platform.KindTargets, manyTargets(sound)),
		"members without end": {"", manyMembers()},
	}
}

// manyTargets answers with the sound target and as many others as fit.
func manyTargets(sound string) flood {
	var text strings.Builder
	text.WriteString(`{"AsOf":9,"Entries":[` + sound)
	for n := 0; text.Len() < documentBytes; n++ {
		_, _ = fmt.Fprintf(&text, `,{"Metadata":{"Name":"n%d","Revision":9},"Spec":{"Service":"u%d","Address":"127.0.0.1:9","Zone":"d","Version":"v","State":"ready"}}`, n, n)
	}
	return document(0, text.String(), " ", `]}`)
}

// manyMembers answers with an object of as many members as fit.
func manyMembers() flood {
	var text strings.Builder
	text.WriteString(`{"AsOf":9`)
	for n := 0; text.Len() < documentBytes; n++ {
		_, _ = fmt.Fprintf(&text, `,"%x":0`, n)
	}
	return document(0, text.String(), " ", `}`)
}

// storeProxy passes calls on to a store, and answers them with a flood while one is set.
type storeProxy struct {
	store *standin.Store
	mu    sync.Mutex
	flood *storeFlood
	// floods counts the calls that got a flood, not counting later pages, and passed those that
	// were passed on since.
	floods, passed atomic.Int32
}

func (p *storeProxy) set(f *storeFlood) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.flood = f
	p.passed.Store(0)
}

// serve answers the calls of one connection.
func (p *storeProxy) serve(c net.Conn) {
	reader := bufio.NewReader(c)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		p.mu.Lock()
		f := p.flood
		p.mu.Unlock()
		if f != nil && f.concerns(request) {
			f.send(c, request)
			if !request.URL.Query().Has("After") {
				p.floods.Add(1)
			}
			return
		}
		if err := p.pass(c, request); err != nil {
			return
		}
	}
}

// pass answers a call with the response of the store.
func (p *storeProxy) pass(c net.Conn, request *http.Request) error {
	request.URL.Scheme, request.URL.Host, request.RequestURI = "http", p.store.Addr(), ""
	if query := request.URL.Query(); query.Has("Watch") {
		// Short watches let a flood begin soon.
		query.Set("WaitMs", "100")
		request.URL.RawQuery = query.Encode()
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	p.passed.Add(1)
	return response.Write(c)
}

// startStore returns a store with a sound target of /sound/ and a target at another address of
// /flooding/, and the proxy in front of it, with its address.
func startStore(t *testing.T, flooding string) (*storeProxy, string, *standin.Target) {
	t.Helper()
	store, err := standin.StartStore("")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(store.Close)
	target := &standin.Target{ID: "sound", Service: "sound", Zone: "d"}
	if err := target.Start(""); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(target.Close)
	config := standin.Config{Version: 1, Plain: []string{"sound", "flooding"}, Routes: []standin.Route{
		{Name: "sound", Host: "h", Prefix: "/sound/", Service: "sound", MaxTargets: 2, Repeatable: true, Timeout: 5 * time.Second},
		{Name: "flooding", Host: "h", Prefix: "/flooding/", Service: "flooding", MaxTargets: 1, Timeout: 2 * time.Second},
	}}
	store.Put(platform.KindConfig, platform.ConfigName, config.Spec())
	store.Put(platform.KindTargets, "sound", target.Entry("ready"))
	if flooding != "" {
		other := &standin.Target{ID: "flooding", Service: "flooding", Zone: "d"}
		store.Put(platform.KindTargets, "flooding", other.EntryAt("ready", flooding))
	}
	proxy := &storeProxy{store: store}
	return proxy, conntest.Serve(t, proxy.serve), target
}

// soundObject returns the store's object of a target.
func soundObject(t *testing.T, target *standin.Target) string {
	t.Helper()
	object, err := json.Marshal(map[string]any{"Metadata": map[string]any{"Name": target.ID, "Revision": 8}, "Spec": target.Entry("ready")})
	if err != nil {
		t.Fatal(err)
	}
	return string(object)
}

// floodsOfEachKind is how many lists and watches of a router get a flood of one kind.
const floodsOfEachKind = 6

// callsAfterFloods is how many calls the router makes until it has read all floods.
const callsAfterFloods = 6

// TestFloodsOfStore lets the store answer with bytes that are no answer, without end. The router
// must stay within the memory of its VM and serve clients meanwhile.
func TestFloodsOfStore(t *testing.T) {
	for name := range storeFloods("") {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			proxy, addr, target := startStore(t, "")
			f := storeFloods(soundObject(t, target))[name]
			router := startRouter(t, nextIP(), addr)
			before := router.peakMB()
			finish := router.serveMeanwhile(target)
			proxy.set(&f)
			await.Until(t, "the floods to end", func() bool {
				return proxy.floods.Load() >= floodsOfEachKind || router.peakMB() > memoryMB
			})
			proxy.set(nil)
			await.Until(t, "the router to follow the store", func() bool {
				return proxy.passed.Load() >= callsAfterFloods || router.peakMB() > memoryMB
			})
			finish()
			router.checkMemory(before)
		})
	}
}
