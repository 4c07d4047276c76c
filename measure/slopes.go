package measure

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"ragwortpond.example/ragwortpond/keys"
	"ragwortpond.example/ragwortpond/measure/testbed"
	"ragwortpond.example/ragwortpond/peer"
	"ragwortpond.example/ragwortpond/settings"
	"ragwortpond.example/ragwortpond/sleep"
	"ragwortpond.example/ragwortpond/standin"
)

func init() {
	Register(Scenario{
		Name:     "slopes",
		Summary:  "resource cost of a router by number of routers, chats, targets and tokens",
		Policies: []string{"ragwortpond"},
		Run:      runSlopes,
	})
}

const (
	slopeChats           = 400_000
	slopeTargets         = 10_000
	slopeRouters         = 100
	slopeServices        = 36
	slopeChanges         = 5
	slopeNodes           = 101
	slopeUsers           = 48
	slopeAnswerTokens    = 400
	slopeTokensPerSecond = 4000
	slopeStreamWindow    = 6 * time.Second
	slopeInForceTimeout  = 10 * time.Second
)

// slopesFigures holds the slopes from which docs/CAPACITY.md is calculated.
type slopesFigures struct {
	// TokensPerCore is the number of tokens streamed through entry and home per
	// second of CPU time. It is a lower bound, since the CPU time is that of the
	// whole process, including callers, stand-in engines and platform.
	TokensPerCore   float64 `json:"tokens_per_core_second"`
	RequestsPerCore float64 `json:"requests_per_core_second"`
	Tokens          int64   `json:"streamed_tokens"`
	Answers         int64   `json:"streamed_answers"`

	ControlBytes     map[string]float64 `json:"control_bytes_per_router_second"`
	WireBytes        map[string]float64 `json:"wire_bytes_per_router_second"`
	ControlCoreShare map[string]float64 `json:"control_core_share_per_router"`
	ControlHeapBytes map[string]float64 `json:"control_heap_bytes_per_router"`
	StoreCalls       map[string]float64 `json:"store_calls_per_second"`
	MaxSettingsLagMS map[string]float64 `json:"settings_in_force_max_ms"`
	BytesPerChat     float64            `json:"bytes_per_chat"`
	BytesPerTarget   float64            `json:"bytes_per_target"`
	// BytesPerConnection is the heap size of one end of a peer connection,
	// HandshakeCoreMS the CPU time of both ends to establish one, and
	// HandshakeBytes the bytes that both ends send for it in its first second.
	BytesPerConnection float64 `json:"bytes_per_connection"`
	HandshakeCoreMS    float64 `json:"handshake_core_ms"`
	HandshakeBytes     float64 `json:"handshake_wire_bytes"`
	// BytesPerMember is the heap size per router of the membership table and its
	// view.
	BytesPerMember float64 `json:"bytes_per_member"`
}

var slopeSizes = []controlSize{{6, 12, 2}, {24, 12, 2}, {48, 12, 2}}

func runSlopes(ctx context.Context, o Options) (Report, error) {
	f := slopesFigures{
		ControlBytes: map[string]float64{}, WireBytes: map[string]float64{}, ControlCoreShare: map[string]float64{},
		ControlHeapBytes: map[string]float64{}, StoreCalls: map[string]float64{}, MaxSettingsLagMS: map[string]float64{},
	}
	f.BytesPerChat = bytesPerChat()
	var err error
	if f.BytesPerTarget, err = bytesPerTarget(); err != nil {
		return Report{}, err
	}
	f.BytesPerMember = bytesPerMember()
	if err := f.measureConnections(ctx, o); err != nil {
		return Report{}, err
	}
	for _, size := range slopeSizes {
		if err := f.measureControl(ctx, o, size); err != nil {
			return Report{}, err
		}
	}
	if err := f.measureStreaming(ctx, o); err != nil {
		return Report{}, err
	}
	chart := &Chart{Title: "Control bytes with QUIC per router and second"}
	var group Group
	for _, size := range slopeSizes {
		key := fmt.Sprint(size.Routers)
		group.Bars = append(group.Bars, Bar{key + " routers", f.WireBytes[key]})
	}
	chart.Groups = append(chart.Groups, group)
	return Report{Results: []Result{{Policy: "ragwortpond", Figures: f}}, Chart: chart}, nil
}

// measureControl measures the control traffic of one fleet size, then the time
// until a settings change is in force on all its routers.
func (f *slopesFigures) measureControl(ctx context.Context, o Options, size controlSize) error {
	fmt.Fprintf(o.Progress, "%d routers\n", size.Routers)
	c, err := startControlFleet(ctx, size, o.Seed, o.Log)
	if err != nil {
		return err
	}
	defer c.close()
	run, err := c.measure(ctx, size)
	if err != nil {
		return err
	}
	key := fmt.Sprint(size.Routers)
	f.ControlBytes[key], f.WireBytes[key] = run.ControlBytes, run.WireBytes
	f.ControlCoreShare[key], f.ControlHeapBytes[key] = run.CoreShare, run.HeapBytes
	f.StoreCalls[key] = run.StoreCalls
	for i := range slopeChanges {
		lag, err := c.measureSettingsLag(ctx, i)
		if err != nil {
			return err
		}
		f.MaxSettingsLagMS[key] = max(f.MaxSettingsLagMS[key], float64(lag)/float64(time.Millisecond))
	}
	return nil
}

// measureConnections measures the cost of peer connections. One node calls all
// others; they have no handler, so the calls fail after the connection is made.
func (f *slopesFigures) measureConnections(ctx context.Context, o Options) error {
	c, err := startNodes(slopeNodes, o)
	if err != nil {
		return err
	}
	defer c.close()
	heapBefore, cpuBefore := heapInUseBytes(), processCPUTime()
	for _, n := range c.nodes[1:] {
		err := c.nodes[0].node.Call(ctx, n.self.PeerAddr, peer.MethodStatus, struct{}{}, nil)
		if !errors.Is(err, peer.ErrNoHandler) {
			return fmt.Errorf("call to %s: got %w, want an error for the missing handler", n.self.ID, err)
		}
	}
	connections := float64(len(c.nodes) - 1)
	f.HandshakeCoreMS = (processCPUTime() - cpuBefore).Seconds() * 1000 / connections
	_ = sleep.For(ctx, time.Second)
	for _, n := range c.nodes {
		f.HandshakeBytes += float64(n.node.SentWireBytes()) / connections
	}
	f.BytesPerConnection = (heapInUseBytes() - heapBefore) / connections / 2
	return ctx.Err()
}

// startNodes starts n peer nodes without any services on them.
func startNodes(n int, o Options) (*controlFleet, error) {
	f := &controlFleet{store: standin.NewObjects(standin.ObjectsConfig{}), cancel: func() {}}
	authority, err := keys.NewAuthority("ragwortpond experiment")
	if err != nil {
		return nil, err
	}
	for i := range n {
		node, err := f.newNode(authority, i, o.Seed, o.Log)
		if err != nil {
			f.close()
			return nil, err
		}
		node.node.Start()
	}
	return f, nil
}

// measureSettingsLag writes one change and returns the time until it is in force on
// every router. It returns an error after slopeInForceTimeout.
func (f *controlFleet) measureSettingsLag(ctx context.Context, i int) (time.Duration, error) {
	ctx, cancel := context.WithTimeout(ctx, slopeInForceTimeout)
	defer cancel()
	o, err := f.store.Get(ctx, settings.KindAccounts, controlAccount)
	if err != nil {
		return 0, err
	}
	data, err := json.Marshal(document{"key_hashes": []string{}, "settings": document{"limits": document{"burst": 100 + i}}})
	if err != nil {
		return 0, err
	}
	start := time.Now()
	version, err := f.store.Put(ctx, o.Kind, o.Name, data, o.Version)
	if err != nil {
		return 0, err
	}
	for _, n := range f.nodes {
		for n.settings.Snapshot().Revision < version {
			if err := sleep.For(ctx, time.Millisecond); err != nil {
				return 0, fmt.Errorf("%s did not receive settings version %d: %w", n.self.ID, version, err)
			}
		}
	}
	return time.Since(start), nil
}

// measureStreaming measures streamed tokens and requests per second of CPU time.
func (f *slopesFigures) measureStreaming(ctx context.Context, o Options) error {
	fmt.Fprintln(o.Progress, "streams")
	b, err := testbed.Start(ctx, testbed.Config{
		Objects: chatFleetObjects(document{}), RoutersPerDomain: 1, Seed: o.Seed, Log: o.Log,
		Engine: func(c *standin.EngineConfig) { c.TokensPerSecond = slopeTokensPerSecond },
	})
	if err != nil {
		return err
	}
	defer b.Close()
	client := b.NewClient()
	defer client.Close()
	stats := newLoadStats()
	load := startLoadGenerator(ctx, b, client, stats, loadConfig{
		account: quietAccount, service: chatService, users: slopeUsers, chatsPerUser: 1, thinkTime: time.Millisecond,
		messageTokens: 20, maxAnswerTokens: slopeAnswerTokens, maxTurns: 1, seed: o.Seed,
	})
	defer load.stop()
	_ = sleep.For(ctx, time.Second)
	answersBefore, cpuBefore := stats.correct.Load(), processCPUTime()
	_ = sleep.For(ctx, slopeStreamWindow)
	f.Answers = stats.correct.Load() - answersBefore
	cpuSeconds := (processCPUTime() - cpuBefore).Seconds()
	f.Tokens = f.Answers * slopeAnswerTokens
	f.TokensPerCore = ratio(float64(f.Tokens), cpuSeconds)
	f.RequestsPerCore = ratio(float64(f.Answers), cpuSeconds)
	return ctx.Err()
}
