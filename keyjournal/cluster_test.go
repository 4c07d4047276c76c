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

// cluster is a set of routers whose journals share one stand-in store, with the
// oracle that checks them. It runs in a synctest bubble, so that time advances
// only when all goroutines are blocked.
type cluster struct {
	objects   *standin.Objects
	wrapStore func(objectapi.Store) objectapi.Store
	nodes     []*node
	// views holds the indexes of the members that each router sees.
	views  [][]int
	values settings.Journal

	oracle *oracle
}

// node is one router with its journal and its injected faults.
type node struct {
	cluster *cluster
	index   int
	journal atomic.Pointer[Journal]
	cancel  context.CancelFunc
	done    chan struct{}
	faults  *nodeFaults
}

func newCluster(wrapStore func(objectapi.Store) objectapi.Store) *cluster {
	c := &cluster{
		objects:   standin.NewObjects(standin.ObjectsConfig{Seed: 1}),
		wrapStore: wrapStore,
		oracle:    newOracle(),
		values:    settings.Journal{Shards: testShards, RetentionMS: settings.Millis(testRetention.Milliseconds()), BatchMS: 5},
	}
	for i := range routerCount {
		c.nodes = append(c.nodes, &node{cluster: c, index: i, faults: &nodeFaults{}})
		c.views = append(c.views, []int{0, 1, 2, 3})
	}
	for _, n := range c.nodes {
		n.start(0)
	}
	return c
}

func (c *cluster) settings() settings.Journal {
	c.oracle.mu.Lock()
	defer c.oracle.mu.Unlock()
	return c.values
}

func (c *cluster) close() {
	for _, n := range c.nodes {
		n.crash()
	}
}

func (n *node) id() fleet.RouterID {
	return fleet.RouterID(fmt.Sprintf("router-%d", n.index))
}

// start starts a new journal whose clock is ahead by skew.
func (n *node) start(skew time.Duration) {
	journal, err := New(Config{
		Store:      n.cluster.wrapStore(&nodeStore{node: n}),
		PeerClient: &nodeCaller{node: n},
		Self:       n.id(),
		Members:    n.members,
		Settings:   n.cluster.settings,
		Clock:      func() time.Time { return time.Now().Add(skew) },
		Log:        zerolog.Nop(),
		Metrics:    metrics.NewSet(),
	})
	if err != nil {
		panic(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	n.journal.Store(journal)
	n.cancel, n.done = cancel, make(chan struct{})
	go func(done chan struct{}) {
		defer close(done)
		_ = journal.Run(ctx)
	}(n.done)
}

// crash stops the journal and prevents it from recording what is left.
func (n *node) crash() {
	n.faults.set(func(f *faultSet) { f.isolated = true })
	n.cancel()
	<-n.done
	n.faults.set(func(f *faultSet) { *f = faultSet{} })
}

func (n *node) members() []fleet.Router {
	n.cluster.oracle.mu.Lock()
	defer n.cluster.oracle.mu.Unlock()
	var routers []fleet.Router
	for _, i := range n.cluster.views[n.index] {
		other := n.cluster.nodes[i]
		routers = append(routers, fleet.Router{ID: other.id(), PeerAddr: string(other.id())})
	}
	return routers
}

func (c *cluster) setView(router int, view []int) {
	c.oracle.mu.Lock()
	defer c.oracle.mu.Unlock()
	c.views[router] = slices.Clone(view)
}

// nodeStore is one router's connection to the platform.
type nodeStore struct {
	objectapi.Store
	node *node
}

func (s *nodeStore) Get(ctx context.Context, kind, name string) (objectapi.Object, error) {
	if s.node.faults.get().isolated {
		return objectapi.Object{}, objectapi.ErrUnavailable
	}
	return s.node.cluster.objects.Get(ctx, kind, name)
}

func (s *nodeStore) Put(ctx context.Context, kind, name string, data []byte, ifVersion uint64) (uint64, error) {
	if s.node.faults.get().isolated {
		return 0, objectapi.ErrUnavailable
	}
	if delay := s.node.faults.takeWriteDelay(); delay > 0 {
		go func() {
			time.Sleep(delay)
			_, _ = s.node.cluster.objects.Put(context.Background(), kind, name, data, ifVersion)
		}()
		return 0, objectapi.ErrResultUnknown
	}
	return s.node.cluster.objects.Put(ctx, kind, name, data, ifVersion)
}

func (s *nodeStore) Delete(ctx context.Context, kind, name string, ifVersion uint64) (uint64, error) {
	return s.node.cluster.objects.Delete(ctx, kind, name, ifVersion)
}

// nodeCaller passes calls between journals in the same process.
type nodeCaller struct {
	node *node
}

func (c *nodeCaller) Call(ctx context.Context, addr string, _ peer.Method, req, resp any) error {
	var callee *node
	for _, n := range c.node.cluster.nodes {
		if string(n.id()) == addr {
			callee = n
		}
	}
	if callee.faults.get().isolated || callee.faults.get().peersUnreachable || c.node.faults.get().peersUnreachable {
		return peer.ErrUnreachable
	}
	payload, err := cbor.Marshal(req)
	if err != nil {
		return err
	}
	reply, err := callee.journal.Load().handleCall(ctx, c.node.id(), payload)
	if err != nil {
		return errors.Join(peer.ErrRemote, err)
	}
	if c.node.faults.takeLostReply() {
		return peer.ErrBroken
	}
	encoded, err := cbor.Marshal(reply)
	if err != nil {
		return err
	}
	return cbor.Unmarshal(encoded, resp)
}

func (c *nodeCaller) Send(string, peer.Method, any) error {
	return nil
}
