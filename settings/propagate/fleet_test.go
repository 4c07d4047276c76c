package propagate

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rs/zerolog"

	"ragwortpond.example/ragwortpond/fleet"
	"ragwortpond.example/ragwortpond/objectapi"
	"ragwortpond.example/ragwortpond/peer"
)

// loss is the fault injected into the next call to an address.
type loss int

const (
	noLoss loss = iota
	loseRequest
	loseAnswer
)

// network passes calls between the routers of a test within the process, and
// injects faults.
type network struct {
	mu             sync.Mutex
	nodes          map[string]*testNode
	partitioned    map[[2]fleet.DomainName]bool
	nextLoss       map[string]loss
	recordedPushes [][]byte
	highestListed  atomic.Uint64
}

// testNode is one router of a test.
type testNode struct {
	*Service
	self  fleet.Router
	store *faultyStore
	stop  func()
}

func newNetwork() *network {
	return &network{nodes: map[string]*testNode{}, partitioned: map[[2]fleet.DomainName]bool{}, nextLoss: map[string]loss{}}
}

// testCaller is the peer.Client of one router.
type testCaller struct {
	network *network
	from    fleet.Router
}

func (c testCaller) Send(string, peer.Method, any) error { return nil }

func (c testCaller) Call(ctx context.Context, addr string, method peer.Method, req, resp any) error {
	payload, err := cbor.Marshal(req)
	if err != nil {
		return err
	}
	to, lost := c.network.route(c.from, addr, method, payload)
	if to == nil || lost == loseRequest {
		return peer.ErrUnreachable
	}
	answer, err := to.serve(ctx, c.from.ID, method, payload)
	if err != nil {
		return fmt.Errorf("%w: %w", peer.ErrRemote, err)
	}
	if lost == loseAnswer {
		return peer.ErrBroken
	}
	encoded, err := cbor.Marshal(answer)
	if err != nil {
		return err
	}
	return cbor.Unmarshal(encoded, resp)
}

const maxRecordedPushes = 32

// route returns the node that receives a call, nil if it is not reachable, and
// the fault to inject. It records the payloads of pushes.
func (n *network) route(from fleet.Router, addr string, method peer.Method, payload []byte) (*testNode, loss) {
	n.mu.Lock()
	defer n.mu.Unlock()
	to := n.nodes[addr]
	if to == nil || n.partitioned[[2]fleet.DomainName{from.Domain, to.self.Domain}] {
		return nil, noLoss
	}
	if method == peer.MethodSettingsPush {
		n.recordedPushes = append(n.recordedPushes, payload)
		n.recordedPushes = n.recordedPushes[max(0, len(n.recordedPushes)-maxRecordedPushes):]
	}
	lost := n.nextLoss[addr]
	delete(n.nextLoss, addr)
	return to, lost
}

func (n *testNode) serve(ctx context.Context, from fleet.RouterID, method peer.Method, payload []byte) (any, error) {
	switch method {
	case peer.MethodSettingsPush:
		return n.handlePush(ctx, from, payload)
	case peer.MethodSettingsDigest:
		return n.handleDigest(ctx, from, payload)
	case peer.MethodSettingsFetch:
		return n.handleFetch(ctx, from, payload)
	}
	return nil, peer.ErrNoHandler
}

// faultyStore is one router's store. It can be made unavailable, and can repeat
// the last page of changes that it returned.
type faultyStore struct {
	objectapi.Store
	mu          sync.Mutex
	unavailable bool
	replay      bool
	changes     []objectapi.Change
	to          uint64
	// beforeList is called before each list, so that tests can make changes
	// between the lists of two kinds.
	beforeList func()
	// highestListed is the highest revision of a listing in the whole fleet.
	highestListed *atomic.Uint64
}

func (s *faultyStore) Watch(ctx context.Context, kinds []string, from uint64, wait time.Duration) ([]objectapi.Change, uint64, error) {
	if s.isUnavailable() {
		return nil, 0, objectapi.ErrUnavailable
	}
	s.mu.Lock()
	if s.replay {
		defer s.mu.Unlock()
		s.replay = false
		return s.changes, s.to, nil
	}
	s.mu.Unlock()
	changes, to, err := s.Store.Watch(ctx, kinds, from, wait)
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(changes) > 0 {
		s.changes, s.to = changes, to
	}
	return changes, to, err
}

func (s *faultyStore) List(ctx context.Context, kind string) ([]objectapi.Object, uint64, error) {
	if s.isUnavailable() {
		return nil, 0, objectapi.ErrUnavailable
	}
	if s.beforeList != nil {
		s.beforeList()
	}
	objects, revision, err := s.Store.List(ctx, kind)
	s.highestListed.Store(max(s.highestListed.Load(), revision))
	return objects, revision, err
}

func (s *faultyStore) isUnavailable() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.unavailable
}

// startNode starts a router without the loops of Run. The caller must load the
// settings to make it ready.
func (n *network) startNode(t testing.TB, self fleet.Router, store objectapi.Store, members func() []fleet.Router, intN func(int) int, pageBytes int) *testNode {
	node := &testNode{self: self, store: &faultyStore{Store: store, highestListed: &n.highestListed}}
	node.Service = New(Config{
		Self: self, Store: node.store, PeerClient: testCaller{n, self}, Members: members, Log: zerolog.Nop(), IntN: intN,
		pageBytes: pageBytes,
	})
	stop, err := node.startOwner()
	if err != nil {
		t.Fatal(err)
	}
	node.stop = stop
	n.mu.Lock()
	defer n.mu.Unlock()
	n.nodes[self.PeerAddr] = node
	return node
}

// runQueued runs the queued exchanges and pushes.
func (n *testNode) runQueued(ctx context.Context) {
	for len(n.queuedPulls) > 0 {
		n.pull(ctx, <-n.queuedPulls)
	}
	for len(n.queuedPages) > 0 {
		n.startPushes(ctx, <-n.queuedPages)
		n.activePushes.running.Wait()
	}
}

func testRouters(perDomain int, domains ...fleet.DomainName) []fleet.Router {
	var routers []fleet.Router
	for _, d := range domains {
		for i := range perDomain {
			id := fmt.Sprintf("%s-r%d", d, i+1)
			routers = append(routers, fleet.Router{ID: fleet.RouterID(id), Domain: d, PeerAddr: id})
		}
	}
	return routers
}
