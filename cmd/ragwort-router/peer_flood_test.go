package main

import (
	"bufio"
	"bytes"
	"compress/flate"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"ragwortpond.example/ragwortpond/await"
	"ragwortpond.example/ragwortpond/conntest"
	"ragwortpond.example/ragwortpond/fleet"
	"ragwortpond.example/ragwortpond/mesh"
)

// faultyPeer is a router of the fleet that sends what its test makes up.
type faultyPeer struct {
	t    *testing.T
	ip   string
	udp  *net.UDPConn
	to   *net.UDPAddr
	sent int
	// connections counts the requests that it has got, requests those that it has answered.
	connections, requests atomic.Int32
}

// startFaultyPeer starts a router that answers every request of another one with answer.
func startFaultyPeer(t *testing.T, to *routerProcess, answer flood) *faultyPeer {
	t.Helper()
	p := &faultyPeer{t: t, ip: nextIP()}
	addr, err := net.ResolveUDPAddr("udp4", p.ip+peerPort)
	if err != nil {
		t.Fatal(err)
	}
	if p.to, err = net.ResolveUDPAddr("udp4", to.ip+peerPort); err != nil {
		t.Fatal(err)
	}
	if p.udp, err = net.ListenUDP("udp4", addr); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = p.udp.Close() })
	conntest.ServeAt(t, p.ip+peerPort, func(c net.Conn) {
		if r, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
			p.connections.Add(1)
			answer(c, r)
			p.requests.Add(1)
		}
	})
	return p
}

// datagramsPerPause bounds the pace of datagrams, so that the router's socket loses few.
const datagramsPerPause = 50

// send sends a heartbeat, or raw bytes.
func (p *faultyPeer) send(datagram any) {
	p.t.Helper()
	data, ok := datagram.([]byte)
	if !ok {
		var err error
		if data, err = cbor.Marshal(datagram); err != nil {
			p.t.Fatal(err)
		}
	}
	if _, err := p.udp.WriteToUDP(data, p.to); err != nil {
		p.t.Fatal(err)
	}
	if p.sent++; p.sent%datagramsPerPause == 0 {
		time.Sleep(time.Millisecond)
	}
}

// heartbeat returns a heartbeat of the peer that claims to have newer data than any other router.
func (p *faultyPeer) heartbeat() *mesh.Heartbeat {
	return &mesh.Heartbeat{
		From: fleet.RouterID(p.ip), Domain: "d", Incarnation: 1, Watching: true, Strength: 2,
		ConfigRevision: 1 << 30, ConfigVersion: 1 << 30, TargetsDigest: uint64(p.sent + 1), TargetsRevision: 1 << 30,
	}
}

// noStore closes each connection to the store, so that the router follows other routers.
var noStore = storeFlood{"", func(net.Conn, *http.Request) {}}

func deflated(t *testing.T, data []byte) []byte {
	t.Helper()
	var out bytes.Buffer
	w, err := flate.NewWriter(&out, flate.BestCompression)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := w.Write(data); err != nil {
		t.Fatal(err)
	}
	if err := w.Close(); err != nil {
		t.Fatal(err)
	}
	return out.Bytes()
}

// snapshot answers with a complete view.
func snapshot(t *testing.T, s mesh.Snapshot) flood {
	t.Helper()
	data, err := cbor.Marshal(s)
	if err != nil {
		t.Fatal(err)
	}
	return document(0, string(data), " ", "")
}

// manyChanges returns a list of short changes.
func manyChanges(t *testing.T, n int, spec string) []byte {
	t.Helper()
	changes := make([]mesh.Change, n)
	for i := range changes {
		changes[i] = mesh.Change{Name: fmt.Sprintf("n%d", i), Revision: 1, Spec: []byte(spec)}
	}
	data, err := cbor.Marshal(changes)
	if err != nil {
		t.Fatal(err)
	}
	return data
}

const validSpec = `{"Service":"u","Address":"127.0.0.1:9","Zone":"d","Version":"v","State":"ready"}`

// viewFloods returns what a faulty router answers to fetches of its view.
func viewFloods(t *testing.T) map[string]flood {
	t.Helper()
	const views = 16 << 20
	repeated := func(prefix, text, suffix string) []byte {
		return deflated(t, []byte(prefix+strings.Repeat(text, (views-1<<10)/len(text))+suffix))
	}
	return map[string]flood{
		"garbage":           endless("", "\x00garbage"),
		"status line":       endless("HTTP/1.1 200 ", "x"),
		"header lines":      endless("HTTP/1.1 200 OK\r\n", "X: y\r\n"),
		"interim responses": endless("", "HTTP/1.1 103 Early Hints\r\nX: y\r\n\r\n"),
		"body":              endless(okHead, "x"),
		"body of one text":  endless(okHead+"\xa1\x02\x5a\xff\xff\xff\xff", "x"),
		"body of a list":    endless(okHead+"\xa1\x02\x9f", "\x00"),
		"chunk":             endless(chunkedHead+"1000000000\r\n", "x"),
		"chunk extension":   endless(chunkedHead+"5;", "x"),
		"trailer":           endless(chunkedHead+"0\r\n", "X: y\r\n"),
		"slow body":         slowly(okHead),
		"long both":         snapshot(t, mesh.Snapshot{ConfigRevision: 1 << 30, Config: repeated(`{"Version":9,"Routes":[`+soundRoute, ",{}", `]}`), TargetsRevision: 1 << 30, Targets: repeated("\x9a\x00\x01\xff\xff", "\x84\x61\x61\x01\xf4\x41\x7b", "")}),
		"many targets":      snapshot(t, mesh.Snapshot{TargetsRevision: 1 << 30, Targets: deflated(t, manyChanges(t, 100_000, validSpec))}),
		"many short ones":   snapshot(t, mesh.Snapshot{TargetsRevision: 1 << 30, Targets: deflated(t, manyChanges(t, 131_000, ""))}),
	}
}

// viewFetches is how many fetches of a view get a flood of one kind.
const viewFetches = 4

// TestFloodsOfRoutersViews lets a router without a store fetch the view of another router, which
// answers with bytes that are no view, or with one that is too long.
func TestFloodsOfRoutersViews(t *testing.T) {
	for name, answer := range viewFloods(t) {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			proxy, addr, target := startStore(t, "")
			router := startRouter(t, nextIP(), addr)
			peer := startFaultyPeer(t, router, answer)
			before := router.peakMB()
			finish := func() {}
			if name != "many targets" && name != "many short ones" {
				finish = router.serveMeanwhile(target)
			}
			proxy.set(&noStore)
			await.Until(t, "the view to be fetched", func() bool {
				peer.send(peer.heartbeat())
				time.Sleep(20 * time.Millisecond)
				return peer.requests.Load() >= viewFetches || router.peakMB() > memoryMB
			})
			finish()
			router.checkMemory(before)
		})
	}
}

// checkMemory fails the test if the router has needed more than the memory of its VM.
func (p *routerProcess) checkMemory(before int) {
	p.t.Helper()
	peak := p.peakMB()
	p.t.Logf("memory: %d MB before, %d MB at the most; %d descriptors", before, peak, p.descriptors())
	if peak > memoryMB {
		p.t.Errorf("%d MB resident, want at most %d", peak, memoryMB)
	}
}

// datagramFloods are datagrams of a faulty router, by their number.
var datagramFloods = map[string]func(p *faultyPeer, n int) any{
	"garbage": func(_ *faultyPeer, n int) any { return bytes.Repeat([]byte{byte(n)}, 1400) },
	"nested":  func(*faultyPeer, int) any { return bytes.Repeat([]byte{0x81}, 1400) },
	"routers": func(p *faultyPeer, n int) any {
		hb := p.heartbeat()
		hb.From = fleet.RouterID(fmt.Sprintf("%d-%s", n, strings.Repeat("x", 1200)))
		return hb
	},
	"routers that ask for a reply": func(p *faultyPeer, n int) any {
		hb := p.heartbeat()
		hb.From, hb.Joining = fleet.RouterID(fmt.Sprint(n)), true
		return hb
	},
	"routers with splits": func(p *faultyPeer, n int) any {
		hb := p.heartbeat()
		hb.From = fleet.RouterID(fmt.Sprint("r", n%1000))
		for i := range 4 {
			hb.Splits = append(hb.Splits, mesh.SplitReport{Service: fleet.ServiceName(fmt.Sprintf("%d-%d-%s", n, i, strings.Repeat("x", 280))), Revision: 1})
		}
		return hb
	},
	"targets": func(p *faultyPeer, n int) any {
		hb := p.heartbeat()
		for i := range 6 {
			hb.Changes = append(hb.Changes, mesh.Change{Name: fmt.Sprintf("n%d-%d", n, i), Revision: 1 << 20, Spec: []byte(validSpec)})
		}
		return hb
	},
	"long targets": func(p *faultyPeer, n int) any {
		hb := p.heartbeat()
		spec := strings.Replace(validSpec, "{", `{"x":"`+strings.Repeat("x", 1000)+`",`, 1)
		hb.Changes = []mesh.Change{{Name: fmt.Sprintf("n%d", n), Revision: 1 << 20, Spec: []byte(spec)}}
		return hb
	},
}

// floodDatagrams is how many datagrams a faulty router sends.
const floodDatagrams = 20_000

// TestFloodsOfRoutersDatagrams lets a router send datagrams without a pause.
func TestFloodsOfRoutersDatagrams(t *testing.T) {
	for name, datagram := range datagramFloods {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			proxy, addr, target := startStore(t, "")
			router := startRouter(t, nextIP(), addr)
			peer := startFaultyPeer(t, router, endless("", "x"))
			before := router.peakMB()
			proxy.set(&noStore)
			await.Until(t, "the router to be without the store", func() bool { return proxy.floods.Load() >= 3 })
			finish := router.serveMeanwhile(target)
			for n := 0; n < floodDatagrams && router.peakMB() <= memoryMB; n++ {
				peer.send(datagram(peer, n))
			}
			finish()
			router.checkMemory(before)
		})
	}
}
