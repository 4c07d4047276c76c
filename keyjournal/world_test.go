package keyjournal

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync/atomic"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rs/zerolog"

	"ragwortpond.example/ragwortpond/fleet"
	"ragwortpond.example/ragwortpond/metrics"
	"ragwortpond.example/ragwortpond/objectapi"
	"ragwortpond.example/ragwortpond/peer"
	"ragwortpond.example/ragwortpond/settings"
	"ragwortpond.example/ragwortpond/standin"
)

const (
	testShards    = 2
	testRetention = 10 * time.Minute
	routerCount   = 4
)

// world is a fleet of journals over one stand-in store, with the oracle: the
// set of what ran. It runs in a synctest bubble, so that time passes only when
// all goroutines wait.
type world struct {
	objects *standin.Objects
	wrap    func(objectapi.Store) objectapi.Store
	nodes   []*node
	views   [][]int
	values  settings.Journal

	oracle *oracle
}

// node is one router: its journal and its faults.
type node struct {
	world  *world
	index  int
	log    atomic.Pointer[Log]
	cancel context.CancelFunc
	ended  chan struct{}
	faults *nodeFaults
}

func newWorld(wrap func(objectapi.Store) objectapi.Store) *world {
	w := &world{
		objects: standin.NewObjects(standin.ObjectsConfig{Seed: 1}),
		wrap:    wrap,
		oracle:  newOracle(),
		values:  settings.Journal{Shards: testShards, RetentionMS: settings.Millis(testRetention.Milliseconds()), BatchMS: 5},
	}
	for i := range routerCount {
		w.nodes = append(w.nodes, &node{world: w, index: i, faults: &nodeFaults{}})
		w.views = append(w.views, []int{0, 1, 2, 3})
	}
	for _, n := range w.nodes {
		n.start(0)
	}
	return w
}

func (w *world) settings() settings.Journal {
	w.oracle.mu.Lock()
	defer w.oracle.mu.Unlock()
	return w.values
}

func (w *world) close() {
	for _, n := range w.nodes {
		n.crash()
	}
}

func (n *node) id() fleet.RouterID {
	return fleet.RouterID(fmt.Sprintf("router-%d", n.index))
}

// start starts the journal with a clock that is off by skew.
func (n *node) start(skew time.Duration) {
	log, err := New(Config{
		Store:   n.world.wrap(&nodeStore{node: n}),
		Caller:  &nodeCaller{node: n},
		Self:    n.id(),
		Members: n.members,
		Values:  n.world.settings,
		Clock:   func() time.Time { return time.Now().Add(skew) },
		Log:     zerolog.Nop(),
		Metrics: metrics.NewSet(),
	})
	if err != nil {
		panic(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	n.log.Store(log)
	n.cancel, n.ended = cancel, make(chan struct{})
	go func(ended chan struct{}) {
		defer close(ended)
		_ = log.Run(ctx)
	}(n.ended)
}

// crash ends the journal without letting it record what is left.
func (n *node) crash() {
	n.faults.set(func(f *faultSet) { f.cut = true })
	n.cancel()
	<-n.ended
	n.faults.set(func(f *faultSet) { *f = faultSet{} })
}

func (n *node) members() []fleet.Router {
	n.world.oracle.mu.Lock()
	defer n.world.oracle.mu.Unlock()
	var routers []fleet.Router
	for _, i := range n.world.views[n.index] {
		other := n.world.nodes[i]
		routers = append(routers, fleet.Router{ID: other.id(), PeerAddr: string(other.id())})
	}
	return routers
}

func (w *world) setView(router int, view []int) {
	w.oracle.mu.Lock()
	defer w.oracle.mu.Unlock()
	w.views[router] = slices.Clone(view)
}

// nodeStore is the platform as one router reaches it.
type nodeStore struct {
	objectapi.Store
	node *node
}

func (s *nodeStore) Get(ctx context.Context, kind, name string) (objectapi.Object, error) {
	if s.node.faults.get().cut {
		return objectapi.Object{}, objectapi.ErrUnavailable
	}
	return s.node.world.objects.Get(ctx, kind, name)
}

func (s *nodeStore) Put(ctx context.Context, kind, name string, data []byte, ifVersion uint64) (uint64, error) {
	if s.node.faults.get().cut {
		return 0, objectapi.ErrUnavailable
	}
	if late := s.node.faults.takeLate(); late > 0 {
		go func() {
			time.Sleep(late)
			_, _ = s.node.world.objects.Put(context.Background(), kind, name, data, ifVersion)
		}()
		return 0, objectapi.ErrUnknown
	}
	return s.node.world.objects.Put(ctx, kind, name, data, ifVersion)
}

func (s *nodeStore) Delete(ctx context.Context, kind, name string, ifVersion uint64) (uint64, error) {
	return s.node.world.objects.Delete(ctx, kind, name, ifVersion)
}

// nodeCaller carries calls between journals in process.
type nodeCaller struct {
	node *node
}

func (c *nodeCaller) Call(ctx context.Context, addr string, _ peer.Method, req, resp any) error {
	var to *node
	for _, n := range c.node.world.nodes {
		if string(n.id()) == addr {
			to = n
		}
	}
	if to.faults.get().cut || to.faults.get().apart || c.node.faults.get().apart {
		return peer.ErrUnreachable
	}
	payload, err := cbor.Marshal(req)
	if err != nil {
		return err
	}
	answer, err := to.log.Load().answer(ctx, c.node.id(), payload)
	if err != nil {
		return errors.Join(peer.ErrRemote, err)
	}
	if c.node.faults.takeLostCall() {
		return peer.ErrBroken
	}
	encoded, err := cbor.Marshal(answer)
	if err != nil {
		return err
	}
	return cbor.Unmarshal(encoded, resp)
}

func (c *nodeCaller) Send(string, peer.Method, any) error {
	return nil
}
