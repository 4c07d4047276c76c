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

// loss is what happens to the next call to an address.
type loss int

const (
	noLoss loss = iota
	loseRequest
	loseAnswer
)

// network carries calls between the routers of a test in one process.
type network struct {
	mu       sync.Mutex
	nodes    map[string]*node
	cut      map[[2]fleet.DomainName]bool
	next     map[string]loss
	recorded [][]byte
	listed   atomic.Uint64
}

// node is one router of a test.
type node struct {
	*Service
	self  fleet.Router
	store *cutStore
	stop  func()
}

func newNetwork() *network {
	return &network{nodes: map[string]*node{}, cut: map[[2]fleet.DomainName]bool{}, next: map[string]loss{}}
}

// link is the Caller of one router.
type link struct {
	net  *network
	from fleet.Router
}

func (l link) Send(string, peer.Method, any) error { return nil }

func (l link) Call(ctx context.Context, addr string, method peer.Method, req, resp any) error {
	payload, err := cbor.Marshal(req)
	if err != nil {
		return err
	}
	to, lost := l.net.route(l.from, addr, method, payload)
	if to == nil || lost == loseRequest {
		return peer.ErrUnreachable
	}
	answer, err := to.serve(ctx, l.from.ID, method, payload)
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

const maxRecorded = 32

func (n *network) route(from fleet.Router, addr string, method peer.Method, payload []byte) (*node, loss) {
	n.mu.Lock()
	defer n.mu.Unlock()
	to := n.nodes[addr]
	if to == nil || n.cut[[2]fleet.DomainName{from.Domain, to.self.Domain}] {
		return nil, noLoss
	}
	if method == peer.MethodSettingsPush {
		n.recorded = append(n.recorded, payload)
		n.recorded = n.recorded[max(0, len(n.recorded)-maxRecorded):]
	}
	lost := n.next[addr]
	delete(n.next, addr)
	return to, lost
}

func (n *node) serve(ctx context.Context, from fleet.RouterID, method peer.Method, payload []byte) (any, error) {
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

// cutStore cuts one router off from the platform and can replay an old page.
type cutStore struct {
	objectapi.Store
	mu      sync.Mutex
	cut     bool
	replay  bool
	changes []objectapi.Change
	to      uint64
	// beforeList runs before each list, to let changes fall between two.
	beforeList func()
	// listed is the highest revision of a listing in the whole fleet.
	listed *atomic.Uint64
}

func (s *cutStore) Watch(ctx context.Context, kinds []string, from uint64, wait time.Duration) ([]objectapi.Change, uint64, error) {
	if s.isCut() {
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

func (s *cutStore) List(ctx context.Context, kind string) ([]objectapi.Object, uint64, error) {
	if s.isCut() {
		return nil, 0, objectapi.ErrUnavailable
	}
	if s.beforeList != nil {
		s.beforeList()
	}
	objects, revision, err := s.Store.List(ctx, kind)
	s.listed.Store(max(s.listed.Load(), revision))
	return objects, revision, err
}

func (s *cutStore) isCut() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.cut
}

// boot starts a router without its loops; load it to make it ready.
func (n *network) boot(t testing.TB, self fleet.Router, store objectapi.Store, members func() []fleet.Router, intN func(int) int, pageBytes int) *node {
	one := &node{self: self, store: &cutStore{Store: store, listed: &n.listed}}
	one.Service = New(Config{
		Self: self, Store: one.store, Caller: link{n, self}, Members: members, Log: zerolog.Nop(), IntN: intN,
		pageBytes: pageBytes,
	})
	stop, err := one.start()
	if err != nil {
		t.Fatal(err)
	}
	one.stop = stop
	n.mu.Lock()
	defer n.mu.Unlock()
	n.nodes[self.PeerAddr] = one
	return one
}

// drain sends the pushes and makes the exchanges that wait.
func (n *node) drain(ctx context.Context) {
	for len(n.pulls) > 0 {
		n.pull(ctx, <-n.pulls)
	}
	for len(n.outbox) > 0 {
		n.pushChildren(ctx, <-n.outbox)
		n.pushes.running.Wait()
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
